//! Traits of the policies. An implementation is pure: it gets times and events and returns
//! decisions.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::engine::CacheTier;
use crate::engine::LoadReport;
use crate::names::CallerName;
use crate::names::ClassName;
use crate::names::GroupName;
use crate::names::ModelName;
use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::refusal::Refusal;

/// Upstream that could handle a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
}

/// Properties of a request on which routing depends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteRequest {
    /// Hash of the prompt's prefix; `None` if the request has no prompt.
    pub prefix_hash: Option<u64>,
    /// Upstreams that this request has already been tried at.
    pub tried: Vec<UpstreamName>,
}

/// Outcome of one attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamOutcome {
    /// The complete answer arrived in time.
    Answered,
    /// The upstream was not reached; the request did not run.
    Unreachable,
    /// The upstream refused the request before running it.
    Refused,
    /// The connection was lost, the answer ended early or the attempt timed out.
    Lost,
    /// The caller ended the request, which says nothing about the upstream.
    Cancelled,
}

/// Event from which routing learns the state of the upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingEvent {
    /// A request was sent to an upstream.
    Sent {
        /// Upstream that it was sent to.
        upstream: UpstreamName,
        /// Hash of the prompt's prefix; `None` if the request has no prompt.
        prefix_hash: Option<u64>,
    },
    /// A request that had been sent ended.
    Ended {
        /// Upstream that it had been sent to.
        upstream: UpstreamName,
        /// Outcome of the attempt.
        outcome: UpstreamOutcome,
        /// Time from sending to the first byte of the answer; `None` if none arrived.
        first_byte_ms: Option<u64>,
    },
    /// A load report of an engine was read.
    Reported {
        /// Engine that reported.
        upstream: UpstreamName,
        /// Report as the engine gave it.
        report: LoadReport,
    },
    /// An upstream was removed.
    Removed {
        /// Upstream that was removed.
        upstream: UpstreamName,
    },
}

/// Chooses the upstream for a request.
pub trait RoutingPolicy: Send {
    /// Updates the policy's state with an event.
    fn learn(&mut self, now_ms: u64, event: RoutingEvent);

    /// Returns the index of the chosen candidate, or `None` if none should be used now.
    fn choose(
        &mut self,
        now_ms: u64,
        request: &RouteRequest,
        candidates: &[Candidate],
    ) -> Option<usize>;
}

/// Identifies one request within the admission of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Model or service whose slots the request waits for.
    pub target: ModelName,
    /// Class of the request.
    pub class: ClassName,
    /// Caller of the request.
    pub caller: CallerName,
    /// Time on the monotonic clock by which the answer must have begun.
    pub deadline_ms: u64,
    /// Expected duration of the answer once the request has been started.
    pub expected_run_ms: u64,
}

/// Event that admission has to handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request arrived.
    Arrived(Arrival),
    /// A request that had been started ended.
    Ended {
        /// Ticket of the request.
        ticket: Ticket,
        /// Time from its start to its end.
        ran_ms: u64,
    },
    /// A waiting request was withdrawn by its caller.
    Withdrawn {
        /// Ticket of the request.
        ticket: Ticket,
    },
    /// The capacity that this VM has for a target changed.
    Capacity {
        /// Model or service whose capacity changed.
        target: ModelName,
        /// Number of requests that this VM may have in progress at the target.
        slots: u32,
        /// Time at which the first slot is expected if there is none now; `None` if unknown.
        ready_at_ms: Option<u64>,
    },
    /// The time that `next_tick_ms` asked for has come, or time has passed otherwise.
    Tick,
}

/// Decision of admission on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The request may be sent to an upstream now, and takes a slot of its target.
    Start(Ticket),
    /// Answer the request with this refusal now, without running it.
    Refuse(Ticket, Refusal),
}

/// Decides which requests are started, wait or are refused.
pub trait AdmissionPolicy: Send {
    /// Handles an event and returns the decisions that follow from it, in order.
    fn handle(&mut self, now_ms: u64, event: AdmissionEvent) -> Vec<AdmissionAction>;

    /// Returns the time at which the policy needs its next `Tick`; `None` if it needs none.
    fn next_tick_ms(&self) -> Option<u64>;
}

/// Failed attempt for which a retry is considered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryRequest {
    /// Group of upstreams, which share one retry budget.
    pub group: GroupName,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether the failed attempt certainly did not run.
    pub certainly_not_run: bool,
    /// Whether part of the answer has already been sent to the caller.
    pub answer_begun: bool,
    /// Number of attempts so far, at least one.
    pub tries: u32,
    /// Remaining time of the request.
    pub left_ms: u64,
}

