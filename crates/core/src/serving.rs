//! The border between the callers' interface and the rest of the daemon.
//!
//! The gateway crate serves callers and calls these traits; the node crate implements them from
//! the replayed state, the claim streams and the metrics.

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

/// `Clock` tells the time. Only daemons and adapters read it; policies get the time as a number.
pub trait Clock: Send + Sync {
    /// Returns milliseconds on a clock that never goes back. All deadlines are on this clock.
    fn monotonic_ms(&self) -> u64;

    /// Returns milliseconds of Unix time.
    fn unix_ms(&self) -> u64;
}

/// `Directory` is what this VM knows of classes, models, services and where they are.
pub trait Directory: Send + Sync {
    /// Returns a class's target, or none for an unknown class.
    fn class(&self, class: &ClassName) -> Option<ClassTarget>;

    /// Returns every class.
    fn classes(&self) -> Vec<ClassTarget>;

    /// Returns every model and adapter that callers may name.
    fn models(&self) -> Vec<ModelSpec>;

    /// Returns one model or adapter.
    fn model(&self, model: &ModelName) -> Option<ModelSpec>;

    /// Returns one service.
    fn service(&self, service: &GroupName) -> Option<ServiceSpec>;

    /// Returns the engines on which the model is loaded and which may receive new work.
    fn replicas(&self, model: &ModelName) -> Vec<Candidate>;

    /// Returns the service's instances which may receive new work.
    fn instances(&self, service: &GroupName) -> Vec<Candidate>;

    /// Returns why this VM can't take new requests now, or none if it can.
    fn closed(&self) -> Option<Refusal>;
}

/// `DemandEvent` is what the gateway tells of the demand for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DemandEvent {
    /// A request arrived and waits for admission.
    Arrived {
        /// The request.
        ticket: Ticket,
        /// The model.
        model: ModelName,
        /// When its answer must have begun.
        deadline_ms: u64,
    },
    /// A waiting request was started.
    Started {
        /// The request.
        ticket: Ticket,
    },
    /// A request ended or was refused.
    Ended {
        /// The request.
        ticket: Ticket,
    },
    /// An engine said that it does not hold a model which the directory shows there.
    Missing {
        /// The model.
        model: ModelName,
        /// The engine.
        upstream: UpstreamName,
    },
}

/// `DemandSink` takes in the demand, so that models are loaded for it.
pub trait DemandSink: Send + Sync {
    /// Takes in an event. Returns at once.
    fn note(&self, now_ms: u64, event: DemandEvent);
}

/// `ClaimAsk` asks for the right to run a call under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimAsk {
    /// The key, scoped by service.
    pub key: IdempotencyKey,
    /// A hash of the call.
    pub call_hash: u64,
    /// The request.
    pub request: RequestId,
    /// When the answer is due.
    pub deadline_ms: u64,
}

/// `ClaimDecision` is the answer to a [`ClaimAsk`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The call may be sent, once.
    Run,
    /// The call has run and this was its answer.
    Answer(KeptAnswer),
    /// The call must not be sent.
    Refuse(Refusal),
}

/// `ClaimKeeper` makes sure that a call under a key runs at most once over all VMs.
pub trait ClaimKeeper: Send + Sync {
    /// Waits until the claim is on its stream and decided, or the deadline is near.
    fn claim(&self, ask: &ClaimAsk) -> ClaimDecision;

    /// Tells how the call under a claim ended. Returns at once.
    fn finish(
        &self,
        key: &IdempotencyKey,
        request: &RequestId,
        ran: Ran,
        answer: Option<KeptAnswer>,
    );
}

/// `ServingEvent` is what is counted and measured of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServingEvent {
    /// A request was refused.
    Refused {
        /// Its class, as far as it is known.
        class: Option<ClassName>,
        /// The refusal.
        refusal: Refusal,
    },
    /// A failed try was retried or given up.
    Retry {
        /// The group.
        group: GroupName,
        /// What was decided.
        decision: RetryDecision,
        /// Whether the failed try ran.
        ran: Ran,
    },
    /// A request was answered in whole.
    Answered {
        /// Its class.
        class: ClassName,
        /// From arrival to the first token, or to the whole answer where it was no stream.
        first_answer_ms: u64,
        /// From arrival to the end.
        total_ms: u64,
        /// Whether the class's target was met.
        met: bool,
    },
    /// A request waited for admission.
    QueueWait {
        /// Its class.
        class: ClassName,
        /// How long.
        wait_ms: u64,
    },
    /// A request waited for a load.
    ColdStart {
        /// Its class.
        class: ClassName,
        /// How long.
        wait_ms: u64,
    },
    /// Time between two events of a stream.
    InterToken {
        /// How long.
        gap_us: u64,
    },
}

/// `ServingObserver` counts and measures.
pub trait ServingObserver: Send + Sync {
    /// Takes in an event. Returns at once.
    fn observe(&self, event: &ServingEvent);
}
