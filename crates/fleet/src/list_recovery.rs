//! Whether an entry that is missing from the list may be a live upstream's.

/// `ListRecovery` tells since when the list has been whole again after an outage.
///
/// Without it one of two things goes wrong. If every missing entry counted as a departure, a VM
/// would drop all upstreams after an outage in which their heartbeats found no list, and refuse
/// every request until they are back. If a missing entry were forgiven for a time that is counted
/// from the read which missed it, that time would be added to those of the read and of the outage,
/// and an upstream that left would get requests beyond its bound. So there is one moment for each
/// outage, counted from the return of the list, whenever the removal is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListRecovery {
    restore_ms: u64,
    is_lost: bool,
    whole_from_ms: u64,
}

impl ListRecovery {
    /// Returns a list that was never lost. After an outage live upstreams have written their
    /// entries again within `restore_ms`.
    pub fn new(restore_ms: u64) -> Self {
        Self {
            restore_ms,
            is_lost: false,
            whole_from_ms: 0,
        }
    }

    /// Takes in a read that failed.
    pub fn lost(&mut self) {
        self.is_lost = true;
    }

    /// Takes in a read that was answered, before its entries are looked at.
    pub fn answered(&mut self, now_ms: u64) {
        if std::mem::take(&mut self.is_lost) {
            self.whole_from_ms = now_ms + self.restore_ms;
        }
    }

    /// Returns whether live upstreams may be missing.
    pub fn is_under_way(&self, now_ms: u64) -> bool {
        self.is_lost || now_ms < self.whole_from_ms
    }

    /// Returns when the list is whole again, if that is known and still to come.
    pub fn ends_ms(&self, now_ms: u64) -> Option<u64> {
        let is_to_come = !self.is_lost && now_ms < self.whole_from_ms;
        is_to_come.then_some(self.whole_from_ms)
    }
}
