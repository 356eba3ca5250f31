//! Bounds on what this VM buffers of all answers in progress.

use crate::daemon::Daemon;

/// Total of what is buffered of answers until they are complete or their callers take them. Faulty
/// upstreams may send without end to all callers at once.
const TOTAL_BYTES: usize = 32 * 1024 * 1024;

/// Minimum share of one answer, however many are in progress.
const MIN_SHARE_BYTES: usize = 16 * 1024;

/// Maximum number of unsent bytes to a slow caller before reading from the upstream pauses.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

impl Daemon {
    /// Returns how many bytes of one answer may be buffered: its share of the total.
    pub(crate) fn answer_share_bytes(&self) -> usize {
        let share_bytes = TOTAL_BYTES / self.active.len().max(1);
        share_bytes.max(MIN_SHARE_BYTES)
    }

    /// Returns whether the caller of a request is so far behind that no more of the answer is read.
    pub(crate) fn is_caller_slow(&self, key: u64) -> bool {
        let max_unsent_bytes = self.answer_share_bytes().min(MAX_UNSENT_BYTES);
        self.active
            .get(key)
            .and_then(|request| request.caller)
            .and_then(|token| self.callers.get(&token))
            .is_some_and(|caller| caller.stream.unwritten_bytes() > max_unsent_bytes)
    }
}
