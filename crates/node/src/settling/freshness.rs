//! Whether this process may act on what it believes.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use apricotdale_core::log::LogClient;
use apricotdale_core::names::StreamName;
use apricotdale_core::serving::Clock;
use apricotdale_membership::PauseDetector;

use crate::membership_view::moment;
use crate::replayed::Replayed;

/// A gap between two looks at the clock from which on the process counts as frozen. It is above
/// the longest tick of the daemon and below any time after which others take intents over.
const FREEZE_LIMIT_MS: u64 = 1_500;

/// How long to wait for the state to be replayed to an end that was just read.
const REPLAY_WAIT: Duration = Duration::from_secs(2);

/// `Freshness` answers whether the replayed state is as new as the log.
///
/// A process that was frozen wakes with old beliefs. Before it sends an order it reads the end of
/// the control stream and replays up to it, so that it sees a takeover of its intent. The gap
/// between this check and the order can't be closed here: it is why replay keeps the memory of an
/// intent reserved while its sender may still act.
pub struct Freshness {
    /// The log.
    pub log: Arc<dyn LogClient>,
    /// The control stream.
    pub stream: StreamName,
    /// The replayed state.
    pub replayed: Arc<Replayed>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    detector: Mutex<PauseDetector>,
}

impl Freshness {
    /// Returns a check over the given parts.
    pub fn new(
        log: Arc<dyn LogClient>,
        stream: StreamName,
        replayed: Arc<Replayed>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let detector = Mutex::new(PauseDetector::new(FREEZE_LIMIT_MS));
        Self {
            log,
            stream,
            replayed,
            clock,
            detector,
        }
    }

    /// Takes in that the daemon's loop runs. Called at each tick.
    pub fn tick(&self) {
        self.detector.lock().observe(moment(&*self.clock));
    }

    /// Returns whether the process may act on its beliefs without reading the log first.
    pub fn may_act(&self) -> bool {
        self.detector.lock().may_act(moment(&*self.clock))
    }

    /// Reads the end of the control stream and waits until the state has reached it. Returns
    /// whether it has.
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
