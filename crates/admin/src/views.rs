//! What a daemon tells its operators.

use std::net::SocketAddr;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::RegionName;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::vm_list::VmState;
use serde::Deserialize;
use serde::Serialize;

/// `Status` is how one daemon is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The VM.
    pub vm: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of the program.
    pub program_version: String,
    /// The daemon's process, chosen at random at its start.
    pub process_id: u64,
    /// How long it has run.
    pub uptime_ms: u64,
    /// Whether it takes new requests of callers.
    pub ready: bool,
    /// Why it takes none, or none if it does.
    pub not_ready_because: Option<String>,
    /// Whether it is stopping.
    pub draining: bool,
    /// Requests of callers in progress.
    pub in_progress: u64,
    /// The offset up to which it has replayed the control stream, exclusive.
    pub replayed: Offset,
    /// The version of the configuration in force.
    pub config_version: ConfigVersion,
    /// The age of its last successful read of the log, or none before the first.
    pub log_read_age_ms: Option<u64>,
}

/// `ConfigView` is the configuration in force on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    /// The version in force: the base version of the next change.
    pub version: ConfigVersion,
    /// The offset up to which the VM has replayed the control stream, exclusive.
    pub replayed: Offset,
    /// Classes of work and their targets.
    pub classes: Vec<ClassTarget>,
    /// Models and adapters.
    pub models: Vec<ModelSpec>,
    /// Plain services.
    pub services: Vec<ServiceSpec>,
}

/// `ModelsView` is every configured model with its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsView {
    /// The offset up to which the VM has replayed the control stream, exclusive.
    pub replayed: Offset,
    /// The models, in order of name.
    pub models: Vec<ModelLine>,
}

/// `ModelLine` is one model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelLine {
    /// The model or adapter.
    pub model: ModelName,
    /// The model an adapter belongs to.
    pub base: Option<ModelName>,
    /// The group of engines that can run it.
    pub group: GroupName,
    /// The accelerator memory it takes.
    pub bytes: u64,
    /// Requests that wait for it on this VM.
    pub waiting: u32,
    /// Requests in progress on it from this VM.
    pub running: u32,
    /// Its replicas, loaded or decided.
    pub replicas: Vec<ReplicaLine>,
}

/// `ReplicaState` is how far a replica is, by the replayed control stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// A load was decided and is not settled.
    Loading,
    /// The replica can serve.
    Loaded,
    /// An unload was decided and is not settled.
    Unloading,
}

impl ReplicaState {
    /// Lists every state.
    pub const ALL: &'static [Self] = &[Self::Loading, Self::Loaded, Self::Unloading];

    /// Returns the word used in answers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Loading => "loading",
            Self::Loaded => "loaded",
            Self::Unloading => "unloading",
        }
    }
}

/// `ReplicaLine` is one replica of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLine {
    /// The engine.
    pub engine: UpstreamName,
    /// How far it is.
    pub state: ReplicaState,
    /// The fencing number of the last order for it.
    pub fence: FencingToken,
    /// The VM that must settle the open load or unload, or none if nothing is open.
    pub owner: Option<VmName>,
    /// When it came into this state, in milliseconds of Unix time.
    pub since_unix_ms: u64,
}

/// `UpstreamsView` is every upstream that a VM knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamsView {
    /// The age of the reading of the platform's list, or none before the first.
    pub list_age_ms: Option<u64>,
    /// The upstreams, in order of name.
    pub upstreams: Vec<UpstreamLine>,
}

/// `UpstreamLine` is one engine or one instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLine {
    /// The upstream.
    pub upstream: UpstreamName,
    /// What it is.
    pub role: VmRole,
    /// Its group.
    pub group: GroupName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its state on the platform's list.
    pub state: VmState,
    /// Whether this VM sends it new work.
    pub accepts: bool,
    /// What is known of an engine, or none for a plain service and for an engine not yet read.
    pub engine: Option<EngineLine>,
}

/// `EngineLine` is what is known of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLine {
    /// The run of the engine process.
    pub boot: BootId,
    /// Accelerator memory.
    pub capacity_bytes: u64,
    /// Memory that is used or reserved.
    pub used_bytes: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// The highest fencing number it has seen.
    pub highest_fence: FencingToken,
    /// Requests in the running batch, as last reported.
    pub running: u32,
    /// Requests that wait, as last reported.
    pub waiting: u32,
    /// Places in the batch.
    pub slots: u32,
    /// The age of the last load report, or none before the first.
    pub report_age_ms: Option<u64>,
}

/// `MembersView` is every VM that runs a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersView {
    /// The age of the reading of the platform's list, or none before the first.
    pub list_age_ms: Option<u64>,
    /// The VMs, in order of name.
    pub members: Vec<MemberLine>,
}

/// `MemberState` is how one VM sees another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Its heartbeats arrive.
    Alive,
    /// Its heartbeats have stopped.
    Suspected,
    /// It says that it is stopping.
    Draining,
    /// The platform's list says that it is gone.
    Gone,
}

impl MemberState {
    /// Returns the word used in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// `MemberLine` is one VM that runs a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLine {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How the answering VM sees it.
    pub state: MemberState,
    /// Its state on the platform's list, or none if it is not listed.
    pub listed: Option<VmState>,
    /// The epoch of its process, or none if it has not joined.
    pub epoch: Option<Epoch>,
    /// The offset up to which it said that it has replayed, exclusive.
    pub replayed: Option<Offset>,
    /// The age of its last heartbeat, or none if none came.
    pub heard_age_ms: Option<u64>,
    /// Whether its state digest differs from that of the answering VM at the same offset.
    pub diverged: bool,
}

/// `Explanation` is what one VM did for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request.
    pub request: RequestId,
    /// The VM that served it.
    pub vm: VmName,
    /// Its class, as far as it is known.
    pub class: Option<ClassName>,
    /// When it arrived, in milliseconds of Unix time.
    pub arrived_unix_ms: u64,
    /// What was done, in order of time.
    pub steps: Vec<ExplanationStep>,
}

/// `ExplanationStep` is one step of the work on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplanationStep {
    /// When, counted from the request's arrival.
    pub after_ms: u64,
    /// What, as a machine-readable word such as `sent` or `refused`.
    pub step: String,
    /// The upstream that it concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamName>,
    /// A sentence for a person.
    pub detail: String,
}

/// `DrainView` is the answer to an order to drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainView {
    /// Whether the daemon was draining already.
    pub was_draining: bool,
    /// Requests of callers in progress, which will be finished.
    pub in_progress: u64,
    /// How long the daemon waits for them.
    pub grace_ms: u64,
}
