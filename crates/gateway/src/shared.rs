//! State shared by all requests, and the calls to policies.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use apricotdale_core::engine::EngineServing;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::RequestId;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RetryRequest;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::service::PlainService;
use apricotdale_core::serving::ClaimKeeper;
use apricotdale_core::serving::Clock;
use apricotdale_core::serving::DemandSink;
use apricotdale_core::serving::Directory;
use apricotdale_core::serving::ServingEvent;
use apricotdale_core::serving::ServingObserver;
use apricotdale_http::HangupWatcher;
use parking_lot::Mutex;

use crate::admission_queue::AdmissionQueue;
use crate::cancel_sender::CancelSender;
use crate::context::Context;
use crate::crashes::CrashGuard;
use crate::errors::Result;
use crate::identity::RequestIds;
use crate::in_progress::InProgress;
use crate::options::Options;
use crate::parts::Parts;
use crate::run_times::RunTimes;
use crate::trace::Step;
use crate::trace::TraceLog;
use crate::trace::Traces;
use crate::workers::Workers;

/// State shared by all requests of a gateway.
pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) demand: Arc<dyn DemandSink>,
    pub(crate) claims: Arc<dyn ClaimKeeper>,
    pub(crate) observer: Arc<dyn ServingObserver>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) serving: Arc<dyn EngineServing>,
    pub(crate) service: Arc<dyn PlainService>,
    pub(crate) admission_queue: AdmissionQueue,
    pub(crate) workers: Arc<Workers>,
    pub(crate) cancel_sender: CancelSender,
    pub(crate) hangups: HangupWatcher,
    pub(crate) ids: RequestIds,
    pub(crate) in_progress: Arc<InProgress>,
    pub(crate) run_times: RunTimes,
    pub(crate) traces: Traces,
    pub(crate) crashes: CrashGuard,
    pub(crate) draining: AtomicBool,
    routing: Mutex<Box<dyn RoutingPolicy>>,
    retry: Mutex<Box<dyn RetryPolicy>>,
}

/// Properties of a refused request that are logged with the refusal.
pub(crate) struct RefusedRequest<'a> {
    pub(crate) id: &'a RequestId,
    pub(crate) correlation: Option<&'a str>,
    pub(crate) class: Option<ClassName>,
    pub(crate) trace: Option<&'a TraceLog>,
}

impl Shared {
    pub(crate) fn new(options: Options, parts: Parts) -> Result<Self> {
        let workers = Arc::new(Workers::new(options.thread_stack_bytes));
        Ok(Self {
            admission_queue: AdmissionQueue::new(parts.admission, parts.clock.clone()),
            cancel_sender: CancelSender::new(
                parts.serving.clone(),
                workers.clone(),
                options.max_concurrent_cancels,
            ),
            workers,
            hangups: HangupWatcher::start()?,
            ids: RequestIds::new(parts.process_id),
            in_progress: Arc::new(InProgress::default()),
            run_times: RunTimes::new(options.expected_run_ms),
            traces: Traces::new(options.max_traces, options.max_trace_steps),
            crashes: CrashGuard::new(),
            draining: AtomicBool::new(false),
            routing: Mutex::new(parts.routing),
            retry: Mutex::new(parts.retry),
            directory: parts.directory,
            demand: parts.demand,
            claims: parts.claims,
            observer: parts.observer,
            clock: parts.clock,
            serving: parts.serving,
            service: parts.service,
            options,
        })
    }

