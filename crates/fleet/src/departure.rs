//! What VMs tell each other of upstreams that take no new work any more.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use serde::Deserialize;
use serde::Serialize;

/// `DepartureKind` is how it is known that an upstream takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureKind {
    /// By its own notice, or because its instance has started again. That is final.
    Final,
    /// Its entry is not there, or is another writer's. A live upstream may write it again, so a
    /// newer entry takes this back. Without the difference a VM that was told, and that missed the
    /// removal itself, would send nothing to a live upstream until that ends.
    Missing,
}

/// `Departure` is an upstream that takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The last revision of its entry that was read. An entry that is newer was written later.
    pub revision: u64,
    /// How far the list had been read when the entry was missing, if that is known. It counts
    /// before the revision: a VM that is told of the list need not have read the last one.
    pub read_to: Position,
    /// How it is known.
    pub kind: DepartureKind,
}
