//! The newest configuration and the upstreams.

mod departing;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Position;

use crate::configuration::Configuration;
use crate::configuration::Route;
use crate::configuration::Service;
use crate::errors::Error;
use crate::errors::Result;
use crate::list_recovery::ListRecovery;
use crate::residence::Residence;
use crate::routes::RouteTable;
use crate::upstream::Upstream;
use crate::upstream::UpstreamPhase;
use crate::upstream::incarnation_name;

/// `DirectoryOptions` are the directory's times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryOptions {
    /// The shortest time without an answered read of the list, here or at another VM, in which
    /// entries can lapse. They do after three heartbeats of silence, so an outage must last for
    /// almost two. It is longer than a single read without an answer takes: if that counted as an
    /// outage, an upstream that leaves at that time would be kept for `restore_ms` more.
    pub lapse_ms: u64,
    /// How long after an outage of the list a live upstream's entry may be missing. The platform
    /// writes entries that lapsed during an outage again soon after its end.
    pub restore_ms: u64,
}

impl Default for DirectoryOptions {
    fn default() -> Self {
        Self {
            lapse_ms: 2_000,
            restore_ms: 2_000,
        }
    }
}

/// `DirectoryChange` is what a fact changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// Nothing that matters.
    None,
    /// An upstream came.
    Added,
    /// An upstream no longer takes new work, or is gone.
    Left,
    /// An upstream's entry vanished around an outage; it is used for a short time more.
    Lapsed,
    /// An instance has started again; its former run is over, with all that it had of requests.
    Restarted {
        /// The former run.
        former: UpstreamName,
    },
    /// What an upstream holds has changed.
    Residence,
}

/// `ListingChanges` are the upstreams that a whole list changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListingChanges {
    /// Those that take no new work any more, former runs among them.
    pub left: Vec<UpstreamName>,
    /// Those whose entries have vanished around an outage.
    pub lapsed: Vec<UpstreamName>,
}

/// `GoneRun` is what is remembered of a run that is over.
#[derive(Clone, Copy, Debug)]
struct GoneRun {
    /// Its last revision that was read. An entry that was written before the end can still be read
    /// later; it must not bring the run back.
    revision: u64,
    /// How far the list had been read when it was gone, if that is known.
    read_to: Position,
    /// Whether its instance has started again.
    restarted: bool,
}

impl GoneRun {
    /// Returns whether an entry of this run was written after it was gone.
    fn is_before(&self, read_to: Position, revision: u64) -> bool {
        match is_before(self.read_to, read_to) {
            Some(is_before) => is_before,
            None => self.revision < revision,
        }
    }
}

/// Returns whether of two places in the list the first is the earlier one; none if they can't be
/// compared. A list that came back from an older copy holds at later places what it held before.
fn is_before(first: Position, second: Position) -> Option<bool> {
    let comparable = !first.is_unknown() && !second.is_unknown() && first.era == second.era;
    comparable.then_some(first.offset < second.offset)
}

/// `NewestRun` is the latest run of an instance that is known.
#[derive(Clone, Debug)]
struct NewestRun {
    born_ms: u64,
    name: UpstreamName,
}

/// `Directory` keeps the newest configuration and the upstreams.
///
/// It never goes back: an older configuration, and an older entry of an upstream, change nothing.
#[derive(Debug)]
pub struct Directory {
    configuration: Configuration,
    routes: RouteTable,
    upstreams: HashMap<UpstreamName, Upstream>,
    recovery: ListRecovery,
    /// Upstreams whose entries vanished around an outage. They are used until the list is whole.
    lapsed: HashSet<UpstreamName>,
    gone: HashMap<UpstreamName, GoneRun>,
    /// The latest run of each instance, also of those that are gone: an entry of an earlier run can
    /// be read after it.
    runs: HashMap<InstanceName, NewestRun>,
    listed: bool,
    /// Grows with each change of the configuration or of an entry.
    changes: u64,
    /// How far the list had been read by whoever tells what is taken in now, if that is known.
    read_to: Position,
    /// How far the list had been read when each upstream was last there.
    there_at: HashMap<UpstreamName, Position>,
    /// Up to where the list was found to be the same as another VM's.
    same_up_to: Position,
}

