//! Pauses one daemon at its adapters.

use parking_lot::Condvar;
use parking_lot::Mutex;

/// Makes a daemon behave like a paused process: every call of its adapters, including the
/// clock's, waits until the daemon resumes. To others, a daemon that never resumes was killed.
#[derive(Debug, Default)]
pub struct Switch {
    is_paused: Mutex<bool>,
    changed: Condvar,
}

impl Switch {
    /// Returns at once while the daemon runs, otherwise once it resumes.
    pub fn pass(&self) {
        let mut is_paused = self.is_paused.lock();
        while *is_paused {
            self.changed.wait(&mut is_paused);
        }
    }

    pub fn pause(&self) {
        *self.is_paused.lock() = true;
    }

    pub fn resume(&self) {
        *self.is_paused.lock() = false;
        self.changed.notify_all();
    }

    pub fn is_paused(&self) -> bool {
        *self.is_paused.lock()
    }
}
