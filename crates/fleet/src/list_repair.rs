//! What a VM does whose list differs from that of the VM which reads it for all.

/// How long it must differ which upstreams serve before that is taken for more than a message on
/// its way. Beats come each 0.4 s.
const LISTED_DIFFERS_MS: u64 = 500;

/// How long it must differ before a VM reads the upstreams' own entries: only if whoever reads for
/// all can't write a copy.
const UNCOPIED_DIFFERS_MS: u64 = 6_000;

/// The same for what engines hold. Orders change it many times a second, so that two VMs seldom
/// know the same at a moment.
const HELD_DIFFERS_MS: u64 = 3_000;

/// The pause after a repair, doubled with each further one that did not help.
const REPAIR_PAUSE_MS: u64 = 2_000;

/// How often the pause is doubled.
const MOST_DOUBLINGS: u32 = 3;

/// `ListRepair` finds that this VM missed what it was told.
///
/// What VMs tell each other may be lost. Without this a VM that missed the entry of a new upstream
/// would not use it until the next full read.
#[derive(Clone, Debug)]
pub struct ListRepair {
    answer_timeout_ms: u64,
    /// Since when each of the digests differs.
    differs_since_ms: Vec<Option<u64>>,
    repairs: u32,
    /// When the next repair may begin.
    next_ms: u64,
    jitter_ms: u64,
}

impl ListRepair {
    /// Returns the repair of which upstreams serve, from the copy.
    pub fn for_serving_upstreams() -> Self {
        Self::new(LISTED_DIFFERS_MS)
    }

    /// Returns the repair of what engines hold, from the copy, which tells all that VMs use of it.
    pub fn for_residences() -> Self {
        Self::new(HELD_DIFFERS_MS)
    }

    /// Returns the repair of which upstreams serve, from their own entries.
    pub fn without_snapshot() -> Self {
        Self::new(UNCOPIED_DIFFERS_MS)
    }

    fn new(answer_timeout_ms: u64) -> Self {
        Self {
            answer_timeout_ms,
            differs_since_ms: Vec::new(),
            repairs: 0,
            next_ms: 0,
            jitter_ms: 0,
        }
    }

    /// Takes in which of the digests that were told are also this VM's. `jitter_ms` spreads the
    /// repairs of VMs that missed the same message.
    pub fn heard(&mut self, now_ms: u64, same: &[bool], jitter_ms: u64) {
        let differed = self.due_since_ms().is_some();
        self.differs_since_ms.resize(same.len(), None);
        for (since_ms, is_same) in self.differs_since_ms.iter_mut().zip(same) {
            match is_same {
                true => *since_ms = None,
                false => *since_ms = since_ms.or(Some(now_ms)),
            }
        }
        match self.due_since_ms() {
            None => (self.repairs, self.next_ms) = (0, 0),
            Some(_) if !differed => self.jitter_ms = jitter_ms,
            Some(_) => {}
        }
    }

    /// Returns since when any of the digests differs.
    fn due_since_ms(&self) -> Option<u64> {
        self.differs_since_ms.iter().flatten().min().copied()
    }

    /// Returns when a repair is due; none if nothing differs.
    pub fn due_ms(&self) -> Option<u64> {
        let since_ms = self.due_since_ms()?;
        Some((since_ms + self.answer_timeout_ms + self.jitter_ms).max(self.next_ms))
    }

    /// Returns whether a repair is due.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.due_ms().is_some_and(|due_ms| due_ms <= now_ms)
    }

    /// Takes in that a repair begins.
    pub fn begin(&mut self, now_ms: u64, jitter_ms: u64) {
        let retry_delay_ms = REPAIR_PAUSE_MS << self.repairs.min(MOST_DOUBLINGS);
        self.repairs += 1;
        self.next_ms = now_ms + retry_delay_ms;
        self.jitter_ms = jitter_ms;
    }
}
