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
    lapse_ms: u64,
    restore_ms: u64,
    /// When the list was first read.
    first_ms: Option<u64>,
    /// When the list was last available to upstreams, as far as this VM has read or was told; none
    /// before that.
    available_ms: Option<u64>,
    is_lost: bool,
    whole_from_ms: u64,
}

impl ListRecovery {
    /// Returns a list that was never read. Entries lapse in outages of `lapse_ms` and longer, and
    /// live upstreams have written them again `restore_ms` after the end.
    pub fn new(lapse_ms: u64, restore_ms: u64) -> Self {
        Self {
            lapse_ms,
            restore_ms,
            first_ms: None,
            available_ms: None,
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
        let was_lost = std::mem::take(&mut self.is_lost);
        let was_whole = self.whole_from_ms <= self.available_ms.unwrap_or_default();
        let is_outage = match self.available_ms {
            None => was_lost,
            Some(available_ms) => now_ms.saturating_sub(available_ms) >= self.lapse_ms,
        };
        // A short outage right after a long one takes upstreams the time to come back.
        if is_outage || (was_lost && !was_whole) {
            self.whole_from_ms = now_ms + self.restore_ms;
        }
        self.first_ms.get_or_insert(now_ms);
        self.available_ms = self.available_ms.max(Some(now_ms));
    }

    /// Takes in that the list has come back from an older copy, which lacks what was written since.
    pub fn set_back(&mut self, now_ms: u64) {
        self.whole_from_ms = now_ms + self.restore_ms;
    }

    /// Takes in that another VM, whose list is whole, read it at a moment. Where this VM alone
    /// could not read, no entry has lapsed.
    pub fn whole_elsewhere(&mut self, read_ms: u64) {
        self.available_ms = self.available_ms.max(Some(read_ms));
        self.whole_from_ms = self.whole_from_ms.min(read_ms);
    }

    /// Returns whether live upstreams may be missing.
    pub fn is_under_way(&self, now_ms: u64) -> bool {
        now_ms < self.whole_from_ms
    }

    /// Returns whether no live upstream is missing for certain, so that other VMs may rely on it. A
    /// VM that has just started can't know whether an outage ended a moment ago.
    pub fn is_known_whole(&self, now_ms: u64) -> bool {
        let has_seen_enough = self
            .first_ms
            .is_some_and(|first_ms| first_ms + self.restore_ms <= now_ms);
        has_seen_enough && !self.is_lost && !self.is_under_way(now_ms)
    }

    /// Returns when the list is whole again, if that is known and still to come.
    pub fn ends_ms(&self, now_ms: u64) -> Option<u64> {
        let is_known = !self.is_lost && self.is_under_way(now_ms);
        is_known.then_some(self.whole_from_ms)
    }
}
