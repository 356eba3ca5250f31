//! Options of a cluster: its VMs, upstreams, flags and settings.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use crate::programs::Program;

/// Options with which a cluster is started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterOptions {
    /// Region of all VMs.
    pub region: String,
    /// Availability zones, to which VMs and upstreams are assigned in turn.
    pub zones: Vec<String>,
    /// Number of VMs, which are named `vm1`, `vm2` and so on.
    pub vms: usize,
    /// Groups of engines. The engines are named `engine1`, `engine2` and so on over all groups.
    pub engine_groups: Vec<UpstreamGroup>,
    /// Plain services. The instances are named `service1`, `service2` and so on over all services.
    pub services: Vec<UpstreamGroup>,
    /// Flags of all stand-ins that run a program.
    pub flags: BTreeMap<Program, Vec<Flag>>,
    /// Settings of the daemons, which take precedence over those that the launcher generates.
    pub settings: Vec<Setting>,
    /// Class of requests that name none.
    pub default_class: String,
    /// Directory for the processes' logs; none for a temporary one that is deleted with the
    /// cluster.
    pub log_dir: Option<PathBuf>,
    /// Time within which each process must print its ready line.
    pub ready_timeout: Duration,
}

/// Group of upstreams with the same flags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamGroup {
    /// Name of the group.
    pub group: String,
    /// Number of upstreams in the group.
    pub count: usize,
    /// Flags of the upstreams' stand-ins.
    pub flags: Vec<Flag>,
}

/// Command line flag of a program with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flag {
    /// Name without dashes.
    pub name: String,
    /// Value as it is written on the command line.
    pub value: String,
}

/// One setting of the daemons' settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Section of the file.
    pub section: String,
    /// Key in the section.
    pub key: String,
    /// Value as it is written in the file.
    pub value: String,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            region: "dk-east".to_owned(),
            zones: ["hall-a", "hall-b", "hall-c"].map(str::to_owned).to_vec(),
            vms: 3,
            engine_groups: Vec::new(),
            services: Vec::new(),
            flags: BTreeMap::new(),
            settings: Vec::new(),
            default_class: "quick".to_owned(),
            log_dir: None,
            ready_timeout: Duration::from_secs(60),
        }
    }
}

impl Flag {
    /// Returns a flag whose value is written with `Display`.
    pub fn new(name: impl Into<String>, value: impl ToString) -> Self {
        Self {
            name: name.into(),
            value: value.to_string(),
        }
    }
}

impl Setting {
    /// Returns a setting whose value is written with `Display`.
    pub fn new(section: impl Into<String>, key: impl Into<String>, value: impl ToString) -> Self {
        Self {
            section: section.into(),
            key: key.into(),
            value: value.to_string(),
        }
    }
}
