//! Waiting requests of one class at one target.

use std::collections::BTreeMap;

use apricotdale_core::names::CallerName;
use apricotdale_core::names::ClassName;
use apricotdale_core::policy::Ticket;

use crate::callers::Callers;
use crate::need::Backlog;
use crate::need::Need;
use crate::run_estimate::RunEstimate;

/// Sort key of waiting requests, by their latest start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    /// Latest start that still meets the deadline.
    pub(crate) start_by_ms: u64,
    pub(crate) ticket: Ticket,
}

/// Waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) caller: CallerName,
    pub(crate) arrived_ms: u64,
    /// Run time that its sender expects, or zero if unknown.
    pub(crate) expected_ms: u64,
    /// Estimated run time.
    pub(crate) work_ms: u64,
}

/// Waiting requests of one class, earliest start first, and the measurements of the class.
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

    /// Returns the mean run time of the waiting requests, or of the ended ones if none waits.
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

    /// Returns the request that must start first.
    pub(crate) fn head(&self) -> Option<Key> {
        self.waiting.first_key_value().map(|(key, _)| *key)
    }

    /// Returns the work before the start of the last request, and the time from `at_ms` to that
    /// start.
    pub(crate) fn backlog(&self, at_ms: u64) -> Backlog {
        let Some((key, waiting)) = self.waiting.last_key_value() else {
            return Backlog::default();
        };
        Backlog {
            work_ms: self.work_ms - waiting.work_ms,
            left_ms: key.start_by_ms.saturating_sub(at_ms),
        }
    }

    /// Returns the waiting request with a key.
    pub(crate) fn get(&self, key: &Key) -> Option<&Waiting> {
        self.waiting.get(key)
    }

    /// Adds a waiting request.
    pub(crate) fn push(&mut self, key: Key, waiting: Waiting) {
        self.callers
            .add_waiting(&waiting.caller, key, waiting.work_ms);
        self.work_ms += waiting.work_ms;
        self.waiting.insert(key, waiting);
    }

    /// Removes a request that will not start.
    pub(crate) fn remove(&mut self, key: &Key) -> Option<Waiting> {
        let waiting = self.waiting.remove(key)?;
        self.work_ms -= waiting.work_ms;
        self.callers
            .remove_waiting(&waiting.caller, *key, waiting.work_ms);
        Some(waiting)
    }

    /// Removes the request that must start first, and counts it as running.
    pub(crate) fn start_head(&mut self) -> Option<(Key, Waiting)> {
        let (key, waiting) = self.waiting.pop_first()?;
        self.work_ms -= waiting.work_ms;
        self.callers.record_start(&waiting.caller, key);
        self.running += 1;
        Some((key, waiting))
    }

    /// Records that a running request ended.
    pub(crate) fn end(&mut self, caller: &CallerName, work_ms: u64) {
        self.callers.record_end(caller, work_ms);
        self.running -= 1;
    }
}
