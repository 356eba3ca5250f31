//! Admission policies without forecasts, as baselines for comparison: one queue per target, served
//! in order of arrival or newest first.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use apricotdale_core::names::ModelName;
use apricotdale_core::policy::AdmissionAction;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Ticket;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;

use crate::options::Options;

/// Order in which a queue is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// In order of arrival.
    OldestFirst,
    /// Against the order of arrival.
    NewestFirst,
}

/// Admission policy that starts requests in order of arrival or newest first, and refuses a request
/// only if the queue is full or its deadline has passed. It is a baseline for comparison with
/// [`EarliestDeadline`](crate::EarliestDeadline).
#[derive(Debug)]
pub struct FirstCome {
    options: Options,
    order: Order,
    targets: BTreeMap<ModelName, Target>,
    running: HashMap<Ticket, ModelName>,
    waiting: usize,
}

#[derive(Debug, Default)]
struct Target {
    slots: u32,
    in_progress: u32,
    queue: VecDeque<(Ticket, u64)>,
}

impl FirstCome {
    /// Returns the policy with the given tunables.
    pub fn new(options: Options, order: Order) -> Self {
        Self {
            options,
            order,
            targets: BTreeMap::new(),
            running: HashMap::new(),
            waiting: 0,
        }
    }

    fn arrive(&mut self, arrival: Arrival) -> Option<AdmissionAction> {
        if self.waiting >= self.options.max_waiting {
            let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many requests wait");
            return Some(AdmissionAction::Refuse(arrival.ticket, refusal));
        }
        let target = self.targets.entry(arrival.target).or_default();
        target
            .queue
            .push_back((arrival.ticket, arrival.deadline_ms));
        self.waiting += 1;
        None
    }

    fn end(&mut self, ticket: Ticket) {
        let target = self.running.remove(&ticket);
        if let Some(target) = target.and_then(|name| self.targets.get_mut(&name)) {
            target.in_progress = target.in_progress.saturating_sub(1);
        }
    }

    fn withdraw(&mut self, ticket: Ticket) {
        for target in self.targets.values_mut() {
            target.queue.retain(|(waiting, _)| *waiting != ticket);
        }
        self.waiting = self.targets.values().map(|target| target.queue.len()).sum();
    }

    fn start_and_expire(&mut self, now_ms: u64, actions: &mut Vec<AdmissionAction>) {
        for (name, target) in &mut self.targets {
            target.expire(now_ms, actions);
            while let Some(ticket) = target.start_next(self.order) {
                self.running.insert(ticket, name.clone());
                actions.push(AdmissionAction::Start(ticket));
            }
        }
        self.waiting = self.targets.values().map(|target| target.queue.len()).sum();
    }
}

impl Target {
    fn expire(&mut self, now_ms: u64, actions: &mut Vec<AdmissionAction>) {
        self.queue.retain(|&(ticket, deadline_ms)| {
            let passed = now_ms > deadline_ms;
            if passed {
                let refusal = Refusal::not_run(RefusalReason::DeadlinePassed, "waited too long");
                actions.push(AdmissionAction::Refuse(ticket, refusal));
            }
            !passed
        });
    }

    fn start_next(&mut self, order: Order) -> Option<Ticket> {
        if self.in_progress >= self.slots {
            return None;
        }
        let next = match order {
            Order::OldestFirst => self.queue.pop_front(),
            Order::NewestFirst => self.queue.pop_back(),
        };
        let (ticket, _) = next?;
        self.in_progress += 1;
        Some(ticket)
    }
}

impl AdmissionPolicy for FirstCome {
    fn handle(&mut self, now_ms: u64, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Arrived(arrival) => actions.extend(self.arrive(arrival)),
            AdmissionEvent::Ended { ticket, .. } => self.end(ticket),
            AdmissionEvent::Withdrawn { ticket } => self.withdraw(ticket),
            AdmissionEvent::Capacity { target, slots, .. } => {
                self.targets.entry(target).or_default().slots = slots;
            }
            AdmissionEvent::Tick => {}
        }
        self.start_and_expire(now_ms, &mut actions);
        actions
    }

    fn next_tick_ms(&self) -> Option<u64> {
        let deadlines = self.targets.values().flat_map(|target| &target.queue);
        deadlines.map(|(_, deadline_ms)| deadline_ms + 1).min()
    }
}
