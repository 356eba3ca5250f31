//! Pacing of the reads of a stream.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use apricotdale_core::serving::Clock;

use crate::signal::Signal;

/// Pause between two reads for each VM of the fleet. All VMs together read a stream that always
/// has new records at most once in this time, regardless of their number.
const PAUSE_PER_VM_MS: u64 = 5;

/// Upper bound of the pause. Configuration has to be in force within seconds.
const MAX_PAUSE_MS: u64 = 2_000;

/// Time for which a stream is read without pauses after a caller began to wait for a record.
const FOLLOW_CLOSELY_MS: u64 = 5_000;

/// Pacing of the reads of one stream.
///
/// Each record ends the waiting read of every VM. With a few VMs that costs little; with hundreds,
/// a few records a second would cause a thousand reads a second. So a VM that waits for no record
/// pauses between two reads, in proportion to the number of VMs, while a VM that waits for the
/// verdict on its own record, or for a replica, reads without pauses.
#[derive(Clone)]
pub struct Pace {
    clock: Arc<dyn Clock>,
    close_until_ms: Arc<AtomicU64>,
    wake: Signal,
}

impl Pace {
    /// Returns the pacing of a stream of which no record is awaited.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            close_until_ms: Arc::default(),
            wake: Signal::new(),
        }
    }

    /// Reads without pauses for a while, because a record is awaited.
    pub fn follow_closely(&self) {
        let until_ms = self.clock.monotonic_ms() + FOLLOW_CLOSELY_MS;
        let before_ms = self.close_until_ms.fetch_max(until_ms, Ordering::Relaxed);
        if before_ms < self.clock.monotonic_ms() {
            self.wake.wake();
        }
    }

    /// Pauses after a read, in a fleet of `vms` VMs, unless a record is awaited.
    pub fn pause(&self, vms: usize) {
        if self.close_until_ms.load(Ordering::Relaxed) > self.clock.monotonic_ms() {
            return;
        }
        let pause_ms = (vms as u64 * PAUSE_PER_VM_MS).min(MAX_PAUSE_MS);
        // The next read follows whether the pause ended by a wake or by its timeout.
        let _ = self
            .wake
            .receiver()
            .recv_timeout(Duration::from_millis(pause_ms));
    }
}
