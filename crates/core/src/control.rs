//! Records of the control stream.
//!
//! Every VM replays the stream in order of offset with the same deterministic state machine (crate
//! `apricotdale-state`). A record is a proposal, which every replay accepts or rejects alike.

use serde::Deserialize;
use serde::Serialize;

use crate::config::ConfigChange;
use crate::engine::Resident;
use crate::names::GroupName;
use crate::names::ModelName;
use crate::names::UpstreamName;
use crate::names::VmName;
use crate::names::ZoneName;
use crate::numbers::BootId;
use crate::numbers::ConfigVersion;
use crate::numbers::Epoch;
use crate::numbers::FencingToken;
use crate::numbers::Offset;

/// Identifies the daemon process that appended a record, and the record among those of the
/// process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposer {
    /// VM of the process.
    pub vm: VmName,
    /// Epoch of the process, which is the offset of its [`Join`] record.
    pub epoch: Epoch,
    /// Sequence number, which grows by one with each record of the process. Replay ignores a
    /// record whose sequence is not above the last one of the same epoch, so a record that was
    /// appended twice counts once.
    pub sequence: u64,
}

/// One record of the control stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlRecord {
    /// An operator changes the configuration.
    Config(ConfigChange),
    /// A daemon process has started.
    Join(Join),
    /// The platform's list of VMs shows a VM as gone.
    Depart(Depart),
    /// A VM proposes to load a model onto an engine.
    Load(LoadIntent),
    /// Outcome of a load.
    LoadSettled(Settlement),
    /// A VM proposes to unload a replica.
    Unload(UnloadIntent),
    /// Outcome of an unload.
    UnloadSettled(Settlement),
    /// A VM takes over an intent that its owner does not settle.
    TakeOver(TakeOver),
    /// A VM has read the exact status of an engine.
    Observed(Observation),
    /// An upstream is permanently gone.
    UpstreamGone(UpstreamGone),
}

/// Announces a started daemon process. The offset of the record becomes its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// VM on which the process runs.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Random identity chosen by the process, by which it recognises its own record.
    pub process_id: u64,
}

/// States that a daemon process can no longer act because its VM is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Depart {
    /// Process that proposes the departure.
    pub proposer: Proposer,
    /// VM that is gone.
    pub vm: VmName,
    /// Epoch of the process that ran on it.
    pub epoch: Epoch,
}

/// Proposes to load one more replica of a model onto an engine.
///
/// Replay accepts it if the replica count and the configuration on which it is based still hold
/// and the engine has enough memory. Only then is the load order sent. The offset of the record is
/// the fencing token of the order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadIntent {
    /// Process that proposes the load and will send the order.
    pub proposer: Proposer,
    /// Model or adapter to load.
    pub model: ModelName,
    /// Engine that is to load it.
    pub engine: UpstreamName,
    /// Incarnation of the engine on which the proposal is based.
    pub boot: BootId,
    /// Number of replicas of the model, loaded or reserved, on which the proposal is based. The
    /// proposed replica is not included.
    pub expected_replicas: u32,
    /// Version of the model's own last configuration change, on which the proposal is based.
    pub model_version: ConfigVersion,
}

/// Proposes to unload a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadIntent {
    /// Process that proposes the unload and will send the order.
    pub proposer: Proposer,
    /// Model or adapter to unload.
    pub model: ModelName,
    /// Engine that holds the replica.
    pub engine: UpstreamName,
    /// Offset of the load that created the replica, so that a delayed proposal never unloads a
    /// replica that was loaded later.
    pub load: Offset,
}

/// Outcome of an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettledAs {
    /// The order took effect: the model is loaded, or its memory is free again.
    Done,
    /// The order had no effect and never will. The text gives the cause.
    Failed(String),
    /// The proposer has not sent the order and never will.
    Abandoned,
}

/// Reports the outcome of an intent. Comes from the process that sent the order or from the one
/// that took over the intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Process that reports the outcome.
    pub proposer: Proposer,
    /// Offset of the intent.
    pub intent: Offset,
    /// Outcome of the intent.
    pub outcome: SettledAs,
    /// Incarnation of the engine that answered; `None` if no engine answered.
    pub boot: Option<BootId>,
    /// Status sequence in the engine's answer; `None` if no engine answered.
    pub sequence: Option<u64>,
}

/// Makes another process the owner of an unsettled intent. The offset of the record is the fencing
/// token with which the new owner raises the fence of the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeOver {
    /// Process that becomes the owner.
    pub proposer: Proposer,
    /// Offset of the intent.
    pub intent: Offset,
}

/// Exact status of an engine as read by one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Process that read the status.
    pub proposer: Proposer,
    /// Engine whose status was read.
    pub engine: UpstreamName,
    /// Group of the engine.
    pub group: GroupName,
    /// Availability zone of the engine.
    pub zone: ZoneName,
    /// Incarnation of the engine process.
    pub boot: BootId,
    /// Sequence of the status within that incarnation. Replay rejects a status older than the last
    /// one.
    pub sequence: u64,
    /// Accelerator memory of the engine, in bytes.
    pub capacity_bytes: u64,
    /// Whether the engine refuses orders whose fencing token is below the highest it has seen.
    pub checks_fence: bool,
    /// Highest fencing token that the engine has seen in this incarnation.
    pub highest_fence: FencingToken,
    /// Models that take accelerator memory.
    pub residents: Vec<Resident>,
}

/// States that the platform's list of VMs shows an engine as gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamGone {
    /// Process that read the list.
    pub proposer: Proposer,
    /// Engine that is gone.
    pub engine: UpstreamName,
    /// Last incarnation of the engine that the process knew.
    pub boot: BootId,
}

impl ControlRecord {
    /// Encodes the record as the payload of a log record.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("control records hold only strings, numbers and lists")
    }

    /// Decodes the payload of a log record, or returns `None` if it is not a control record.
    pub fn decode(payload: &[u8]) -> Option<Self> {
        serde_json::from_slice(payload).ok()
    }

    /// Returns the process that appended the record; `None` for configuration changes, which
    /// operators append, and joins, whose process has no epoch yet.
    pub fn proposer(&self) -> Option<&Proposer> {
        match self {
            Self::Config(_) | Self::Join(_) => None,
            Self::Depart(record) => Some(&record.proposer),
            Self::Load(record) => Some(&record.proposer),
            Self::LoadSettled(record) | Self::UnloadSettled(record) => Some(&record.proposer),
            Self::Unload(record) => Some(&record.proposer),
            Self::TakeOver(record) => Some(&record.proposer),
            Self::Observed(record) => Some(&record.proposer),
            Self::UpstreamGone(record) => Some(&record.proposer),
        }
    }
}
