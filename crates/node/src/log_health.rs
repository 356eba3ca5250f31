//! Availability of the platform's log, by the outcomes of this process's own calls.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Time for which a failed append is a sign that the next one would fail too.
const APPEND_FAILURE_TTL_MS: u64 = 1_000;

/// Last outcomes of appends and reads. All times are on the monotonic clock, in milliseconds; zero
/// means never.
#[derive(Debug, Default)]
pub struct LogHealth {
    append_ok_ms: AtomicU64,
    append_failed_ms: AtomicU64,
    read_ok_ms: AtomicU64,
    read_failed_ms: AtomicU64,
}

impl LogHealth {
    /// Records the outcome of an append to the control stream.
    pub fn record_append(&self, now_ms: u64, succeeded: bool) {
        let cell = if succeeded {
            &self.append_ok_ms
        } else {
            &self.append_failed_ms
        };
        cell.store(now_ms.max(1), Ordering::Relaxed);
    }

    /// Records the outcome of a read of the control stream.
    pub fn record_read(&self, now_ms: u64, succeeded: bool) {
        let cell = if succeeded {
            &self.read_ok_ms
        } else {
            &self.read_failed_ms
        };
        cell.store(now_ms.max(1), Ordering::Relaxed);
    }

    /// Returns whether the log can't decide a proposal now: the last read failed, or the last
    /// append failed less than a second ago. An older failure is no sign for the next append.
    pub fn is_down(&self, now_ms: u64) -> bool {
        let failed_ms = self.append_failed_ms.load(Ordering::Relaxed);
        let appends_fail = failed_ms > self.append_ok_ms.load(Ordering::Relaxed);
        let recent = now_ms.saturating_sub(failed_ms) < APPEND_FAILURE_TTL_MS;
        (appends_fail && recent) || self.reads_fail()
    }

    /// Returns whether the last read of the control stream failed.
    pub fn reads_fail(&self) -> bool {
        self.read_failed_ms.load(Ordering::Relaxed) > self.read_ok_ms.load(Ordering::Relaxed)
    }

    /// Returns whether reads fail and none has succeeded for `for_ms`.
    pub fn is_unreadable(&self, now_ms: u64, for_ms: u64) -> bool {
        let is_old = |read_ms| now_ms.saturating_sub(read_ms) >= for_ms;
        self.reads_fail() && self.last_read_ms().is_none_or(is_old)
    }

    /// Returns the time of the last successful read, or none before the first.
    pub fn last_read_ms(&self) -> Option<u64> {
        match self.read_ok_ms.load(Ordering::Relaxed) {
            0 => None,
            at_ms => Some(at_ms),
        }
    }
}
