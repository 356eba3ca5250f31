//! Simulation of failed requests: lost engines, retries and timeouts.

use apricotdale_core::policy::RetryDecision;
use apricotdale_core::policy::RetryRequest;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::refusal::RefusalReason;

use crate::world::Event;
use crate::world::RequestState;
use crate::world::World;

/// Time after which an unreachable upstream is noticed.
const CONNECT_TIMEOUT_MS: u64 = 200;

impl World<'_> {
    /// Refuses a request whose answer has not begun by its deadline. Removes it from its engine.
    pub(super) fn time_out(&mut self, ticket: u64) {
        let request = &self.requests[ticket as usize];
        if request.state == RequestState::Done || request.answered_ms.is_some() {
            return;
        }
        let engine = request.engine;
        let was_running = self.engines[engine].running.contains(&ticket);
        let was_queued = self.engines[engine].queue.contains(&ticket);
        if was_running && self.measures.counts(request.at_ms) {
            self.measures
                .record_work(request.begun_ms, self.now_ms, false);
        }
        if request.is_original && self.measures.counts(request.at_ms) {
            self.measures
                .record_refusal(RefusalReason::UpstreamTimeout.as_str());
        }
        if was_running || was_queued {
            self.engines[engine]
                .running
                .retain(|running| *running != ticket);
            self.engines[engine]
                .queue
                .retain(|queued| *queued != ticket);
            let outcome = match self.set.mild_routing {
                true => UpstreamOutcome::Cancelled,
                false => UpstreamOutcome::Lost,
            };
            self.leave_engine(ticket);
            self.learn_outcome(ticket, outcome, None);
        }
        let target = self.requests[ticket as usize].target;
        self.finish_request(ticket);
        self.unload_if_done(engine, target);
        self.announce_freed_slot(engine);
    }

    /// Sends a request again after the retry delay, unless it has timed out.
    pub(super) fn retry(&mut self, ticket: u64) {
        if self.requests[ticket as usize].state != RequestState::Done {
            self.dispatch(ticket);
        }
    }

    /// Handles a request whose engine failed.
    pub(super) fn handle_lost_engine(&mut self, ticket: u64) {
        let request = &self.requests[ticket as usize];
        let has_begun = request.answered_ms.is_some();
        if self.measures.counts(request.at_ms) && request.begun_ms > 0 {
            self.measures
                .record_work(request.begun_ms, self.now_ms, false);
        }
        self.leave_engine(ticket);
        self.learn_outcome(ticket, UpstreamOutcome::Lost, None);
        match has_begun {
            true => self.fail(ticket),
            false => self.retry_or_fail(ticket, false),
        }
    }

    pub(super) fn retry_or_fail(&mut self, ticket: u64, certainly_not_run: bool) {
        let request = &mut self.requests[ticket as usize];
        if request.tries > 0 {
            let tried = self.engines[request.engine].name.clone();
            request.tried.push(tried);
        }
        let retry = RetryRequest {
            group: self.deployment.engines.group.clone(),
            idempotent: self.deployment.classes[request.class].idempotent,
            certainly_not_run,
            answer_begun: false,
            tries: request.tries.max(1),
            left_ms: request.deadline_ms.saturating_sub(self.now_ms),
        };
        match self.policies.retry.decide(self.now_ms, &retry) {
            RetryDecision::RetryAfterMs(pause_ms) => {
                let at_ms = self.now_ms + CONNECT_TIMEOUT_MS + pause_ms;
                self.schedule(at_ms, Event::Retry(ticket));
            }
            _ => self.fail(ticket),
        }
    }

    fn fail(&mut self, ticket: u64) {
        let request = &self.requests[ticket as usize];
        if request.is_original && self.measures.counts(request.at_ms) {
            self.measures.record_failure();
        }
        self.finish_request(ticket);
    }
}
