//! The records of the control stream.
//!
//! Every VM replays the stream in order of offset with the same deterministic state machine (crate
//! `apricotdale-state`). A record is a proposal: replay accepts or rejects it, everywhere alike.

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
use crate::numbers::FencingNumber;
use crate::numbers::Offset;

/// `Proposer` identifies the daemon process that appended a record, and the record among those of
/// that process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposer {
    /// The VM.
    pub vm: VmName,
    /// The offset of the process's own join record.
    pub epoch: Epoch,
    /// Grows by one with each record of the process. Replay drops a record whose sequence is not
    /// above the last one of the same epoch, so a record that was appended twice counts once.
    pub sequence: u64,
}

/// `ControlRecord` is one record of the control stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlRecord {
    /// An operator's change of the configuration.
    Config(ConfigChange),
    /// A daemon process started.
    Join(Join),
    /// The platform's list said that a VM is gone.
    Depart(Depart),
    /// A VM proposes to load a model.
    Load(LoadIntent),
    /// A load's outcome.
    LoadSettled(Settlement),
    /// A VM proposes to unload a model.
    Unload(UnloadIntent),
    /// An unload's outcome.
    UnloadSettled(Settlement),
    /// A VM takes over an intent whose proposer does not settle it.
    TakeOver(TakeOver),
    /// A VM read an engine's exact status.
    Observed(Observation),
    /// An upstream is gone for good.
    UpstreamGone(UpstreamGone),
}

/// `Join` says that a daemon process started. The record's offset becomes the process's epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Chosen at random by the process, so that it recognises its own record.
    pub process_id: u64,
}

/// `Depart` says that a daemon process can act no more, because its VM is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Depart {
    /// Who proposes it.
    pub proposer: Proposer,
    /// The VM that is gone.
    pub vm: VmName,
    /// The epoch of its process.
    pub epoch: Epoch,
}

/// `LoadIntent` proposes that one more replica of a model is loaded on an engine. Replay accepts
/// it if the replica count and the configuration are still those on which it was based and the
/// engine's memory holds it. Only after that is the order sent, and its fencing number is the
/// record's offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadIntent {
    /// Who proposes it and will send the order.
    pub proposer: Proposer,
    /// The model or adapter.
    pub model: ModelName,
    /// The engine.
    pub engine: UpstreamName,
    /// The run of the engine on which the proposal is based.
    pub boot: BootId,
    /// The replicas of the model, loaded or reserved, on which the proposal is based. The intent
    /// decides on one more.
    pub expected_replicas: u32,
    /// The configuration on which the proposal is based: the model's own last change.
    pub model_version: ConfigVersion,
}

/// `UnloadIntent` proposes that a replica is unloaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadIntent {
    /// Who proposes it and will send the order.
    pub proposer: Proposer,
    /// The model or adapter.
    pub model: ModelName,
    /// The engine.
    pub engine: UpstreamName,
    /// The offset of the load that brought the replica, so that a late proposal never unloads a
    /// replica loaded since.
    pub load: Offset,
}

/// `SettledAs` is the outcome of an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettledAs {
    /// The order took effect: the model is loaded, or its memory is free again.
    Done,
    /// The order certainly had and will have no effect.
    Failed(String),
    /// The proposer certainly did not send the order and will not send it.
    Abandoned,
}

/// `Settlement` is the outcome of an intent, told by the process that sent the order or by the one
/// that took the intent over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Who tells it.
    pub proposer: Proposer,
    /// The intent's offset.
    pub intent: Offset,
    /// The outcome.
    pub outcome: SettledAs,
    /// The engine's run that answered, if it answered.
    pub boot: Option<BootId>,
    /// The status sequence of the engine's answer, if it answered.
    pub sequence: Option<u64>,
}

/// `TakeOver` moves an unsettled intent to another proposer. The record's offset is the fencing
/// number with which the new proposer raises the engine's fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeOver {
    /// Who takes over.
    pub proposer: Proposer,
    /// The intent's offset.
    pub intent: Offset,
}

/// `Observation` is an engine's exact status as one VM read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Who read it.
    pub proposer: Proposer,
    /// The engine.
    pub engine: UpstreamName,
    /// Its group.
    pub group: GroupName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The run of the engine process.
    pub boot: BootId,
    /// The status's sequence within that run. Replay drops a reading older than the last one.
    pub sequence: u64,
    /// Its accelerator memory.
    pub capacity_bytes: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// The highest fencing number it has seen.
    pub highest_fence: FencingNumber,
    /// The models that take memory.
    pub residents: Vec<Resident>,
}

/// `UpstreamGone` says that the platform's list showed an engine as gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamGone {
    /// Who read it.
    pub proposer: Proposer,
    /// The engine.
    pub engine: UpstreamName,
    /// The last run of the engine that the reader knew.
    pub boot: BootId,
}

impl ControlRecord {
    /// Returns the record as it is appended to the stream.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("control records hold only strings, numbers and lists")
    }

    /// Returns the record that was appended, or none if the payload is no control record.
    pub fn decode(payload: &[u8]) -> Option<Self> {
        serde_json::from_slice(payload).ok()
    }

    /// Returns who appended the record, if a daemon process did.
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
