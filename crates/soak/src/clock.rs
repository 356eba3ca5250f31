//! The soak's clock.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// `Clock` counts milliseconds since the soak began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    began: Instant,
}

impl Clock {
    /// Returns a clock that begins now.
    pub fn start() -> Self {
        Self {
            began: Instant::now(),
        }
    }

    /// Returns the time now.
    pub fn now_ms(self) -> u64 {
        self.at_ms(Instant::now())
    }

    /// Returns the time of an instant.
    pub fn at_ms(self, instant: Instant) -> u64 {
        instant.saturating_duration_since(self.began).as_millis() as u64
    }

    /// Waits until a time. The soak paces its callers and troubles by this; no verdict does.
    pub fn wait_until(self, at_ms: u64) {
        let left_ms = at_ms.saturating_sub(self.now_ms());
        thread::sleep(Duration::from_millis(left_ms));
    }
}
