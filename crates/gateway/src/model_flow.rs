//! A call to a model, from its body to its answer: admission, tries, retries, waits for a load.

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
use crate::admission::Queue;
use crate::answer::Answer;
use crate::attempt::Attempt;
use crate::call_body::CallBody;
use crate::context::Context;
use crate::context::Control;
use crate::crashes::Identity;
use crate::model_try;
use crate::model_try::TryEnd;
use crate::shared::Shared;
use crate::trace::Step;

/// The longest pause before a request whose model was gone asks for admission again.
const MAX_RELOAD_PAUSE: Duration = Duration::from_secs(2);

/// `ModelCall` is a call to a model.
pub(crate) struct ModelCall {
    /// The engine's path.
    pub(crate) path: &'static str,
    /// What the body names.
    pub(crate) parsed: CallBody,
    /// The model.
    pub(crate) spec: ModelSpec,
    /// The body as it came.
    pub(crate) body: Vec<u8>,
}

/// `TryFailure` is why a try failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TryFailure {
    /// The reason, for the refusal that it may become.
    pub(crate) reason: RefusalReason,
    /// Whether the try ran.
    pub(crate) ran: Ran,
    /// What routing learns of the upstream.
    pub(crate) outcome: UpstreamOutcome,
    /// Whether the model is not there.
    pub(crate) missing: bool,
    /// What happened.
    pub(crate) detail: String,
}

impl TryFailure {
    /// Returns the failure of a request for which no engine could be chosen.
    fn no_engine(candidates: &[Candidate]) -> Self {
        Self {
            reason: RefusalReason::UpstreamUnavailable,
            ran: Ran::NotRun,
            outcome: UpstreamOutcome::Unreachable,
            missing: candidates.is_empty(),
            detail: "no engine that holds the model can be used now".to_owned(),
        }
    }

