//! Detection of process pauses.

use crate::event::Moment;

/// Whether the process was paused between two observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseVerdict {
    /// Neither clock shows a gap that counts as a pause.
    Running,
    /// The process was paused, or may have been.
    Paused {
        /// Duration of the pause, as far as the clocks show.
        paused_ms: u64,
    },
}

/// Detects that the process was paused, from gaps between two readings of the clocks.
///
/// A paused process resumes with outdated state: that it holds an intent, that a replica is loaded,
/// that its view is recent. Other VMs have acted in the meantime. After a gap the detector forbids
/// acting until the log has been read from a moment after the resumption, so that the process
/// learns of those actions first.
///
/// A pause between the last check and the action itself goes undetected. An order sent after such a
/// pause is stopped by its fencing token, not by this detector.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    limit_ms: u64,
    last: Option<Moment>,
    resumed_at: Option<Moment>,
}

impl PauseDetector {
    /// Returns a detector that treats gaps above `limit_ms` as a pause. The limit has to exceed the
    /// longest time between two calls of [`observe`](Self::observe) in a running process.
    pub fn new(limit_ms: u64) -> Self {
        Self {
            limit_ms,
            last: None,
            resumed_at: None,
        }
    }

    /// Records a reading of the clocks. To be called by each tick and right before each action that
    /// relies on replayed state.
    pub fn observe(&mut self, now: Moment) -> PauseVerdict {
        let Some(last) = self.last.replace(now) else {
            return PauseVerdict::Running;
        };
        let paused_ms = gap_ms(last, now);
        if paused_ms <= self.limit_ms {
            return PauseVerdict::Running;
        }
        self.resumed_at = Some(now);
        PauseVerdict::Paused { paused_ms }
    }

    /// Records a reading of the clocks and returns whether the process may rely on its state.
    pub fn may_act(&mut self, now: Moment) -> bool {
        self.observe(now);
        self.resumed_at.is_none()
    }

    /// Records that the log has been read up to its end by a read that began at `began`. A read
    /// that began before the process resumed has no effect.
    pub fn record_log_read(&mut self, began: Moment) {
        let is_after_resume = |resumed: &Moment| began.monotonic_ms >= resumed.monotonic_ms;
        if self.resumed_at.as_ref().is_some_and(is_after_resume) {
            self.resumed_at = None;
        }
    }
}

/// Returns the larger gap of the two clocks. While the machine is suspended its monotonic clock
/// stops, and only Unix time shows the gap. A Unix clock that was set forward also shows a gap,
/// which costs one needless read of the log; one that was set back shows none.
fn gap_ms(last: Moment, now: Moment) -> u64 {
    let monotonic_ms = now.monotonic_ms.saturating_sub(last.monotonic_ms);
    let unix_ms = now.unix_ms.saturating_sub(last.unix_ms);
    monotonic_ms.max(unix_ms)
}
