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
use crate::target::Place;
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
    tickets: HashMap<Ticket, Held>,
    waited_for: BTreeSet<ModelName>,
    waiting: usize,
    last_ms: u64,
}

/// Target and queue entry of a request that was admitted.
#[derive(Clone, Debug)]
struct Held {
    target: ModelName,
    place: Place,
}

impl EarliestDeadline {
    /// Returns the policy with the given tunables.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            targets: BTreeMap::new(),
            tickets: HashMap::new(),
            waited_for: BTreeSet::new(),
            waiting: 0,
            last_ms: 0,
        }
    }

    fn arrive(&mut self, now_ms: u64, arrival: &Arrival, actions: &mut Vec<AdmissionAction>) {
        // The gateway gives each request its own ticket. With a repeated ticket, one request's end
        // would free the slot of another.
        if self.tickets.contains_key(&arrival.ticket) {
            return;
        }
        if self.tickets.contains_key(&arrival.ticket) {
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
        let place = target.push(now_ms, arrival, &self.options);
        let held = Held {
            target: arrival.target.clone(),
            place,
        };
        self.tickets.insert(arrival.ticket, held);
        self.waiting += 1;
        self.waited_for.insert(arrival.target.clone());
        self.dispatch(now_ms, &arrival.target, actions);
        self.check_arrival(now_ms, &arrival.target, place, actions);
    }

    /// Refuses what does not fit after a request has arrived: the request itself or others.
    fn check_arrival(
        &mut self,
        now_ms: u64,
        name: &ModelName,
        place: Place,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let options = self.options;
        let unfit = |target: &Target| unfit(now_ms, target, place, &options);
        while let Some((victim, refusal)) = self.targets.get(name).and_then(unfit) {
            self.refuse(name, victim, refusal, actions);
        }
        self.trim(now_ms, name, actions);
    }

    /// Evicts what a class has waiting beyond its capacity, for instance after that has shrunk.
    fn trim(&mut self, now_ms: u64, name: &ModelName, actions: &mut Vec<AdmissionAction>) {
        let options = self.options;
        let overfull = |target: &Target| overfull(now_ms, target, &options);
        while let Some((victim, refusal)) = self.targets.get(name).and_then(overfull) {
            self.refuse(name, victim, refusal, actions);
        }
    }

    /// Refuses the requests that can't be started in time any more.
    fn recheck(&mut self, now_ms: u64, name: &ModelName, actions: &mut Vec<AdmissionAction>) {
        let options = self.options;
        let Some(target) = self.targets.get(name) else {
            return;
        };
        for late in target.late(now_ms, &options) {
            let victim = Place {
                class: late.class,
                key: late.key,
            };
            self.refuse(name, victim, refusals::too_short(late.late_ms), actions);
        }
        self.trim(now_ms, name, actions);
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
            self.forget_waiting(&ticket);
            actions.push(AdmissionAction::Refuse(ticket, refusals::passed()));
        }
        actions.extend(started.into_iter().map(AdmissionAction::Start));
        self.note_waiting(name);
    }

    fn end(&mut self, ticket: Ticket, ran_ms: u64) -> Option<ModelName> {
        let held = self.tickets.remove(&ticket)?;
        let target = self.targets.get_mut(&held.target)?;
        target.end(ticket, ran_ms, &self.options);
        Some(held.target)
    }

    fn withdraw(&mut self, ticket: Ticket) {
        let Some(held) = self.tickets.get(&ticket).cloned() else {
            return;
        };
        let Some(target) = self.targets.get_mut(&held.target) else {
            return;
        };
        // A request that was started meanwhile can't be withdrawn; its end is still to come.
        if !target.is_waiting(held.place) {
            return;
        }
        target.remove(held.place);
        self.forget_waiting(&ticket);
        self.note_waiting(&held.target);
    }

    fn refuse(
        &mut self,
        name: &ModelName,
        victim: Place,
        refusal: Refusal,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if let Some(target) = self.targets.get_mut(name) {
            target.remove(victim);
        }
        self.forget_waiting(&victim.key.ticket);
        actions.push(AdmissionAction::Refuse(victim.key.ticket, refusal));
        self.note_waiting(name);
    }

    fn forget_waiting(&mut self, ticket: &Ticket) {
        self.tickets.remove(ticket);
        self.waiting -= 1;
    }

    fn note_waiting(&mut self, name: &ModelName) {
        let waiting = self.targets.get(name).map_or(0, Target::waiting);
        if waiting == 0 {
            self.waited_for.remove(name);
        }
    }
}

