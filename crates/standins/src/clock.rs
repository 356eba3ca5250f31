//! Monotonic and wall-clock time of the stand-ins.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use apricotdale_core::serving::Clock;

/// Longest wait that [`after_ms`] returns, one year; a much longer one would overflow an `Instant`.
const MAX_WAIT_MS: u64 = 365 * 24 * 60 * 60 * 1_000;

/// Returns the instant that is `wait_ms` milliseconds from now, or a year from now if that is
/// earlier.
pub fn after_ms(wait_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS))
}

/// Clock of the machine: monotonic time since its creation, and Unix time.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Returns a clock whose monotonic time starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn monotonic_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn unix_ms(&self) -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
