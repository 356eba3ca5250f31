//! One upstream as the platform's list tells it.

use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;

use crate::residence::Residence;

/// `UpstreamPhase` is whether an upstream may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// `Upstream` is one run of one upstream process.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// The identity of this run; a restart has another.
    pub name: UpstreamName,
    /// Its service.
    pub service: GroupName,
    /// Where it serves. Another upstream may use the address later.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: UpstreamPhase,
    /// How much longer it stays slow after its start, as of the entry.
    pub warm_up_ms: u64,
    /// How much longer it stays at all, where it has been given notice.
    pub leaves_in_ms: Option<u64>,
    /// Grows with each entry of this run.
    pub revision: u64,
    /// What it holds; empty for a plain service.
    pub residence: Residence,
}
