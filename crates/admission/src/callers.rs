//! Work of each caller in one class of one target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::names::CallerName;
use apricotdale_core::policy::Ticket;

use crate::class_queue::Key;

/// Work that each caller has waiting or running, and the caller with the most.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    by_name: BTreeMap<CallerName, CallerUse>,
    by_weight: BTreeSet<Weight>,
    work_ms: u64,
}

#[derive(Debug, Default)]
struct CallerUse {
    work_ms: u64,
    running: u32,
    waiting: BTreeSet<Key>,
}

/// Sort key of the callers that have requests waiting: by their work, and by their newest request
/// among callers with equal work, so that the last arrival is evicted first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Weight {
    work_ms: u64,
    newest: Ticket,
    caller: CallerName,
}

impl Callers {
    /// Records a request that waits.
    pub(crate) fn wait(&mut self, caller: &CallerName, key: Key, work_ms: u64) {
        self.change(caller, |caller_use| {
            caller_use.work_ms += work_ms;
            caller_use.waiting.insert(key);
        });
        self.work_ms += work_ms;
    }

    /// Records that a waiting request was started.
    pub(crate) fn start(&mut self, caller: &CallerName, key: Key) {
        self.change(caller, |caller_use| {
            caller_use.waiting.remove(&key);
            caller_use.running += 1;
        });
    }

    /// Records that a waiting request will not be started.
    pub(crate) fn leave(&mut self, caller: &CallerName, key: Key, work_ms: u64) {
        self.change(caller, |caller_use| {
            caller_use.waiting.remove(&key);
            caller_use.work_ms -= work_ms;
        });
        self.work_ms -= work_ms;
    }

    /// Records that a running request ended.
    pub(crate) fn end(&mut self, caller: &CallerName, work_ms: u64) {
        self.change(caller, |caller_use| {
            caller_use.running -= 1;
            caller_use.work_ms -= work_ms;
        });
        self.work_ms -= work_ms;
    }

    /// Returns the caller with the most work, and its waiting request that must start last.
    pub(crate) fn heaviest(&self) -> Option<(&CallerName, Key)> {
        let heaviest = &self.by_weight.last()?.caller;
        let last = self.by_name.get(heaviest)?.waiting.last()?;
        Some((heaviest, *last))
    }

    /// Returns whether the caller has more than an equal share of the work while other callers have
    /// some.
    pub(crate) fn is_over_share(&self, caller: &CallerName) -> bool {
        let work_ms = self
            .by_name
            .get(caller)
            .map_or(0, |caller_use| caller_use.work_ms);
        let callers = self.by_name.len() as u64;
        callers > 1 && work_ms.saturating_mul(callers) > self.work_ms
    }

    /// Returns whether one caller has more work than another.
    pub(crate) fn is_heavier(&self, caller: &CallerName, other: &CallerName) -> bool {
        let work_ms = |caller| {
            self.by_name
                .get(caller)
                .map_or(0, |used: &CallerUse| used.work_ms)
        };
        work_ms(caller) > work_ms(other)
    }

    fn change(&mut self, caller: &CallerName, change: impl FnOnce(&mut CallerUse)) {
        let mut caller_use = self.by_name.remove(caller).unwrap_or_default();
        if let Some(weight) = caller_use.weight(caller) {
            self.by_weight.remove(&weight);
        }
        change(&mut caller_use);
        if let Some(weight) = caller_use.weight(caller) {
            self.by_weight.insert(weight);
        }
        if caller_use.running > 0 || !caller_use.waiting.is_empty() {
            self.by_name.insert(caller.clone(), caller_use);
        }
    }
}

impl CallerUse {
    fn weight(&self, caller: &CallerName) -> Option<Weight> {
        let newest = self.waiting.last()?.ticket;
        Some(Weight {
            work_ms: self.work_ms,
            newest,
            caller: caller.clone(),
        })
    }
}
