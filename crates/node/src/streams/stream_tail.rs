//! Keeps a state as new as its stream.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use log::warn;

use apricotdale_core::Error;
use apricotdale_core::log::LogClient;
use apricotdale_core::serving::Clock;
use apricotdale_membership::PauseDetector;
use apricotdale_membership::PauseVerdict;

use super::catch_up::CatchUp;
use super::catch_up::CatchUpOutcome;
use super::pace::Pace;
use super::stream_state::StreamState;
use crate::log_health::LogHealth;
use crate::membership_view::SharedMembership;
use crate::membership_view::moment;

/// Maximum number of records of one read.
const MAX_READ_RECORDS: usize = 1_000;

/// Pause after a failed read or an unsuccessful catch-up.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Thread that follows one stream.
pub struct StreamTail {
    /// Replayed state of the stream.
    pub state: Arc<dyn StreamState>,
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Time that a read waits for a first record, in milliseconds.
    pub wait_ms: u64,
    /// Read pacing of the stream.
    pub pace: Pace,
    /// View of the VMs, whose number sets the pauses between reads.
    pub membership: Arc<SharedMembership>,
    /// Brings the state up to date when the stream can't be followed.
    pub catch_up: CatchUp,
    /// Receives the outcomes of reads; present only for the control stream.
    pub health: Option<Arc<LogHealth>>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
    /// Detects process pauses by the gaps between two reads.
    pub pauses: PauseDetector,
}

/// Time beyond its wait after which a read counts as a process pause.
pub const READ_SLACK_MS: u64 = 5_000;

impl StreamTail {
    /// Follows the stream until the daemon stops.
    pub fn run(mut self) {
        let mut is_following = false;
        while !self.stop.load(Ordering::Relaxed) {
            is_following = match is_following {
                true if self.was_paused() => self.catch_up(),
                true => self.follow_after_pause(),
                false => self.catch_up(),
            };
            if !is_following {
                thread::sleep(RETRY_PAUSE);
            }
        }
    }

    fn catch_up(&self) -> bool {
        let outcome = self.catch_up.run();
        self.record_read(outcome == CatchUpOutcome::Follow);
        // The first read does not wait, so a stream without further records counts as caught up at
        // once.
        outcome == CatchUpOutcome::Follow && self.follow(0)
    }

    fn was_paused(&mut self) -> bool {
        let verdict = self.pauses.observe(moment(&*self.clock));
        matches!(verdict, PauseVerdict::Paused { .. })
    }

    fn follow_after_pause(&self) -> bool {
        self.pace.pause(self.membership.view().vms.len());
        self.follow(self.wait_ms)
    }

    /// Reads and replays one batch, waiting up to `wait_ms` for its first record. Returns whether
    /// the stream can be followed further without a catch-up.
    fn follow(&self, wait_ms: u64) -> bool {
        let Some(position) = self.state.position() else {
            return false;
        };
        let from = position.next;
        match self
            .log
            .read(self.state.stream(), from, MAX_READ_RECORDS, wait_ms)
        {
            Ok(batch) if batch.end >= from => {
                if !batch.records.is_empty() {
                    self.state.replay(&batch.records);
                }
                let reaches = self.state.position().map(|position| position.next);
                if reaches >= Some(batch.end) {
                    self.state.mark_caught_up();
                }
                self.record_read(true);
                true
            }
            Ok(batch) => {
                warn!(
                    "{} ends at {}, before the replayed offset {from}",
                    self.state.stream(),
                    batch.end
                );
                self.record_read(false);
                false
            }
            Err(Error::Expired { first }) => {
                warn!(
                    "{}: offset {from} has expired; the first kept offset is {first}",
                    self.state.stream()
                );
                false
            }
            Err(error) => {
                warn!("reading {} failed: {error}", self.state.stream());
                self.record_read(false);
                false
            }
        }
    }

    fn record_read(&self, succeeded: bool) {
        if let Some(health) = &self.health {
            health.record_read(self.clock.monotonic_ms(), succeeded);
        }
    }
}
