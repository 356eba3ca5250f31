//! Views of a daemon's state that operators can read.

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

/// Status of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the daemon's VM.
    pub vm: VmName,
    /// Region of the VM.
    pub region: RegionName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Version of the daemon's program.
    pub program_version: String,
    /// ID of the daemon's process, chosen at random when the process starts.
    pub process_id: u64,
    /// Time since the process started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the daemon accepts new requests of callers.
    pub ready: bool,
    /// Reason why the daemon is not ready, or `None` if it is ready.
    pub not_ready_because: Option<String>,
    /// Whether the daemon finishes its requests in order to stop.
    pub draining: bool,
    /// Number of callers' requests in progress.
    pub in_progress: u64,
    /// Offset behind the last replayed record of the control stream.
    pub replayed: Offset,
    /// Version of the configuration in force.
    pub config_version: ConfigVersion,
    /// Time since the last successful read of the log, in milliseconds, or `None` before the first.
    pub log_read_age_ms: Option<u64>,
}

/// Configuration in force on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    /// Version in force, which is the base version of the next change.
    pub version: ConfigVersion,
    /// Offset behind the last control record that the VM has replayed.
    pub replayed: Offset,
    /// Classes of requests, with their latency targets.
    pub classes: Vec<ClassTarget>,
    /// Models and their adapters.
    pub models: Vec<ModelSpec>,
    /// Plain services, which are upstreams without models.
    pub services: Vec<ServiceSpec>,
}

/// All configured models with their replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsView {
    /// Offset behind the last control record that the VM has replayed.
    pub replayed: Offset,
    /// Models and adapters, sorted by name.
    pub models: Vec<ModelLine>,
}

/// State of one model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelLine {
    /// Name of the model or adapter.
    pub model: ModelName,
    /// Base model of an adapter, or `None` for a model.
    pub base: Option<ModelName>,
    /// Group of the engines that can run the model.
    pub group: GroupName,
    /// Accelerator memory that one replica needs, in bytes.
    pub bytes: u64,
    /// Number of requests that wait for the model on this VM.
    pub waiting: u32,
    /// Number of this VM's requests that run on the model.
    pub running: u32,
    /// Replicas that are loaded, or whose load or unload is decided.
    pub replicas: Vec<ReplicaLine>,
}

/// State of a replica, as the replayed control stream has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// A load is decided, and its outcome is not recorded yet.
    Loading,
    /// The replica can serve requests.
    Loaded,
    /// An unload is decided, and its outcome is not recorded yet.
    Unloading,
}

impl ReplicaState {
    /// All states, in the order of their declaration.
    pub const ALL: &'static [Self] = &[Self::Loading, Self::Loaded, Self::Unloading];

    /// Returns the state's name in answers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Loading => "loading",
            Self::Loaded => "loaded",
            Self::Unloading => "unloading",
        }
    }
}

/// State of one replica of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLine {
    /// Engine that holds the replica or loads it.
    pub engine: UpstreamName,
    /// State of the replica.
    pub state: ReplicaState,
    /// Fencing token of the last order for this replica.
    pub fence: FencingToken,
    /// VM that must record the outcome of the open load or unload, or `None` if none is open.
    pub owner: Option<VmName>,
    /// Time at which the replica came into its state, in milliseconds of Unix time.
    pub since_unix_ms: u64,
}

/// All upstreams that a VM has read from the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamsView {
    /// Time since the platform's list was read, in milliseconds, or `None` before the first read.
    pub list_age_ms: Option<u64>,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<UpstreamLine>,
}

/// State of one engine, or of one instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLine {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Role of the upstream on the platform's list.
    pub role: VmRole,
    /// Group of interchangeable upstreams that it belongs to.
    pub group: GroupName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Address to which requests are sent.
    pub address: SocketAddr,
    /// State on the platform's list.
    pub state: VmState,
    /// Whether this VM sends new requests to the upstream.
    pub accepts: bool,
    /// State of an engine, or `None` for a plain service and for an engine without a status report.
    pub engine: Option<EngineLine>,
}

/// State of an engine, as the answering VM has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLine {
    /// ID of the engine process's incarnation; it changes with each restart.
    pub boot: BootId,
    /// Accelerator memory of the engine, in bytes.
    pub capacity_bytes: u64,
    /// Accelerator memory that is used or reserved, in bytes.
    pub used_bytes: u64,
    /// Whether the engine refuses orders whose fencing token is below the highest that it has seen.
    pub checks_fence: bool,
    /// Highest fencing token that the engine has seen.
    pub highest_fence: FencingToken,
    /// Number of requests in the running batch, by the last load report.
    pub running: u32,
    /// Number of requests that wait in the engine, by the last load report.
    pub waiting: u32,
    /// Number of requests that fit into the batch.
    pub slots: u32,
    /// Time since the last load report, in milliseconds, or `None` before the first.
    pub report_age_ms: Option<u64>,
}

/// All VMs that run a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersView {
    /// Time since the platform's list was read, in milliseconds, or `None` before the first read.
    pub list_age_ms: Option<u64>,
    /// VMs, sorted by name.
    pub members: Vec<MemberLine>,
}

/// State of a VM, as another VM observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Heartbeats of the VM arrive.
    Alive,
    /// Heartbeats of the VM have stopped, so it may have failed.
    Suspected,
    /// The VM has announced that it finishes its requests in order to stop.
    Draining,
    /// The platform's list has the VM as gone.
    Gone,
}

impl MemberState {
    /// Returns the state's name in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// One VM that runs a daemon, as the answering VM observes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLine {
    /// Name of the VM.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// State that the answering VM has observed.
    pub state: MemberState,
    /// State on the platform's list, or `None` if the list does not have the VM.
    pub listed: Option<VmState>,
    /// Epoch of the VM's process, or `None` if the process has not joined.
    pub epoch: Option<Epoch>,
    /// Offset behind the last control record that the VM has announced as replayed.
    pub replayed: Option<Offset>,
    /// Time since the VM's last heartbeat, in milliseconds, or `None` if there was none.
    pub heard_age_ms: Option<u64>,
    /// Whether the VM's state digest differs from the answering VM's digest at the same offset.
    pub diverged: bool,
}

/// Steps that one VM took for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// ID of the request.
    pub request: RequestId,
    /// VM that served the request.
    pub vm: VmName,
    /// Class of the request, or `None` if it was not determined.
    pub class: Option<ClassName>,
    /// Time at which the request arrived, in milliseconds of Unix time.
    pub arrived_unix_ms: u64,
    /// Steps in the order of time.
    pub steps: Vec<ExplanationStep>,
}

/// One step of the work on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplanationStep {
    /// Time from the request's arrival to this step, in milliseconds.
    pub after_ms: u64,
    /// Machine-readable name of the step, such as `sent` or `refused`.
    pub step: String,
    /// Upstream of the step, or `None` if the step has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamName>,
    /// Explanation for the operator.
    pub detail: String,
}

/// Answer to a request to drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainView {
    /// Whether the daemon was draining before this request.
    pub was_draining: bool,
    /// Number of callers' requests in progress, which the daemon will finish.
    pub in_progress: u64,
    /// Longest time for which the daemon waits for them, in milliseconds.
    pub grace_ms: u64,
}
