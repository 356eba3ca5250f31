//! Work of each caller in one class of one target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::names::CallerName;
use apricotdale_core::policy::Ticket;

use crate::class_queue::Key;

/// Work that each caller has waiting or running, and the caller with the most.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    by_name: BTreeMap<CallerName, CallerWork>,
    by_load: BTreeSet<CallerLoad>,
    work_ms: u64,
}

#[derive(Debug, Default)]
struct CallerWork {
    work_ms: u64,
    running: u32,
    waiting: BTreeSet<Key>,
}

/// Sort key of the callers that have requests waiting: by their work, and by their newest request
/// among callers with equal work, so that the last arrival is evicted first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallerLoad {
    work_ms: u64,
    newest: Ticket,
    caller: CallerName,
}

impl Callers {
    /// Records a request that waits.
    pub(crate) fn add_waiting(&mut self, caller: &CallerName, key: Key, work_ms: u64) {
        self.update(caller, |caller_work| {
            caller_work.work_ms += work_ms;
            caller_work.waiting.insert(key);
        });
        self.work_ms += work_ms;
    }

    /// Records that a waiting request was started.
    pub(crate) fn record_start(&mut self, caller: &CallerName, key: Key) {
        self.update(caller, |caller_work| {
            caller_work.waiting.remove(&key);
            caller_work.running += 1;
        });
    }

    /// Records that a waiting request will not be started.
    pub(crate) fn remove_waiting(&mut self, caller: &CallerName, key: Key, work_ms: u64) {
        self.update(caller, |caller_work| {
            caller_work.waiting.remove(&key);
            caller_work.work_ms -= work_ms;
        });
        self.work_ms -= work_ms;
    }

    /// Records that a running request ended.
    pub(crate) fn record_end(&mut self, caller: &CallerName, work_ms: u64) {
        self.update(caller, |caller_work| {
            caller_work.running -= 1;
            caller_work.work_ms -= work_ms;
        });
        self.work_ms -= work_ms;
    }

    /// Returns the caller with the most work, and its waiting request that must start last.
    pub(crate) fn most_loaded(&self) -> Option<(&CallerName, Key)> {
        let most_loaded = &self.by_load.last()?.caller;
        let last = self.by_name.get(most_loaded)?.waiting.last()?;
        Some((most_loaded, *last))
    }

    /// Returns whether the caller has more than an equal share of the work while other callers have
    /// some.
    pub(crate) fn is_over_share(&self, caller: &CallerName) -> bool {
        let work_ms = self
            .by_name
            .get(caller)
            .map_or(0, |caller_work| caller_work.work_ms);
        let callers = self.by_name.len() as u64;
        callers > 1 && work_ms.saturating_mul(callers) > self.work_ms
    }

    /// Returns whether one caller has more work than another.
    pub(crate) fn has_more_work(&self, caller: &CallerName, other: &CallerName) -> bool {
        let work_ms = |caller| {
            self.by_name
                .get(caller)
                .map_or(0, |used: &CallerWork| used.work_ms)
        };
        work_ms(caller) > work_ms(other)
    }

    fn update(&mut self, caller: &CallerName, update: impl FnOnce(&mut CallerWork)) {
        let mut caller_work = self.by_name.remove(caller).unwrap_or_default();
        if let Some(load) = caller_work.load(caller) {
            self.by_load.remove(&load);
        }
        update(&mut caller_work);
        if let Some(load) = caller_work.load(caller) {
            self.by_load.insert(load);
        }
        if caller_work.running > 0 || !caller_work.waiting.is_empty() {
            self.by_name.insert(caller.clone(), caller_work);
        }
    }
}

impl CallerWork {
    fn load(&self, caller: &CallerName) -> Option<CallerLoad> {
        let newest = self.waiting.last()?.ticket;
        Some(CallerLoad {
            work_ms: self.work_ms,
            newest,
            caller: caller.clone(),
        })
    }
}
