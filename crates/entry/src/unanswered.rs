//! Requests that were read whole and end without a complete answer.

use std::sync::Arc;

use apricotdale_core::names::RequestId;
use apricotdale_core::names::UpstreamName;
use mio::Token;

use crate::active::ActiveRequest;
use crate::active::Phase;
use crate::caller::Caller;
use crate::daemon::Daemon;

/// Why a request ends without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnansweredReason {
    /// Its deadline passed while its answer was incomplete.
    DeadlinePassed,
    /// An attempt failed, and no other answer can continue what the caller has received.
    NotContinuable,
    /// An attempt failed, and the request is suspected of crashing upstreams.
    SuspectedAfterFailure,
    /// An attempt failed, and the attempts, the retry budget or the time allow no other.
    RetryDenied,
    /// No upstream may continue the answer.
    NotDispatched,
    /// The request waited in vain for its trial run.
    OnProbation,
    /// The request, or a part of its prompt, was judged to crash upstreams.
    Blocked,
    /// The organisation has reached its limit.
    OverLimit,
    /// The stream can't be resumed where it began.
    OriginRefused,
    /// The request still waited shortly before the end of a planned stop.
    PlannedStop,
    /// The caller closed or reset its connection.
    CallerLeft,
    /// Writing to the caller failed.
    WriteFailed,
    /// The caller did not take the rest of the answer in time.
    NotTaken,
    /// The process ended.
    ProcessEnded,
    /// The request was read behind another, and the connection ended with that one.
    BehindAnother,
}

impl UnansweredReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "deadline_passed",
            Self::NotContinuable => "not_continuable",
            Self::SuspectedAfterFailure => "suspected_after_failure",
            Self::RetryDenied => "retry_denied",
            Self::NotDispatched => "not_dispatched",
            Self::OnProbation => "on_probation",
            Self::Blocked => "blocked",
            Self::OverLimit => "over_limit",
            Self::OriginRefused => "origin_refused",
            Self::PlannedStop => "planned_stop",
            Self::CallerLeft => "caller_left",
            Self::WriteFailed => "write_failed",
            Self::NotTaken => "not_taken",
            Self::ProcessEnded => "process_ended",
            Self::BehindAnother => "behind_another",
        }
    }

    /// Returns whether the caller ended its connection.
    fn is_callers_doing(self) -> bool {
        matches!(self, Self::CallerLeft | Self::WriteFailed)
    }

    /// Returns the name of what decided it, for logs.
    fn decided_by(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "deadline",
            Self::NotContinuable => "failed_attempt",
            Self::RetryDenied => "retry_policy",
            Self::NotDispatched => "dispatcher",
            Self::SuspectedAfterFailure | Self::OnProbation | Self::Blocked => "crash_watch",
            Self::OverLimit => "limit",
            Self::OriginRefused => "stream_origin",
            Self::PlannedStop => "planned_stop",
            Self::CallerLeft | Self::WriteFailed => "caller",
            Self::NotTaken => "sweep",
            Self::ProcessEnded => "process_end",
            Self::BehindAnother => "request_before",
        }
    }
}

/// What is logged about a request that ends without a complete answer. It outlives the request
/// while the rest of the answer is written.
#[derive(Clone, Debug)]
pub(crate) struct RequestTrace {
    id: RequestId,
    route: Arc<str>,
    upstream: Option<UpstreamName>,
    phase: &'static str,
    arrived_ms: u64,
    /// Version of the configuration in force when the request arrived.
    arrived_version: u64,
    /// When the last byte of an upstream came or the request was sent; none before it is sent.
    last_received_ms: Option<u64>,
    has_begun: bool,
    attempts: usize,
}

