//! Which processes a scenario's cluster has, and their names.

use crate::ast::Scenario;
use crate::ast::Setup;
use crate::ast::StandinKind;
use crate::ast::Statement;

/// The name of the log's stand-in.
pub const LOG: &str = "log";
/// The name of the weight store's stand-in.
pub const WEIGHTS: &str = "weights";
/// The name of the stand-in of the list of VMs.
pub const VM_LIST: &str = "vmlist";

/// `Layout` is the names of a cluster's processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Layout {
    /// The VMs: `vm1`, `vm2` and so on.
    pub vms: Vec<String>,
    /// The engines over all groups: `engine1`, `engine2` and so on.
    pub engines: Vec<String>,
    /// The instances over all plain services: `service1`, `service2` and so on.
    pub services: Vec<String>,
}

/// `ProcessKind` is what a process of the cluster is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    /// A VM with a daemon.
    Vm,
    /// A stand-in.
    Standin(StandinKind),
}

impl Layout {
    /// Returns the layout of a scenario's cluster.
    pub fn of(scenario: &Scenario) -> Self {
        let mut layout = Self::default();
        for step in &scenario.steps {
            match &step.statement {
                Statement::Setup(Setup::Vms(count)) => layout.vms = names("vm", *count),
                Statement::Setup(Setup::Engines(group)) => {
                    layout.engines = names("engine", layout.engines.len() + group.count);
                }
                Statement::Setup(Setup::Service(_, count)) => {
                    layout.services = names("service", layout.services.len() + count);
                }
                _ => {}
            }
        }
        layout
    }

    /// Returns what the process of a name is, or none if there is none.
    pub fn find(&self, name: &str) -> Option<ProcessKind> {
        let has = |names: &[String]| names.iter().any(|other| other == name);
        match name {
            LOG => Some(ProcessKind::Standin(StandinKind::Log)),
            WEIGHTS => Some(ProcessKind::Standin(StandinKind::Weights)),
            VM_LIST => Some(ProcessKind::Standin(StandinKind::VmList)),
            _ if has(&self.vms) => Some(ProcessKind::Vm),
            _ if has(&self.engines) => Some(ProcessKind::Standin(StandinKind::Engine)),
            _ if has(&self.services) => Some(ProcessKind::Standin(StandinKind::Service)),
            _ => None,
        }
    }
}

fn names(prefix: &str, count: usize) -> Vec<String> {
    (1..=count)
        .map(|number| format!("{prefix}{number}"))
        .collect()
}
