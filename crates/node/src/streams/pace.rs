//! How often a stream is read.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use apricotdale_core::serving::Clock;

use crate::signal::Signal;

/// The pause between two reads for each VM of the fleet. All VMs together read a stream that always
/// has new records at most once in this time, however many they are.
const PAUSE_PER_VM_MS: u64 = 5;

/// The longest pause. Configuration has to be in force within seconds.
const PAUSE_MAX_MS: u64 = 2_000;

/// How long a stream is followed closely after someone began to wait for a record.
const CLOSE_MS: u64 = 5_000;

/// `Pace` paces the reads of one stream.
///
/// Each record wakes every VM that waits in a read. With a few VMs that costs nothing; with
/// hundreds, a few records a second would be a thousand reads a second. So a VM that waits for no
/// record pauses between two reads, the longer the more VMs there are, while one that waits for the
/// verdict on its own record, or for a replica, follows closely.
#[derive(Clone)]
pub struct Pace {
    clock: Arc<dyn Clock>,
    close_until_ms: Arc<AtomicU64>,
    wake: Signal,
}

impl Pace {
    /// Returns a pace at which nobody waits.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            close_until_ms: Arc::default(),
            wake: Signal::new(),
        }
    }

    /// Notes that someone waits for a record from now on.
    pub fn follow_closely(&self) {
        let until_ms = self.clock.monotonic_ms() + CLOSE_MS;
        let before_ms = self.close_until_ms.fetch_max(until_ms, Ordering::Relaxed);
        if before_ms < self.clock.monotonic_ms() {
            self.wake.wake();
        }
    }

    /// Pauses after a read, in a fleet of the given number of VMs, unless someone waits.
    pub fn pause(&self, vms: usize) {
        if self.close_until_ms.load(Ordering::Relaxed) > self.clock.monotonic_ms() {
            return;
        }
        let pause_ms = (vms as u64 * PAUSE_PER_VM_MS).min(PAUSE_MAX_MS);
        // Being woken and having waited long enough lead to the same next read.
        let _ = self
            .wake
            .receiver()
            .recv_timeout(Duration::from_millis(pause_ms));
    }
}
