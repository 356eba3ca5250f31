//! What replay makes of a record.

use serde::Deserialize;
use serde::Serialize;

use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Epoch;

use crate::config_rules::ConfigFault;

/// `Verdict` is what replay makes of one record, the same on every VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The record changed the state.
    Accepted(Accepted),
    /// The record was understood, but what it was based on no longer holds. It changed nothing.
    Rejected(RejectReason),
    /// The record is unreadable or says again what was said before. It changed nothing.
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

/// `Accepted` is what an accepted record did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Accepted {
    /// The configuration has this version now.
    Configured(ConfigVersion),
    /// The process has this epoch.
    Joined(Epoch),
    /// The process can act no more.
    Departed,
    /// Memory and a replica are reserved; the proposer may send the order once.
    LoadReserved,
    /// The load took effect: the replica can serve.
    Loaded,
    /// The load has no effect, and its memory is free.
    LoadFreed,
    /// The load can't take effect on the engine's present run, but may still do so on a later one.
    /// Its memory and its replica stay reserved against that.
    LoadRevoked,
    /// The load's sender can act no more, but its order may wait in a connection of the engine's
    /// present run. Its memory and its replica stay reserved.
    LoadLingers,
    /// The replica takes no new work; the proposer may send the order.
    UnloadStarted,
    /// The replica is gone and its memory is free.
    Unloaded,
    /// The unload had no effect: the replica can serve again.
    UnloadCancelled,
    /// The intent has a new owner.
    TakenOver,
    /// The engine's reading was taken in.
    Observed,
    /// The engine was removed with what was on it.
    UpstreamRemoved,
}

impl Accepted {
    /// Returns the code under which it is counted.
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

/// `RejectReason` is why replay rejected a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// The proposer's VM has not joined or has departed.
    NotMember,
    /// A later process of the proposer's VM has taken its place.
    StaleEpoch,
    /// Another change of the configuration was accepted since.
    VersionConflict,
    /// The change breaks a rule of the configuration.
    InvalidChange(ConfigFault),
    /// The departure names a process that is not there.
    UnknownProcess,
    /// The model is not configured.
    UnknownModel,
    /// The model was changed since.
    ModelChanged,
    /// The engine has not been observed.
    UnknownEngine,
    /// The engine is gone.
    EngineGone,
    /// The engine has restarted since.
    EngineRestarted,
    /// The engine is of another group than the model.
    WrongGroup,
    /// The number of the model's replicas has changed since.
    ReplicaCountChanged,
    /// The engine holds or may yet hold the model.
    AlreadyOnEngine,
    /// The adapter's base is not loaded on the engine.
    BaseNotLoaded,
    /// The engine's memory does not hold the model.
    NoMemory,
    /// The engine's memory would not hold all orders that may yet reach it after a restart.
    NoMemoryAfterRestart,
    /// There is no such intent, or it has been settled.
    UnknownIntent,
    /// The intent belongs to another process.
    NotOwner,
    /// The settlement lacks the engine's reading that it needs.
    NoReading,
    /// The reading is older than what is known.
    OldReading,
    /// The reading is of a run of the engine that has not been observed.
    RunNotObserved,
    /// The order's sender may still send it, and the engine would obey.
    SenderMayAct,
    /// The intent was taken over before its sender's end was known, so the reading may be too old.
    TakeOverTooOld,
    /// An engine has shown that the order took effect.
    OrderTookEffect,
    /// There is no such replica.
    UnknownReplica,
    /// The replica is not loaded, or is being unloaded.
    NotLoaded,
    /// Adapters of the replica are on the engine.
    HasAdapters,
}

impl RejectReason {
    /// Returns the code under which it is counted.
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

/// `IgnoreReason` is why replay ignored a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IgnoreReason {
    /// The payload is no control record.
    Undecodable,
    /// The process has appended a record with this or a higher sequence.
    RepeatedSequence,
    /// The process has joined before.
    RepeatedJoin,
    /// A change with this identity was decided before.
    RepeatedChange,
    /// The offset has been replayed. The state does not count this.
    AlreadyReplayed,
    /// Offsets before this one are missing. The state does not count this.
    Gap,
}

impl IgnoreReason {
    /// Returns the code under which it is counted.
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
