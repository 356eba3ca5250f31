//! The engines as last observed.

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

/// `Reading` is the place of a status in an engine's history. A later status is greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Reading {
    /// The run of the engine.
    pub boot: BootId,
    /// The status's sequence within that run.
    pub sequence: u64,
}

/// `UnmanagedResident` is a model on an engine that no accepted load put there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnmanagedResident {
    /// The memory it takes.
    pub bytes: u64,
    /// The number of the order that loaded it.
    pub fence: FencingToken,
    /// How far it is.
    pub residency: Residency,
    /// The unload under way.
    pub unload: Option<Offset>,
}

/// `Engine` is an engine as last observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Its group.
    pub group: GroupName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// When the log took the first observation of its present run, in milliseconds of Unix time.
    pub run_since_ms: u64,
    /// The last status that was observed in whole.
    pub reading: Reading,
    /// The last status of which anything is known.
    pub floor: Reading,
    /// Its accelerator memory.
    pub capacity_bytes: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// The highest fencing number it has shown in its present run.
    pub highest_fence: FencingToken,
    /// Where the record is that removed it, if it is gone.
    pub gone_at: Option<Offset>,
    /// The models on it that no accepted load put there.
    pub unmanaged: BTreeMap<ModelName, UnmanagedResident>,
    /// The fencing numbers of its residents in the last whole status.
    pub(crate) resident_fences: Vec<FencingToken>,
}

impl Engine {
    /// Returns the engine's present run, as far as it is known.
    pub fn boot(&self) -> BootId {
        self.reading.boot
    }

    /// Returns whether the engine is gone.
    pub fn is_gone(&self) -> bool {
        self.gone_at.is_some()
    }

    /// Returns the memory that undecided models take.
    pub fn undecided_bytes(&self) -> u64 {
        let sizes = self.unmanaged.values().map(|resident| resident.bytes);
        sizes.fold(0, u64::saturating_add)
    }

    /// Notes a status of which only a part is known.
    pub(crate) fn note_reading(&mut self, reading: Reading) {
        self.floor = self.floor.max(reading);
    }
}
