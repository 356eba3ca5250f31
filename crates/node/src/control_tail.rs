//! Reads the control stream to its end, again and again, and replays it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use log::info;
use log::warn;

use apricotdale_core::Error;
use apricotdale_core::log::LogClient;
use apricotdale_core::log::LogRecord;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::serving::Clock;
use apricotdale_state::Verdict;
use apricotdale_telemetry::Metrics;

use crate::log_health::LogHealth;
use crate::replayed::Replayed;

/// The most records asked for in one read.
const READ_RECORDS: usize = 1_000;

/// The pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// `CatchUpSource` finds a state to go on from when the stream no longer has the next record.
pub trait CatchUpSource: Send + Sync {
    /// Installs a newer state into `replayed`. Returns whether replay can go on from there.
    fn catch_up(&self, replayed: &Replayed, first: Offset) -> bool;
}

/// `ControlTail` is what the tail works with.
pub struct ControlTail {
    /// The control stream.
    pub stream: StreamName,
    /// How long a read waits for a first record.
    pub wait_ms: u64,
    /// The log.
    pub log: Arc<dyn LogClient>,
    /// The state to replay into.
    pub replayed: Arc<Replayed>,
    /// Takes in the outcomes of reads.
    pub health: Arc<LogHealth>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Finds a state after records have expired.
    pub source: Arc<dyn CatchUpSource>,
    /// Called after each batch.
    pub moved: Box<dyn Fn() + Send + Sync>,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

impl ControlTail {
    /// Replays until the daemon stops.
    pub fn run(self) {
        while !self.stop.load(Ordering::Relaxed) {
            if !self.step() {
                thread::sleep(RETRY_PAUSE);
            }
        }
    }

    /// Reads one batch and returns whether that worked.
    fn step(&self) -> bool {
        let from = self.replayed.next_offset();
        let wait_ms = if self.replayed.is_caught_up() {
            self.wait_ms
        } else {
            0
        };
        let batch = self.log.read(&self.stream, from, READ_RECORDS, wait_ms);
        let reached = matches!(batch, Ok(_) | Err(Error::Expired { .. }));
        self.health.note_read(self.clock.monotonic_ms(), reached);
        match batch {
            Ok(batch) if batch.end < from => {
                self.renumbered(batch.end, from);
                false
            }
            Ok(batch) => {
                self.replay(&batch.records);
                if self.replayed.next_offset() >= batch.end {
                    self.replayed.note_caught_up();
                }
                true
            }
            Err(Error::Expired { first }) => {
                warn!("control records from offset {from} have expired, the first kept is {first}");
                self.source.catch_up(&self.replayed, first)
            }
            Err(error) => {
                warn!("reading the control stream failed: {error}");
                false
            }
        }
    }

    fn replay(&self, records: &[LogRecord]) {
        if records.is_empty() {
            return;
        }
        let verdicts = self.replayed.apply(records);
        for (offset, verdict) in &verdicts {
            self.metrics.node().record_replayed(verdict.as_str());
            match verdict {
                Verdict::Accepted(_) => {}
                Verdict::Rejected(_) | Verdict::Ignored(_) => {
                    info!(
                        "control record {offset} had no effect: {}",
                        verdict.as_str()
                    );
                }
            }
        }
        self.metrics
            .node()
            .set_replayed(self.replayed.next_offset());
        let version = self.replayed.read(|state| state.config().version());
        self.metrics.node().set_config_version(version);
        (self.moved)();
    }

    /// The stream ends before what was replayed: the platform lost acknowledged records. Accepted
    /// configuration must not revert, so the state is kept, and an operator has to act. One
    /// notices by this line and by `log_read_age_ms` growing.
    fn renumbered(&self, end: Offset, from: Offset) {
        warn!("the control stream ends at {end}, but {from} was replayed; keeping the state");
        self.health.note_read(self.clock.monotonic_ms(), false);
    }
}
