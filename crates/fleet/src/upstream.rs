//! One incarnation of an upstream, as described by its entry in the platform's upstream list.

use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::origin::Origin;
use serde::Deserialize;
use serde::Serialize;

use crate::residence::Residence;

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamPhase {
    /// It accepts new work.
    Serving,
    /// It finishes its running requests and accepts no new ones.
    Leaving,
}

/// Returns the name of one incarnation of an instance. A restart under the same instance name leads
/// to another incarnation name, so state kept by upstream name ends with the incarnation:
/// residence, orders, load and health. If the start time is unknown (0), the instance name is used.
pub fn incarnation_name(instance: &InstanceName, born_ms: u64) -> UpstreamName {
    match born_ms {
        0 => UpstreamName::from(instance.as_str()),
        _ => UpstreamName::from(format!("{instance}@{born_ms}")),
    }
}

/// Incarnation of an upstream process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "ToldUpstream", into = "ToldUpstream")]
pub struct Upstream {
    /// Name of this incarnation ([`incarnation_name`]).
    pub name: UpstreamName,
    /// Name by which the platform identifies the instance across restarts.
    pub instance: InstanceName,
    /// Start time of this incarnation in Unix milliseconds by the upstream's clock, or 0 if it is
    /// not reported. A larger value marks a later incarnation.
    pub born_ms: u64,
    /// Service that the upstream belongs to.
    pub service: GroupName,
    /// Address at which it serves. Another upstream may use the address later.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Version of the software that it runs; `None` if unknown.
    pub version: Option<SoftwareVersion>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new work.
    pub phase: UpstreamPhase,
    /// Remaining time of slower service after its start, in milliseconds as of the entry.
    pub warm_up_ms: u64,
    /// Remaining time until it leaves, in milliseconds as of the entry; `None` without notice.
    pub leaves_in_ms: Option<u64>,
    /// Number that increases with each entry of this incarnation.
    pub revision: u64,
    /// Models that it holds; empty for a service without engines.
    pub residence: Residence,
}

impl Upstream {
    /// Returns the origin of the streams that it begins.
    pub fn origin(&self) -> Origin {
        Origin {
            service: self.service.clone(),
            version: self.version.clone(),
            upstream: Some(self.name.clone()),
        }
    }
}

/// Encoded form of an upstream in messages between VMs, without the incarnation name, which follows
/// from the instance and the start time, and without the software version, which earlier releases
/// do not know: [`crate::append_versions`] adds the versions behind the message. List snapshots
/// contain thousands of them, and each VM reads one at its start.
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
    fn from(encoded: ToldUpstream) -> Self {
        Self {
            name: incarnation_name(&encoded.instance, encoded.born_ms),
            instance: encoded.instance,
            born_ms: encoded.born_ms,
            service: encoded.service,
            address: encoded.address,
            zone: encoded.zone,
            version: None,
            slots: encoded.slots,
            phase: encoded.phase,
            warm_up_ms: encoded.warm_up_ms,
            leaves_in_ms: encoded.leaves_in_ms,
            revision: encoded.revision,
            residence: encoded.residence,
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
