//! Start of a cluster and restart of its VMs.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use tempfile::TempDir;

use crate::cluster::Cluster;
use crate::cluster::LOG;
use crate::cluster::VM_LIST;
use crate::cluster::Vm;
use crate::cluster::VmCondition;
use crate::cluster::WEIGHTS;
use crate::cluster::options::ClusterOptions;
use crate::cluster::options::Flag;
use crate::cluster::options::UpstreamGroup;
use crate::cluster::settings_file::DaemonSettings;
use crate::cluster::settings_file::settings_text;
use crate::errors::Error;
use crate::errors::Result;
use crate::health::is_ready;
use crate::poll::MAX_POLLS;
use crate::poll::poll_until;
use crate::processes::Processes;
use crate::programs::Program;
use crate::ready::DaemonAddresses;
use crate::ready::ReadyLine;
use crate::standin::StandinClient;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::vm_list::VmState;

/// Prefix of the VMs' names.
pub(super) const VM_PREFIX: &str = "vm";
/// Prefix of the engines' names.
pub(super) const ENGINE_PREFIX: &str = "engine";
/// Prefix of the names of plain services' instances.
pub(super) const SERVICE_PREFIX: &str = "service";

/// Group of the VMs on the platform's VM list.
const VM_GROUP: &str = "entry";

/// Length in bytes of the key that the daemons share.
const KEY_BYTES: usize = 32;

impl Cluster {
    /// Starts a cluster and waits until every VM is ready. `prepare` receives the set of child
    /// processes before the first one starts, so that a signal handler can end them all.
    ///
    /// # Errors
    ///
    /// `Error::MissingProgram` if a program has not been built, `Error::NotReady` if a process does
    /// not print its ready line, `Error::PollLimitReached` if a VM does not become ready.
    pub fn start(options: ClusterOptions, prepare: impl FnOnce(&Processes)) -> Result<Self> {
        let directory = TempDir::with_prefix("apricotdale-")?;
        let log_dir = options.log_dir.clone();
        let log_dir = log_dir.unwrap_or_else(|| directory.path().to_owned());
        fs::create_dir_all(&log_dir)?;
        let processes = Processes::new(log_dir);
        prepare(&processes);
        let mut cluster = Self {
            options,
            processes,
            directory,
            cluster_key: random_key(),
            standins: BTreeMap::new(),
            vms: BTreeMap::new(),
            listed_entries: Vec::new(),
        };
        cluster.start_platform()?;
        cluster.start_upstreams()?;
        cluster.start_vms()?;
        Ok(cluster)
    }

    /// Kills a VM's daemon if it still runs, starts it again on new ports, lists it as live and
    /// waits until it is ready.
    ///
    /// # Errors
    ///
    /// As for [`Cluster::start`].
    pub fn restart(&mut self, vm: &str) -> Result<()> {
        self.restart_without_waiting(vm)?;
        self.wait_until_ready(vm)
    }

    /// Kills a VM's daemon if it still runs, starts it again on new ports and lists it as live.
    ///
    /// # Errors
    ///
    /// As for [`Cluster::start`].
    pub fn restart_without_waiting(&mut self, vm: &str) -> Result<()> {
        self.vm(vm)?;
        self.kill(vm)?;
        self.launch_daemon(vm)?;
        self.register_vm(vm)?;
        self.post_vm_list()
    }

    /// Waits until a VM is ready.
    ///
    /// # Errors
    ///
    /// `Error::PollLimitReached` if it does not become ready, `Error::NotReady` if it exits.
    pub fn wait_until_ready(&self, vm: &str) -> Result<()> {
        let address = self.vm(vm)?.addresses.callers;
        let condition = format!("{vm} is ready");
        poll_until(&condition, MAX_POLLS, || {
            if let Some(exit) = self.poll_exit(vm)? {
                let log = self.processes.log_tail(vm)?;
                return Err(Error::NotReady {
                    name: vm.to_owned(),
                    detail: format!("it exited with {exit:?}"),
                    log,
                });
            }
            Ok(is_ready(address).then_some(()))
        })
    }

    fn start_platform(&mut self) -> Result<()> {
        for (name, program) in [
            (LOG, Program::Log),
            (WEIGHTS, Program::Weights),
            (VM_LIST, Program::VmList),
        ] {
            self.launch_standin(name, program, &[])?;
        }
        for name in [LOG, WEIGHTS, VM_LIST] {
            self.register_standin(name)?;
        }
        Ok(())
    }

    fn start_upstreams(&mut self) -> Result<()> {
        let engines = numbered_upstreams(ENGINE_PREFIX, &self.options.engine_groups);
        let services = numbered_upstreams(SERVICE_PREFIX, &self.options.services);
        let weights = Flag::new("weights", self.address_of(WEIGHTS)?);
        for (name, group) in &engines {
            let mut flags = vec![Flag::new("name", name), weights.clone()];
            flags.extend(group.flags.iter().cloned());
            self.launch_standin(name, Program::Engine, &flags)?;
        }
        for (name, group) in &services {
            self.launch_standin(name, Program::Service, &group.flags)?;
        }
        for (index, (name, group)) in engines.iter().enumerate() {
            self.register_upstream(name, VmRole::Engine, &group.group, index)?;
        }
        for (index, (name, group)) in services.iter().enumerate() {
            self.register_upstream(name, VmRole::Service, &group.group, index)?;
        }
        self.post_vm_list()
    }