/// Decision of a retry policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// Retry after this delay in milliseconds.
    RetryAfterMs(u64),
    /// Give up: the request may have run, and must not run twice.
    MayHaveRun,
    /// Give up: part of the answer has been sent to the caller.
    AnswerBegun,
    /// Give up: the retry budget of the group is spent.
    BudgetSpent,
    /// Give up: the maximum number of attempts is reached.
    TooManyTries,
    /// Give up: the request has no time left for another attempt.
    NoTimeLeft,
}

/// Decides whether failed requests are retried.
pub trait RetryPolicy: Send {
    /// Records the first attempt of a request at a group, which adds to the group's retry budget.
    fn record_first_attempt(&mut self, now_ms: u64, group: &GroupName);

    /// Decides whether a failed attempt is followed by another one.
    fn decide(&mut self, now_ms: u64, request: &RetryRequest) -> RetryDecision;
}

/// State of one engine as placement uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Name of the engine.
    pub engine: UpstreamName,
    /// Group of the engine.
    pub group: GroupName,
    /// Availability zone of the engine.
    pub zone: ZoneName,
    /// Accelerator memory, in bytes.
    pub capacity_bytes: u64,
    /// Accelerator memory that is neither used nor reserved, in bytes.
    pub free_bytes: u64,
    /// Whether the engine may receive new work.
    pub accepts: bool,
    /// Number of requests running and waiting on it, as last reported.
    pub busy: u32,
    /// Number of slots of its batch.
    pub slots: u32,
    /// Number of loads in progress on it.
    pub loading: u32,
    /// Checkpoints on its host; a model that is not listed is only in the weight store.
    pub checkpoints: Vec<(ModelName, CacheTier)>,
}

/// State of one replica as placement uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// Model or adapter.
    pub model: ModelName,
    /// Engine that holds the replica.
    pub engine: UpstreamName,
    /// Whether the replica can serve; `false` while it is reserved, loading or unloading.
    pub loaded: bool,
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
    /// Time on the monotonic clock at which the replica reached its present state.
    pub since_ms: u64,
}

/// Demand for one model, and its configuration, as placement uses them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelView {
    /// Model or adapter.
    pub model: ModelName,
    /// Model that the adapter belongs to; `None` for a model.
    pub base: Option<ModelName>,
    /// Group of engines that can run it.
    pub group: GroupName,
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
    /// Number of requests that wait for a replica of the model, over all VMs.
    pub waiting: u32,
    /// Number of requests for the model in progress, over all VMs.
    pub running: u32,
    /// Shortest remaining time of a waiting request; `None` if no request waits.
    pub tightest_ms: Option<u64>,
    /// Whether this VM is the preferred one to propose loads of the model.
    pub preferred_here: bool,
}

/// State of the fleet on which placement bases its decisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Engines that the replayed control stream describes.
    pub engines: Vec<EngineView>,
    /// Replicas that are loaded, or reserved and expected to be.
    pub replicas: Vec<ReplicaView>,
    /// Models that have demand at this VM or a replica.
    pub models: Vec<ModelView>,
    /// Groups with a listed engine that the control stream has not described yet. Such an engine
    /// is not among `engines`, but may be able to load a model soon.
    pub growing_groups: BTreeSet<GroupName>,
    /// Number of loads in progress at the weight store.
    pub store_active_loads: u32,
    /// Number of loads that the weight store serves at full speed at the same time.
    pub store_full_speed_loads: u32,
    /// Shortest latency target of a class, which weighs a late answer against an idle accelerator.
    pub tightest_target_ms: u64,
}

/// Action that placement proposes. Each load and unload becomes an intent on the control stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Load a model onto an engine.
    Load {
        /// Model to load.
        model: ModelName,
        /// Engine that is to load it.
        engine: UpstreamName,
        /// Time on the monotonic clock at which the model is expected to be loaded.
        ready_at_ms: u64,
    },
    /// Unload a replica.
    Unload {
        /// Model of the replica.
        model: ModelName,
        /// Engine that holds it.
        engine: UpstreamName,
    },
    /// Refuse the waiting requests of a model, since no load can be ready in time.
    NoLoadInTime {
        /// Model that can't be loaded in time.
        model: ModelName,
        /// Refusal to answer the requests with.
        refusal: Refusal,
    },
}

/// Decides where models are loaded and when they are unloaded.
pub trait PlacementPolicy: Send {
    /// Records that a request for a model arrived.
    fn arrived(&mut self, now_ms: u64, model: &ModelName);

    /// Records how long a load from a tier took.
    fn loaded(&mut self, now_ms: u64, model: &ModelName, tier: CacheTier, took_ms: u64);

    /// Returns the actions to propose now.
    fn plan(&mut self, now_ms: u64, fleet: &FleetView) -> Vec<PlacementAction>;
}
