//! Minimal policies, under which the gateway's own behaviour shows.

use std::collections::HashMap;
use std::collections::VecDeque;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::policy::AdmissionAction;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RetryRequest;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_core::policy::Ticket;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;

/// Caller that [`CapacityAdmission`] refuses.
pub const REFUSED_CALLER: &str = "greedy";

/// Chooses the first candidate that was not tried, or else the first.
pub struct FirstUntried;

impl RoutingPolicy for FirstUntried {
    fn learn(&mut self, _now_ms: u64, _event: RoutingEvent) {}

    fn choose(
        &mut self,
        _now_ms: u64,
        request: &RouteRequest,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let untried = |candidate: &Candidate| !request.tried.contains(&candidate.upstream);
        let first = candidates.first().map(|_| 0);
        candidates.iter().position(untried).or(first)
    }
}

/// Retries at once, up to a number of attempts, whatever may be retried.
pub struct LimitedRetries {
    pub max_attempts: u32,
}

impl RetryPolicy for LimitedRetries {
    fn record_first_attempt(&mut self, _now_ms: u64, _group: &GroupName) {}

    fn decide(&mut self, _now_ms: u64, request: &RetryRequest) -> RetryDecision {
        match request {
            _ if request.answer_begun => RetryDecision::AnswerBegun,
            _ if !request.idempotent && !request.certainly_not_run => RetryDecision::MayHaveRun,
            _ if request.tries >= self.max_attempts => RetryDecision::TooManyTries,
            _ if request.left_ms == 0 => RetryDecision::NoTimeLeft,
            _ => RetryDecision::RetryAfterMs(0),
        }
    }
}

/// Retries everything, even an answer that the caller has received in part.
pub struct AlwaysRetry;

impl RetryPolicy for AlwaysRetry {
    fn record_first_attempt(&mut self, _now_ms: u64, _group: &GroupName) {}

    fn decide(&mut self, _now_ms: u64, _request: &RetryRequest) -> RetryDecision {
        RetryDecision::RetryAfterMs(0)
    }
}

/// Starts requests in order of arrival while slots are free, and refuses one caller.
#[derive(Default)]
pub struct CapacityAdmission {
    slots: HashMap<ModelName, u32>,
    running: HashMap<Ticket, ModelName>,
    waiting: VecDeque<Arrival>,
}

impl CapacityAdmission {
    fn start(&mut self) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        let mut still_waiting = VecDeque::new();
        for arrival in std::mem::take(&mut self.waiting) {
            let used = self.running.values();
            let used = used.filter(|target| **target == arrival.target).count();
            let slots = self.slots.get(&arrival.target).copied().unwrap_or(0);
            if used < slots as usize {
                self.running.insert(arrival.ticket, arrival.target.clone());
                actions.push(AdmissionAction::Start(arrival.ticket));
            } else {
                still_waiting.push_back(arrival);
            }
        }
        self.waiting = still_waiting;
        actions
    }
}

impl AdmissionPolicy for CapacityAdmission {
    fn handle(&mut self, _now_ms: u64, event: AdmissionEvent) -> Vec<AdmissionAction> {
        match event {
            AdmissionEvent::Arrived(arrival) if arrival.caller.as_str() == REFUSED_CALLER => {
                let refusal = Refusal::not_run(RefusalReason::CallerOverShare, "others wait");
                let refusal = refusal.retry_after(2_300);
                return vec![AdmissionAction::Refuse(arrival.ticket, refusal)];
            }
            AdmissionEvent::Arrived(arrival) => self.waiting.push_back(arrival),
            AdmissionEvent::Ended { ticket, .. } => {
                self.running.remove(&ticket).expect("a running request");
            }
            AdmissionEvent::Withdrawn { ticket } => {
                self.waiting.retain(|arrival| arrival.ticket != ticket);
            }
            AdmissionEvent::Capacity { target, slots, .. } => {
                self.slots.insert(target, slots);
            }
            AdmissionEvent::Tick => {}
        }
        self.start()
    }

    fn next_tick_ms(&self) -> Option<u64> {
        None
    }
}
