//! Simulation of one target's queue: seeded arrivals, a policy, and slots that run requests.

#![allow(dead_code)]

pub mod rank_fleet;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_core::names::CallerName;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::ModelName;
use apricotdale_core::policy::AdmissionAction;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Ticket;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;

/// Simulated time after which the simulation must have ended.
const MAX_SIMULATED_MS: u64 = 3_600_000;

pub const MODEL: &str = "planner-lm";

/// Source of requests at a constant mean rate.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    pub class: &'static str,
    pub caller: &'static str,
    pub per_s: f64,
    pub run_ms: u64,
    pub expected_ms: u64,
    pub target_ms: u64,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Request with its real run time.
#[derive(Clone, Debug)]
pub struct Offer {
    pub at_ms: u64,
    pub arrival: Arrival,
    pub run_ms: u64,
}

/// Decision on one request.
#[derive(Clone, Debug)]
pub enum TicketDecision {
    Started(u64),
    Refused(u64, Refusal),
}

/// Counts over some requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub offered: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub refused_after_deadline: u32,
    pub longest_wait_for_refusal_ms: u64,
    pub waits_for_refusal_ms: u64,
    pub waits_to_start_ms: Vec<u64>,
    pub by_reason: BTreeMap<RefusalReason, u32>,
}

/// Result of one simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    pub decisions: BTreeMap<Ticket, TicketDecision>,
    pub max_running: usize,
    pub max_waiting: usize,
}

/// Returns a quick request for the target.
pub fn arrival(ticket: u64, deadline_ms: u64, expected_run_ms: u64) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        target: ModelName::new(MODEL),
        class: ClassName::new("quick"),
        caller: CallerName::new("fyn"),
        deadline_ms,
        expected_run_ms,
    }
}

/// Returns a capacity event for the target.
pub fn capacity(slots: u32, ready_at_ms: Option<u64>) -> AdmissionEvent {
    AdmissionEvent::Capacity {
        target: ModelName::new(MODEL),
        slots,
        ready_at_ms,
    }
}

/// Returns the requests of some sources, with random gaps and run times.
pub fn offers(seed: u64, sources: &[Source]) -> Vec<Offer> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut offers = Vec::new();
    for source in sources {
        let mut at_ms = source.from_ms as f64;
        loop {
            let draw: f64 = random.random_range(f64::EPSILON..1.0);
            at_ms += -draw.ln() * 1_000.0 / source.per_s;
            if at_ms >= source.to_ms as f64 {
                break;
            }
            offers.push(source.offer(at_ms as u64, random.random_range(0.5..1.5)));
        }
    }
    offers.sort_by_key(|offer| offer.at_ms);
    for (ticket, offer) in offers.iter_mut().enumerate() {
        offer.arrival.ticket = Ticket(ticket as u64);
    }
    offers
}

impl Source {
    fn offer(&self, at_ms: u64, run_factor: f64) -> Offer {
        Offer {
            at_ms,
            arrival: Arrival {
                ticket: Ticket(0),
                target: ModelName::new(MODEL),
                class: ClassName::new(self.class),
                caller: CallerName::new(self.caller),
                deadline_ms: at_ms + self.target_ms,
                expected_run_ms: self.expected_ms,
            },
            run_ms: (self.run_ms as f64 * run_factor) as u64,
        }
    }
}

