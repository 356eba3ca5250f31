//! Running cluster of stand-ins of the platform, upstreams and VMs.

pub mod options;
pub mod records;
pub mod settings_file;

mod start;

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use nix::sys::signal::Signal;
use serde_json::json;
use tempfile::TempDir;

use crate::cluster::options::ClusterOptions;
use crate::errors::Error;
use crate::errors::Result;
use crate::poll::MAX_POLLS;
use crate::poll::poll_until;
use crate::process::Exit;
use crate::processes::Processes;
use crate::ready::DaemonAddresses;
use crate::standin::StandinClient;
use apricotdale_admin::AdminClient;
use apricotdale_admin::ClientOptions;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::PublishRequest;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmState;

/// Name of the stand-in of the append-only log.
pub const LOG: &str = "log";
/// Name of the stand-in of the weight store.
pub const WEIGHTS: &str = "weights";
/// Name of the stand-in of the platform's VM list.
pub const VM_LIST: &str = "vmlist";

/// Operator that the control stream names for the launcher's publications.
const OPERATOR: &str = "launcher";

/// Running cluster. Dropping it kills all its processes.
#[derive(Debug)]
pub struct Cluster {
    options: ClusterOptions,
    processes: Processes,
    directory: TempDir,
    cluster_key: String,
    standins: BTreeMap<String, StandinClient>,
    vms: BTreeMap<String, Vm>,
    listed_entries: Vec<VmEntry>,
}

/// VM of a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Addresses at which its daemon listens.
    pub addresses: DaemonAddresses,
    /// Last operation on its process.
    pub condition: VmCondition,
}

/// Last operation of the launcher on a VM's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmCondition {
    /// The VM was started or woken.
    Running,
    /// The VM was frozen with SIGSTOP.
    Frozen,
    /// The VM was sent SIGTERM, on which it drains and exits.
    Stopping,
    /// The VM was killed.
    Killed,
}

impl Cluster {
    /// Returns the names of all VMs, running or not.
    pub fn vm_names(&self) -> Vec<String> {
        self.vms.keys().cloned().collect()
    }

    /// Returns the VMs that have not been killed, frozen or sent SIGTERM.
    pub fn running_vms(&self) -> Vec<&Vm> {
        self.vms
            .values()
            .filter(|vm| vm.condition == VmCondition::Running)
            .collect()
    }

    /// Returns the VM with a name.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if there is none with the name.
    pub fn vm(&self, name: &str) -> Result<&Vm> {
        let vm = self.vms.get(name);
        vm.ok_or_else(|| Error::UnknownName(name.to_owned()))
    }

    /// Returns the client of the stand-in with a name.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if there is none with the name.
    pub fn standin(&self, name: &str) -> Result<&StandinClient> {
        let standin = self.standins.get(name);
        standin.ok_or_else(|| Error::UnknownName(name.to_owned()))
    }

    /// Returns the names and clients of the engines.
    pub fn engines(&self) -> Vec<(&str, &StandinClient)> {
        self.standins_named(start::ENGINE_PREFIX)
    }

    /// Returns the names and clients of the instances of plain services.
    pub fn services(&self) -> Vec<(&str, &StandinClient)> {
        self.standins_named(start::SERVICE_PREFIX)
    }

    /// Returns a client of a VM's admin interface.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if there is no VM with the name.
    pub fn admin(&self, vm: &str) -> Result<AdminClient> {
        let address = self.vm(vm)?.addresses.admin;
        Ok(AdminClient::new(address, ClientOptions::default()))
    }

    /// Returns the set of all processes of the cluster.
    pub fn processes(&self) -> &Processes {
        &self.processes
    }

    /// Publishes edits at a VM, based on the configuration that is in force there.
    ///
    /// # Errors
    ///
    /// `Error::Failed` if the VM can't be reached or refuses to answer.
    pub fn publish(&self, vm: &str, edits: Vec<ConfigEdit>) -> Result<PublishOutcome> {
        let failed = |error| Error::failed(format!("publishing at {vm}"), error);
        let admin = self.admin(vm)?;
        let base_version = admin.config().map_err(failed)?.version;
        let request = PublishRequest {
            operator: OPERATOR.to_owned(),
            change_id: None,
            base_version,
            edits,
        };
        admin.publish(&request).map_err(failed)
    }

