//! Traits of the policies. Each implementation is pure: time and events in, decisions out.

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

/// `Candidate` is an upstream that could take a request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// `RouteRequest` is what routing looks at in a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteRequest {
    /// The hash of the prompt's prefix, or none where there is no prompt.
    pub prefix_hash: Option<u64>,
    /// Upstreams already tried for this request.
    pub tried: Vec<UpstreamName>,
}

/// `UpstreamOutcome` is how one try at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamOutcome {
    /// Whole answer in time.
    Answered,
    /// Not reached; the request did not run.
    Unreachable,
    /// Refused before running.
    Refused,
    /// Lost, cut or timed out.
    Lost,
    /// Ended by the caller; says nothing of the upstream.
    Cancelled,
}

/// `RoutingEvent` is what routing learns from.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingEvent {
    /// A request was sent.
    Sent {
        /// Where to.
        upstream: UpstreamName,
        /// The hash of its prompt's prefix.
        prefix_hash: Option<u64>,
    },
    /// A request ended.
    Ended {
        /// Where it had been sent.
        upstream: UpstreamName,
        /// How it ended.
        outcome: UpstreamOutcome,
        /// The time from sending to the first byte, if one came.
        first_byte_ms: Option<u64>,
    },
    /// A load report was read.
    Reported {
        /// Whose.
        upstream: UpstreamName,
        /// The report.
        report: LoadReport,
    },
    /// An upstream is no longer there.
    Removed {
        /// Which.
        upstream: UpstreamName,
    },
}

/// `RoutingPolicy` chooses the upstream for a request.
pub trait RoutingPolicy: Send {
    /// Takes in an event.
    fn learn(&mut self, now_ms: u64, event: RoutingEvent);

    /// Returns the index of the chosen candidate, or none if none should be used now.
    fn choose(
        &mut self,
        now_ms: u64,
        request: &RouteRequest,
        candidates: &[Candidate],
    ) -> Option<usize>;
}

/// `Ticket` names one request within one VM's admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// `Arrival` is a request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request.
    pub ticket: Ticket,
    /// What it queues for: a model or a service.
    pub target: ModelName,
    /// Its class.
    pub class: ClassName,
    /// Its caller.
    pub caller: CallerName,
    /// When its answer must have begun.
    pub deadline_ms: u64,
    /// How long its answer is expected to take once started.
    pub expected_run_ms: u64,
}

/// `AdmissionEvent` is what admission learns from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request arrived.
    Arrived(Arrival),
    /// A request that was started ended.
    Ended {
        /// Which.
        ticket: Ticket,
        /// How long it ran.
        ran_ms: u64,
    },
    /// A request that waited was withdrawn by its caller.
    Withdrawn {
        /// Which.
        ticket: Ticket,
    },
    /// A target's capacity as seen from this VM changed.
    Capacity {
        /// Which target.
        target: ModelName,
        /// How many requests this VM may have in progress there now.
        slots: u32,
        /// When the first slot is expected if there is none now, or none if it is not known.
        ready_at_ms: Option<u64>,
    },
    /// Time has passed.
    Tick,
}

/// `AdmissionAction` is what admission decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Start the request now.
    Start(Ticket),
    /// Refuse the request now.
    Refuse(Ticket, Refusal),
}

/// `AdmissionPolicy` decides which requests start, wait or are refused.
pub trait AdmissionPolicy: Send {
    /// Takes in an event and returns what is decided now, in order.
    fn handle(&mut self, now_ms: u64, event: AdmissionEvent) -> Vec<AdmissionAction>;

    /// Returns when the policy wants its next `Tick`, or none.
    fn next_tick_ms(&self) -> Option<u64>;
}

/// `RetryRequest` is a failed try for which a retry is considered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryRequest {
    /// The group of upstreams that share a budget.
    pub group: GroupName,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether the failed try certainly did not run.
    pub certainly_not_run: bool,
    /// Whether part of the answer has gone to the caller.
    pub answer_begun: bool,
    /// Tries so far, at least one.
    pub tries: u32,
    /// The time left for the request.
    pub left_ms: u64,
}

