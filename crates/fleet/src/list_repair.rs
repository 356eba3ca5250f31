//! Detection and repair of differences between this VM's upstream list and the lease holder's.

/// Time for which the serving upstreams must differ before the cause counts as a lost message and
/// not as one in transit. Heartbeats are sent every 0.4 s.
const SERVING_DIFFERS_MS: u64 = 500;

/// Time for which the serving upstreams must differ before a VM reads the upstreams' own entries.
/// That is needed only if the lease holder can't write a list snapshot.
const NO_SNAPSHOT_DIFFERS_MS: u64 = 6_000;

/// Time for which the residences of engines must differ. Orders change them many times a second, so
/// that two VMs seldom agree at any one moment.
const RESIDENCE_DIFFERS_MS: u64 = 3_000;

/// Delay after a repair, doubled after each further one that did not help.
const REPAIR_DELAY_MS: u64 = 2_000;

/// Maximum number of times that the delay is doubled.
const MAX_DELAY_DOUBLINGS: u32 = 3;

/// Detects that this VM missed messages about upstreams and schedules repairs.
///
/// Messages between VMs may be lost. Without repair, a VM that missed the entry of a new upstream
/// would not use it until the next full read.
#[derive(Clone, Debug)]
pub struct ListRepair {
    min_difference_ms: u64,
    /// Time since which each of the digests has differed; `None` for equal ones.
    differs_since_ms: Vec<Option<u64>>,
    repairs: u32,
    /// Earliest time of the next repair.
    next_ms: u64,
    jitter_ms: u64,
}

impl ListRepair {
    /// Returns the repair of the set of serving upstreams, from the list snapshot.
    pub fn for_serving_upstreams() -> Self {
        Self::new(SERVING_DIFFERS_MS)
    }

    /// Returns the repair of engines' residences, from the list snapshot, which has all of them
    /// that VMs use.
    pub fn for_residences() -> Self {
        Self::new(RESIDENCE_DIFFERS_MS)
    }

    /// Returns the repair of the set of serving upstreams from the upstreams' own entries, for when
    /// there is no usable list snapshot.
    pub fn without_snapshot() -> Self {
        Self::new(NO_SNAPSHOT_DIFFERS_MS)
    }

    fn new(min_difference_ms: u64) -> Self {
        Self {
            min_difference_ms,
            differs_since_ms: Vec::new(),
            repairs: 0,
            next_ms: 0,
            jitter_ms: 0,
        }
    }

    /// Records which of the received digests equal this VM's. `jitter_ms` spreads the repairs of
    /// VMs that missed the same message.
    pub fn record_comparison(&mut self, now_ms: u64, same: &[bool], jitter_ms: u64) {
        let differed = self.earliest_difference_ms().is_some();
        self.differs_since_ms.resize(same.len(), None);
        for (since_ms, is_same) in self.differs_since_ms.iter_mut().zip(same) {
            match is_same {
                true => *since_ms = None,
                false => *since_ms = since_ms.or(Some(now_ms)),
            }
        }
        match self.earliest_difference_ms() {
            None => (self.repairs, self.next_ms) = (0, 0),
            Some(_) if !differed => self.jitter_ms = jitter_ms,
            Some(_) => {}
        }
    }

    /// Returns the earliest time since which any digest has differed.
    fn earliest_difference_ms(&self) -> Option<u64> {
        self.differs_since_ms.iter().flatten().min().copied()
    }

    /// Returns when a repair is due, or `None` if nothing differs.
    pub fn due_ms(&self) -> Option<u64> {
        let since_ms = self.earliest_difference_ms()?;
        Some((since_ms + self.min_difference_ms + self.jitter_ms).max(self.next_ms))
    }

    /// Returns whether a repair is due now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.due_ms().is_some_and(|due_ms| due_ms <= now_ms)
    }

    /// Records that a repair begins. `jitter_ms` delays the one after it.
    pub fn begin(&mut self, now_ms: u64, jitter_ms: u64) {
        let delay_ms = REPAIR_DELAY_MS << self.repairs.min(MAX_DELAY_DOUBLINGS);
        self.repairs += 1;
        self.next_ms = now_ms + delay_ms;
        self.jitter_ms = jitter_ms;
    }
}
