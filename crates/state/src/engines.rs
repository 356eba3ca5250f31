//! Engines as last observed.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use apricotdale_core::engine::Residency;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;

/// Position of a status in the history of an engine. A later status compares greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Reading {
    /// Incarnation of the engine.
    pub boot: BootId,
    /// Sequence of the status within that incarnation.
    pub sequence: u64,
}

/// Model on an engine that no accepted load put there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnmanagedResident {
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
    /// Fencing token of the order that loaded it.
    pub fence: FencingToken,
    /// Whether the model is being loaded, loaded or being unloaded.
    pub residency: Residency,
    /// Offset of the unload in progress; `None` if there is none.
    pub unload: Option<Offset>,
}

/// State of an engine as last observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Group of the engine.
    pub group: GroupName,
    /// Availability zone of the engine.
    pub zone: ZoneName,
    /// Time at which the log appended the first observation of the present incarnation, in
    /// milliseconds of Unix time.
    pub incarnation_since_ms: u64,
    /// Last status that was observed completely.
    pub reading: Reading,
    /// Newest status that any record mentions, observed completely or not. Older ones are rejected.
    pub newest_reading: Reading,
    /// Accelerator memory, in bytes.
    pub capacity_bytes: u64,
    /// Whether the engine refuses orders whose fencing token is below the highest it has seen.
    pub checks_fence: bool,
    /// Highest fencing token that the engine has shown in its present incarnation.
    pub highest_fence: FencingToken,
    /// Offset of the record that removed the engine; `None` if it is not gone.
    pub gone_at: Option<Offset>,
    /// Models on the engine that no accepted load put there.
    pub unmanaged: BTreeMap<ModelName, UnmanagedResident>,
    /// Fencing tokens of the models on the engine in the last complete status.
    pub(crate) resident_fences: Vec<FencingToken>,
}

impl Engine {
    /// Returns the present incarnation of the engine, as last observed.
    pub fn boot(&self) -> BootId {
        self.reading.boot
    }

    /// Returns whether the engine has been removed.
    pub fn is_gone(&self) -> bool {
        self.gone_at.is_some()
    }

    /// Returns the accelerator memory that unmanaged models take, in bytes.
    pub fn unmanaged_bytes(&self) -> u64 {
        let sizes = self.unmanaged.values().map(|resident| resident.bytes);
        sizes.fold(0, u64::saturating_add)
    }

    /// Records a status that a settlement mentions without its residents.
    pub(crate) fn record_reading(&mut self, reading: Reading) {
        self.newest_reading = self.newest_reading.max(reading);
    }
}
