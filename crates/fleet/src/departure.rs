//! Announcements between VMs of upstreams that no longer accept new work.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;
use serde::Deserialize;
use serde::Serialize;

/// How it became known that an upstream accepts no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureKind {
    /// By the upstream's own notice, or because its instance has restarted. Final.
    Final,
    /// The upstream's entry is missing or was overwritten by another writer. A live upstream may
    /// write it again, so a newer entry revokes the departure. If it were final, a VM that received
    /// the announcement, and that missed the removal itself, would send nothing to a live upstream
    /// until that upstream's incarnation ends.
    Missing,
}

/// Departure of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Incarnation that accepts no new work.
    pub upstream: UpstreamName,
    /// Last revision of its entry that was read. An entry with a higher one was written later.
    pub revision: u64,
    /// Position up to which the upstream list had been read when the entry was missing; the default
    /// if unknown. It takes precedence over the revision: a VM that receives announcements need not
    /// have read the last revision.
    pub read_to: Position,
    /// How the departure became known.
    pub kind: DepartureKind,
}
