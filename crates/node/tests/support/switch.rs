//! Freezes one daemon at its borders.

use parking_lot::Condvar;
use parking_lot::Mutex;

/// `Switch` stops a daemon as a paused process stops: every call of its adapters, the clock's
/// included, waits until the daemon is thawed. A daemon that is never thawed was killed, as far as
/// anyone else can tell.
#[derive(Debug, Default)]
pub struct Switch {
    is_frozen: Mutex<bool>,
    changed: Condvar,
}

impl Switch {
    /// Returns at once while the daemon runs, or else once it is thawed.
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