    /// Returns whether the connection was lost with the request in progress.
    fn is_cut(&self) -> bool {
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

/// `Pass` is how one pass through admission ended.
enum Pass {
    /// The caller has its whole answer.
    Answered,
    /// No engine holds the model any more; the request waits for a load again.
    WaitForLoad,
}

/// `ModelFlow` carries one call to a model.
struct ModelFlow<'a, 'b> {
    shared: &'a Arc<Shared>,
    context: &'a Context,
    call: &'a ModelCall,
    answer: &'a mut Answer<'b>,
    attempt: Arc<Attempt>,
    identity: Identity,
    /// Tries within the present pass.
    tries: u32,
    first_try_noted: bool,
}

/// Serves a call to a model. A refusal that comes back says of all tries together whether the call
/// ran.
pub(crate) fn serve(
    shared: &Arc<Shared>,
    context: &Context,
    call: &ModelCall,
    answer: &mut Answer<'_>,
) -> Result<(), Refusal> {
    let identity = Identity::of(&context.caller, "POST", &[call.path], &call.body);
    if let Some(refusal) = shared.crashes.refusal(shared.now_ms(), &identity) {
        return Err(refusal);
    }
    let attempt = Arc::new(Attempt::new());
    let mut flow = ModelFlow {
        shared,
        context,
        call,
        answer,
        attempt: attempt.clone(),
        identity,
        tries: 0,
        first_try_noted: false,
    };
    flow.run().map_err(|mut refusal| {
        refusal.ran = attempt.give_up();
        refusal
    })
}

impl ModelFlow<'_, '_> {
    fn run(&mut self) -> Result<(), Refusal> {
        let mut pause = Duration::from_millis(self.shared.options.reload_pause_ms);
        loop {
            let model = &self.call.spec.model;
            let queue = Queue {
                target: model.clone(),
                is_model: true,
                upstreams: self.shared.directory.replicas(model).len(),
            };
            let mut admitted = admission::admit(self.shared, self.context, &queue)?;
            match self.pass()? {
                Pass::Answered => {
                    admitted.answered();
                    return Ok(());
                }
                Pass::WaitForLoad => {}
            }
            // The directory lags behind the engine and may send the request there again at once.
            drop(admitted);
            self.pause(pause)?;
            pause = pause.saturating_mul(2).min(MAX_RELOAD_PAUSE);
        }
    }

    fn pass(&mut self) -> Result<Pass, Refusal> {
        let mut missing: Vec<UpstreamName> = Vec::new();
        let mut tried: Vec<UpstreamName> = Vec::new();
        self.tries = 0;
        loop {
            let candidates = self.candidates(&missing);
            let chosen = self.choose(&candidates, &tried);
            self.tries += 1;
            let failure = match &chosen {
                None => TryFailure::no_engine(&candidates),
                Some(candidate) => match self.try_at(candidate)? {
                    None => return Ok(Pass::Answered),
                    Some(failure) => failure,
                },
            };
            self.note_failure(&chosen, &failure);
            if let Some(candidate) = &chosen {
                tried.push(candidate.upstream.clone());
                missing.extend(failure.missing.then(|| candidate.upstream.clone()));
            }
            if failure.missing && self.candidates(&missing).is_empty() {
                return Ok(Pass::WaitForLoad);
            }
            match self.decide_retry(&failure) {
                Some(pause) => self.pause(pause)?,
                None if failure.missing => return Ok(Pass::WaitForLoad),
                None => {
                    self.cancel(&chosen, &failure);
                    return Err(failure.refusal());
                }
            }
        }
    }

    fn candidates(&self, missing: &[UpstreamName]) -> Vec<Candidate> {
        let replicas = self.shared.directory.replicas(&self.call.spec.model);
        replicas
            .into_iter()
            .filter(|candidate| !missing.contains(&candidate.upstream))
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

    /// Tries an engine, and returns why that failed if it did.
    fn try_at(&mut self, candidate: &Candidate) -> Result<Option<TryFailure>, Refusal> {
        if !self.first_try_noted {
            self.first_try_noted = true;
            self.shared.note_first_try(&self.call.spec.group);
        }
        let end = model_try::run(
            self.shared,
            self.context,
            self.call,
            candidate,
            &self.attempt,
            self.answer,
        );
        let (outcome, is_cut) = match &end {
            TryEnd::Answered => (UpstreamOutcome::Answered, false),
            TryEnd::Failed(failure) => (failure.outcome, failure.is_cut()),
            TryEnd::Stopped(_) => (UpstreamOutcome::Cancelled, false),
        };
        self.shared.crashes.note_try(
            self.shared.now_ms(),
            &candidate.upstream,
            &self.identity,
            outcome,
            is_cut,
        );
        match end {
            TryEnd::Answered => Ok(None),
            TryEnd::Failed(failure) => Ok(Some(failure)),
            TryEnd::Stopped(refusal) => Err(refusal),
        }
    }

    fn note_failure(&self, chosen: &Option<Candidate>, failure: &TryFailure) {
        let now_ms = self.shared.now_ms();
        let step = Step::TryFailed {
            upstream: chosen.as_ref().map(|known| known.upstream.to_string()),
            reason: failure.reason.as_str().to_owned(),
            ran: failure.ran.as_str().to_owned(),
            detail: failure.detail.clone(),
        };
        self.context.trace.note(now_ms, step);
        if let (Some(candidate), true) = (chosen, failure.missing) {
            let event = DemandEvent::Missing {
                model: self.call.spec.model.clone(),
                upstream: candidate.upstream.clone(),
            };
            self.shared.demand.note(now_ms, event);
        }
    }

    /// Asks for a retry. Generation has no side effect, so a call to a model may run twice as long
    /// as the caller has seen nothing of the first run.
    fn decide_retry(&self, failure: &TryFailure) -> Option<Duration> {
        if failure.ran != Ran::NotRun && !self.shared.crashes.may_resend(&self.identity) {
            return None;
        }
        let left = self.shared.left(self.context.deadline_ms);
        let request = RetryRequest {
            group: self.call.spec.group.clone(),
            idempotent: true,
            certainly_not_run: failure.ran == Ran::NotRun,
            answer_begun: self.answer.has_begun(),
            tries: self.tries,
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        let pause = self
            .shared
            .decide_retry(&request, failure.ran, &self.context.trace);
        // Events have no numbers, so nothing shows whether another run continues this one.
        pause.filter(|_| !self.answer.has_begun())
    }

    /// Ends a run that nobody waits for any more. Before a retry it is not done: the retry has the
    /// same identity, and a late cancellation could hit it.
    fn cancel(&self, chosen: &Option<Candidate>, failure: &TryFailure) {
        match chosen {
            Some(candidate) if failure.ran != Ran::NotRun => {
                self.shared
                    .cancels
                    .send(candidate.address, &self.context.id);
            }
            _ => {}
        }
    }

    fn pause(&self, pause: Duration) -> Result<(), Refusal> {
        let left = self.shared.left(self.context.deadline_ms);
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
