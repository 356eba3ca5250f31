//! What became of the last requests, step by step.

use std::collections::VecDeque;
use std::sync::Arc;

use apricotdale_core::names::RequestId;
use parking_lot::Mutex;
use serde::Serialize;

/// `Step` is one step of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Step {
    /// The request arrived.
    Arrived {
        /// The method.
        method: String,
        /// The path.
        path: String,
        /// The identity that the caller gave, if any.
        correlation: Option<String>,
    },
    /// Its class, caller and deadline were settled.
    Classified {
        /// The class.
        class: String,
        /// The caller.
        caller: String,
        /// The time left until the answer must have begun.
        timeout_ms: u64,
    },
    /// It asked for admission.
    Queued {
        /// The model or service.
        target: String,
        /// Upstreams that could take it at that moment; none means a cold start.
        upstreams: usize,
    },
    /// It was admitted.
    Admitted {
        /// How long it waited.
        wait_ms: u64,
    },
    /// An upstream was chosen.
    Chosen {
        /// The upstream.
        upstream: String,
        /// All that it was chosen from.
        candidates: Vec<String>,
        /// Those that had been tried before.
        tried: Vec<String>,
        /// The hash of the prompt's prefix, by which routing finds a warm cache.
        prefix_hash: Option<u64>,
    },
    /// A try failed.
    TryFailed {
        /// The upstream, if one had been chosen.
        upstream: Option<String>,
        /// The reason.
        reason: String,
        /// Whether the try ran.
        ran: String,
        /// What happened.
        detail: String,
    },
    /// A retry was decided on.
    Retry {
        /// The decision.
        decision: String,
    },
    /// The answer began.
    AnswerBegun,
    /// The request was answered in whole.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// The request was refused.
    Refused {
        /// The reason.
        reason: String,
        /// Whether it ran.
        ran: String,
        /// What happened.
        detail: String,
    },
}

/// `TracedStep` is a step and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TracedStep {
    /// Milliseconds since the request's arrival.
    pub after_ms: u64,
    /// The step.
    #[serde(flatten)]
    pub step: Step,
}

/// `Trace` is what became of one request so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Trace {
    /// The request.
    pub request_id: RequestId,
    /// When it arrived, in milliseconds of Unix time.
    pub arrived_unix_ms: u64,
    /// Its steps, in order.
    pub steps: Vec<TracedStep>,
    /// How many steps were left out at the end for want of room.
    pub left_out: usize,
}

/// `TraceLog` writes the trace of one request.
pub(crate) struct TraceLog {
    arrived_ms: u64,
    max_steps: usize,
    trace: Mutex<Trace>,
}

impl TraceLog {
    /// Notes a step.
    pub(crate) fn note(&self, now_ms: u64, step: Step) {
        let after_ms = now_ms.saturating_sub(self.arrived_ms);
        let mut trace = self.trace.lock();
        if trace.steps.len() >= self.max_steps {
            trace.left_out += 1;
            return;
        }
        trace.steps.push(TracedStep { after_ms, step });
    }
}

/// `Traces` holds the traces of the last requests.
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

    /// Opens the trace of a request that has just arrived.
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

    /// Remembers a trace, and forgets the oldest if there are too many.
    pub(crate) fn remember(&self, id: &RequestId, log: &Arc<TraceLog>) {
        let mut ring = self.ring.lock();
        if ring.len() >= self.max_requests {
            ring.pop_front();
        }
        ring.push_back((id.clone(), log.clone()));
    }

    /// Returns the trace of a request that is still remembered.
    pub(crate) fn find(&self, id: &RequestId) -> Option<Trace> {
        let ring = self.ring.lock();
        let (_, log) = ring.iter().rev().find(|(known, _)| known == id)?;
        Some(log.trace.lock().clone())
    }
}
