//! The daemon's clock.

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Returns milliseconds of a clock that never goes back and that goes on while the VM is
/// suspended. With a clock that stands still meanwhile, a VM that wakes up would go on giving
/// orders under a lease that another VM has taken long since.
pub(crate) fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has this clock");
    time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000
}
