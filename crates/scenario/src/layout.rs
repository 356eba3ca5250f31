//! Names and kinds of the processes of a scenario's cluster.

use crate::ast::Scenario;
use crate::ast::Setup;
use crate::ast::StandinKind;
use crate::ast::Statement;

/// Name of the stand-in of the append-only log.
pub const LOG: &str = "log";
/// Name of the stand-in of the weight store.
pub const WEIGHTS: &str = "weights";
/// Name of the stand-in of the VM list.
pub const VM_LIST: &str = "vmlist";

/// Names of a cluster's processes, as its setup statements define them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Layout {
    /// Names of the VMs: `vm1`, `vm2` and so on.
    pub vms: Vec<String>,
    /// Names of the engines, numbered over all groups: `engine1`, `engine2` and so on.
    pub engines: Vec<String>,
    /// Names of the instances, numbered over all plain services: `service1`, `service2` and so on.
    pub services: Vec<String>,
}

/// Kind of a process of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    /// Daemon of a VM.
    Vm,
    /// Stand-in of a part of the platform.
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

    /// Returns the kind of the process with a name; none if the cluster has no such process.
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
