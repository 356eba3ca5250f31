//! Clock whose times count from the start of a run.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Clock that counts from the start of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    began: Instant,
}

impl RunClock {
    /// Returns a clock that starts now.
    pub fn start() -> Self {
        Self {
            began: Instant::now(),
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Sleeps until a time since the start of the run; returns at once if it has passed.
    pub fn wait_until(&self, moment: Duration) {
        thread::sleep(moment.saturating_sub(self.now()));
    }
}
