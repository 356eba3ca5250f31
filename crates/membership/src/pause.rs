//! Detection of a process that was frozen.

use crate::event::Moment;

/// `PauseVerdict` says whether the process was frozen since it last looked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseVerdict {
    /// The process ran.
    Running,
    /// The process was frozen, or may have been.
    Paused {
        /// For how long no code of it ran, as far as the clocks show.
        paused_ms: u64,
    },
}

/// `PauseDetector` notices that the process was frozen, from gaps between two readings of the
/// clocks.
///
/// A frozen process wakes up with its old beliefs: that it holds an intent, that a replica is
/// there, that its view is fresh. Others have acted in the meantime. The detector closes after a
/// gap and opens again only once the log has been read from a moment after the wake-up, so the
/// process finds out before it acts.
///
/// It can't close the gap between the last check and the act itself. An order sent in that gap is
/// stopped by its fencing number, not by this detector.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    limit_ms: u64,
    last: Option<Moment>,
    woke_at: Option<Moment>,
}

impl PauseDetector {
    /// Returns a detector that takes gaps above `limit_ms` as a freeze. The limit has to be above
    /// the longest time between two calls of [`observe`](Self::observe) in a running process.
    pub fn new(limit_ms: u64) -> Self {
        Self {
            limit_ms,
            last: None,
            woke_at: None,
        }
    }

    /// Takes in a reading of the clocks. It is called by each tick and right before each act that
    /// relies on a belief.
    pub fn observe(&mut self, now: Moment) -> PauseVerdict {
        let Some(last) = self.last.replace(now) else {
            return PauseVerdict::Running;
        };
        let paused_ms = gap_ms(last, now);
        if paused_ms <= self.limit_ms {
            return PauseVerdict::Running;
        }
        self.woke_at = Some(now);
        PauseVerdict::Paused { paused_ms }
    }

    /// Takes in a reading of the clocks and returns whether the process may act on its beliefs.
    pub fn may_act(&mut self, now: Moment) -> bool {
        self.observe(now);
        self.woke_at.is_none()
    }

    /// Notes that the log has been read up to its end by a read that began at `began`. A read that
    /// began before the wake-up proves nothing and opens nothing.
    pub fn record_log_read(&mut self, began: Moment) {
        let proves = |woke: &Moment| began.monotonic_ms >= woke.monotonic_ms;
        if self.woke_at.as_ref().is_some_and(proves) {
            self.woke_at = None;
        }
    }
}

/// Returns the larger gap of the two clocks. The monotonic clock of a machine that was suspended as
/// a whole stands still, and only Unix time shows the gap. Unix time that was set forward looks the
/// same and costs one needless read of the log; set back, it counts as no gap.
fn gap_ms(last: Moment, now: Moment) -> u64 {
    let monotonic_ms = now.monotonic_ms.saturating_sub(last.monotonic_ms);
    let unix_ms = now.unix_ms.saturating_sub(last.unix_ms);
    monotonic_ms.max(unix_ms)
}
