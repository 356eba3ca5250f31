//! Decisions of one VM on its paths to upstreams.

mod probes;

use std::collections::HashMap;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::direct_path::DirectPath;
use crate::direct_path::PathFailure;
use crate::options::Options;
use crate::relays::PathAnswer;
use crate::relays::Relays;

/// Time between two checks of statements that become too old.
const CHECK_INTERVAL_MS: u64 = 100;

/// Change of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The direct path has been lost.
    Lost(UpstreamName, PathFailure),
    /// Another VM reaches the upstream: connections to it are relayed.
    Relayed(UpstreamName),
    /// No other VM reaches the upstream any more.
    NotRelayed(UpstreamName),
    /// The direct path is back.
    Restored(UpstreamName),
}

/// What is due now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DuePathWork {
    /// Upstreams to probe directly. Each is returned once until the outcome is recorded.
    pub probes: Vec<UpstreamName>,
    /// Upstreams to ask other VMs for; empty if nothing is to be asked.
    pub query: Vec<UpstreamName>,
    /// VMs that are known to reach upstreams, which are asked first.
    pub known_relays: Vec<VmName>,
}

/// What follows from the outcome of a probe.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProbeEffect {
    /// VMs that have asked for the upstream, and are told that it is reached.
    pub tell: Vec<VmName>,
}

/// Direct paths of this VM and what other VMs say of theirs.
#[derive(Debug)]
pub struct Paths {
    options: Options,
    random: ChaCha8Rng,
    by_name: HashMap<UpstreamName, DirectPath>,
    /// Number of lost paths, so that the usual case needs no search.
    lost: usize,
    relays: Relays,
    /// When a new direct connection to an upstream of each service last brought an answer.
    opened_ms: HashMap<GroupName, u64>,
    /// VMs that wait for the outcome of a probe.
    askers: HashMap<UpstreamName, Vec<VmName>>,
    changes: Vec<PathChange>,
    next_query_ms: u64,
    query_pause_ms: u64,
    /// Earliest time of the next direct probe among the relayed paths.
    next_probe_ms: u64,
    /// Earliest time of the next batch of probes that were requested.
    next_batch_ms: u64,
    next_check_ms: u64,
    /// Earliest time at which a probe is wanted.
    next_wanted_ms: u64,
    /// Time up to which failures are ignored, because this process was paused.
    ignored_until_ms: u64,
    /// Time since which another VM reaches more engines than this one.
    behind_since_ms: Option<u64>,
}

