//! The requests of one class that wait for one target.

use std::collections::BTreeMap;

use apricotdale_core::names::CallerName;
use apricotdale_core::names::ClassName;
use apricotdale_core::policy::Ticket;

use crate::callers::Callers;
use crate::need::Backlog;
use crate::need::Need;
use crate::run_estimate::RunEstimate;

/// `Key` orders waiting requests by when they have to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    /// The latest start that still meets the deadline.
    pub(crate) start_by_ms: u64,
    /// The request.
    pub(crate) ticket: Ticket,
}

/// `Waiting` is one request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// Its caller.
    pub(crate) caller: CallerName,
    /// When it arrived.
    pub(crate) arrived_ms: u64,
    /// How long it was expected to run by its sender.
    pub(crate) expected_ms: u64,
    /// How long it will probably run.
    pub(crate) work_ms: u64,
}

/// `ClassQueue` holds the waiting requests of one class, earliest start first, with what is known
/// of the class.
#[derive(Debug)]
pub(crate) struct ClassQueue {
    pub(crate) class: ClassName,
    pub(crate) callers: Callers,
    pub(crate) need: Need,
    pub(crate) run: RunEstimate,
    pub(crate) running: u32,
    waiting: BTreeMap<Key, Waiting>,
    work_ms: u64,
}

impl ClassQueue {
    /// Returns an empty queue.
    pub(crate) fn new(class: ClassName) -> Self {
        Self {
            class,
            callers: Callers::default(),
            need: Need::default(),
            run: RunEstimate::default(),
            running: 0,
            waiting: BTreeMap::new(),
            work_ms: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how long a request of the class usually runs: the mean of those that wait, or of
    /// those that ran if none waits.
    pub(crate) fn typical_run_ms(&self) -> u64 {
        match self.waiting.len() as u64 {
            0 => self.run.mean_ms(),
            waiting => self.work_ms / waiting,
        }
    }

    /// Returns the waiting requests, earliest start first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Key, &Waiting)> {
        self.waiting.iter()
    }

    /// Returns the request that has to start first.
    pub(crate) fn head(&self) -> Option<Key> {
        self.waiting.first_key_value().map(|(key, _)| *key)
    }

    /// Returns what has to be done before the last request starts, seen from a moment.
    pub(crate) fn backlog(&self, at_ms: u64) -> Backlog {
        let Some((key, waiting)) = self.waiting.last_key_value() else {
            return Backlog::default();
        };
        Backlog {
            work_ms: self.work_ms - waiting.work_ms,
            left_ms: key.start_by_ms.saturating_sub(at_ms),
        }
    }

    /// Returns one waiting request.
    pub(crate) fn get(&self, key: &Key) -> Option<&Waiting> {
        self.waiting.get(key)
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, key: Key, waiting: Waiting) {
        self.callers.wait(&waiting.caller, key, waiting.work_ms);
        self.work_ms += waiting.work_ms;
        self.waiting.insert(key, waiting);
    }

    /// Takes a request out that will not start.
    pub(crate) fn remove(&mut self, key: &Key) -> Option<Waiting> {
        let waiting = self.waiting.remove(key)?;
        self.work_ms -= waiting.work_ms;
        self.callers.leave(&waiting.caller, *key, waiting.work_ms);
        Some(waiting)
    }

    /// Takes the request out that has to start first, and counts it as running.
    pub(crate) fn start_head(&mut self) -> Option<(Key, Waiting)> {
        let (key, waiting) = self.waiting.pop_first()?;
        self.work_ms -= waiting.work_ms;
        self.callers.start(&waiting.caller, key);
        self.running += 1;
        Some((key, waiting))
    }

    /// Notes that a running request ended.
    pub(crate) fn end(&mut self, caller: &CallerName, work_ms: u64) {
        self.callers.end(caller, work_ms);
        self.running -= 1;
    }
}