impl Directory {
    /// Returns an empty directory.
    pub fn new(options: DirectoryOptions) -> Self {
        Self {
            configuration: Configuration::default(),
            routes: RouteTable::default(),
            upstreams: HashMap::new(),
            recovery: ListRecovery::new(options.lapse_ms, options.restore_ms),
            lapsed: HashSet::new(),
            gone: HashMap::new(),
            runs: HashMap::new(),
            listed: false,
            changes: 0,
            read_to: Position::default(),
            there_at: HashMap::new(),
            same_up_to: Position::default(),
        }
    }

    /// Returns a number that grows with each change of the configuration or of an entry.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns whether a configuration and a list of upstreams are known, so that requests can be
    /// served.
    pub fn is_complete(&self) -> bool {
        self.configuration.version > 0 && self.listed
    }

    /// Puts a configuration in force.
    ///
    /// # Errors
    ///
    /// [`Error::OlderVersion`] and [`Error::UnknownService`]; the one in force then stays.
    pub fn configure(&mut self, configuration: Configuration) -> Result<()> {
        if configuration.version < self.configuration.version {
            return Err(Error::OlderVersion {
                offered: configuration.version,
                in_force: self.configuration.version,
            });
        }
        for route in &configuration.routes {
            for share in &route.shares {
                if !configuration.services.contains_key(&share.service) {
                    return Err(Error::UnknownService {
                        route: route.name.to_string(),
                        service: share.service.to_string(),
                    });
                }
            }
        }
        self.changes += 1;
        self.routes = RouteTable::new(&configuration.routes);
        self.configuration = configuration;
        Ok(())
    }

