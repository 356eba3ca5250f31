//! A call to a model from body to answer: admission, attempts, retries and waits for a load.

use std::sync::Arc;
use std::time::Duration;

use apricotdale_core::config::ModelSpec;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RetryRequest;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::DemandEvent;

use crate::admission;
use crate::admission::AdmissionRequest;
use crate::answer::Answer;
use crate::call_body::CallBody;
use crate::context::Context;
use crate::context::Control;
use crate::crashes::CrashKey;
use crate::model_attempt;
use crate::model_attempt::AttemptEnd;
use crate::send_gate::SendGate;
use crate::shared::Shared;
use crate::trace::Step;

/// Maximum pause before a request asks for admission again because no engine held its model.
const MAX_RELOAD_PAUSE: Duration = Duration::from_secs(2);

/// A parsed call to a configured model.
pub(crate) struct ModelCall {
    /// Path at the engine.
    pub(crate) path: &'static str,
    /// Fields of the body that the gateway acts on.
    pub(crate) parsed: CallBody,
    /// Configuration of the model that the body names.
    pub(crate) spec: ModelSpec,
    /// Body as received from the caller.
    pub(crate) body: Vec<u8>,
}

/// Failure of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FailedAttempt {
    /// Reason of the refusal, if the failure is not retried.
    pub(crate) reason: RefusalReason,
    /// Whether the attempt ran.
    pub(crate) ran: Ran,
    /// Outcome reported to the routing policy.
    pub(crate) outcome: UpstreamOutcome,
    /// Whether the engine does not hold the model, so that the request waits for a load.
    pub(crate) not_loaded: bool,
    /// Description for the refusal and the trace.
    pub(crate) detail: String,
}

impl FailedAttempt {
    /// Returns the failure of an attempt for which routing chose no engine.
    fn no_engine(candidates: &[Candidate]) -> Self {
        Self {
            reason: RefusalReason::UpstreamUnavailable,
            ran: Ran::NotRun,
            outcome: UpstreamOutcome::Unreachable,
            not_loaded: candidates.is_empty(),
            detail: "no engine that holds the model can be used now".to_owned(),
        }
    }

    /// Returns whether the connection was lost while the request was in progress.
    fn connection_lost(&self) -> bool {
        let lost = [
            RefusalReason::UpstreamLost,
            RefusalReason::UpstreamBadAnswer,
        ];
        self.ran != Ran::NotRun && lost.contains(&self.reason)
    }

    pub(crate) fn refusal(&self) -> Refusal {
        let mut refusal = Refusal::not_run(self.reason, self.detail.as_str());
        refusal.ran = self.ran;
        refusal
    }
}

/// How one pass through admission ended.
enum PassEnd {
    /// The caller has its complete answer.
    Answered,
    /// No engine holds the model any more, so the request waits for a load again.
    WaitForLoad,
}

/// State of one call to a model.
struct ModelFlow<'a, 'b> {
    shared: &'a Arc<Shared>,
    context: &'a Context,
    call: &'a ModelCall,
    answer: &'a mut Answer<'b>,
    send_gate: Arc<SendGate>,
    crash_key: CrashKey,
    /// Number of attempts since admission last started the request.
    attempts: u32,
    first_attempt_recorded: bool,
}

/// Serves a call to a model.
///
/// # Errors
///
/// The refusal. Its `ran` covers all attempts, not only the last.
pub(crate) fn serve(
    shared: &Arc<Shared>,
    context: &Context,
    call: &ModelCall,
    answer: &mut Answer<'_>,
) -> Result<(), Refusal> {
    let crash_key = CrashKey::of(&context.caller, "POST", &[call.path], &call.body);
    if let Some(refusal) = shared.crashes.refusal(shared.now_ms(), &crash_key) {
        return Err(refusal);
    }
    let send_gate = Arc::new(SendGate::new());
    let mut flow = ModelFlow {
        shared,
        context,
        call,
        answer,
        send_gate: send_gate.clone(),
        crash_key,
        attempts: 0,
        first_attempt_recorded: false,
    };
    flow.run().map_err(|mut refusal| {
        refusal.ran = send_gate.give_up();
        refusal
    })
}

impl ModelFlow<'_, '_> {
    fn run(&mut self) -> Result<(), Refusal> {
        let mut pause = Duration::from_millis(self.shared.options.reload_pause_ms);
        loop {
            let model = &self.call.spec.model;
            let admission_request = AdmissionRequest {
                target: model.clone(),
                is_model: true,
                upstreams: self.shared.directory.replicas(model).len(),
            };
            let mut admitted = admission::admit(self.shared, self.context, &admission_request)?;
            match self.run_pass()? {
                PassEnd::Answered => {
                    admitted.mark_answered();
                    return Ok(());
                }
                PassEnd::WaitForLoad => {}
            }
            // The directory may still list the engine and would send the request there again at
            // once.
            drop(admitted);
            self.pause(pause)?;
            pause = pause.saturating_mul(2).min(MAX_RELOAD_PAUSE);
        }
    }

