//! Check that the replayed state is current before this process acts on it.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use apricotdale_core::log::LogClient;
use apricotdale_core::names::StreamName;
use apricotdale_core::serving::Clock;
use apricotdale_membership::PauseDetector;

use crate::membership_view::moment;
use crate::replayed::Replayed;

/// Gap between two clock readings from which on the process counts as paused. It is above the
/// longest tick of the daemon and below the time after which other VMs take intents over.
const PAUSE_LIMIT_MS: u64 = 1_500;

/// Timeout of replay reaching the end of the stream that was just read.
const REPLAY_WAIT: Duration = Duration::from_secs(2);

/// Check that the replayed state is as new as the log.
///
/// A process that was paused resumes with stale state. Before it sends an order it reads the end
/// of the control stream and replays up to it, so that it sees a takeover of its intent. A pause
/// between this check and the order can't be excluded here, which is why replay keeps the memory of
/// an intent reserved while its sender may still act.
pub struct Freshness {
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Name of the control stream.
    pub stream: StreamName,
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    detector: Mutex<PauseDetector>,
}

impl Freshness {
    /// Returns a check that has observed no tick yet.
    pub fn new(
        log: Arc<dyn LogClient>,
        stream: StreamName,
        replayed: Arc<Replayed>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let detector = Mutex::new(PauseDetector::new(PAUSE_LIMIT_MS));
        Self {
            log,
            stream,
            replayed,
            clock,
            detector,
        }
    }

    /// Records that the daemon's loop runs. Must be called at each tick.
    pub fn tick(&self) {
        self.detector.lock().observe(moment(&*self.clock));
    }

    /// Returns whether the process may act on its state without reading the log first.
    pub fn may_act(&self) -> bool {
        self.detector.lock().may_act(moment(&*self.clock))
    }

    /// Reads the end of the control stream and waits until replay has reached it. Returns whether
    /// it did in time and the process was not paused meanwhile.
    pub fn confirm(&self) -> bool {
        let began = moment(&*self.clock);
        let from = self.replayed.next_offset();
        let Ok(batch) = self.log.read(&self.stream, from, 1, 0) else {
            return false;
        };
        let reached = self.replayed.wait_for(REPLAY_WAIT, |state| {
            (state.next_offset() >= batch.end).then_some(())
        });
        if reached.is_some() {
            self.detector.lock().record_log_read(began);
        }
        reached.is_some() && self.may_act()
    }
}