/// Simulation of a policy.
pub struct Simulation<'a> {
    policy: &'a mut dyn AdmissionPolicy,
    run_ms: BTreeMap<Ticket, u64>,
    ends: BinaryHeap<Reverse<(u64, Ticket)>>,
    waiting: usize,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// Simulates all offers to their end. `capacities` are times with a number of slots and the
    /// time at which the first slot is expected.
    pub fn run(
        policy: &'a mut dyn AdmissionPolicy,
        capacities: &[(u64, u32, Option<u64>)],
        offers: &[Offer],
    ) -> Outcome {
        let mut simulation = Self {
            policy,
            run_ms: BTreeMap::new(),
            ends: BinaryHeap::new(),
            waiting: 0,
            outcome: Outcome::default(),
        };
        let mut capacities = capacities.iter().peekable();
        let mut offers = offers.iter().peekable();
        loop {
            let capacity_at = capacities.peek().map(|(at_ms, ..)| *at_ms);
            let offer_at = offers.peek().map(|offer| offer.at_ms);
            let end_at = simulation.ends.peek().map(|Reverse((at_ms, _))| *at_ms);
            let tick_at = simulation.policy.next_tick_ms();
            let times = [capacity_at, end_at, tick_at, offer_at];
            let Some(now_ms) = times.into_iter().flatten().min() else {
                break;
            };
            assert!(now_ms < MAX_SIMULATED_MS, "requests wait without an end");
            if capacity_at == Some(now_ms) {
                let (_, slots, ready_at_ms) = *capacities.next().expect("peeked");
                simulation.handle(now_ms, capacity(slots, ready_at_ms));
            } else if end_at == Some(now_ms) {
                simulation.end_next(now_ms);
            } else if offer_at == Some(now_ms) {
                let offer = offers.next().expect("peeked");
                simulation.run_ms.insert(offer.arrival.ticket, offer.run_ms);
                simulation.waiting += 1;
                simulation.handle(now_ms, AdmissionEvent::Arrived(offer.arrival.clone()));
            } else {
                simulation.handle(now_ms, AdmissionEvent::Tick);
            }
        }
        simulation.outcome
    }

    fn end_next(&mut self, now_ms: u64) {
        let Some(Reverse((_, ticket))) = self.ends.pop() else {
            return;
        };
        let ran_ms = self.run_ms[&ticket];
        self.handle(now_ms, AdmissionEvent::Ended { ticket, ran_ms });
    }

    fn handle(&mut self, now_ms: u64, event: AdmissionEvent) {
        for action in self.policy.handle(now_ms, event) {
            let (ticket, decision) = match action {
                AdmissionAction::Start(ticket) => {
                    self.ends
                        .push(Reverse((now_ms + self.run_ms[&ticket], ticket)));
                    (ticket, TicketDecision::Started(now_ms))
                }
                AdmissionAction::Refuse(ticket, refusal) => {
                    (ticket, TicketDecision::Refused(now_ms, refusal))
                }
            };
            let previous = self.outcome.decisions.insert(ticket, decision);
            assert!(previous.is_none(), "ticket {ticket:?} was decided twice");
            self.waiting -= 1;
        }
        self.outcome.max_running = self.outcome.max_running.max(self.ends.len());
        self.outcome.max_waiting = self.outcome.max_waiting.max(self.waiting);
    }
}

impl Outcome {
    /// Counts over the offers for which `of` holds.
    pub fn counts(&self, offers: &[Offer], of: impl Fn(&Arrival) -> bool) -> Counts {
        let mut counts = Counts::default();
        for offer in offers.iter().filter(|offer| of(&offer.arrival)) {
            let deadline_ms = offer.arrival.deadline_ms;
            counts.offered += 1;
            match &self.decisions[&offer.arrival.ticket] {
                TicketDecision::Started(at_ms) if *at_ms <= deadline_ms => {
                    counts.in_time += 1;
                    counts.waits_to_start_ms.push(at_ms - offer.at_ms);
                }
                TicketDecision::Started(_) => counts.late += 1,
                TicketDecision::Refused(at_ms, refusal) => {
                    counts.refused += 1;
                    counts.refused_after_deadline += u32::from(*at_ms > deadline_ms);
                    let waited_ms = at_ms - offer.at_ms;
                    let longest_ms = &mut counts.longest_wait_for_refusal_ms;
                    *longest_ms = waited_ms.max(*longest_ms);
                    counts.waits_for_refusal_ms += waited_ms;
                    *counts.by_reason.entry(refusal.reason).or_default() += 1;
                }
            }
        }
        counts
    }

    /// Counts over the offers of one class.
    pub fn of_class(&self, offers: &[Offer], class: &str) -> Counts {
        self.counts(offers, |arrival| arrival.class.as_str() == class)
    }

    /// Counts over the offers of one caller.
    pub fn of_caller(&self, offers: &[Offer], caller: &str) -> Counts {
        self.counts(offers, |arrival| arrival.caller.as_str() == caller)
    }
}

impl Outcome {
    /// Returns the number of refusals within a span of time.
    pub fn refused_between(&self, from_ms: u64, to_ms: u64) -> usize {
        let refused = self.decisions.values().filter(|decision| match decision {
            TicketDecision::Refused(at_ms, _) => (from_ms..to_ms).contains(at_ms),
            TicketDecision::Started(_) => false,
        });
        refused.count()
    }
}
