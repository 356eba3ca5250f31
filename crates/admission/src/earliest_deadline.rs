//! Admission policy by earliest deadline, with a forecast of each request's start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::policy::AdmissionAction;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Ticket;
use apricotdale_core::refusal::Refusal;

use crate::options::Options;
use crate::refusals;
use crate::target::QueueEntry;
use crate::target::Target;

/// Admission policy that starts the request with the earliest deadline first, and refuses requests
/// that a forecast shows to start too late.
///
/// A request waits only as long as the forecast lets it start in time, and is refused as soon as it
/// does not. Each class may fill the slots that are not guaranteed to the other classes by their
/// measured need. If a class has more work than fits, requests of the caller with the most work in
/// it are evicted.
#[derive(Debug)]
pub struct EarliestDeadline {
    options: Options,
    targets: BTreeMap<ModelName, Target>,
    admitted_by_ticket: HashMap<Ticket, Admitted>,
    targets_with_waiting: BTreeSet<ModelName>,
    waiting: usize,
    last_ms: u64,
}

/// Target and queue entry of a request that was admitted.
#[derive(Clone, Debug)]
struct Admitted {
    target: ModelName,
    entry: QueueEntry,
}

impl EarliestDeadline {
    /// Returns the policy with the given tunables.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            targets: BTreeMap::new(),
            admitted_by_ticket: HashMap::new(),
            targets_with_waiting: BTreeSet::new(),
            waiting: 0,
            last_ms: 0,
        }
    }

    fn arrive(&mut self, now_ms: u64, arrival: &Arrival, actions: &mut Vec<AdmissionAction>) {
        // The gateway gives each request its own ticket. With a repeated ticket, one request's end
        // would free the slot of another.
        if self.admitted_by_ticket.contains_key(&arrival.ticket) {
            return;
        }
        if self.admitted_by_ticket.contains_key(&arrival.ticket) {
            return;
        }
        let mut refuse = |refusal| actions.push(AdmissionAction::Refuse(arrival.ticket, refusal));
        let start_by_ms = arrival.deadline_ms.saturating_sub(self.options.begin_ms);
        if start_by_ms < now_ms {
            return refuse(refusals::too_short(now_ms - start_by_ms));
        }
        if self.waiting >= self.options.max_waiting {
            return refuse(refusals::overloaded(self.options.fallback_retry_ms));
        }
        let target = self.targets.entry(arrival.target.clone()).or_default();
        let entry = target.push(now_ms, arrival, &self.options);
        let admitted = Admitted {
            target: arrival.target.clone(),
            entry,
        };
        self.admitted_by_ticket.insert(arrival.ticket, admitted);
        self.waiting += 1;
        self.targets_with_waiting.insert(arrival.target.clone());
        self.dispatch(now_ms, &arrival.target, actions);
        self.check_arrival(now_ms, &arrival.target, entry, actions);
    }

    /// Refuses what does not fit after a request has arrived: the request itself or others.
    fn check_arrival(
        &mut self,
        now_ms: u64,
        name: &ModelName,
        entry: QueueEntry,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let options = self.options;
        let eviction_to_fit = |target: &Target| eviction_to_fit(now_ms, target, entry, &options);
        while let Some((evicted, refusal)) = self.targets.get(name).and_then(eviction_to_fit) {
            self.refuse(name, evicted, refusal, actions);
        }
        self.evict_excess(now_ms, name, actions);
    }

    /// Evicts what a class has waiting beyond its capacity, for instance after that has shrunk.
    fn evict_excess(&mut self, now_ms: u64, name: &ModelName, actions: &mut Vec<AdmissionAction>) {
        let options = self.options;
        let eviction_for_excess = |target: &Target| eviction_for_excess(now_ms, target, &options);
        while let Some((evicted, refusal)) = self.targets.get(name).and_then(eviction_for_excess) {
            self.refuse(name, evicted, refusal, actions);
        }
    }

    /// Refuses the requests that can't be started in time any more.
    fn recheck(&mut self, now_ms: u64, name: &ModelName, actions: &mut Vec<AdmissionAction>) {
        let options = self.options;
        let Some(target) = self.targets.get(name) else {
            return;
        };
        for late in target.late(now_ms, &options) {
            let evicted = QueueEntry {
                class: late.class,
                key: late.key,
            };
            self.refuse(name, evicted, refusals::too_short(late.late_ms), actions);
        }
        self.evict_excess(now_ms, name, actions);
    }

    /// Refuses the requests whose latest start has passed, and then starts those that may start. In
    /// the other order, a request started too late would take a slot for an answer that nobody
    /// waits for.
    fn dispatch(&mut self, now_ms: u64, name: &ModelName, actions: &mut Vec<AdmissionAction>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let expired = target.expire(now_ms);
        let started = target.dispatch(now_ms, &self.options);
        self.waiting -= started.len();
        for ticket in expired {
            self.remove_waiting(&ticket);
            actions.push(AdmissionAction::Refuse(ticket, refusals::passed()));
        }
        actions.extend(started.into_iter().map(AdmissionAction::Start));
        self.update_targets_with_waiting(name);
    }

    fn end(&mut self, ticket: Ticket, ran_ms: u64) -> Option<ModelName> {
        let admitted = self.admitted_by_ticket.remove(&ticket)?;
        let target = self.targets.get_mut(&admitted.target)?;
        target.end(ticket, ran_ms, &self.options);
        Some(admitted.target)
    }

    fn withdraw(&mut self, ticket: Ticket) {
        let Some(admitted) = self.admitted_by_ticket.get(&ticket).cloned() else {
            return;
        };
        let Some(target) = self.targets.get_mut(&admitted.target) else {
            return;
        };
        // A request that was started meanwhile can't be withdrawn; its end is still to come.
        if !target.is_waiting(admitted.entry) {
            return;
        }
        target.remove(admitted.entry);
        self.remove_waiting(&ticket);
        self.update_targets_with_waiting(&admitted.target);
    }

    fn refuse(
        &mut self,
        name: &ModelName,
        evicted: QueueEntry,
        refusal: Refusal,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if let Some(target) = self.targets.get_mut(name) {
            target.remove(evicted);
        }
        self.remove_waiting(&evicted.key.ticket);
        actions.push(AdmissionAction::Refuse(evicted.key.ticket, refusal));
        self.update_targets_with_waiting(name);
    }

    fn remove_waiting(&mut self, ticket: &Ticket) {
        self.admitted_by_ticket.remove(ticket);
        self.waiting -= 1;
    }

    fn update_targets_with_waiting(&mut self, name: &ModelName) {
        let waiting = self.targets.get(name).map_or(0, Target::waiting);
        if waiting == 0 {
            self.targets_with_waiting.remove(name);
        }
    }
}

