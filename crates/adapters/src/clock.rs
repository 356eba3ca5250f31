//! Clock of the daemons.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use apricotdale_core::serving::Clock;

/// Clock of the machine. Its monotonic time is zero when the value is created.
#[derive(Clone, Debug)]
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
        // A machine clock before 1970 reads as the epoch. That shows in every log line and affects
        // no deadline, since deadlines use the monotonic clock.
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}
