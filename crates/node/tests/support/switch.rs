//! Pauses one daemon at its adapters.

use parking_lot::Condvar;
use parking_lot::Mutex;

/// Makes a daemon behave like a paused process: every call of its adapters, including the
/// clock's, waits until the daemon resumes. To others, a daemon that never resumes was killed.
#[derive(Debug, Default)]
pub struct Switch {
    is_frozen: Mutex<bool>,
    changed: Condvar,
}

impl Switch {
    /// Returns at once while the daemon runs, otherwise once it resumes.
    pub fn pass(&self) {
        let mut is_frozen = self.is_frozen.lock();
        while *is_frozen {
            self.changed.wait(&mut is_frozen);
        }
    }

    pub fn freeze(&self) {
        *self.is_frozen.lock() = true;
    }

    pub fn thaw(&self) {
        *self.is_frozen.lock() = false;
        self.changed.notify_all();
    }

    pub fn is_frozen(&self) -> bool {
        *self.is_frozen.lock()
    }
}