/// Returns a request that must be refused for the one at `entry` to fit, and its refusal, or `None`
/// if it fits.
fn eviction_to_fit(
    now_ms: u64,
    target: &Target,
    entry: QueueEntry,
    options: &Options,
) -> Option<(QueueEntry, Refusal)> {
    let start_by_ms = entry.key.start_by_ms;
    if !target.is_waiting(entry) {
        return None;
    }
    if target.waiting() > options.max_waiting_per_target {
        return eviction_of_most_loaded(target, target.longest_queue()?, options.fallback_retry_ms);
    }
    if target.is_undecided() {
        let too_short = start_by_ms < now_ms + options.min_undecided_ms;
        return too_short.then(|| (entry, refusals::undecided(options.fallback_retry_ms)));
    }
    let start_ms = target.start_ms_of(now_ms, entry, options);
    let late_ms = start_ms.map_or(0, |start_ms| start_ms.saturating_sub(start_by_ms));
    if late_ms > 0 {
        return Some(
            eviction_before(target, entry, late_ms)
                .unwrap_or((entry, late(target, entry, late_ms))),
        );
    }
    let excess_ms = target.excess_ms(now_ms, entry.class, options.fill, options)?;
    eviction_of_most_loaded(target, entry.class, excess_ms)
}

/// Returns the refusal of a request that the forecast starts too late.
fn late(target: &Target, entry: QueueEntry, late_ms: u64) -> Refusal {
    match target.class(entry.class).len() {
        0 | 1 => refusals::too_short(late_ms),
        _ => refusals::overloaded(late_ms),
    }
}

/// Returns a request that must be evicted because its class has more work waiting than its capacity
/// allows, and its refusal.
fn eviction_for_excess(
    now_ms: u64,
    target: &Target,
    options: &Options,
) -> Option<(QueueEntry, Refusal)> {
    let (class, excess_ms) = target.excess_class(now_ms, options)?;
    eviction_of_most_loaded(target, class, excess_ms)
}

/// Returns the last request of the caller with the most work in a class, and its refusal.
fn eviction_of_most_loaded(
    target: &Target,
    class: usize,
    excess_ms: u64,
) -> Option<(QueueEntry, Refusal)> {
    let callers = &target.class(class).callers;
    let (caller, key) = callers.most_loaded()?;
    let refusal = match callers.is_over_share(caller) {
        true => refusals::over_share(excess_ms),
        false => refusals::overloaded(excess_ms),
    };
    Some((QueueEntry { class, key }, refusal))
}

/// Returns a request before the one at `entry` whose caller has more work, and its refusal.
fn eviction_before(
    target: &Target,
    entry: QueueEntry,
    late_ms: u64,
) -> Option<(QueueEntry, Refusal)> {
    let queue = target.class(entry.class);
    let own = &queue.get(&entry.key)?.caller;
    let (caller, key) = queue.callers.most_loaded()?;
    let ahead = key < entry.key && queue.callers.has_more_work(caller, own);
    let evicted = QueueEntry {
        class: entry.class,
        key,
    };
    ahead.then(|| (evicted, refusals::over_share(late_ms)))
}

impl AdmissionPolicy for EarliestDeadline {
    fn handle(&mut self, now_ms: u64, event: AdmissionEvent) -> Vec<AdmissionAction> {
        self.last_ms = now_ms;
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Arrived(arrival) => self.arrive(now_ms, &arrival, &mut actions),
            AdmissionEvent::Ended { ticket, ran_ms } => {
                if let Some(name) = self.end(ticket, ran_ms) {
                    self.dispatch(now_ms, &name, &mut actions);
                }
            }
            AdmissionEvent::Withdrawn { ticket } => self.withdraw(ticket),
            AdmissionEvent::Capacity {
                target,
                slots,
                ready_at_ms,
            } => {
                let known = self.targets.entry(target.clone()).or_default();
                known.set_capacity(slots, ready_at_ms);
                self.dispatch(now_ms, &target, &mut actions);
                self.recheck(now_ms, &target, &mut actions);
            }
            AdmissionEvent::Tick => {
                for name in self.targets_with_waiting.clone() {
                    self.dispatch(now_ms, &name, &mut actions);
                    self.recheck(now_ms, &name, &mut actions);
                }
            }
        }
        actions
    }

    fn next_tick_ms(&self) -> Option<u64> {
        let targets = self
            .targets_with_waiting
            .iter()
            .filter_map(|name| self.targets.get(name));
        let first_ms = targets.filter_map(Target::first_start_by_ms).min()?;
        Some((first_ms + 1).min(self.last_ms + self.options.tick_ms))
    }
}
