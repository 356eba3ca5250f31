//! Other VMs that say which upstreams they reach, and the choice of one as relay.

use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::options::Options;

/// Number of candidates of which the less used one is chosen.
const CHOICES: usize = 2;

/// Statement of a VM about the upstreams that it was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathAnswer {
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Upstreams that the VM reaches directly.
    pub reached: Vec<UpstreamName>,
    /// Share of the VM's processor that is in use, in thousandths.
    pub load_permille: u16,
    /// Number of connections that it relays.
    pub relayed: u32,
    /// Whether it relays further connections.
    pub has_room: bool,
}

#[derive(Clone, Debug)]
struct Relay {
    zone: ZoneName,
    load_permille: u16,
    relayed: u32,
    has_room: bool,
    answered_ms: u64,
    /// Connections opened through it since its last answer.
    opened: u32,
    avoided_until_ms: u64,
    /// Upstreams that it reaches, with the time of the statement.
    reached: HashMap<UpstreamName, u64>,
    /// Upstreams that it failed to reach, with the time until which it is not used for them.
    avoided: HashMap<UpstreamName, u64>,
}

impl Relay {
    fn reaches(&self, now_ms: u64, upstream: &UpstreamName, options: &Options) -> bool {
        let is_valid = |at_ms: &u64| now_ms.saturating_sub(*at_ms) <= options.max_answer_age_ms;
        self.reached.get(upstream).is_some_and(is_valid)
    }

    fn is_usable(&self, now_ms: u64, upstream: &UpstreamName, options: &Options) -> bool {
        let avoided_until_ms = self.avoided.get(upstream).copied().unwrap_or(0);
        self.has_room
            && now_ms >= self.avoided_until_ms.max(avoided_until_ms)
            && self.reaches(now_ms, upstream, options)
    }
}

/// Other VMs and the upstreams that they reach.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    by_name: HashMap<VmName, Relay>,
}

impl Relays {
    pub fn record_answer(&mut self, now_ms: u64, vm: &VmName, answer: PathAnswer) {
        let relay = self.by_name.entry(vm.clone()).or_insert_with(|| Relay {
            zone: answer.zone.clone(),
            load_permille: 0,
            relayed: 0,
            has_room: false,
            answered_ms: now_ms,
            opened: 0,
            avoided_until_ms: 0,
            reached: HashMap::new(),
            avoided: HashMap::new(),
        });
        relay.zone = answer.zone;
        relay.load_permille = answer.load_permille;
        relay.relayed = answer.relayed;
        relay.has_room = answer.has_room;
        relay.answered_ms = now_ms;
        relay.opened = 0;
        let reached = answer.reached.into_iter().map(|name| (name, now_ms));
        relay.reached.extend(reached);
    }

    pub fn forget(&mut self, vm: &VmName) {
        self.by_name.remove(vm);
    }

    /// Drops statements that are too old to be used.
    pub fn expire(&mut self, now_ms: u64, options: &Options) {
        let is_valid = |at_ms: u64| now_ms.saturating_sub(at_ms) <= options.max_answer_age_ms;
        for relay in self.by_name.values_mut() {
            relay.reached.retain(|_, at_ms| is_valid(*at_ms));
            relay.avoided.retain(|_, until_ms| now_ms < *until_ms);
        }
        self.by_name
            .retain(|_, relay| is_valid(relay.answered_ms) || now_ms < relay.avoided_until_ms);
    }

    /// Records that a VM failed as relay: for one upstream, or for all if none is given.
    pub fn avoid(
        &mut self,
        now_ms: u64,
        vm: &VmName,
        upstream: Option<&UpstreamName>,
        options: &Options,
    ) {
        let until_ms = now_ms + options.avoid_ms;
        let Some(relay) = self.by_name.get_mut(vm) else {
            return;
        };
        match upstream {
            Some(upstream) => {
                relay.avoided.insert(upstream.clone(), until_ms);
            }
            None => relay.avoided_until_ms = until_ms,
        }
    }

    pub fn has_usable(&self, now_ms: u64, upstream: &UpstreamName, options: &Options) -> bool {
        let mut relays = self.by_name.values();
        relays.any(|relay| relay.is_usable(now_ms, upstream, options))
    }

    /// Returns whether a VM reaches the upstream and has no room to relay connections.
    pub fn is_reached_without_room(
        &self,
        now_ms: u64,
        upstream: &UpstreamName,
        options: &Options,
    ) -> bool {
        let mut relays = self.by_name.values();
        relays.any(|relay| !relay.has_room && relay.reaches(now_ms, upstream, options))
    }

    /// Chooses a VM through which a connection is opened. VMs of the own zone that are not busy go
    /// first, since bytes between zones cost more; then any that is not busy. Of two drawn at
    /// random the one with fewer relayed connections is taken, so that VMs which lose their paths
    /// together do not all turn to the same one.
    pub fn choose(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        options: &Options,
        random: &mut ChaCha8Rng,
    ) -> Option<VmName> {
        let mut usable: Vec<(&VmName, &Relay)> = self
            .by_name
            .iter()
            .filter(|(_, relay)| relay.is_usable(now_ms, upstream, options))
            .collect();
        // The order of the map differs from run to run.
        usable.sort_unstable_by_key(|(vm, _)| *vm);
        let is_calm = |relay: &Relay| relay.load_permille <= options.preferred_load_permille;
        let near: Vec<_> = usable
            .iter()
            .filter(|(_, relay)| relay.zone == options.own_zone && is_calm(relay))
            .copied()
            .collect();
        let calm: Vec<_> = usable
            .iter()
            .filter(|(_, relay)| is_calm(relay))
            .copied()
            .collect();
        let classes = [near, calm, usable];
        let class = classes.into_iter().find(|class| !class.is_empty())?;
        let drawn = class.sample(random, CHOICES);
        let least = drawn.min_by_key(|(_, relay)| relay.relayed + relay.opened)?;
        let vm = least.0.clone();
        if let Some(relay) = self.by_name.get_mut(&vm) {
            relay.opened += 1;
        }
        Some(vm)
    }

    /// Returns the largest number of the given upstreams that one VM reaches.
    pub fn most_reached(
        &self,
        now_ms: u64,
        upstreams: &[&UpstreamName],
        options: &Options,
    ) -> usize {
        let counts = self.by_name.values().map(|relay| {
            let reached = upstreams
                .iter()
                .filter(|upstream| relay.reaches(now_ms, upstream, options));
            reached.count()
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the VMs that reach upstreams, in random order.
    pub fn names(&self, random: &mut ChaCha8Rng) -> Vec<VmName> {
        let reaching = self.by_name.iter().filter(|(_, it)| !it.reached.is_empty());
        let mut names: Vec<VmName> = reaching.map(|(vm, _)| vm.clone()).collect();
        names.sort_unstable();
        let mut keyed: Vec<(u64, VmName)> =
            names.into_iter().map(|vm| (random.random(), vm)).collect();
        keyed.sort_unstable();
        keyed.into_iter().map(|(_, vm)| vm).collect()
    }
}
