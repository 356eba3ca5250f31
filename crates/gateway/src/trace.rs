//! Traces of the latest requests, step by step.

use std::collections::VecDeque;
use std::sync::Arc;

use apricotdale_core::names::RequestId;
use parking_lot::Mutex;
use serde::Serialize;

/// One step of a request's handling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Step {
    /// The request arrived.
    Arrived {
        /// HTTP method.
        method: String,
        /// Path without the query.
        path: String,
        /// The caller's own `X-Request-Id`, if it was accepted.
        correlation: Option<String>,
    },
    /// Class, caller and timeout of the request were determined.
    Classified {
        /// Name of the class.
        class: String,
        /// Name under which the caller's share is counted.
        caller: String,
        /// Time from arrival until the answer must have begun.
        timeout_ms: u64,
    },
    /// The request asked for admission.
    Queued {
        /// Model, or service with its prefix.
        target: String,
        /// Upstreams that could serve it at that moment; 0 means a cold start.
        upstreams: usize,
    },
    /// Admission started the request.
    Admitted {
        /// Time that the request waited for admission.
        wait_ms: u64,
    },
    /// Routing chose an upstream.
    Chosen {
        /// Name of the chosen upstream.
        upstream: String,
        /// All upstreams that routing could choose from.
        candidates: Vec<String>,
        /// Upstreams of earlier attempts.
        tried: Vec<String>,
        /// Hash of the prompt's prefix, which prefix affinity is based on.
        prefix_hash: Option<u64>,
    },
    /// An attempt failed.
    TryFailed {
        /// Upstream of the attempt, if routing had chosen one.
        upstream: Option<String>,
        /// Reason that a refusal for this failure would have.
        reason: String,
        /// Whether the attempt ran: `ran`, `not_run` or `unknown`.
        ran: String,
        /// Description of the failure.
        detail: String,
    },
    /// The retry policy decided on a retry.
    Retry {
        /// Decision, in the `Debug` form of `RetryDecision`.
        decision: String,
    },
    /// The first event of a stream was sent to the caller.
    AnswerBegun,
    /// The complete answer was sent to the caller.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The request was refused.
    Refused {
        /// Reason of the refusal.
        reason: String,
        /// Whether the request ran: `ran`, `not_run` or `unknown`.
        ran: String,
        /// Description sent to the caller.
        detail: String,
    },
}

/// A step and when it happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TracedStep {
    /// Milliseconds since the request's arrival.
    pub after_ms: u64,
    /// Step that happened.
    #[serde(flatten)]
    pub step: Step,
}

/// Trace of one request so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Trace {
    /// Identity of the request.
    pub request_id: RequestId,
    /// Arrival time in milliseconds since the Unix epoch.
    pub arrived_unix_ms: u64,
    /// Steps, oldest first.
    pub steps: Vec<TracedStep>,
    /// Number of later steps that were dropped because the trace was full.
    pub left_out: usize,
}

/// Writer of the trace of one request.
pub(crate) struct TraceLog {
    arrived_ms: u64,
    max_steps: usize,
    trace: Mutex<Trace>,
}

impl TraceLog {
    /// Records a step, or only counts it if the trace is full.
    pub(crate) fn record(&self, now_ms: u64, step: Step) {
        let after_ms = now_ms.saturating_sub(self.arrived_ms);
        let mut trace = self.trace.lock();
        if trace.steps.len() >= self.max_steps {
            trace.left_out += 1;
            return;
        }
        trace.steps.push(TracedStep { after_ms, step });
    }
}

/// Ring buffer of the traces of the latest requests.
pub(crate) struct Traces {
    max_requests: usize,
    max_steps: usize,
    ring: Mutex<VecDeque<(RequestId, Arc<TraceLog>)>>,
}

impl Traces {
    pub(crate) fn new(max_requests: usize, max_steps: usize) -> Self {
        Self {
            max_requests,
            max_steps,
            ring: Mutex::new(VecDeque::with_capacity(max_requests)),
        }
    }

    /// Creates the trace of a request that has just arrived. It is not kept yet.
    pub(crate) fn open(&self, id: &RequestId, now_ms: u64, unix_ms: u64) -> Arc<TraceLog> {
        Arc::new(TraceLog {
            arrived_ms: now_ms,
            max_steps: self.max_steps,
            trace: Mutex::new(Trace {
                request_id: id.clone(),
                arrived_unix_ms: unix_ms,
                steps: Vec::new(),
                left_out: 0,
            }),
        })
    }

    /// Keeps a trace, and drops the oldest if the ring is full.
    pub(crate) fn keep(&self, id: &RequestId, log: &Arc<TraceLog>) {
        let mut ring = self.ring.lock();
        if ring.len() >= self.max_requests {
            ring.pop_front();
        }
        ring.push_back((id.clone(), log.clone()));
    }

    /// Returns the trace of a request that is still kept.
    pub(crate) fn find(&self, id: &RequestId) -> Option<Trace> {
        let ring = self.ring.lock();
        let (_, log) = ring.iter().rev().find(|(known, _)| known == id)?;
        Some(log.trace.lock().clone())
    }
}
