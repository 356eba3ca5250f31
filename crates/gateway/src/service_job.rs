//! A call to a plain service, as run on a worker thread: claim, attempts, record of the outcome.
//!
//! The job outlives a caller that hangs up or times out. Once a call under an idempotency key has
//! been sent, its outcome must still be recorded, so that the caller finds it under the same key.

use std::sync::Arc;
use std::time::Duration;

use apricotdale_core::claims::KeptAnswer;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::errors::Error;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RetryRequest;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::service::ServiceAnswer;
use apricotdale_core::service::ServiceCall;
use apricotdale_core::serving::ClaimDecision;
use apricotdale_core::serving::ClaimRequest;
use crossbeam_channel::Sender;

use crate::admission;
use crate::admission::Admitted;
use crate::crashes::CrashKey;
use crate::in_progress::InProgressGuard;
use crate::send_gate::SendGate;
use crate::shared::Shared;
use crate::trace::Step;
use crate::trace::TraceLog;

/// Time by which the adapter's timeout exceeds the gateway's.
const ADAPTER_TIMEOUT_MARGIN_MS: u64 = 500;

/// Whether a call may run repeatedly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Idempotency {
    /// The call may run any number of times.
    Idempotent,
    /// The call runs at most once over all VMs and all its duplicates under the key.
    Keyed {
        /// Key, qualified by service and caller.
        key: IdempotencyKey,
        /// Hash of the call, by which a key reused for another call is detected.
        call_hash: u64,
    },
    /// The call is not sent again after an attempt that may have run.
    NotIdempotent,
}

/// How a job ended.
pub(crate) enum JobEnd {
    /// Answer of the service to this call.
    Answered(ServiceAnswer),
    /// Kept answer to an earlier call under the same key.
    Replayed(ServiceAnswer),
    /// The call was refused.
    Refused(Refusal),
}

/// Claims one call, sends it and records its outcome.
pub(crate) struct ServiceJob {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: ServiceCall,
    pub(crate) spec: ServiceSpec,
    /// Fingerprint by which a crashing call is recognized.
    pub(crate) crash_key: CrashKey,
    pub(crate) idempotency: Idempotency,
    pub(crate) deadline_ms: u64,
    pub(crate) send_gate: Arc<SendGate>,
    pub(crate) trace: Arc<TraceLog>,
    pub(crate) admitted: Admitted,
    pub(crate) in_progress: InProgressGuard,
    pub(crate) end: Sender<JobEnd>,
}

/// Failure of one attempt.
struct CallFailure {
    reason: RefusalReason,
    ran: Ran,
    outcome: UpstreamOutcome,
    detail: String,
    /// Answer of the service, if it gave one. It is delivered if the call is not retried.
    answer: Option<ServiceAnswer>,
}

impl ServiceJob {
    /// Runs the job and sends its end to the caller's thread.
    pub(crate) fn run(mut self) {
        let end = match self.idempotency.clone() {
            Idempotency::Keyed { key, call_hash } => self.run_claimed(key, call_hash),
            Idempotency::Idempotent | Idempotency::NotIdempotent => self.run_attempts(),
        };
        if matches!(end, JobEnd::Answered(_)) {
            self.admitted.mark_answered();
        }
        let Self {
            admitted,
            in_progress,
            end: sender,
            ..
        } = self;
        // The slot is released before the caller gets its answer: its next request may need the
        // slot.
        drop(admitted);
        let _ = sender.send(end);
        drop(in_progress);
    }

    fn run_claimed(&mut self, key: IdempotencyKey, call_hash: u64) -> JobEnd {
        let claim_request = ClaimRequest {
            key: key.clone(),
            call_hash,
            request: self.call.id.clone(),
            deadline_ms: self.deadline_ms,
        };
        match self.shared.claims.claim(&claim_request) {
            ClaimDecision::Run => {}
            ClaimDecision::Answer(kept) => {
                return JobEnd::Replayed(ServiceAnswer {
                    status: kept.status,
                    content_type: kept.content_type,
                    body: kept.body,
                });
            }
            ClaimDecision::Refuse(refusal) => return JobEnd::Refused(refusal),
        }
        let end = self.run_attempts();
        let kept = match &end {
            JobEnd::Answered(answer) => self.kept_answer(answer),
            JobEnd::Replayed(_) | JobEnd::Refused(_) => None,
        };
        let ran = self.send_gate.ran();
        self.shared.claims.finish(&key, &self.call.id, ran, kept);
        end
    }

