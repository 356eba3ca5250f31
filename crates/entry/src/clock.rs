//! Clock and speed measurement of the VM.

use std::hint::black_box;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Returns milliseconds of a monotonic clock that also advances while the VM is suspended. With a
/// clock that stops meanwhile, a VM that resumes would continue to send orders under a lease that
/// another VM has long taken over.
pub(crate) fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available");
    time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000
}

/// Returns Unix milliseconds of the VM's clock, for records that other VMs read. The clock may be set
/// forward and back.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Steps of the fixed amount of work. They take about 0.2 ms on a full core and 1.6 ms on 0.12 of
/// a core.
const WORK_STEPS: u64 = 200_000;

/// Measures how long a fixed amount of work takes on this VM. The share of a core that the
/// platform states for the VM may be wrong.
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
