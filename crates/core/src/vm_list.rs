//! Interface of the platform's list of VMs, which is updated with a delay.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::names::GroupName;
use crate::names::ZoneName;

/// Purpose of a listed VM.
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

/// State of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs, as far as the platform knows.
    Live,
    /// The VM is being removed and must receive no new work.
    Leaving,
    /// The VM has been removed; nothing runs on it any more.
    Gone,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM: a `VmName` for entry VMs, an `UpstreamName` for the others.
    pub name: String,
    /// Purpose of the VM.
    pub role: VmRole,
    /// Group of interchangeable upstreams that it belongs to, such as `planner-lm`.
    pub group: GroupName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address at which it accepts requests: of callers for entry VMs, of entry VMs for upstreams.
    pub address: SocketAddr,
    /// Address at which the daemon of an entry VM accepts its peers; `None` for the others.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// State of the VM.
    pub state: VmState,
}

/// Content of the list at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Time at which the list was true, in milliseconds of Unix time. It lies in the past.
    pub as_of_ms: u64,
    /// VMs of the list, including those that are gone but still listed.
    pub entries: Vec<VmEntry>,
}

/// Client of the platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Returns the list as the platform reports it now.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the platform can't be reached.
    fn list(&self) -> Result<VmListing>;
}
