//! A running cluster: the platform's stand-ins, upstreams and VMs.

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

/// The name of the log's stand-in.
pub const LOG: &str = "log";
/// The name of the weight store's stand-in.
pub const WEIGHTS: &str = "weights";
/// The name of the stand-in of the list of VMs.
pub const VM_LIST: &str = "vmlist";

/// Who publishes, in the records of the control stream.
const OPERATOR: &str = "launcher";

/// `Cluster` is a running cluster. Dropping it ends all its processes.
#[derive(Debug)]
pub struct Cluster {
    options: ClusterOptions,
    processes: Processes,
    directory: TempDir,
    cluster_key: String,
    standins: BTreeMap<String, StandinClient>,
    vms: BTreeMap<String, Vm>,
    listing: Vec<VmEntry>,
}

/// `Vm` is a VM of a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its daemon listens.
    pub addresses: DaemonAddresses,
    /// What was done to it last.
    pub condition: VmCondition,
}

/// `VmCondition` is what was done to a VM last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmCondition {
    /// It was started or woken.
    Running,
    /// It was frozen.
    Frozen,
    /// It was told to stop.
    Stopping,
    /// It was killed.
    Killed,
}

impl Cluster {
    /// Returns the names of the VMs.
    pub fn vm_names(&self) -> Vec<String> {
        self.vms.keys().cloned().collect()
    }

    /// Returns the VMs that were not killed, frozen or told to stop.
    pub fn running_vms(&self) -> Vec<&Vm> {
        self.vms
            .values()
            .filter(|vm| vm.condition == VmCondition::Running)
            .collect()
    }

    /// Returns a VM.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if there is none of the name.
    pub fn vm(&self, name: &str) -> Result<&Vm> {
        let vm = self.vms.get(name);
        vm.ok_or_else(|| Error::UnknownName(name.to_owned()))
    }

    /// Returns a client of a stand-in.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if there is none of the name.
    pub fn standin(&self, name: &str) -> Result<&StandinClient> {
        let standin = self.standins.get(name);
        standin.ok_or_else(|| Error::UnknownName(name.to_owned()))
    }

    /// Returns the engines, by name.
    pub fn engines(&self) -> Vec<(&str, &StandinClient)> {
        self.standins_named(start::ENGINE_PREFIX)
    }

    /// Returns the instances of plain services, by name.
    pub fn services(&self) -> Vec<(&str, &StandinClient)> {
        self.standins_named(start::SERVICE_PREFIX)
    }

    /// Returns a client of a VM's operators' interface.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if there is no VM of the name.
    pub fn admin(&self, vm: &str) -> Result<AdminClient> {
        let address = self.vm(vm)?.addresses.admin;
        Ok(AdminClient::new(address, ClientOptions::default()))
    }

    /// Returns the processes.
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

    /// Waits until every running VM has replayed a version of the configuration.
    ///
    /// # Errors
    ///
    /// `Error::GaveUp` if one has not.
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

    /// Kills a process, frozen or not, and waits for its end.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if there is none of the name.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.processes.kill(name)?;
        self.note(name, VmCondition::Killed);
        Ok(())
    }

    /// Stops the time of a process, by SIGSTOP, and waits until it stands still.
    ///
    /// # Errors
    ///
    /// `Error::NotRunning` if the process has ended.
    pub fn freeze(&mut self, name: &str) -> Result<()> {
        self.processes.freeze(name)?;
        self.note(name, VmCondition::Frozen);
        Ok(())
    }

    /// Lets a frozen process go on, by SIGCONT.
    ///
    /// # Errors
    ///
    /// `Error::NotRunning` if the process has ended.
    pub fn wake(&mut self, name: &str) -> Result<()> {
        self.processes.signal(name, Signal::SIGCONT)?;
        self.note(name, VmCondition::Running);
        Ok(())
    }

    /// Asks a VM's daemon to stop gracefully, by SIGTERM. It may be repeated.
    ///
    /// # Errors
    ///
    /// `Error::NotRunning` if the daemon has ended.
    pub fn terminate(&mut self, name: &str) -> Result<()> {
        self.processes.signal(name, Signal::SIGTERM)?;
        self.note(name, VmCondition::Stopping);
        Ok(())
    }

    /// Returns how a process ended, or none while it runs.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if there is none of the name.
    pub fn poll_exit(&self, name: &str) -> Result<Option<Exit>> {
        self.processes.poll_exit(name)
    }

    /// Waits until a process has ended by itself.
    ///
    /// # Errors
    ///
    /// `Error::GaveUp` if it does not end within `limit` looks.
    pub fn wait_exit(&self, name: &str, limit: u32) -> Result<Exit> {
        poll_until(&format!("{name} has ended"), limit, || self.poll_exit(name))
    }

    /// Changes the state of a VM or an upstream on the platform's list.
    ///
    /// # Errors
    ///
    /// `Error::UnknownName` if the list has no such entry, `Error::Failed` if the stand-in fails.
    pub fn list_state(&mut self, name: &str, state: VmState) -> Result<()> {
        let entry = self.listing.iter_mut().find(|entry| entry.name == name);
        let entry = entry.ok_or_else(|| Error::UnknownName(name.to_owned()))?;
        entry.state = state;
        let change = json!({"name": name, "state": state});
        self.standin(VM_LIST)?.post("/standin/state", &change)
    }

    /// Stops the daemons gracefully, within a limit, and then ends all processes.
    pub fn stop(self) {
        for vm in self.running_vms() {
            // A daemon that can't be told is ended below with the rest.
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

    fn note(&mut self, name: &str, condition: VmCondition) {
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