/// Returns a request that must be refused for the one at `place` to fit, and its refusal, or `None`
/// if it fits.
fn unfit(
    now_ms: u64,
    target: &Target,
    place: Place,
    options: &Options,
) -> Option<(Place, Refusal)> {
    let start_by_ms = place.key.start_by_ms;
    if !target.is_waiting(place) {
        return None;
    }
    if target.waiting() > options.max_waiting_per_target {
        return heaviest(target, target.longest_queue()?, options.fallback_retry_ms);
    }
    if target.is_undecided() {
        let too_short = start_by_ms < now_ms + options.min_undecided_ms;
        return too_short.then(|| (place, refusals::undecided(options.fallback_retry_ms)));
    }
    let start_ms = target.start_of(now_ms, place, options);
    let late_ms = start_ms.map_or(0, |start_ms| start_ms.saturating_sub(start_by_ms));
    if late_ms > 0 {
        return Some(
            ahead_of(target, place, late_ms).unwrap_or((place, late(target, place, late_ms))),
        );
    }
    let excess_ms = target.excess_ms(now_ms, place.class, options.fill, options)?;
    heaviest(target, place.class, excess_ms)
}

/// Returns the refusal of a request that the forecast starts too late.
fn late(target: &Target, place: Place, late_ms: u64) -> Refusal {
    match target.class(place.class).len() {
        0 | 1 => refusals::too_short(late_ms),
        _ => refusals::overloaded(late_ms),
    }
}

/// Returns a request that must be evicted because its class has more work waiting than its capacity
/// allows, and its refusal.
fn overfull(now_ms: u64, target: &Target, options: &Options) -> Option<(Place, Refusal)> {
    let (class, excess_ms) = target.overfull(now_ms, options)?;
    heaviest(target, class, excess_ms)
}

/// Returns the last request of the caller with the most work in a class, and its refusal.
fn heaviest(target: &Target, class: usize, excess_ms: u64) -> Option<(Place, Refusal)> {
    let callers = &target.class(class).callers;
    let (caller, key) = callers.heaviest()?;
    let refusal = match callers.is_over_share(caller) {
        true => refusals::over_share(excess_ms),
        false => refusals::overloaded(excess_ms),
    };
    Some((Place { class, key }, refusal))
}

/// Returns a request before the one at `place` whose caller has more work, and its refusal.
fn ahead_of(target: &Target, place: Place, late_ms: u64) -> Option<(Place, Refusal)> {
    let queue = target.class(place.class);
    let own = &queue.get(&place.key)?.caller;
    let (caller, key) = queue.callers.heaviest()?;
    let ahead = key < place.key && queue.callers.is_heavier(caller, own);
    let victim = Place {
        class: place.class,
        key,
    };
    ahead.then(|| (victim, refusals::over_share(late_ms)))
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
                for name in self.waited_for.clone() {
                    self.dispatch(now_ms, &name, &mut actions);
                    self.recheck(now_ms, &name, &mut actions);
                }
            }
        }
        actions
    }

    fn next_tick_ms(&self) -> Option<u64> {
        let targets = self
            .waited_for
            .iter()
            .filter_map(|name| self.targets.get(name));
        let first_ms = targets.filter_map(Target::first_start_by_ms).min()?;
        Some((first_ms + 1).min(self.last_ms + self.options.tick_ms))
    }
}