    fn run_pass(&mut self) -> Result<PassEnd, Refusal> {
        let mut not_loaded: Vec<UpstreamName> = Vec::new();
        let mut tried: Vec<UpstreamName> = Vec::new();
        self.attempts = 0;
        loop {
            let candidates = self.candidates(&not_loaded);
            let chosen = self.choose(&candidates, &tried);
            self.attempts += 1;
            let failure = match &chosen {
                None => FailedAttempt::no_engine(&candidates),
                Some(candidate) => match self.attempt_at(candidate)? {
                    None => return Ok(PassEnd::Answered),
                    Some(failure) => failure,
                },
            };
            self.record_failure(&chosen, &failure);
            if let Some(candidate) = &chosen {
                tried.push(candidate.upstream.clone());
                not_loaded.extend(failure.not_loaded.then(|| candidate.upstream.clone()));
            }
            if failure.not_loaded && self.candidates(&not_loaded).is_empty() {
                return Ok(PassEnd::WaitForLoad);
            }
            match self.decide_retry(&failure) {
                Some(pause) => self.pause(pause)?,
                None if failure.not_loaded => return Ok(PassEnd::WaitForLoad),
                None => {
                    self.cancel(&chosen, &failure);
                    return Err(failure.refusal());
                }
            }
        }
    }

    fn candidates(&self, not_loaded: &[UpstreamName]) -> Vec<Candidate> {
        let replicas = self.shared.directory.replicas(&self.call.spec.model);
        replicas
            .into_iter()
            .filter(|candidate| !not_loaded.contains(&candidate.upstream))
            .collect()
    }

    fn choose(&self, candidates: &[Candidate], tried: &[UpstreamName]) -> Option<Candidate> {
        let request = RouteRequest {
            prefix_hash: self.call.parsed.prefix_hash,
            tried: tried.to_vec(),
        };
        self.shared
            .choose(&request, candidates, &self.context.trace)
    }

    /// Makes one attempt at an engine. Returns the failure, if it may be retried.
    fn attempt_at(&mut self, candidate: &Candidate) -> Result<Option<FailedAttempt>, Refusal> {
        if !self.first_attempt_recorded {
            self.first_attempt_recorded = true;
            self.shared.record_first_attempt(&self.call.spec.group);
        }
        let end = model_attempt::run(
            self.shared,
            self.context,
            self.call,
            candidate,
            &self.send_gate,
            self.answer,
        );
        let (outcome, connection_lost) = match &end {
            AttemptEnd::Answered => (UpstreamOutcome::Answered, false),
            AttemptEnd::Failed(failure) => (failure.outcome, failure.connection_lost()),
            AttemptEnd::Stopped(_) => (UpstreamOutcome::Cancelled, false),
        };
        self.shared.crashes.record_attempt(
            self.shared.now_ms(),
            &candidate.upstream,
            &self.crash_key,
            outcome,
            connection_lost,
        );
        match end {
            AttemptEnd::Answered => Ok(None),
            AttemptEnd::Failed(failure) => Ok(Some(failure)),
            AttemptEnd::Stopped(refusal) => Err(refusal),
        }
    }

    fn record_failure(&self, chosen: &Option<Candidate>, failure: &FailedAttempt) {
        let now_ms = self.shared.now_ms();
        let step = Step::TryFailed {
            upstream: chosen.as_ref().map(|known| known.upstream.to_string()),
            reason: failure.reason.as_str().to_owned(),
            ran: failure.ran.as_str().to_owned(),
            detail: failure.detail.clone(),
        };
        self.context.trace.record(now_ms, step);
        if let (Some(candidate), true) = (chosen, failure.not_loaded) {
            let event = DemandEvent::Missing {
                model: self.call.spec.model.clone(),
                upstream: candidate.upstream.clone(),
            };
            self.shared.demand.note(now_ms, event);
        }
    }

    /// Returns the pause before a retry, or none. A model call has no side effect, so it may run a
    /// second time as long as the caller has received nothing of the first run.
    fn decide_retry(&self, failure: &FailedAttempt) -> Option<Duration> {
        if failure.ran != Ran::NotRun && !self.shared.crashes.may_retry(&self.crash_key) {
            return None;
        }
        let left = self.shared.time_left(self.context.deadline_ms);
        let request = RetryRequest {
            group: self.call.spec.group.clone(),
            idempotent: true,
            certainly_not_run: failure.ran == Ran::NotRun,
            answer_begun: self.answer.has_begun(),
            tries: self.attempts,
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        let pause = self
            .shared
            .decide_retry(&request, failure.ran, &self.context.trace);
        // Events carry no IDs here, so another run can't be matched to what the caller has
        // received.
        pause.filter(|_| !self.answer.has_begun())
    }

    /// Cancels a run that no caller waits for any more. No cancellation is sent before a retry: the
    /// retry has the same request identity, so a late cancellation could end the retry.
    fn cancel(&self, chosen: &Option<Candidate>, failure: &FailedAttempt) {
        match chosen {
            Some(candidate) if failure.ran != Ran::NotRun => {
                self.shared
                    .cancel_sender
                    .send(candidate.address, &self.context.id);
            }
            _ => {}
        }
    }

    fn pause(&self, pause: Duration) -> Result<(), Refusal> {
        let left = self.shared.time_left(self.context.deadline_ms);
        match self.context.inbox.receiver.recv_timeout(pause.min(left)) {
            Ok(Control::CallerGone) => Err(admission::caller_gone()),
            Ok(Control::Refused(refusal)) => Err(refusal),
            Ok(Control::Admitted) | Err(_) if pause < left => Ok(()),
            Ok(Control::Admitted) | Err(_) => {
                Err(admission::deadline_passed("no time was left for a retry"))
            }
        }
    }
}
