//! Whether an entry missing from the upstream list may belong to a live upstream.

/// Tracks from when on the upstream list is complete again after an outage.
///
/// If every missing entry counted as a departure, a VM would remove all upstreams after an outage
/// in which their heartbeats could not be written, and refuse every request until the entries are
/// back. If a missing entry were tolerated for a time counted from the read that missed it, that
/// time would add to the durations of the read and of the outage, and a departed upstream would
/// receive requests for longer than the bound allows. So the tolerance ends at one moment per
/// outage, counted from the end of the outage, whenever the removal is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListRecovery {
    lapse_ms: u64,
    restore_ms: u64,
    /// Time of the first answered read.
    first_ms: Option<u64>,
    /// Latest time at which the upstream list is known to have been available, from reads of this
    /// or another VM.
    available_ms: Option<u64>,
    last_read_failed: bool,
    complete_from_ms: u64,
}

impl ListRecovery {
    /// Returns the state before the first read. Entries lapse in outages of `lapse_ms` and longer,
    /// and live upstreams have rewritten them `restore_ms` after the end of the outage.
    pub fn new(lapse_ms: u64, restore_ms: u64) -> Self {
        Self {
            lapse_ms,
            restore_ms,
            first_ms: None,
            available_ms: None,
            last_read_failed: false,
            complete_from_ms: 0,
        }
    }

    /// Records a failed read.
    pub fn record_failure(&mut self) {
        self.last_read_failed = true;
    }

    /// Records an answered read. Must precede handling its entries.
    pub fn record_answer(&mut self, now_ms: u64) {
        let last_failed = std::mem::take(&mut self.last_read_failed);
        let was_complete = self.complete_from_ms <= self.available_ms.unwrap_or_default();
        let is_outage = match self.available_ms {
            None => last_failed,
            Some(available_ms) => now_ms.saturating_sub(available_ms) >= self.lapse_ms,
        };
        // A short outage right after a long one interrupts the upstreams' rewriting of entries.
        if is_outage || (last_failed && !was_complete) {
            self.complete_from_ms = now_ms + self.restore_ms;
        }
        self.first_ms.get_or_insert(now_ms);
        self.available_ms = self.available_ms.max(Some(now_ms));
    }

    /// Records that the store was rolled back and lacks what was written since its older copy.
    pub fn record_rollback(&mut self, now_ms: u64) {
        self.complete_from_ms = now_ms + self.restore_ms;
    }

    /// Records that another VM, whose upstream list is complete, read it at `read_ms`. If only this
    /// VM could not read, no entry has lapsed.
    pub fn record_complete_elsewhere(&mut self, read_ms: u64) {
        self.available_ms = self.available_ms.max(Some(read_ms));
        self.complete_from_ms = self.complete_from_ms.min(read_ms);
    }

    /// Returns whether entries of live upstreams may be missing.
    pub fn is_recovering(&self, now_ms: u64) -> bool {
        now_ms < self.complete_from_ms
    }

    /// Returns whether certainly no live upstream is missing, so that other VMs may rely on the
    /// upstream list. A VM that has just started can't know whether an outage ended a moment ago.
    pub fn is_known_complete(&self, now_ms: u64) -> bool {
        let has_read_long_enough = self
            .first_ms
            .is_some_and(|first_ms| first_ms + self.restore_ms <= now_ms);
        has_read_long_enough && !self.last_read_failed && !self.is_recovering(now_ms)
    }

    /// Returns when the upstream list will be complete again, if that time is known and ahead.
    pub fn complete_at_ms(&self, now_ms: u64) -> Option<u64> {
        let is_known = !self.last_read_failed && self.is_recovering(now_ms);
        is_known.then_some(self.complete_from_ms)
    }
}
