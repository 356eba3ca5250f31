//! The configuration in force and the known upstreams.

mod departures;

use std::collections::BTreeMap;
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
use crate::route_table::RouteTable;
use crate::upstream::Upstream;
use crate::upstream::UpstreamPhase;
use crate::upstream::incarnation_name;

/// Time limits that decide how a missing entry of the upstream list is interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryOptions {
    /// Shortest time without an answered read of the upstream list, by this or another VM, in which
    /// entries can lapse, in milliseconds. An entry lapses after three missed heartbeats, so an
    /// outage must last for almost two heartbeat intervals. The limit exceeds the time that one
    /// unanswered read takes: if such a read counted as an outage, an upstream that leaves
    /// meanwhile would stay in use for a further `restore_ms`.
    pub lapse_ms: u64,
    /// Time after an outage of the upstream list during which a live upstream's entry may still be
    /// missing, in milliseconds. The platform rewrites entries that lapsed during an outage soon
    /// after its end.
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

/// Effect of one applied fact on the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// Nothing that callers have to act on.
    None,
    /// An upstream was added.
    Added,
    /// An upstream no longer accepts new work, or was removed.
    Left,
    /// An upstream's entry went missing around an outage. The upstream stays in use until the
    /// upstream list is complete again.
    Lapsed,
    /// An instance has restarted. Its former incarnation has ended, and so have all requests that
    /// were running there.
    Restarted {
        /// Name of the former incarnation.
        former: UpstreamName,
    },
    /// The set of models or adapters resident on an upstream has changed.
    Residence,
}

/// Upstreams affected by applying a complete upstream list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListingChanges {
    /// Upstreams that no longer accept new work, including former incarnations of restarted ones.
    pub left: Vec<UpstreamName>,
    /// Upstreams whose entries went missing around an outage of the store. They stay in use until
    /// the upstream list is complete again.
    pub lapsed: Vec<UpstreamName>,
}

/// Record of an incarnation that has ended or whose entry is missing.
#[derive(Clone, Copy, Debug)]
struct EndedIncarnation {
    /// Last revision that was read. An entry written before the end can be read after it, and must
    /// not add the incarnation again.
    revision: u64,
    /// Position up to which the upstream list had been read at the end; unknown if default.
    read_to: Position,
    /// Whether the instance has restarted, which makes the end final.
    restarted: bool,
    /// Whether the incarnation gave notice that it leaves, which makes the end final too: an entry
    /// that is read later was written by a process that does not accept requests any more.
    gave_notice: bool,
}

impl EndedIncarnation {
    fn is_final(&self) -> bool {
        self.restarted || self.gave_notice
    }

    /// Returns whether an entry of this incarnation was written after its end.
    fn is_before(&self, read_to: Position, revision: u64) -> bool {
        match is_before(self.read_to, read_to) {
            Some(is_before) => is_before,
            None => self.revision < revision,
        }
    }
}

/// Returns whether `first` precedes `second` in the upstream list, or `None` if the two can't be
/// compared: after a rollback of the store, later positions repeat earlier content.
fn is_before(first: Position, second: Position) -> Option<bool> {
    let comparable = !first.is_unknown() && !second.is_unknown() && first.era == second.era;
    comparable.then_some(first.offset < second.offset)
}

/// Latest known incarnation of an instance.
#[derive(Clone, Debug)]
struct LatestIncarnation {
    born_ms: u64,
    name: UpstreamName,
}

/// Configuration in force and the known upstreams.
///
/// State never moves backwards: an older configuration, or an older entry of an upstream, changes
/// nothing.
#[derive(Debug)]
pub struct Directory {
    configuration: Configuration,
    routes: RouteTable,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    recovery: ListRecovery,
    /// Upstreams whose entries went missing around an outage. They stay in use until the upstream
    /// list is complete again.
    lapsed: HashSet<UpstreamName>,
    ended: HashMap<UpstreamName, EndedIncarnation>,
    /// Latest incarnation of each instance, including removed ones, because an entry of an earlier
    /// incarnation can be read after the removal.
    latest: HashMap<InstanceName, LatestIncarnation>,
    listed: bool,
    /// Number of changes so far, as returned by [`Self::changes`].
    changes: u64,
    /// Position up to which the VM that provides the current facts had read the upstream list;
    /// unknown if default.
    read_to: Position,
    /// Position of the upstream list at which each upstream was last present.
    last_seen_at: HashMap<UpstreamName, Position>,
    /// Position up to which this VM's upstream list was found to equal another VM's.
    confirmed_up_to: Position,
}

