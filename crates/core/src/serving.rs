//! Interface between the gateway and the rest of the daemon.
//!
//! The gateway crate serves callers and uses these traits. The node crate implements them with the
//! replayed state, the claim streams and the metrics.

use crate::claims::KeptAnswer;
use crate::config::ClassTarget;
use crate::config::ModelSpec;
use crate::config::ServiceSpec;
use crate::names::ClassName;
use crate::names::GroupName;
use crate::names::IdempotencyKey;
use crate::names::ModelName;
use crate::names::RequestId;
use crate::names::UpstreamName;
use crate::policy::Candidate;
use crate::policy::RetryDecision;
use crate::policy::Ticket;
use crate::refusal::Ran;
use crate::refusal::Refusal;

/// Source of time. Only daemons and adapters read it; policies get the time as a number.
pub trait Clock: Send + Sync {
    /// Returns milliseconds on a monotonic clock. All deadlines are times on this clock.
    fn monotonic_ms(&self) -> u64;

    /// Returns milliseconds of Unix time.
    fn unix_ms(&self) -> u64;
}

/// Classes, models, services and their upstreams as this VM knows them.
pub trait Directory: Send + Sync {
    /// Returns the target of a class; `None` if the class is not configured.
    fn class(&self, class: &ClassName) -> Option<ClassTarget>;

    /// Returns all configured classes.
    fn classes(&self) -> Vec<ClassTarget>;

    /// Returns all models and adapters that callers may name.
    fn models(&self) -> Vec<ModelSpec>;

    /// Returns a model or adapter; `None` if it is not configured.
    fn model(&self, model: &ModelName) -> Option<ModelSpec>;

    /// Returns a service; `None` if it is not configured.
    fn service(&self, service: &GroupName) -> Option<ServiceSpec>;

    /// Returns the engines that have the model loaded and may receive new work.
    fn replicas(&self, model: &ModelName) -> Vec<Candidate>;

    /// Returns the instances of the service that may receive new work.
    fn instances(&self, service: &GroupName) -> Vec<Candidate>;

    /// Returns the refusal for new requests; `None` if this VM accepts them.
    fn closed(&self) -> Option<Refusal>;
}

/// Event by which the gateway reports the demand for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DemandEvent {
    /// A request arrived and waits for admission.
    Arrived {
        /// Ticket of the request.
        ticket: Ticket,
        /// Model that the request names.
        model: ModelName,
        /// Time on the monotonic clock by which its answer must have begun.
        deadline_ms: u64,
    },
    /// A waiting request was sent to an engine.
    Started {
        /// Ticket of the request.
        ticket: Ticket,
    },
    /// A request ended or was refused.
    Ended {
        /// Ticket of the request.
        ticket: Ticket,
    },
    /// An engine answered that it does not hold a model that the directory shows there.
    Missing {
        /// Model that is missing.
        model: ModelName,
        /// Engine that answered.
        upstream: UpstreamName,
    },
}

/// Collects the demand for models, by which they are loaded and unloaded.
pub trait DemandSink: Send + Sync {
    /// Records an event. Does not block.
    fn note(&self, now_ms: u64, event: DemandEvent);
}

/// Asks for permission to run a call under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key that the caller gave, prefixed by the service.
    pub key: IdempotencyKey,
    /// Hash of the call's method, path and body.
    pub call_hash: u64,
    /// Request that asks.
    pub request: RequestId,
    /// Time on the monotonic clock by which the answer is due.
    pub deadline_ms: u64,
}

/// Decision on a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The call may be sent once.
    Run,
    /// The call has already run and had this answer.
    Answer(KeptAnswer),
    /// The call must not be sent, and is refused.
    Refuse(Refusal),
}

/// Ensures that a call under an idempotency key runs at most once across all VMs.
pub trait ClaimKeeper: Send + Sync {
    /// Blocks until the claim has been appended and decided, or the deadline is near.
    fn claim(&self, ask: &ClaimRequest) -> ClaimDecision;

    /// Reports how the call under a claim ended. Does not block.
    fn finish(
        &self,
        key: &IdempotencyKey,
        request: &RequestId,
        ran: Ran,
        answer: Option<KeptAnswer>,
    );
}

/// Event of a request that is counted in the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServingEvent {
    /// A request was refused.
    Refused {
        /// Class of the request; `None` if it is not known yet.
        class: Option<ClassName>,
        /// Refusal that the caller was answered with.
        refusal: Refusal,
    },
    /// A failed attempt was retried or given up.
    Retry {
        /// Group of upstreams that were tried.
        group: GroupName,
        /// Decision of the retry policy.
        decision: RetryDecision,
        /// Whether the failed attempt ran.
        ran: Ran,
    },
    /// A request was answered completely.
    Answered {
        /// Class of the request.
        class: ClassName,
        /// Time from arrival to the first token of a stream, or to the end of any other answer.
        first_answer_ms: u64,
        /// Time from arrival to the end of the answer.
        total_ms: u64,
        /// Whether the latency target of the class was met.
        met: bool,
    },
    /// A request waited for admission.
    QueueWait {
        /// Class of the request.
        class: ClassName,
        /// Time that it waited.
        wait_ms: u64,
    },
    /// A request waited for a model to be loaded.
    ColdStart {
        /// Class of the request.
        class: ClassName,
        /// Time that it waited.
        wait_ms: u64,
    },
    /// Two consecutive events of a stream arrived.
    InterToken {
        /// Time between the two events.
        gap_us: u64,
    },
}

/// Records events of requests in the metrics.
pub trait ServingObserver: Send + Sync {
    /// Records an event. Does not block.
    fn observe(&self, event: &ServingEvent);
}
