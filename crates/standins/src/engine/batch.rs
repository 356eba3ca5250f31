//! Which sequences generate and which wait.

use std::collections::BTreeSet;
use std::fmt;

/// `SequenceId` names one sequence within one engine process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceId(u64);

impl fmt::Display for SequenceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// `Entry` is what becomes of a sequence that enters the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It generates.
    Running(SequenceId),
    /// It waits for a slot.
    Waiting(SequenceId),
    /// It is refused, since as many wait as may.
    Full,
}

/// `Batch` holds the sequences that generate and those that wait, which follow by priority, lower
/// numbers first, and then by arrival.
#[derive(Clone, Debug)]
pub struct Batch {
    slots: usize,
    queue: usize,
    next_id: u64,
    running: BTreeSet<SequenceId>,
    waiting: BTreeSet<(u32, SequenceId)>,
}

impl Batch {
    /// Returns an empty batch with so many slots and so many places to wait.
    pub fn new(slots: usize, queue: usize) -> Self {
        Self {
            slots,
            queue,
            next_id: 0,
            running: BTreeSet::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Takes in a sequence.
    pub fn enter(&mut self, priority: u32) -> Entry {
        let id = SequenceId(self.next_id);
        if self.running.len() < self.slots {
            self.next_id += 1;
            self.running.insert(id);
            return Entry::Running(id);
        }
        if self.waiting.len() >= self.queue {
            return Entry::Full;
        }
        self.next_id += 1;
        self.waiting.insert((priority, id));
        Entry::Waiting(id)
    }

    /// Takes out a sequence and returns the one that now gets its slot, if one does.
    pub fn leave(&mut self, id: SequenceId) -> Option<SequenceId> {
        self.waiting.retain(|(_, waiting)| *waiting != id);
        if !self.running.remove(&id) {
            return None;
        }
        let (_, next) = self.waiting.pop_first()?;
        self.running.insert(next);
        Some(next)
    }

    /// Takes out all sequences. Their numbers are not used again.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
    }

    /// Returns the number of sequences that generate.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of sequences that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