impl Directory {
    /// Returns a directory without configuration and upstreams.
    pub fn new(options: DirectoryOptions) -> Self {
        Self {
            configuration: Configuration::default(),
            routes: RouteTable::default(),
            upstreams: BTreeMap::new(),
            recovery: ListRecovery::new(options.lapse_ms, options.restore_ms),
            lapsed: HashSet::new(),
            ended: HashMap::new(),
            latest: HashMap::new(),
            listed: false,
            changes: 0,
            read_to: Position::default(),
            last_seen_at: HashMap::new(),
            confirmed_up_to: Position::default(),
        }
    }

    /// Returns a counter that increases with each change of the configuration or of an entry.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the version of the configuration in force, or 0 before the first one.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the configuration in force; empty, with version 0, before the first one.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns whether a configuration and an upstream list are known, so that requests can be
    /// served.
    pub fn is_complete(&self) -> bool {
        self.configuration.version > 0 && self.listed
    }

    /// Replaces the configuration in force, unless the given one is older or inconsistent.
    ///
    /// # Errors
    ///
    /// [`Error::OlderVersion`] if the version is below the one in force, and
    /// [`Error::UnknownService`] if a route names a service that the configuration lacks. The
    /// configuration in force then stays.
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

    /// Returns the route of a request, or `None` if no route has its host and path prefix.
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        self.routes.find(host, target)
    }

    /// Returns the configured service of this name.
    pub fn service(&self, name: &GroupName) -> Option<&Arc<Service>> {
        self.configuration.services.get(name)
    }

    /// Sets the position up to which the source of the following facts, this VM or another, had
    /// read the upstream list; the default position if that is unknown. The upstream list is a log,
    /// so of two contradicting facts the one at the later position counts, whichever arrives first.
    pub fn set_read_position(&mut self, position: Position) {
        self.read_to = position;
    }

    /// Records an entry of the upstream list. An entry of an earlier incarnation than the latest
    /// known one is ignored, and an entry of a later incarnation ends the one before it.
    pub fn record_entry(&mut self, entry: Upstream) -> DirectoryChange {
        self.changes += 1;
        let newest = self.latest.get(&entry.instance);
        if newest.is_some_and(|newest| entry.born_ms < newest.born_ms) {
            return DirectoryChange::None;
        }
        match self.ended.get(&entry.name) {
            Some(last) if last.is_final() || !last.is_before(self.read_to, entry.revision) => {
                return DirectoryChange::None;
            }
            _ => self.ended.remove(&entry.name),
        };
        let last_seen_at = self.last_seen_at.entry(entry.name.clone()).or_default();
        *last_seen_at = self.read_to.max(*last_seen_at);
        self.lapsed.remove(&entry.name);
        let Some(known) = self.upstreams.get_mut(&entry.name) else {
            return self.add_incarnation(entry);
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
        // A copy of the entry by another VM may lack the version of the incarnation. If the start
        // time is not reported, a later entry may be that of a restarted process.
        let is_same_process = entry.born_ms > 0 || entry.revision == known.revision;
        let known_version = known.version.as_ref().filter(|_| is_same_process);
        let version = entry.version.as_ref().or(known_version).cloned();
        // A leave notice is final: an entry that was written before it may be read after it.
        let phase = match known.phase {
            UpstreamPhase::Leaving => UpstreamPhase::Leaving,
            UpstreamPhase::Serving => entry.phase,
        };
        *known = Upstream {
            phase,
            version,
            ..entry
        };
        change
    }

    /// Records an entry received from another VM, which lacks the engine's cached weights.
    pub fn record_peer_entry(&mut self, mut entry: Upstream) -> DirectoryChange {
        self.keep_cached_models(&mut entry);
        self.record_entry(entry)
    }

    /// Copies the cached weights known here into an entry received from another VM.
    fn keep_cached_models(&self, entry: &mut Upstream) {
        if let Some(known) = self.upstreams.get(&entry.name) {
            entry
                .residence
                .in_memory
                .clone_from(&known.residence.in_memory);
            entry.residence.on_disk.clone_from(&known.residence.on_disk);
        }
    }

    /// Applies a snapshot of the upstream list that another VM has read. `is_newer` says that the
    /// snapshot is newer than this VM's own state, so that an upstream missing from it has left.
    pub fn apply_snapshot(
        &mut self,
        now_ms: u64,
        mut entries: Vec<Upstream>,
        is_newer: bool,
    ) -> ListingChanges {
        for entry in &mut entries {
            self.keep_cached_models(entry);
        }
        match is_newer {
            true => self.apply_listing(now_ms, entries),
            false => {
                let mut changes = ListingChanges::default();
                self.record_entries(entries, &mut changes);
                changes
            }
        }
    }

    /// Adds an incarnation that is not known yet and ends the former one of its instance.
    fn add_incarnation(&mut self, entry: Upstream) -> DirectoryChange {
        let newest = LatestIncarnation {
            born_ms: entry.born_ms,
            name: entry.name.clone(),
        };
        let former = self.latest.insert(entry.instance.clone(), newest);
        let former = former.map(|former| former.name);
        let former = former.filter(|former| *former != entry.name);
        self.upstreams.insert(entry.name.clone(), entry);
        match former {
            Some(former) if self.end_incarnation(&former) => DirectoryChange::Restarted { former },
            _ => DirectoryChange::Added,
        }
    }

    /// Ends an incarnation whose instance has restarted. Returns whether it was still in use.
    fn end_incarnation(&mut self, former: &UpstreamName) -> bool {
        let was_known = self.upstreams.contains_key(former);
        self.remove(former);
        if let Some(ended) = self.ended.get_mut(former) {
            ended.restarted = true;
        }
        was_known
    }

    /// Records an upstream's own report that it started later than the known incarnation, while the
    /// upstream list still has the entry of the former one. The new incarnation takes its residence
    /// from the report, and its address from the former one, at which it answered.
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
                    // The instance may have restarted with other software.
                    version: None,
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

    /// Returns the latest known incarnation of an instance, or `None` if it was removed.
    pub fn current_incarnation(&self, instance: &InstanceName) -> Option<&UpstreamName> {
        let name = &self.latest.get(instance)?.name;
        self.upstreams.contains_key(name).then_some(name)
    }

    /// Returns whether an incarnation has ended because its instance restarted, which also ended
    /// every request that was running there.
    pub fn has_restarted(&self, name: &UpstreamName) -> bool {
        self.ended.get(name).is_some_and(|ended| ended.restarted)
    }

    /// Applies a complete upstream list. The entries of known upstreams that it lacks are missing.
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
        self.record_entries(entries, &mut changes);
        self.listed = true;
        changes
    }

    fn record_entries(&mut self, entries: Vec<Upstream>, changes: &mut ListingChanges) {
        for entry in entries {
            let name = entry.name.clone();
            match self.record_entry(entry) {
                DirectoryChange::Left => changes.left.push(name),
                DirectoryChange::Restarted { former } => changes.left.push(former),
                _ => {}
            }
        }
    }

    /// Returns whether a complete upstream list was read by this VM or received as a snapshot.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Returns the upstream of this name, whether or not it accepts new work.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.get(name)
    }

    /// Returns the upstream of this name for updates of its residence.
    pub fn upstream_mut(&mut self, name: &UpstreamName) -> Option<&mut Upstream> {
        self.upstreams.get_mut(name)
    }

    /// Returns all known upstreams, including leaving and lapsed ones.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns the upstreams of a service that accept new work.
    pub fn serving<'a>(&'a self, service: &'a GroupName) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.values().filter(move |upstream| {
            &upstream.service == service && upstream.phase == UpstreamPhase::Serving
        })
    }

    /// Returns the number of requests that the upstreams of a service run at once. Each counts for at
    /// most `configured_slots`, whatever its entry states.
    pub fn capacity(&self, service: &GroupName, configured_slots: u32) -> u32 {
        self.serving(service).fold(0, |sum, upstream| {
            sum.saturating_add(upstream.slots.min(configured_slots))
        })
    }
}