    /// Returns the time on the monotonic clock, which all deadlines refer to.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.monotonic_ms()
    }

    /// Returns the time left until a deadline, zero if it has passed.
    pub(crate) fn time_left(&self, deadline_ms: u64) -> Duration {
        Duration::from_millis(deadline_ms.saturating_sub(self.now_ms()))
    }

    /// Returns the refusal of every new request, if the VM accepts none now.
    pub(crate) fn closed(&self) -> Option<Refusal> {
        if self.draining.load(Ordering::Acquire) {
            let refusal = Refusal::not_run(RefusalReason::Draining, "this VM is stopping");
            return Some(refusal.retry_after(self.options.draining_retry_after_ms));
        }
        self.directory.closed()
    }

    /// Counts, logs and traces a refusal. Each refusal passes through here exactly once.
    pub(crate) fn record_refusal(&self, request: &RefusedRequest<'_>, refusal: &Refusal) {
        let class = request.class.as_ref().map_or("", ClassName::as_str);
        log::warn!(
            request_id = request.id.as_str(),
            correlation_id = request.correlation.unwrap_or_default(),
            class = class,
            reason = refusal.reason.as_str(),
            ran = refusal.ran.as_str(),
            detail = refusal.detail.as_str();
            "refused"
        );
        self.observer.observe(&ServingEvent::Refused {
            class: request.class.clone(),
            refusal: refusal.clone(),
        });
        if let Some(trace) = request.trace {
            let step = Step::Refused {
                reason: refusal.reason.as_str().to_owned(),
                ran: refusal.ran.as_str().to_owned(),
                detail: refusal.detail.clone(),
            };
            trace.record(self.now_ms(), step);
        }
    }

    /// Counts and traces a complete answer. `first_ms` is when its first piece was sent.
    pub(crate) fn record_answer(&self, context: &Context, first_ms: u64, status: u16) {
        let now_ms = self.now_ms();
        let first_answer_ms = first_ms.saturating_sub(context.arrived_ms);
        self.observer.observe(&ServingEvent::Answered {
            class: context.class.class.clone(),
            first_answer_ms,
            total_ms: now_ms.saturating_sub(context.arrived_ms),
            met: first_answer_ms <= context.class.answer_within_ms,
        });
        context.trace.record(now_ms, Step::Answered { status });
    }

    /// Asks the routing policy for an upstream and traces the choice.
    pub(crate) fn choose(
        &self,
        request: &RouteRequest,
        candidates: &[Candidate],
        trace: &TraceLog,
    ) -> Option<Candidate> {
        let now_ms = self.now_ms();
        let index = self.routing.lock().choose(now_ms, request, candidates)?;
        let chosen = candidates.get(index)?.clone();
        let names = |candidates: &[Candidate]| {
            let names = candidates.iter();
            names.map(|known| known.upstream.to_string()).collect()
        };
        let step = Step::Chosen {
            upstream: chosen.upstream.to_string(),
            candidates: names(candidates),
            tried: request.tried.iter().map(ToString::to_string).collect(),
            prefix_hash: request.prefix_hash,
        };
        trace.record(now_ms, step);
        Some(chosen)
    }

    /// Passes an event to the routing policy.
    pub(crate) fn learn_routing(&self, event: RoutingEvent) {
        let now_ms = self.now_ms();
        if let RoutingEvent::Removed { upstream } = &event {
            self.crashes.record_upstream_gone(now_ms, upstream);
        }
        self.routing.lock().learn(now_ms, event);
    }

    /// Reports a first attempt to the retry policy, which earns retry budget from it.
    pub(crate) fn record_first_attempt(&self, group: &GroupName) {
        let now_ms = self.now_ms();
        self.retry.lock().record_first_attempt(now_ms, group);
    }

    /// Returns the pause before a retry, or none if the request is not retried.
    pub(crate) fn decide_retry(
        &self,
        request: &RetryRequest,
        ran: Ran,
        trace: &TraceLog,
    ) -> Option<Duration> {
        let now_ms = self.now_ms();
        let decision = self.retry.lock().decide(now_ms, request);
        self.observer.observe(&ServingEvent::Retry {
            group: request.group.clone(),
            decision,
            ran,
        });
        let step = Step::Retry {
            decision: format!("{decision:?}"),
        };
        trace.record(now_ms, step);
        match decision {
            RetryDecision::RetryAfterMs(pause_ms) => Some(Duration::from_millis(pause_ms)),
            _ => None,
        }
    }
}
