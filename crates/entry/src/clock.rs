//! The daemon's clock.

use std::hint::black_box;
use std::time::Instant;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Returns milliseconds of a clock that never goes back and that goes on while the VM is
/// suspended. With a clock that stands still meanwhile, a VM that wakes up would go on giving
/// orders under a lease that another VM has taken long since.
pub(crate) fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has this clock");
    time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000
}

/// Steps of a fixed piece of work. On a whole core they take about 0.2 ms, on 0.12 of one 1.6 ms.
const WORK_STEPS: u64 = 200_000;

/// Returns how long a fixed piece of work takes here: how fast this VM is. What it is told of its
/// share of a core need not be true.
pub(crate) fn fixed_work_us(seed: u64) -> u32 {
    let begun = Instant::now();
    let mut state = seed | 1;
    for _ in 0..WORK_STEPS {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
    }
    black_box(state);
    u32::try_from(begun.elapsed().as_micros()).unwrap_or(u32::MAX)
}
