//! The platform's lagging list of VMs.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::names::GroupName;
use crate::names::ZoneName;

/// `VmRole` is what a listed VM is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs the apricotdale daemon.
    Entry,
    /// Runs a model engine.
    Engine,
    /// Runs one instance of a plain service.
    Service,
}

/// `VmState` is the state of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Runs, as far as the platform knows.
    Live,
    /// Is being taken away; it must receive no new work.
    Leaving,
    /// Has been taken away and runs nothing any more.
    Gone,
}

/// `VmEntry` is one line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM's name: a `VmName` for entry VMs, an `UpstreamName` for the others.
    pub name: String,
    /// What the VM is there for.
    pub role: VmRole,
    /// The group of equal upstreams it belongs to, such as `planner-lm`.
    pub group: GroupName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it serves: callers for entry VMs, requests for upstreams.
    pub address: SocketAddr,
    /// Where an entry VM's daemon listens for its peers.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Its state.
    pub state: VmState,
}

/// `VmListing` is one reading of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// The time of which the list speaks, in milliseconds of Unix time. It lags.
    pub as_of_ms: u64,
    /// The listed VMs.
    pub entries: Vec<VmEntry>,
}

/// `VmList` is the platform's lagging list of VMs.
pub trait VmList: Send + Sync {
    /// Returns the list as the platform knows it now.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the platform can't be reached.
    fn list(&self) -> Result<VmListing>;
}
