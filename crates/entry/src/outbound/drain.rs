//! Answers that are read to their end only to reuse the connection.

use super::Outbound;
use super::Purpose;

/// Time limit for the rest of an answer. A new connection costs less than a longer wait.
const DRAIN_TIMEOUT_MS: u64 = 1_000;

/// Maximum number of bytes of a body that are read for it.
const DRAIN_LIMIT_BYTES: usize = 64 * 1024;

/// Bounds of the drain in progress.
#[derive(Debug, Default)]
pub(super) struct Drain {
    until_ms: u64,
    bytes: usize,
}

impl Outbound {
    /// Begins to read an answer that nobody awaits any more.
    pub fn begin_drain(&mut self, now_ms: u64) {
        self.purpose = Purpose::Drain;
        self.drain = Drain {
            until_ms: now_ms + DRAIN_TIMEOUT_MS,
            bytes: 0,
        };
    }

    /// Records bytes of the body. Returns whether more of it may be read.
    pub fn record_drained(&mut self, bytes: usize) -> bool {
        self.drain.bytes += bytes;
        self.drain.bytes <= DRAIN_LIMIT_BYTES
    }

    /// Returns whether the time of the drain in progress is over.
    pub(super) fn is_drained_too_long(&self, now_ms: u64) -> bool {
        self.drain.until_ms <= now_ms
    }
}
