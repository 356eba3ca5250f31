//! What each caller of one class uses of one target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::names::CallerName;
use apricotdale_core::policy::Ticket;

use crate::class_queue::Key;

/// `Callers` keeps the work that each caller has waiting or running, and which caller has most.
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

/// `Weight` orders the callers that have requests waiting. Of callers with equal work the one with
/// the newest request is the heaviest, so that the request that came last gives way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Weight {
    work_ms: u64,
    newest: Ticket,
    caller: CallerName,
}

impl Callers {
    /// Notes a request that waits.
    pub(crate) fn wait(&mut self, caller: &CallerName, key: Key, work_ms: u64) {
        self.change(caller, |caller_use| {
            caller_use.work_ms += work_ms;
            caller_use.waiting.insert(key);
        });
        self.work_ms += work_ms;
    }

    /// Notes that a waiting request was started.
    pub(crate) fn start(&mut self, caller: &CallerName, key: Key) {
        self.change(caller, |caller_use| {
            caller_use.waiting.remove(&key);
            caller_use.running += 1;
        });
    }

    /// Notes that a waiting request waits no more.
    pub(crate) fn leave(&mut self, caller: &CallerName, key: Key, work_ms: u64) {
        self.change(caller, |caller_use| {
            caller_use.waiting.remove(&key);
            caller_use.work_ms -= work_ms;
        });
        self.work_ms -= work_ms;
    }

    /// Notes that a running request ended.
    pub(crate) fn end(&mut self, caller: &CallerName, work_ms: u64) {
        self.change(caller, |caller_use| {
            caller_use.running -= 1;
            caller_use.work_ms -= work_ms;
        });
        self.work_ms -= work_ms;
    }

    /// Returns the caller that has most, and the request of it that has to start last.
    pub(crate) fn heaviest(&self) -> Option<(&CallerName, Key)> {
        let heaviest = &self.by_weight.last()?.caller;
        let last = self.by_name.get(heaviest)?.waiting.last()?;
        Some((heaviest, *last))
    }

    /// Returns whether the caller has more than an equal part while others have something too.
    pub(crate) fn is_over_share(&self, caller: &CallerName) -> bool {
        let work_ms = self
            .by_name
            .get(caller)
            .map_or(0, |caller_use| caller_use.work_ms);
        let callers = self.by_name.len() as u64;
        callers > 1 && work_ms.saturating_mul(callers) > self.work_ms
    }

    /// Returns whether one caller has more than another.
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
