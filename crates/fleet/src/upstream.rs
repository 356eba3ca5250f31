//! One upstream as the platform's list tells it.

use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::residence::Residence;

/// `UpstreamPhase` is whether an upstream may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamPhase {
    /// It takes new work.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// Returns the name of one run of an instance. A restart under the same instance has another name,
/// so whatever is kept by an upstream's name ends with the run: what it held, what it was told to
/// do, how loaded and how trusted it was. Without a time of start (0) the instance is the run.
pub fn incarnation_name(instance: &InstanceName, born_ms: u64) -> UpstreamName {
    match born_ms {
        0 => UpstreamName::from(instance.as_str()),
        _ => UpstreamName::from(format!("{instance}@{born_ms}")),
    }
}

/// `Upstream` is one run of one upstream process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "ToldUpstream", into = "ToldUpstream")]
pub struct Upstream {
    /// The identity of this run ([`incarnation_name`]).
    pub name: UpstreamName,
    /// The name under which the platform knows it, and under which it may start again.
    pub instance: InstanceName,
    /// When this run started, in Unix milliseconds by the upstream's clock; 0 if it is not told. A
    /// larger one is a later run.
    pub born_ms: u64,
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

/// An upstream as VMs tell it to each other: without the run's name, which follows from the
/// instance and the time of start. Copies of the list hold thousands of them, and each VM reads one
/// at its start.
#[derive(Serialize, Deserialize)]
struct ToldUpstream {
    instance: InstanceName,
    born_ms: u64,
    service: GroupName,
    address: SocketAddr,
    zone: ZoneName,
    slots: u32,
    phase: UpstreamPhase,
    warm_up_ms: u64,
    leaves_in_ms: Option<u64>,
    revision: u64,
    residence: Residence,
}

impl From<ToldUpstream> for Upstream {
    fn from(told: ToldUpstream) -> Self {
        Self {
            name: incarnation_name(&told.instance, told.born_ms),
            instance: told.instance,
            born_ms: told.born_ms,
            service: told.service,
            address: told.address,
            zone: told.zone,
            slots: told.slots,
            phase: told.phase,
            warm_up_ms: told.warm_up_ms,
            leaves_in_ms: told.leaves_in_ms,
            revision: told.revision,
            residence: told.residence,
        }
    }
}

impl From<Upstream> for ToldUpstream {
    fn from(upstream: Upstream) -> Self {
        Self {
            instance: upstream.instance,
            born_ms: upstream.born_ms,
            service: upstream.service,
            address: upstream.address,
            zone: upstream.zone,
            slots: upstream.slots,
            phase: upstream.phase,
            warm_up_ms: upstream.warm_up_ms,
            leaves_in_ms: upstream.leaves_in_ms,
            revision: upstream.revision,
            residence: upstream.residence,
        }
    }
}