    fn start_vms(&mut self) -> Result<()> {
        let names: Vec<String> = (1..=self.options.vms)
            .map(|number| format!("{VM_PREFIX}{number}"))
            .collect();
        for (index, name) in names.iter().enumerate() {
            self.write_settings(name, &self.zone(index))?;
            self.launch_daemon(name)?;
        }
        for name in &names {
            self.register_vm(name)?;
        }
        self.post_vm_list()?;
        for name in &names {
            self.wait_until_ready(name)?;
        }
        Ok(())
    }

    fn launch_standin(&self, name: &str, program: Program, flags: &[Flag]) -> Result<()> {
        let common = self.options.flags.get(&program);
        let mut arguments: Vec<OsString> = Vec::new();
        for flag in flags.iter().chain(common.into_iter().flatten()) {
            arguments.push(format!("--{}", flag.name).into());
            arguments.push(flag.value.clone().into());
        }
        self.processes.start(name, program, arguments)
    }

    fn register_standin(&mut self, name: &str) -> Result<SocketAddr> {
        match self
            .processes
            .wait_ready(name, self.options.ready_timeout)?
        {
            ReadyLine::Standin(address) => {
                let client = StandinClient::new(address);
                self.standins.insert(name.to_owned(), client);
                Ok(address)
            }
            ReadyLine::Daemon(_) => Err(self.unexpected_ready_line(name)?),
        }
    }

    fn register_upstream(
        &mut self,
        name: &str,
        role: VmRole,
        group: &str,
        index: usize,
    ) -> Result<()> {
        let address = self.register_standin(name)?;
        self.listed_entries.push(VmEntry {
            name: name.to_owned(),
            role,
            group: GroupName::new(group),
            zone: ZoneName::from(self.zone(index)),
            address,
            peer_address: None,
            state: VmState::Live,
        });
        Ok(())
    }

    fn write_settings(&self, vm: &str, zone: &str) -> Result<()> {
        let daemon = DaemonSettings {
            vm,
            region: &self.options.region,
            zone,
            default_class: &self.options.default_class,
            log: self.address_of(LOG)?,
            weights: self.address_of(WEIGHTS)?,
            vm_list: self.address_of(VM_LIST)?,
            cluster_key: &self.cluster_key,
        };
        let text = settings_text(&daemon, &self.options.settings);
        fs::write(self.settings_path(vm), text)?;
        Ok(())
    }

    fn launch_daemon(&self, vm: &str) -> Result<()> {
        let arguments = self.daemon_arguments(vm);
        self.processes.start(vm, Program::Daemon, arguments)
    }

    fn register_vm(&mut self, name: &str) -> Result<()> {
        let addresses = self.daemon_addresses(name, self.options.ready_timeout)?;
        let known = self.vms.get(name);
        let zone = known.map_or_else(|| self.zone(self.vms.len()), |vm| vm.zone.clone());
        self.listed_entries.retain(|entry| entry.name != name);
        self.listed_entries.push(VmEntry {
            name: name.to_owned(),
            role: VmRole::Entry,
            group: GroupName::new(VM_GROUP),
            zone: ZoneName::new(&zone),
            address: addresses.callers,
            peer_address: Some(addresses.peers),
            state: VmState::Live,
        });
        let vm = Vm {
            name: name.to_owned(),
            zone,
            addresses,
            condition: VmCondition::Running,
        };
        self.vms.insert(name.to_owned(), vm);
        Ok(())
    }

    fn daemon_addresses(&self, name: &str, timeout: Duration) -> Result<DaemonAddresses> {
        match self.processes.wait_ready(name, timeout)? {
            ReadyLine::Daemon(addresses) => Ok(addresses),
            ReadyLine::Standin(_) => Err(self.unexpected_ready_line(name)?),
        }
    }

    fn unexpected_ready_line(&self, name: &str) -> Result<Error> {
        Ok(Error::NotReady {
            name: name.to_owned(),
            detail: "its ready line is that of another program".to_owned(),
            log: self.processes.log_tail(name)?,
        })
    }

    fn post_vm_list(&self) -> Result<()> {
        self.standin(VM_LIST)?
            .post("/standin/vms", &self.listed_entries)
    }

    fn zone(&self, index: usize) -> String {
        self.options.zones[index % self.options.zones.len()].clone()
    }
}

/// Returns the name of each upstream with its group; the names are numbered over all groups.
fn numbered_upstreams(prefix: &str, groups: &[UpstreamGroup]) -> Vec<(String, UpstreamGroup)> {
    groups
        .iter()
        .flat_map(|group| std::iter::repeat_n(group, group.count))
        .enumerate()
        .map(|(index, group)| (format!("{prefix}{}", index + 1), group.clone()))
        .collect()
}

fn random_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