/// `RetryDecision` is what a retry policy decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// Try again after a pause.
    RetryAfterMs(u64),
    /// Give up: another run could be a second run.
    MayHaveRun,
    /// Give up: the answer has begun.
    AnswerBegun,
    /// Give up: the group's budget is spent.
    BudgetSpent,
    /// Give up: as many tries as allowed.
    TooManyTries,
    /// Give up: no time is left.
    NoTimeLeft,
}

/// `RetryPolicy` decides on retries.
pub trait RetryPolicy: Send {
    /// Notes a first try at a group, which earns budget.
    fn first_try(&mut self, now_ms: u64, group: &GroupName);

    /// Decides on a retry.
    fn decide(&mut self, now_ms: u64, request: &RetryRequest) -> RetryDecision;
}

/// `EngineView` is what placement sees of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub engine: UpstreamName,
    /// Its group.
    pub group: GroupName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Accelerator memory.
    pub capacity_bytes: u64,
    /// Memory neither used nor reserved.
    pub free_bytes: u64,
    /// Whether it may receive new work.
    pub accepts: bool,
    /// Requests running and waiting, as last reported.
    pub busy: u32,
    /// Places in its batch.
    pub slots: u32,
    /// Loads in progress on it.
    pub loading: u32,
    /// Checkpoints held on its host; what is not listed is remote.
    pub checkpoints: Vec<(ModelName, CacheTier)>,
}

/// `ReplicaView` is what placement sees of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// The model or adapter.
    pub model: ModelName,
    /// The engine.
    pub engine: UpstreamName,
    /// Whether it can serve (or else is reserved, loading or unloading).
    pub loaded: bool,
    /// Memory it takes.
    pub bytes: u64,
    /// When it was loaded.
    pub since_ms: u64,
}

/// `ModelView` is what placement sees of one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelView {
    /// The model or adapter.
    pub model: ModelName,
    /// The model an adapter belongs to.
    pub base: Option<ModelName>,
    /// The group that can run it.
    pub group: GroupName,
    /// Memory it takes.
    pub bytes: u64,
    /// Requests waiting for a replica now, over all VMs.
    pub waiting: u32,
    /// Requests in progress, over all VMs.
    pub running: u32,
    /// The shortest time left among the waiting requests.
    pub tightest_ms: Option<u64>,
    /// Whether this VM is the model's preferred proposer.
    pub preferred_here: bool,
}

/// `FleetView` is what placement sees.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Engines.
    pub engines: Vec<EngineView>,
    /// Replicas, loaded or reserved.
    pub replicas: Vec<ReplicaView>,
    /// Models with demand here or with a replica.
    pub models: Vec<ModelView>,
    /// Groups with a listed engine that the control stream has not described yet. It is not among
    /// `engines`, and may take a model in a moment.
    pub growing_groups: BTreeSet<GroupName>,
    /// Loads in progress at the weight store.
    pub store_active_loads: u32,
    /// Loads that may run at once at full speed.
    pub store_full_speed_loads: u32,
    /// The tightest class target, which weighs a late answer against an idle accelerator.
    pub tightest_target_ms: u64,
}

/// `PlacementAction` is what placement proposes. Each becomes an intent on the control stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementAction {
    /// Load a model.
    Load {
        /// Which.
        model: ModelName,
        /// Where.
        engine: UpstreamName,
        /// When it is expected to be loaded.
        ready_at_ms: u64,
    },
    /// Unload a replica.
    Unload {
        /// Which.
        model: ModelName,
        /// Where.
        engine: UpstreamName,
    },
    /// No load can be ready in time: the waiting requests should be refused.
    Hopeless {
        /// Which model.
        model: ModelName,
        /// Why.
        refusal: Refusal,
    },
}

/// `PlacementPolicy` decides where models are loaded and when they are unloaded.
pub trait PlacementPolicy: Send {
    /// Notes that a request for a model arrived.
    fn arrived(&mut self, now_ms: u64, model: &ModelName);

    /// Notes how long a load took.
    fn loaded(&mut self, now_ms: u64, model: &ModelName, tier: CacheTier, took_ms: u64);

    /// Returns what to propose now.
    fn plan(&mut self, now_ms: u64, fleet: &FleetView) -> Vec<PlacementAction>;
}
