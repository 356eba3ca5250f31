//! Count of the requests in progress.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;

/// Number of requests in progress, with a wait for its return to 0.
#[derive(Default)]
pub(crate) struct InProgress {
    count: Mutex<usize>,
    ended: Condvar,
}

impl InProgress {
    /// Counts one more request until the returned guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> InProgressGuard {
        *self.count.lock() += 1;
        InProgressGuard(self.clone())
    }

    /// Returns the number of requests in progress.
    pub(crate) fn count(&self) -> usize {
        *self.count.lock()
    }

    /// Waits until no request is in progress. Returns false if the timeout passes first.
    pub(crate) fn wait_idle(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut count = self.count.lock();
        while *count > 0 {
            if self.ended.wait_until(&mut count, deadline).timed_out() {
                return *count == 0;
            }
        }
        true
    }
}

/// Counts one request in progress until it is dropped.
pub(crate) struct InProgressGuard(Arc<InProgress>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        *self.0.count.lock() -= 1;
        self.0.ended.notify_all();
    }
}
