//! Share of the time in which the readiness loop works.

use std::time::Duration;
use std::time::Instant;

/// Length of the windows over which the share is taken.
const WINDOW: Duration = Duration::from_millis(500);

/// Share of the time in which the loop did not wait for events, in the last full window. On a VM
/// with a part of a core it includes the time in which the process is not scheduled.
#[derive(Debug)]
pub(crate) struct LoopLoad {
    window_began: Instant,
    work_began: Instant,
    worked: Duration,
    permille: u16,
}

impl Default for LoopLoad {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            window_began: now,
            work_began: now,
            worked: Duration::ZERO,
            permille: 0,
        }
    }
}

impl LoopLoad {
    /// Records that the loop begins to work.
    pub fn begin_work(&mut self) {
        self.work_began = Instant::now();
    }

    /// Records that the loop waits for events again.
    pub fn end_work(&mut self) {
        let now = Instant::now();
        self.worked += now.duration_since(self.work_began);
        let window = now.duration_since(self.window_began);
        if window >= WINDOW {
            let share = self.worked.as_secs_f64() / window.as_secs_f64();
            self.permille = (share * 1_000.0).min(1_000.0) as u16;
            self.window_began = now;
            self.worked = Duration::ZERO;
        }
    }

    /// Returns the share in thousandths.
    pub fn permille(&self) -> u16 {
        self.permille
    }
}
