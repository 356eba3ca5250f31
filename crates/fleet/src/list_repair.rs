//! What a VM does whose list differs from that of the VM which reads it for all.

/// How long it must differ which upstreams serve before that is taken for more than a message on its
/// way. Beats come each 0.4 s.
const LISTED_DIFFERS_MS: u64 = 500;

/// The same for what engines hold. Orders change it many times a second, so that two VMs seldom know the
/// same at a moment.
const HELD_DIFFERS_MS: u64 = 3_000;

/// The pause after a repair, doubled with each further one that did not help.
const REPAIR_PAUSE_MS: u64 = 2_000;

/// How often the pause is doubled.
const MOST_DOUBLINGS: u32 = 3;

/// `RepairSource` is where a VM reads what it missed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairSource {
    /// The copy that the giver of orders keeps in the store, which is small.
    Copy,
    /// The upstreams' own entries. Only if the copy did not help: it may be old, if whoever wrote it
    /// can't reach the store.
    List,
}

/// `ListRepair` finds that this VM missed what it was told.
///
/// What VMs tell each other may be lost. Without this a VM that missed the entry of a new upstream
/// would not use it until the next full read.
#[derive(Clone, Debug)]
pub struct ListRepair {
    patience_ms: u64,
    sources: &'static [RepairSource],
    differs_since_ms: Option<u64>,
    repairs: u32,
    due_ms: u64,
}

impl ListRepair {
    /// Returns the repair of which upstreams serve.
    pub fn of_listed() -> Self {
        Self::new(LISTED_DIFFERS_MS, &[RepairSource::Copy, RepairSource::List])
    }

    /// Returns the repair of what engines hold. The copy tells all that VMs use of it.
    pub fn of_held() -> Self {
        Self::new(HELD_DIFFERS_MS, &[RepairSource::Copy])
    }

    fn new(patience_ms: u64, sources: &'static [RepairSource]) -> Self {
        Self {
            patience_ms,
            sources,
            differs_since_ms: None,
            repairs: 0,
            due_ms: 0,
        }
    }

    /// Takes in whether this VM's list is the one that was told of. `draw_ms` spreads the repairs of
    /// VMs that missed the same message.
    pub fn heard(&mut self, now_ms: u64, is_same: bool, draw_ms: u64) {
        match (is_same, self.differs_since_ms) {
            (true, _) => *self = Self::new(self.patience_ms, self.sources),
            (false, None) => {
                self.differs_since_ms = Some(now_ms);
                self.due_ms = now_ms + self.patience_ms + draw_ms;
            }
            (false, Some(_)) => {}
        }
    }

    /// Returns when a repair from a source is due; none if nothing is to be read there.
    pub fn due_ms(&self, source: RepairSource) -> Option<u64> {
        let is_due = self.differs_since_ms.is_some() && self.source() == source;
        is_due.then_some(self.due_ms)
    }

    /// Returns where the next repair reads: after one that did not help, from the next source.
    fn source(&self) -> RepairSource {
        self.sources[self.repairs as usize % self.sources.len()]
    }

    /// Takes in that a repair begins.
    pub fn begin(&mut self, now_ms: u64, draw_ms: u64) {
        let pause_ms = REPAIR_PAUSE_MS << self.repairs.min(MOST_DOUBLINGS);
        self.repairs += 1;
        self.due_ms = now_ms + pause_ms + draw_ms;
    }
}