    /// Returns the route of a request.
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        self.routes.find(host, target)
    }

    /// Returns a service.
    pub fn service(&self, name: &GroupName) -> Option<&Arc<Service>> {
        self.configuration.services.get(name)
    }

    /// Notes how far the list had been read by whoever tells what is taken in next, this VM or
    /// another; the first position if that is not known. The list is a log, so that of two things
    /// the later one in it counts, whichever is heard of first.
    pub fn set_read_position(&mut self, position: Position) {
        self.read_to = position;
    }

    /// Takes in an entry of the list. One of an earlier run than the latest that is known changes
    /// nothing, and one of a later run ends the run before it.
    pub fn record_entry(&mut self, entry: Upstream) -> DirectoryChange {
        self.changes += 1;
        let newest = self.runs.get(&entry.instance);
        if newest.is_some_and(|newest| entry.born_ms < newest.born_ms) {
            return DirectoryChange::None;
        }
        match self.gone.get(&entry.name) {
            Some(last) if last.restarted || !last.is_before(self.read_to, entry.revision) => {
                return DirectoryChange::None;
            }
            _ => self.gone.remove(&entry.name),
        };
        let there_at = self.there_at.entry(entry.name.clone()).or_default();
        *there_at = self.read_to.max(*there_at);
        self.lapsed.remove(&entry.name);
        let Some(known) = self.upstreams.get_mut(&entry.name) else {
            return self.begin_run(entry);
        };
        if entry.revision < known.revision {
            return DirectoryChange::None;
        }
        let change = match () {
            _ if known.phase == UpstreamPhase::Serving && entry.phase == UpstreamPhase::Leaving => {
                DirectoryChange::Left
            }
            _ if known.residence != entry.residence => DirectoryChange::Residence,
            _ => DirectoryChange::None,
        };
        // A notice is not taken back: an entry that was written before it may be read after it.
        let phase = match known.phase {
            UpstreamPhase::Leaving => UpstreamPhase::Leaving,
            UpstreamPhase::Serving => entry.phase,
        };
        *known = Upstream { phase, ..entry };
        change
    }

    /// Takes in an entry as another VM tells it, without the engine's copies of weights.
    pub fn record_peer_entry(&mut self, mut entry: Upstream) -> DirectoryChange {
        self.keep_copies(&mut entry);
        self.record_entry(entry)
    }

    /// Keeps what is known here of an engine's copies of weights, which other VMs do not tell.
    fn keep_copies(&self, entry: &mut Upstream) {
        if let Some(known) = self.upstreams.get(&entry.name) {
            entry
                .residence
                .in_memory
                .clone_from(&known.residence.in_memory);
            entry.residence.on_disk.clone_from(&known.residence.on_disk);
        }
    }

    /// Takes in a copy of the list that another VM has read. `is_newer` says that it was read later
    /// than what this VM knows, so that an upstream which it does not name has left.
    pub fn apply_snapshot(
        &mut self,
        now_ms: u64,
        mut entries: Vec<Upstream>,
        is_newer: bool,
    ) -> ListingChanges {
        for entry in &mut entries {
            self.keep_copies(entry);
        }
        match is_newer {
            true => self.apply_listing(now_ms, entries),
            false => {
                let mut changes = ListingChanges::default();
                self.note_entries(entries, &mut changes);
                changes
            }
        }
    }

    /// Takes in a run that is not known yet.
    fn begin_run(&mut self, entry: Upstream) -> DirectoryChange {
        let newest = NewestRun {
            born_ms: entry.born_ms,
            name: entry.name.clone(),
        };
        let former = self.runs.insert(entry.instance.clone(), newest);
        let former = former.map(|former| former.name);
        let former = former.filter(|former| *former != entry.name);
        self.upstreams.insert(entry.name.clone(), entry);
        match former {
            Some(former) if self.end_run(&former) => DirectoryChange::Restarted { former },
            _ => DirectoryChange::Added,
        }
    }

    /// Ends a run whose instance has started again. Returns whether it was still known.
    fn end_run(&mut self, former: &UpstreamName) -> bool {
        let was_known = self.upstreams.contains_key(former);
        self.remove(former);
        if let Some(gone) = self.gone.get_mut(former) {
            gone.restarted = true;
        }
        was_known
    }

    /// Takes in that an upstream says of itself that it started later than the run that is known:
    /// its entry in the list is still the one of the former run. The later run is taken from what
    /// the upstream says it holds, at the address at which it answered.
    pub fn record_restart(
        &mut self,
        former: &UpstreamName,
        born_ms: u64,
        residence: Residence,
    ) -> DirectoryChange {
        match self.upstreams.get(former) {
            Some(known) if known.born_ms > 0 && born_ms > known.born_ms => {
                let entry = Upstream {
                    name: incarnation_name(&known.instance, born_ms),
                    born_ms,
                    phase: UpstreamPhase::Serving,
                    leaves_in_ms: None,
                    revision: 0,
                    residence,
                    ..known.clone()
                };
                self.record_entry(entry)
            }
            _ => DirectoryChange::None,
        }
    }

    /// Returns the latest run of an instance that is known, unless it is gone.
    pub fn current_incarnation(&self, instance: &InstanceName) -> Option<&UpstreamName> {
        let name = &self.runs.get(instance)?.name;
        self.upstreams.contains_key(name).then_some(name)
    }

    /// Returns whether a run is over because its instance has started again: whatever it had of
    /// requests has ended.
    pub fn has_restarted(&self, name: &UpstreamName) -> bool {
        self.gone.get(name).is_some_and(|gone| gone.restarted)
    }

    /// Takes in a whole list. Upstreams that it does not name have vanished.
    pub fn apply_listing(&mut self, now_ms: u64, entries: Vec<Upstream>) -> ListingChanges {
        let named: HashSet<InstanceName> =
            entries.iter().map(|entry| entry.instance.clone()).collect();
        let missing: Vec<UpstreamName> = self
            .upstreams
            .values()
            .filter(|upstream| !named.contains(&upstream.instance))
            .map(|upstream| upstream.name.clone())
            .collect();
        let mut changes = ListingChanges::default();
        for name in missing {
            match self.record_missing_entry(now_ms, &name) {
                DirectoryChange::Left => changes.left.push(name),
                DirectoryChange::Lapsed => changes.lapsed.push(name),
                _ => {}
            }
        }
        self.note_entries(entries, &mut changes);
        self.listed = true;
        changes
    }

    fn note_entries(&mut self, entries: Vec<Upstream>, changes: &mut ListingChanges) {
        for entry in entries {
            let name = entry.name.clone();
            match self.record_entry(entry) {
                DirectoryChange::Left => changes.left.push(name),
                DirectoryChange::Restarted { former } => changes.left.push(former),
                _ => {}
            }
        }
    }

    /// Returns whether a list of upstreams was read, here or by a VM whose copy this one took in.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Returns an upstream.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.get(name)
    }

    /// Returns an upstream to note what it holds.
    pub fn upstream_mut(&mut self, name: &UpstreamName) -> Option<&mut Upstream> {
        self.upstreams.get_mut(name)
    }

    /// Returns every known upstream.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a service that take new work.
    pub fn serving<'a>(&'a self, service: &'a GroupName) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.values().filter(move |upstream| {
            &upstream.service == service && upstream.phase == UpstreamPhase::Serving
        })
    }
}