    fn kept_answer(&self, answer: &ServiceAnswer) -> Option<KeptAnswer> {
        let fits = answer.body.len() <= self.shared.options.max_kept_answer_bytes;
        fits.then(|| KeptAnswer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.clone(),
        })
    }

    fn run_attempts(&mut self) -> JobEnd {
        let mut tried: Vec<UpstreamName> = Vec::new();
        let mut attempts = 0;
        loop {
            let candidates = self.shared.directory.instances(&self.spec.service);
            let request = RouteRequest {
                prefix_hash: None,
                tried: tried.clone(),
            };
            let chosen = self.shared.choose(&request, &candidates, &self.trace);
            attempts += 1;
            if attempts == 1 {
                self.shared.record_first_attempt(&self.spec.service);
            }
            let failure = match &chosen {
                None => CallFailure::no_instance(),
                Some(_) if !self.send_gate.begin_send() => return self.given_up_end(),
                Some(candidate) => match self.attempt_at(candidate) {
                    Ok(answer) => return JobEnd::Answered(answer),
                    Err(failure) => failure,
                },
            };
            self.record_failure(&chosen, &failure);
            let Some(pause) = self.decide_retry(attempts, &failure) else {
                return self.failure_end(failure);
            };
            if !self.send_gate.wait_unless_given_up(pause) {
                return self.given_up_end();
            }
            tried.extend(chosen.map(|candidate| candidate.upstream));
        }
    }

    /// Makes one attempt at a service instance.
    fn attempt_at(&mut self, candidate: &Candidate) -> Result<ServiceAnswer, CallFailure> {
        let sent_ms = self.shared.now_ms();
        self.shared.learn_routing(RoutingEvent::Sent {
            upstream: candidate.upstream.clone(),
            prefix_hash: None,
        });
        let left = self.shared.time_left(self.deadline_ms);
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        self.call.timeout_ms = left_ms.saturating_add(ADAPTER_TIMEOUT_MARGIN_MS);
        let result = self
            .shared
            .service
            .call(candidate.address, &self.call)
            .map_err(CallFailure::from_error)
            .and_then(|answer| self.check_answer(answer));
        let (ran, outcome) = match &result {
            Ok(_) => (Ran::Ran, UpstreamOutcome::Answered),
            Err(failure) => (failure.ran, failure.outcome),
        };
        self.record_attempt(candidate, &result);
        self.send_gate.record_outcome(ran);
        let took_ms = self.shared.now_ms().saturating_sub(sent_ms);
        self.shared.learn_routing(RoutingEvent::Ended {
            upstream: candidate.upstream.clone(),
            outcome,
            first_byte_ms: result.is_ok().then_some(took_ms),
        });
        result
    }

    /// Treats a gateway error (502 to 504) of an instance as a failure, if the call may run again
    /// at another instance. Any other call keeps that answer, because the status alone doesn't show
    /// that the call had no effect.
    fn check_answer(&self, answer: ServiceAnswer) -> Result<ServiceAnswer, CallFailure> {
        match (&self.idempotency, answer.status) {
            (Idempotency::Idempotent, 502..=504) => Err(CallFailure {
                reason: RefusalReason::UpstreamBadAnswer,
                ran: Ran::Unknown,
                outcome: UpstreamOutcome::Refused,
                detail: format!("the service answered {}", answer.status),
                answer: Some(answer),
            }),
            _ => Ok(answer),
        }
    }

    fn decide_retry(&self, attempts: u32, failure: &CallFailure) -> Option<Duration> {
        if failure.ran != Ran::NotRun && !self.shared.crashes.may_retry(&self.crash_key) {
            return None;
        }
        let left = self.shared.time_left(self.deadline_ms);
        let request = RetryRequest {
            group: self.spec.service.clone(),
            idempotent: self.idempotency == Idempotency::Idempotent,
            certainly_not_run: failure.ran == Ran::NotRun,
            answer_begun: false,
            tries: attempts,
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        self.shared.decide_retry(&request, failure.ran, &self.trace)
    }

    /// Records the attempt with the crash guard. Duplicates under an idempotency key are limited to
    /// one run in any case.
    fn record_attempt(&self, candidate: &Candidate, result: &Result<ServiceAnswer, CallFailure>) {
        let (outcome, connection_lost) = match result {
            Ok(_) => (UpstreamOutcome::Answered, false),
            Err(failure) => {
                let connection_lost = failure.reason == RefusalReason::UpstreamLost;
                (failure.outcome, connection_lost)
            }
        };
        self.shared.crashes.record_attempt(
            self.shared.now_ms(),
            &candidate.upstream,
            &self.crash_key,
            outcome,
            connection_lost,
        );
    }

    fn record_failure(&self, chosen: &Option<Candidate>, failure: &CallFailure) {
        let step = Step::TryFailed {
            upstream: chosen.as_ref().map(|known| known.upstream.to_string()),
            reason: failure.reason.as_str().to_owned(),
            ran: failure.ran.as_str().to_owned(),
            detail: failure.detail.clone(),
        };
        self.trace.record(self.shared.now_ms(), step);
    }

    fn failure_end(&self, failure: CallFailure) -> JobEnd {
        if let Some(answer) = failure.answer {
            return JobEnd::Answered(answer);
        }
        let mut refusal = Refusal::not_run(failure.reason, failure.detail);
        refusal.ran = self.send_gate.ran();
        JobEnd::Refused(refusal)
    }

    /// Returns the end of a call that was given up. The caller's thread has already refused the
    /// call and does not read this end.
    fn given_up_end(&self) -> JobEnd {
        JobEnd::Refused(admission::caller_gone())
    }
}

impl CallFailure {
    fn no_instance() -> Self {
        Self {
            reason: RefusalReason::UpstreamUnavailable,
            ran: Ran::NotRun,
            outcome: UpstreamOutcome::Unreachable,
            detail: "no instance of the service can be used now".to_owned(),
            answer: None,
        }
    }

    fn from_error(error: Error) -> Self {
        let (reason, outcome) = match &error {
            Error::Unavailable(_) | Error::Expired { .. } => (
                RefusalReason::UpstreamUnavailable,
                UpstreamOutcome::Unreachable,
            ),
            Error::Rejected(_) | Error::StaleFence { .. } => {
                (RefusalReason::UpstreamRefused, UpstreamOutcome::Refused)
            }
            Error::Unknown(_) => (RefusalReason::UpstreamLost, UpstreamOutcome::Lost),
            Error::Malformed(_) => (RefusalReason::UpstreamBadAnswer, UpstreamOutcome::Lost),
        };
        Self {
            reason,
            ran: error.ran(),
            outcome,
            detail: error.to_string(),
            answer: None,
        }
    }
}
