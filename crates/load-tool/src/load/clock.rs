//! The clock of a run.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// `RunClock` counts from the beginning of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    began: Instant,
}

impl RunClock {
    /// Returns a clock that begins now.
    pub fn start() -> Self {
        Self {
            began: Instant::now(),
        }
    }

    /// Returns the time since the beginning.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Waits until a moment of the run, or not at all if it has passed.
    pub fn wait_until(&self, moment: Duration) {
        thread::sleep(moment.saturating_sub(self.now()));
    }
}