    /// Waits until a version of the configuration, or a later one, is in force on every running VM.
    ///
    /// # Errors
    ///
    /// `Error::PollLimitReached` if it does not come into force.
    pub fn wait_in_force(&self, version: ConfigVersion) -> Result<()> {
        let condition = format!("version {version} is in force on all VMs");
        poll_until(&condition, MAX_POLLS, || {
            for vm in self.running_vms() {
                let config = self.admin(&vm.name)?.config();
                let in_force = config.is_ok_and(|config| config.version >= version);
                if !in_force {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })
    }

    /// Kills a process, stopped or not, and waits for its end.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if there is none with the name.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.processes.kill(name)?;
        self.set_condition(name, VmCondition::Killed);
        Ok(())
    }

    /// Stops a process with SIGSTOP and waits until all its threads have stopped.
    ///
    /// # Errors
    ///
    /// `Error::NotRunning` if the process has ended.
    pub fn freeze(&mut self, name: &str) -> Result<()> {
        self.processes.freeze(name)?;
        self.set_condition(name, VmCondition::Frozen);
        Ok(())
    }

    /// Resumes a frozen process with SIGCONT.
    ///
    /// # Errors
    ///
    /// `Error::NotRunning` if the process has ended.
    pub fn wake(&mut self, name: &str) -> Result<()> {
        self.processes.signal(name, Signal::SIGCONT)?;
        self.set_condition(name, VmCondition::Running);
        Ok(())
    }

    /// Has a VM's daemon drain and exit, with SIGTERM. Calling it again is allowed.
    ///
    /// # Errors
    ///
    /// `Error::NotRunning` if the daemon has ended.
    pub fn terminate(&mut self, name: &str) -> Result<()> {
        self.processes.signal(name, Signal::SIGTERM)?;
        self.set_condition(name, VmCondition::Stopping);
        Ok(())
    }

    /// Returns how a process ended; none while it runs.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if there is none with the name.
    pub fn poll_exit(&self, name: &str) -> Result<Option<Exit>> {
        self.processes.poll_exit(name)
    }

    /// Waits until a process has ended, and returns how.
    ///
    /// # Errors
    ///
    /// `Error::PollLimitReached` if it does not end within `max_polls` polls.
    pub fn wait_exit(&self, name: &str, max_polls: u32) -> Result<Exit> {
        poll_until(&format!("{name} has ended"), max_polls, || {
            self.poll_exit(name)
        })
    }

    /// Changes the state of a VM or an upstream on the platform's VM list.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if the VM list has no entry with the name, `Error::Failed` if the
    /// stand-in refuses the change or can't be reached.
    pub fn list_state(&mut self, name: &str, state: VmState) -> Result<()> {
        let entry = self
            .listed_entries
            .iter_mut()
            .find(|entry| entry.name == name);
        let entry = entry.ok_or_else(|| Error::UnknownName(name.to_owned()))?;
        entry.state = state;
        let change = json!({"name": name, "state": state});
        self.standin(VM_LIST)?.post("/standin/state", &change)
    }

    /// Has the running daemons drain and exit, waits for them for a limited time, and then kills
    /// all processes.
    pub fn stop(self) {
        for vm in self.running_vms() {
            // A daemon that can't be signalled is killed below with all other processes.
            let _ = self.processes.signal(&vm.name, Signal::SIGTERM);
        }
        for vm in self.running_vms() {
            let _ = self.wait_exit(&vm.name, MAX_POLLS);
        }
        self.processes.close();
    }

    fn standins_named(&self, prefix: &str) -> Vec<(&str, &StandinClient)> {
        self.standins
            .iter()
            .filter(|(name, _)| name.starts_with(prefix))
            .map(|(name, client)| (name.as_str(), client))
            .collect()
    }

    fn set_condition(&mut self, name: &str, condition: VmCondition) {
        if let Some(vm) = self.vms.get_mut(name) {
            vm.condition = condition;
        }
    }

    fn settings_path(&self, vm: &str) -> PathBuf {
        self.directory.path().join(format!("{vm}.ini"))
    }

    fn address_of(&self, standin: &str) -> Result<SocketAddr> {
        Ok(self.standin(standin)?.address())
    }

    fn daemon_arguments(&self, vm: &str) -> Vec<OsString> {
        vec!["--settings".into(), self.settings_path(vm).into()]
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.close();
    }
}
