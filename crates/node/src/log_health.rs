//! Whether the platform's log takes appends and answers reads, from the outcomes of our own calls.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// `LogHealth` remembers the last outcome of appends and reads. All times are on the monotonic
/// clock, in milliseconds.
#[derive(Debug, Default)]
pub struct LogHealth {
    append_ok_ms: AtomicU64,
    append_failed_ms: AtomicU64,
    read_ok_ms: AtomicU64,
    read_failed_ms: AtomicU64,
}

impl LogHealth {
    /// Notes the outcome of an append.
    pub fn note_append(&self, now_ms: u64, worked: bool) {
        let cell = if worked { &self.append_ok_ms } else { &self.append_failed_ms };
        cell.store(now_ms.max(1), Ordering::Relaxed);
    }

    /// Notes the outcome of a read.
    pub fn note_read(&self, now_ms: u64, worked: bool) {
        let cell = if worked { &self.read_ok_ms } else { &self.read_failed_ms };
        cell.store(now_ms.max(1), Ordering::Relaxed);
    }

    /// Returns whether the last append failed.
    pub fn appends_fail(&self) -> bool {
        self.append_failed_ms.load(Ordering::Relaxed) > self.append_ok_ms.load(Ordering::Relaxed)
    }

    /// Returns whether the last read failed.
    pub fn reads_fail(&self) -> bool {
        self.read_failed_ms.load(Ordering::Relaxed) > self.read_ok_ms.load(Ordering::Relaxed)
    }

    /// Returns whether a decision can't be had from the log now.
    pub fn is_down(&self) -> bool {
        self.appends_fail() || self.reads_fail()
    }
}
