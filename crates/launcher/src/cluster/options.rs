//! What a cluster consists of.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use crate::programs::Program;

/// `ClusterOptions` describes a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterOptions {
    /// The region of all its VMs.
    pub region: String,
    /// The availability zones, over which VMs and upstreams are spread in turn.
    pub zones: Vec<String>,
    /// The number of VMs: `vm1`, `vm2` and so on.
    pub vms: usize,
    /// The groups of engines. The engines are `engine1`, `engine2` and so on over all groups.
    pub engine_groups: Vec<UpstreamGroup>,
    /// The plain services. The instances are `service1`, `service2` and so on over all services.
    pub services: Vec<UpstreamGroup>,
    /// Flags of all stand-ins of a program.
    pub flags: BTreeMap<Program, Vec<Flag>>,
    /// Settings of the daemons that differ from their defaults.
    pub settings: Vec<Setting>,
    /// The class of requests that name none.
    pub default_class: String,
    /// The directory for the processes' output, or none for one that goes away with the cluster.
    pub log_dir: Option<PathBuf>,
    /// How long a process may take to get ready. It is a limit for failures only.
    pub ready_timeout: Duration,
}

/// `UpstreamGroup` is a group of equal upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamGroup {
    /// The group.
    pub group: String,
    /// How many upstreams it has.
    pub count: usize,
    /// Flags of their stand-ins.
    pub flags: Vec<Flag>,
}

/// `Flag` is a flag of a program and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flag {
    /// The flag without its dashes.
    pub name: String,
    /// The value.
    pub value: String,
}

/// `Setting` is one line of the daemons' settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// The section.
    pub section: String,
    /// The key.
    pub key: String,
    /// The value.
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
    /// Returns a flag with its value.
    pub fn new(name: impl Into<String>, value: impl ToString) -> Self {
        Self {
            name: name.into(),
            value: value.to_string(),
        }
    }
}

impl Setting {
    /// Returns a line of the settings.
    pub fn new(section: impl Into<String>, key: impl Into<String>, value: impl ToString) -> Self {
        Self {
            section: section.into(),
            key: key.into(),
            value: value.to_string(),
        }
    }
}
