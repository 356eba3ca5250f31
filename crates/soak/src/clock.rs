//! Clock to which all times of a soak refer.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Monotonic clock that counts milliseconds from the start of the soak.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    began: Instant,
}

impl Clock {
    /// Returns a clock that reads 0 now.
    pub fn start() -> Self {
        Self {
            began: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start of the soak.
    pub fn now_ms(self) -> u64 {
        self.at_ms(Instant::now())
    }

    /// Converts an instant to milliseconds since the start; 0 if it is earlier.
    pub fn at_ms(self, instant: Instant) -> u64 {
        instant.saturating_duration_since(self.began).as_millis() as u64
    }

    /// Sleeps until a time. It only paces callers and faults: no check depends on its precision.
    pub fn wait_until(self, at_ms: u64) {
        let left_ms = at_ms.saturating_sub(self.now_ms());
        thread::sleep(Duration::from_millis(left_ms));
    }
}
