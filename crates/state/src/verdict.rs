//! Verdicts of replay on the records of the control stream.

use serde::Deserialize;
use serde::Serialize;

use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Epoch;

use crate::config_rules::ConfigFault;

/// Verdict of replay on one record, the same on every VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The record changed the state.
    Accepted(Accepted),
    /// The record was valid, but a condition for it does not hold. The state is unchanged.
    Rejected(RejectReason),
    /// The record can't be decoded or repeats an earlier one. The state is unchanged.
    Ignored(IgnoreReason),
}

impl Verdict {
    /// Returns whether the record changed the state.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted(_))
    }

    /// Returns the code under which the verdict is counted.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted(accepted) => accepted.as_str(),
            Self::Rejected(reason) => reason.as_str(),
            Self::Ignored(reason) => reason.as_str(),
        }
    }
}

/// Effect of an accepted record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Accepted {
    /// The configuration now has this version.
    Configured(ConfigVersion),
    /// The process has joined with this epoch.
    Joined(Epoch),
    /// The process has departed and can no longer act.
    Departed,
    /// Memory is reserved for a replica; the proposer may send the order once.
    LoadReserved,
    /// The load took effect: the replica can serve.
    Loaded,
    /// The load has and will have no effect, and its memory is free.
    LoadFreed,
    /// The load can't take effect on the present incarnation of the engine, but may on a later one.
    /// The replica is still counted, and its memory stays reserved for a restart.
    LoadRevoked,
    /// The sender of the load has ended, but the order may be queued in a connection of the present
    /// incarnation of the engine. The replica is still counted, and its memory stays reserved.
    LoadLingers,
    /// The replica takes no new work; the proposer may send the unload order.
    UnloadStarted,
    /// The replica is removed and its memory is free.
    Unloaded,
    /// The unload had no effect, and the replica can serve again.
    UnloadCancelled,
    /// The intent has a new owner.
    TakenOver,
    /// The status of the engine was applied.
    Observed,
    /// The engine was removed together with the models on it.
    UpstreamRemoved,
}

impl Accepted {
    /// Returns the code under which the effect is counted.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Configured(_) => "configured",
            Self::Joined(_) => "joined",
            Self::Departed => "departed",
            Self::LoadReserved => "load_reserved",
            Self::Loaded => "loaded",
            Self::LoadFreed => "load_freed",
            Self::LoadRevoked => "load_revoked",
            Self::LoadLingers => "load_lingers",
            Self::UnloadStarted => "unload_started",
            Self::Unloaded => "unloaded",
            Self::UnloadCancelled => "unload_cancelled",
            Self::TakenOver => "taken_over",
            Self::Observed => "observed",
            Self::UpstreamRemoved => "upstream_removed",
        }
    }
}

/// Reason for which replay rejected a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// No process of the proposer's VM has joined, or the last one has departed.
    NotMember,
    /// The proposer is not the current process of its VM.
    StaleEpoch,
    /// Another configuration change has been accepted since the version on which this one is based.
    VersionConflict,
    /// The change violates a rule of the configuration.
    InvalidChange(ConfigFault),
    /// The departure names a process that has not joined or has ended.
    UnknownProcess,
    /// The model is not configured.
    UnknownModel,
    /// The model's configuration has changed since the version on which the load is based.
    ModelChanged,
    /// The engine has not been observed.
    UnknownEngine,
    /// The engine is gone.
    EngineGone,
    /// The engine has restarted since the incarnation on which the record is based.
    EngineRestarted,
    /// The engine belongs to another group than the model.
    WrongGroup,
    /// The number of the model's replicas is not the one on which the load is based.
    ReplicaCountChanged,
    /// The engine holds the model or may still load it.
    AlreadyOnEngine,
    /// The base of the adapter is not loaded on the engine.
    BaseNotLoaded,
    /// The engine does not have enough free memory for the model.
    NoMemory,
    /// After a restart, the engine would not have enough memory for all orders that may reach it.
    NoMemoryAfterRestart,
    /// There is no such intent, or it has been settled.
    UnknownIntent,
    /// The intent is owned by another process.
    NotOwner,
    /// The settlement lacks the engine status that it requires.
    NoReading,
    /// The engine status is older than one already applied.
    OldReading,
    /// The engine status belongs to an incarnation that has not been observed.
    RunNotObserved,
    /// The sender may still send the order, and the engine would accept it.
    SenderMayAct,
    /// The intent was taken over before its sender's end was recorded, so the status of the engine
    /// may have been read too early.
    TakeOverTooOld,
    /// The engine has shown the effect of the order.
    OrderTookEffect,
    /// There is no such replica.
    UnknownReplica,
    /// The replica is not loaded, or is being unloaded.
    NotLoaded,
    /// The engine still holds adapters of the model.
    HasAdapters,
}

impl RejectReason {
    /// Returns the code under which the reason is counted.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::NotMember => "not_member",
            Self::StaleEpoch => "stale_epoch",
            Self::VersionConflict => "version_conflict",
            Self::InvalidChange(fault) => fault.as_str(),
            Self::UnknownProcess => "unknown_process",
            Self::UnknownModel => "unknown_model",
            Self::ModelChanged => "model_changed",
            Self::UnknownEngine => "unknown_engine",
            Self::EngineGone => "engine_gone",
            Self::EngineRestarted => "engine_restarted",
            Self::WrongGroup => "wrong_group",
            Self::ReplicaCountChanged => "replica_count_changed",
            Self::AlreadyOnEngine => "already_on_engine",
            Self::BaseNotLoaded => "base_not_loaded",
            Self::NoMemory => "no_memory",
            Self::NoMemoryAfterRestart => "no_memory_after_restart",
            Self::UnknownIntent => "unknown_intent",
            Self::NotOwner => "not_owner",
            Self::NoReading => "no_reading",
            Self::OldReading => "old_reading",
            Self::RunNotObserved => "run_not_observed",
            Self::SenderMayAct => "sender_may_act",
            Self::TakeOverTooOld => "take_over_too_old",
            Self::OrderTookEffect => "order_took_effect",
            Self::UnknownReplica => "unknown_replica",
            Self::NotLoaded => "not_loaded",
            Self::HasAdapters => "has_adapters",
        }
    }
}

/// Reason for which replay ignored a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IgnoreReason {
    /// The payload can't be decoded as a record of the stream.
    Undecodable,
    /// The process has appended a record with this or a higher sequence before.
    RepeatedSequence,
    /// The process has joined before.
    RepeatedJoin,
    /// A change with this identity has been decided before.
    RepeatedChange,
    /// The offset has been replayed before. Not counted, since the state must not change.
    AlreadyReplayed,
    /// Records before this offset are missing. Not counted, since the state must not change.
    Gap,
}

impl IgnoreReason {
    /// Returns the code under which the reason is counted.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Undecodable => "undecodable",
            Self::RepeatedSequence => "repeated_sequence",
            Self::RepeatedJoin => "repeated_join",
            Self::RepeatedChange => "repeated_change",
            Self::AlreadyReplayed => "already_replayed",
            Self::Gap => "gap",
        }
    }
}
