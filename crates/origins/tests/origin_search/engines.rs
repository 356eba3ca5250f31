//! Engines, their processes, and the upstream list in the store.

use std::collections::BTreeMap;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::origin::Origin;

/// Entry of an engine in the upstream list, or a VM's copy of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub service: GroupName,
    pub incarnation: UpstreamName,
    pub version: Option<SoftwareVersion>,
    pub is_serving: bool,
}

impl Entry {
    pub fn origin(&self) -> Origin {
        Origin {
            service: self.service.clone(),
            version: self.version.clone(),
            upstream: Some(self.incarnation.clone()),
        }
    }
}

/// Process of an engine.
#[derive(Clone, Debug)]
pub struct Process {
    pub service: GroupName,
    pub instance: InstanceName,
    pub incarnation: UpstreamName,
    /// Version of what it writes for requests that begin now.
    pub version: SoftwareVersion,
    pub has_listed_version: bool,
    pub is_alive: bool,
    pub is_leaving: bool,
    /// Whether it rejects requests until all VMs have read its entry, because it replaced another
    /// process of the same name, or changed.
    pub rejects_since_ms: Option<u64>,
}

/// Identity of what wrote an event. Events of one stream must have the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Writer {
    Version(GroupName, SoftwareVersion),
    /// Process of unknown version.
    Process(usize),
}

/// All engines.
#[derive(Debug, Default)]
pub struct Engines {
    pub processes: Vec<Process>,
    /// Process that serves under each instance name.
    pub current: BTreeMap<InstanceName, usize>,
    /// Whether processes accept requests before the VMs have read that they replaced others.
    pub accepts_at_once: bool,
    /// Upstream list in the store.
    pub list: BTreeMap<InstanceName, Entry>,
}

impl Engines {
    /// Starts a process, which replaces the one of the same instance.
    pub fn start(
        &mut self,
        now_ms: u64,
        service: &GroupName,
        instance: &InstanceName,
        version: &SoftwareVersion,
        has_listed_version: bool,
    ) {
        let number = self.processes.len();
        if let Some(former) = self.current.insert(instance.clone(), number) {
            self.processes[former].is_alive = false;
        }
        let is_replacement = self.processes.iter().any(|it| it.instance == *instance);
        self.processes.push(Process {
            service: service.clone(),
            instance: instance.clone(),
            incarnation: UpstreamName::from(format!("{instance}@{number}")),
            version: version.clone(),
            has_listed_version,
            is_alive: true,
            is_leaving: false,
            rejects_since_ms: is_replacement
                .then_some(now_ms)
                .filter(|_| !self.accepts_at_once),
        });
        self.write_entry(instance);
    }

    /// Writes the entry of an instance's process.
    pub fn write_entry(&mut self, instance: &InstanceName) {
        let process = &self.processes[self.current[instance]];
        let version = Some(process.version.clone()).filter(|_| process.has_listed_version);
        let entry = Entry {
            service: process.service.clone(),
            incarnation: process.incarnation.clone(),
            version,
            is_serving: !process.is_leaving,
        };
        self.list.insert(instance.clone(), entry);
    }

    /// Changes the version of a process and of its entry in place.
    pub fn change(&mut self, now_ms: u64, instance: &InstanceName, version: &SoftwareVersion) {
        let process = &mut self.processes[self.current[instance]];
        process.version = version.clone();
        process.rejects_since_ms = Some(now_ms).filter(|_| !self.accepts_at_once);
        self.write_entry(instance);
    }

    /// Ends a process and returns its number.
    pub fn end(&mut self, instance: &InstanceName) -> Option<usize> {
        let number = self.current.remove(instance)?;
        self.processes[number].is_alive = false;
        Some(number)
    }

    /// Removes the entry of a process, unless another one has replaced it.
    pub fn remove_entry(&mut self, number: usize) {
        let process = &self.processes[number];
        let is_own = |entry: &Entry| entry.incarnation == process.incarnation;
        if self.list.get(&process.instance).is_some_and(is_own) {
            self.list.remove(&process.instance);
        }
    }

    pub fn writer(&self, number: usize) -> Writer {
        let process = &self.processes[number];
        match process.has_listed_version {
            true => Writer::Version(process.service.clone(), process.version.clone()),
            false => Writer::Process(number),
        }
    }

    /// Returns how many engines serve that a stream of this writer may go on at.
    pub fn serving_alike(&self, writer: &Writer) -> usize {
        let current = self.current.values();
        current
            .filter(|number| {
                let process = &self.processes[**number];
                let accepts = process.rejects_since_ms.is_none() && !process.is_leaving;
                accepts && self.writer(**number) == *writer
            })
            .count()
    }
}
