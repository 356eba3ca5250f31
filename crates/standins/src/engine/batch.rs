//! Batch of an engine: the sequences that generate and those that wait.

use std::collections::BTreeSet;
use std::fmt;

/// Identity of one sequence within one engine process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceId(u64);

impl fmt::Display for SequenceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Outcome of adding a sequence to the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The sequence has a slot and generates.
    Running(SequenceId),
    /// The sequence waits for a slot.
    Waiting(SequenceId),
    /// The sequence is refused, since the queue is full.
    Full,
}

/// Sequences that generate and a queue of those that wait for a slot, ordered by priority, lower
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
    /// Returns an empty batch with `slots` slots and a queue for `queue` sequences.
    pub fn new(slots: usize, queue: usize) -> Self {
        Self {
            slots,
            queue,
            next_id: 0,
            running: BTreeSet::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Adds a sequence, which generates if a slot is free and waits otherwise.
    pub fn enter(&mut self, priority: u32) -> Admission {
        let id = SequenceId(self.next_id);
        if self.running.len() < self.slots {
            self.next_id += 1;
            self.running.insert(id);
            return Admission::Running(id);
        }
        if self.waiting.len() >= self.queue {
            return Admission::Full;
        }
        self.next_id += 1;
        self.waiting.insert((priority, id));
        Admission::Waiting(id)
    }

    /// Removes a sequence and returns the one that now gets its slot, if any.
    pub fn leave(&mut self, id: SequenceId) -> Option<SequenceId> {
        self.waiting.retain(|(_, waiting)| *waiting != id);
        if !self.running.remove(&id) {
            return None;
        }
        let (_, next) = self.waiting.pop_first()?;
        self.running.insert(next);
        Some(next)
    }

    /// Removes all sequences. Their numbers are not reused.
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