impl RequestTrace {
    /// Returns the trace of a request in progress.
    pub fn new(request: &ActiveRequest) -> Self {
        Self {
            id: request.serving.id.clone(),
            route: request.route.name.clone(),
            upstream: request.job.tried.last().cloned(),
            phase: match request.phase {
                Phase::Waiting(_) => "waiting",
                Phase::Pausing { .. } => "pausing",
                Phase::Sent { .. } => "sent",
            },
            arrived_ms: request.job.arrived_ms,
            arrived_version: request.arrived_version,
            last_received_ms: request.last_received_ms,
            has_begun: request.delivery.has_begun(),
            attempts: request.job.tried.len(),
        }
    }
}

/// Returns the trace of a request that has been read and was not begun.
fn trace_of_unbegun(id: RequestId, now_ms: u64, version: u64) -> RequestTrace {
    RequestTrace {
        id,
        route: "".into(),
        upstream: None,
        phase: "received",
        arrived_ms: now_ms,
        arrived_version: version,
        last_received_ms: None,
        has_begun: false,
        attempts: 0,
    }
}

impl Daemon {
    /// Closes a caller's connection, and records the requests that end by it without a complete
    /// answer: the one in progress, and an earlier one whose answer has unwritten bytes. With
    /// `abort` the caller receives a reset. Returns the key of the request in progress.
    pub(crate) fn close_caller(
        &mut self,
        token: Token,
        reason: UnansweredReason,
        abort: bool,
    ) -> Option<u64> {
        let mut caller = self.callers.remove(&token)?;
        let key = caller.request();
        if let Some(trace) = caller.undelivered() {
            self.record_unanswered(trace, reason);
        }
        if let Some(request) = key.and_then(|key| self.active.get(key)) {
            self.record_unanswered(&RequestTrace::new(request), reason);
            // What a caller that has left had sent ahead, nobody waits for.
            if !reason.is_callers_doing() {
                self.record_behind(&mut caller);
            }
        }
        self.tell_origins();
        caller.stream.close(self.poll.registry(), abort);
        key
    }

    /// Records the requests that have been read behind the one in progress.
    fn record_behind(&mut self, caller: &mut Caller) {
        let limits = self.directory.configuration().limits;
        while let Some(head) = caller.take_next_request(&limits) {
            if let Ok(serving) = self.codecs.callers.decode(&head) {
                let trace = trace_of_unbegun(serving.id, self.now_ms, self.directory.version());
                self.record_unanswered(&trace, UnansweredReason::BehindAnother);
            }
        }
    }

    /// Records the requests that end with the process.
    pub(crate) fn record_unanswered_at_end(&mut self) {
        let mut callers = std::mem::take(&mut self.callers);
        let answering = callers.values_mut().filter(|it| it.request().is_some());
        answering.for_each(|caller| self.record_behind(caller));
        self.callers = callers;
        let undelivered = self.callers.values().filter_map(|it| it.undelivered());
        let active = self.active.iter().map(|(_, request)| request);
        let in_progress = active.filter(|it| it.caller.is_some());
        let traces: Vec<RequestTrace> = undelivered
            .cloned()
            .chain(in_progress.map(RequestTrace::new))
            .collect();
        for trace in &traces {
            self.record_unanswered(trace, UnansweredReason::ProcessEnded);
        }
    }

    fn record_unanswered(&mut self, trace: &RequestTrace, reason: UnansweredReason) {
        self.metrics.unanswered(reason.as_str());
        if !self.log_budget.try_take(self.now_ms, false) {
            return;
        }
        log::info!(
            request_id = trace.id.to_string(),
            reason = reason.as_str(),
            decided_by = reason.decided_by(),
            route = &*trace.route,
            arrived_config_version = trace.arrived_version,
            config_version = self.directory.version(),
            phase = trace.phase,
            upstream = trace.upstream.as_ref().map_or("", UpstreamName::as_str),
            upstream_silent_ms = trace.last_received_ms.map(|at_ms| self.now_ms - at_ms),
            begun = trace.has_begun,
            tries = trace.attempts,
            age_ms = self.now_ms - trace.arrived_ms;
            "request ended without a complete answer"
        );
    }
}