impl Paths {
    /// Returns a state in which all paths are open.
    pub fn new(options: Options) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            options,
            by_name: HashMap::new(),
            lost: 0,
            relays: Relays::default(),
            opened_ms: HashMap::new(),
            askers: HashMap::new(),
            changes: Vec::new(),
            next_query_ms: 0,
            query_pause_ms: 0,
            next_probe_ms: 0,
            next_batch_ms: 0,
            next_check_ms: 0,
            next_wanted_ms: u64::MAX,
            ignored_until_ms: 0,
            behind_since_ms: None,
        }
    }

    /// Records that bytes came from an upstream on a direct connection. `new_at` is the upstream's
    /// service if they are the first ones on that connection: where new connections are refused,
    /// open ones may go on.
    pub fn record_received(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        new_at: Option<&GroupName>,
    ) {
        if let Some(service) = new_at {
            match self.opened_ms.get_mut(service) {
                Some(at_ms) => *at_ms = now_ms,
                None => {
                    self.opened_ms.insert(service.clone(), now_ms);
                }
            }
        }
        let Some(path) = self.by_name.get_mut(upstream) else {
            let path = DirectPath {
                received_ms: Some(now_ms),
                opened_ms: new_at.map(|_| now_ms),
                ..DirectPath::default()
            };
            self.by_name.insert(upstream.clone(), path);
            return;
        };
        path.received_ms = Some(now_ms);
        if new_at.is_some() {
            path.opened_ms = Some(now_ms);
        }
        let proves = |failure: PathFailure| new_at.is_some() || failure == PathFailure::Silent;
        if path.lost.is_some_and(|lost| proves(lost.failure)) {
            self.restore(now_ms, upstream);
        }
    }

    /// Records that a new direct connection to an upstream of a service, begun at a time, failed. It
    /// shows nothing if a later one has succeeded meanwhile. A probe follows at once. An upstream that has no room resets new connections too, so that a reset counts
    /// only while no new connection to the service succeeds.
    pub fn record_failure(
        &mut self,
        now_ms: u64,
        begun_ms: u64,
        upstream: &UpstreamName,
        service: &GroupName,
        failure: PathFailure,
    ) {
        let has_opened = |at_ms: &u64| now_ms.saturating_sub(*at_ms) <= self.options.no_open_ms;
        let is_full =
            failure == PathFailure::Reset && self.opened_ms.get(service).is_some_and(has_opened);
        if is_full || now_ms < self.ignored_until_ms {
            return;
        }
        let path = self.by_name.entry(upstream.clone()).or_default();
        if path.opened_ms.is_some_and(|at_ms| at_ms > begun_ms) {
            return;
        }
        let was_open = path.lose(now_ms, failure, &self.options);
        let is_known = path
            .probed_ms
            .is_some_and(|at_ms| at_ms + self.options.fresh_ms > now_ms);
        if was_open && !is_known {
            path.want_probe(now_ms);
            self.next_wanted_ms = now_ms;
        }
        if was_open {
            self.lost += 1;
            self.changes
                .push(PathChange::Lost(upstream.clone(), failure));
            // Another VM may reach it, and is asked at once.
            self.query_pause_ms = 0;
            self.next_query_ms = now_ms;
            self.next_check_ms = self.next_check_ms.min(now_ms + CHECK_INTERVAL_MS);
        }
    }

    /// Records that an open direct connection broke, which a new one shows to be a matter of the
    /// path or not.
    pub fn record_broken(&mut self, now_ms: u64, upstream: &UpstreamName) {
        self.request_probe(now_ms, upstream, now_ms);
    }

    /// Records that another VM does not reach an upstream. This VM probes it, unless bytes of it
    /// have just come. The delay spreads the probes of many VMs.
    pub fn record_doubt(&mut self, now_ms: u64, upstream: &UpstreamName, delay_ms: u64) {
        self.request_probe(now_ms, upstream, now_ms + delay_ms);
    }

    fn request_probe(&mut self, now_ms: u64, upstream: &UpstreamName, at_ms: u64) {
        let fresh_ms = self.options.fresh_ms;
        let path = self.by_name.entry(upstream.clone()).or_default();
        let is_recent = |probed_ms: u64| now_ms.saturating_sub(probed_ms) < fresh_ms;
        let is_known = path.is_fresh(now_ms, &self.options) || path.is_relayed();
        if !is_known && !path.probed_ms.is_some_and(is_recent) {
            path.want_probe(at_ms);
            self.next_wanted_ms = self.next_wanted_ms.min(at_ms);
        }
    }

    /// Records the outcome of a direct probe on a new connection, begun at a time.
    pub fn record_probe(
        &mut self,
        now_ms: u64,
        begun_ms: u64,
        upstream: &UpstreamName,
        service: &GroupName,
        outcome: Result<(), PathFailure>,
    ) -> ProbeEffect {
        if let Some(path) = self.by_name.get_mut(upstream) {
            path.probe_in_progress = false;
        }
        match outcome {
            Ok(()) => {
                self.record_received(now_ms, upstream, Some(service));
                if let Some(path) = self.by_name.get_mut(upstream) {
                    path.asked_probe_pause_ms = 0;
                }
                let tell = self.askers.remove(upstream).unwrap_or_default();
                ProbeEffect { tell }
            }
            Err(failure) => {
                self.record_failure(now_ms, begun_ms, upstream, service, failure);
                self.askers.remove(upstream);
                ProbeEffect::default()
            }
        }
    }

    /// Records that a probe has ended, which was perhaps not even begun.
    pub fn abandon_probe(&mut self, upstream: &UpstreamName) {
        if let Some(path) = self.by_name.get_mut(upstream) {
            path.probe_in_progress = false;
        }
    }

    /// Records another VM's question, and returns those of the upstreams that this VM is known to
    /// reach. The others are probed if that has not just been done, and the VM is told later.
    pub fn record_query(
        &mut self,
        now_ms: u64,
        asker: &VmName,
        upstreams: &[UpstreamName],
    ) -> Vec<UpstreamName> {
        let mut reached = Vec::new();
        for upstream in upstreams {
            let options = &self.options;
            // An upstream that this VM has never heard of may be new to it.
            let path = self.by_name.entry(upstream.clone()).or_default();
            if path.is_fresh(now_ms, options) {
                reached.push(upstream.clone());
                continue;
            }
            if !path.probe_in_progress && now_ms >= path.asked_probe_from_ms {
                let pause_ms = 2 * path
                    .asked_probe_pause_ms
                    .max(options.asked_probe_pause_ms / 2);
                path.asked_probe_pause_ms = pause_ms.min(options.max_asked_probe_pause_ms);
                path.asked_probe_from_ms = now_ms + path.asked_probe_pause_ms;
                path.want_probe(now_ms);
                self.next_wanted_ms = now_ms;
            }
            if path.probe_in_progress || path.probe_wanted_ms.is_some() {
                let askers = self.askers.entry(upstream.clone()).or_default();
                if !askers.contains(asker) {
                    askers.push(asker.clone());
                }
            }
        }
        reached
    }

    /// Records what another VM says of its paths.
    pub fn record_answer(&mut self, now_ms: u64, vm: &VmName, answer: PathAnswer) {
        if self.lost > 0 {
            self.relays.record_answer(now_ms, vm, answer);
            self.update_relayed(now_ms);
        }
    }

    /// Records that a connection through a VM failed: for one upstream, or for all if the VM itself
    /// was not reached.
    pub fn record_relay_failure(
        &mut self,
        now_ms: u64,
        vm: &VmName,
        upstream: Option<&UpstreamName>,
    ) {
        self.relays.avoid(now_ms, vm, upstream, &self.options);
        self.next_query_ms = self.next_query_ms.min(now_ms + CHECK_INTERVAL_MS);
        self.update_relayed(now_ms);
    }

    /// Records that a VM stops.
    pub fn forget_vm(&mut self, now_ms: u64, vm: &VmName) {
        self.relays.forget(vm);
        self.update_relayed(now_ms);
    }

    /// Records that an upstream has left the fleet.
    pub fn removed(&mut self, upstream: &UpstreamName) {
        let removed = self.by_name.remove(upstream);
        self.lost -= usize::from(removed.is_some_and(|path| path.lost.is_some()));
        self.askers.remove(upstream);
    }

    /// Records that this process was paused: bytes may have come meanwhile without being read.
    pub fn process_paused(&mut self, now_ms: u64) {
        self.ignored_until_ms = now_ms + 1;
    }

    /// Chooses the VM through which a new connection to an upstream is opened; none if it is opened
    /// directly.
    pub fn relay(&mut self, now_ms: u64, upstream: &UpstreamName) -> Option<VmName> {
        if self.lost == 0 || !self.is_lost(upstream) {
            return None;
        }
        self.relays
            .choose(now_ms, upstream, &self.options, &mut self.random)
    }

    /// Returns whether the direct path to an upstream is lost.
    pub fn is_lost(&self, upstream: &UpstreamName) -> bool {
        self.lost > 0
            && self
                .by_name
                .get(upstream)
                .is_some_and(|path| path.lost.is_some())
    }

    /// Returns how the direct path to an upstream was lost; `None` if it is not.
    pub fn lost_failure(&self, upstream: &UpstreamName) -> Option<PathFailure> {
        let path = self.by_name.get(upstream)?;
        path.lost.map(|lost| lost.failure)
    }

    /// Returns whether connections to an upstream are relayed.
    pub fn is_relayed(&self, upstream: &UpstreamName) -> bool {
        self.lost > 0
            && self
                .by_name
                .get(upstream)
                .is_some_and(DirectPath::is_relayed)
    }

    /// Returns whether the direct path to an upstream is lost, and VMs that reach it have no room to
    /// relay connections.
    pub fn is_reached_without_room(&self, now_ms: u64, upstream: &UpstreamName) -> bool {
        let relays = &self.relays;
        self.is_lost(upstream)
            && !self.is_relayed(upstream)
            && relays.is_reached_without_room(now_ms, upstream, &self.options)
    }

    /// Returns whether this VM lacks paths that other VMs have.
    pub fn is_cut(&self) -> bool {
        self.lost > 0 && self.by_name.values().any(DirectPath::is_relayed)
    }

    /// Returns the number of lost paths, and of those that are relayed.
    pub fn counts(&self) -> (usize, usize) {
        let relayed = self.by_name.values().filter(|path| path.is_relayed());
        (self.lost, relayed.count())
    }

    /// Returns whether this VM has for some time reached fewer of the engines than it lacks and
    /// another VM reaches.
    pub fn is_behind(&self, now_ms: u64) -> bool {
        let settled = |since_ms: u64| now_ms.saturating_sub(since_ms) >= self.options.settle_ms;
        self.behind_since_ms.is_some_and(settled)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether any path is lost.
    pub fn is_any_lost(&self) -> bool {
        self.lost > 0
    }

    /// Updates the comparison with other VMs; to be called with all engines of the fleet while paths
    /// are lost.
    pub fn compare<'a>(&mut self, now_ms: u64, engines: impl Iterator<Item = &'a UpstreamName>) {
        let (mut open, mut lost) = (0, Vec::new());
        for engine in engines {
            match self.is_lost(engine) {
                true => lost.push(engine),
                false => open += 1,
            }
        }
        let most_reached = self.relays.most_reached(now_ms, &lost, &self.options);
        self.behind_since_ms = match most_reached > open {
            true => self.behind_since_ms.or(Some(now_ms)),
            false => None,
        };
    }

    /// Returns when something is due next.
    pub fn next_ms(&self) -> u64 {
        let wanted_ms = self.next_wanted_ms.max(self.next_batch_ms);
        match self.lost {
            0 => wanted_ms,
            _ => wanted_ms.min(self.next_query_ms).min(self.next_check_ms),
        }
    }

    /// Returns what is due now. `known` are the upstreams in service.
    pub fn due(&mut self, now_ms: u64, known: &[UpstreamName]) -> DuePathWork {
        let mut work = DuePathWork::default();
        if self.lost > 0 && now_ms >= self.next_check_ms {
            self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
            self.relays.expire(now_ms, &self.options);
            self.update_relayed(now_ms);
            self.schedule_direct_probes(now_ms);
            self.request_other_probes(now_ms, known);
        }
        work.probes = self.start_probes(now_ms);
        if self.lost > 0 && now_ms >= self.next_query_ms {
            work.query = self.lost_names();
            work.known_relays = self.relays.names(&mut self.random);
            let options = &self.options;
            let is_any_relayed = self.by_name.values().any(DirectPath::is_relayed);
            self.query_pause_ms = match is_any_relayed {
                true => options.query_interval_ms,
                false => (2 * self.query_pause_ms)
                    .clamp(options.first_query_pause_ms, options.max_query_pause_ms),
            };
            self.next_query_ms = now_ms + self.query_pause_ms;
        }
        work
    }

    fn lost_names(&self) -> Vec<UpstreamName> {
        let lost = self.by_name.iter().filter(|(_, path)| path.lost.is_some());
        let mut names: Vec<UpstreamName> = lost.map(|(name, _)| name.clone()).collect();
        names.sort_unstable();
        names
    }

    fn restore(&mut self, now_ms: u64, upstream: &UpstreamName) {
        let Some(path) = self.by_name.get_mut(upstream) else {
            return;
        };
        if !path.restore(now_ms) {
            return;
        }
        self.lost -= 1;
        self.changes.push(PathChange::Restored(upstream.clone()));
        // What cut this VM off has probably ended for other upstreams too.
        self.request_lost_probes(now_ms, self.options.probe_batch);
        if self.lost == 0 {
            self.relays = Relays::default();
            self.behind_since_ms = None;
        }
    }

    /// Compares with the other VMs' statements which lost paths are relayed.
    fn update_relayed(&mut self, now_ms: u64) {
        if self.lost == 0 {
            return;
        }
        for (name, path) in &mut self.by_name {
            let Some(lost) = &mut path.lost else {
                continue;
            };
            let is_relayed = self.relays.has_usable(now_ms, name, &self.options);
            if is_relayed == lost.is_relayed {
                continue;
            }
            lost.is_relayed = is_relayed;
            self.changes.push(match is_relayed {
                true => PathChange::Relayed(name.clone()),
                false => PathChange::NotRelayed(name.clone()),
            });
            self.next_check_ms = now_ms;
        }
    }
}
