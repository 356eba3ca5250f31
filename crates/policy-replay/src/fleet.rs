//! The engines of the replay: memory, replicas, batches and what they report.

use std::collections::VecDeque;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;

use crate::deployment::EngineTable;
use crate::hosts::HostCache;

/// Prefixes that one engine keeps.
const CACHED_PREFIXES: usize = 48;

/// The share of the time to the first token that is left when the prefix is cached.
const CACHED_PREFIX_SHARE: f64 = 0.4;

/// How much longer everything takes in a full batch than in an empty one.
const FULL_BATCH_SLOWDOWN: f64 = 0.5;

/// Returns the work that all engines can do with full batches: milliseconds of run time on an empty
/// engine for each millisecond.
pub fn full_rate(table: &EngineTable) -> f64 {
    let slots = f64::from(table.slots);
    let fill = (slots - 1.0) / slots;
    table.count as f64 * slots / (1.0 + FULL_BATCH_SLOWDOWN * fill)
}

/// `Phase` is how far a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Decided and being loaded.
    Loading,
    /// Can serve.
    Loaded,
    /// Finishes its last requests.
    Unloading,
}

/// `Replica` is one replica on an engine.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The model.
    pub model: usize,
    /// The model's base, if it is an adapter.
    pub base: Option<usize>,
    /// Memory it takes.
    pub bytes: u64,
    /// How far it is.
    pub phase: Phase,
    /// The number of the load that brought it.
    pub load: usize,
    /// When it was loaded.
    pub since_ms: u64,
    /// When it is expected to be loaded.
    pub ready_at_ms: u64,
    /// Requests on it, running or queued.
    pub requests: u32,
}

/// `Engine` is one model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its name.
    pub name: UpstreamName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it runs.
    pub alive: bool,
    /// Whether the platform's list shows it.
    pub listed: bool,
    /// Checkpoints on its host.
    pub cache: HostCache,
    /// Its replicas.
    pub replicas: Vec<Replica>,
    /// Requests in its batch, by ticket.
    pub running: Vec<u64>,
    /// Requests that wait for a place in the batch.
    pub queue: VecDeque<u64>,
    /// Requests running and waiting, as last reported.
    pub reported: (u32, u32),
    /// Checkpoints as last reported.
    pub reported_checkpoints: Vec<(usize, CacheTier)>,
    prefixes: VecDeque<u64>,
    capacity_bytes: u64,
    slots: u32,
}

impl Engine {
    /// Returns an empty engine.
    pub fn new(name: UpstreamName, zone: ZoneName, table: &EngineTable) -> Self {
        Self {
            name,
            zone,
            alive: true,
            listed: true,
            cache: HostCache::new(table.host_memory_bytes, table.host_disk_bytes),
            replicas: Vec::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
            reported: (0, 0),
            reported_checkpoints: Vec::new(),
            prefixes: VecDeque::new(),
            capacity_bytes: table.capacity_bytes,
            slots: table.slots,
        }
    }

    /// Returns the replica of a model.
    pub fn replica(&self, model: usize) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.model == model)
    }

    /// Returns the replica of a model for a change.
    pub fn replica_mut(&mut self, model: usize) -> Option<&mut Replica> {
        self.replicas
            .iter_mut()
            .find(|replica| replica.model == model)
    }

    /// Returns whether the model can serve here, as far as the VMs know.
    pub fn serves(&self, model: usize) -> bool {
        self.listed
            && self
                .replica(model)
                .is_some_and(|replica| replica.phase == Phase::Loaded)
    }

    /// Returns the memory that no replica takes.
    pub fn free_bytes(&self) -> u64 {
        let used: u64 = self.replicas.iter().map(|replica| replica.bytes).sum();
        self.capacity_bytes.saturating_sub(used)
    }

    /// Returns the share of the memory that is held by replicas without a request. A base counts
    /// as used while an adapter on it is.
    pub fn idle_share(&self) -> f64 {
        let is_idle = |replica: &&Replica| {
            replica.requests == 0
                && !self
                    .replicas
                    .iter()
                    .any(|other| other.base == Some(replica.model) && other.requests > 0)
        };
        let idle: u64 = self
            .replicas
            .iter()
            .filter(is_idle)
            .map(|replica| replica.bytes)
            .sum();
        idle as f64 / self.capacity_bytes as f64
    }

    /// Returns the free places of the batch.
    pub fn free_places(&self) -> u32 {
        let taken = self.running.len() + self.queue.len();
        self.slots.saturating_sub(taken as u32)
    }

    /// Returns whether the batch has a free place.
    pub fn has_place(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Returns how long a time stretches in the batch as it is.
    pub fn stretch_ms(&self, time_ms: u64) -> u64 {
        let fill = self.running.len() as f64 / f64::from(self.slots);
        (time_ms as f64 * (1.0 + FULL_BATCH_SLOWDOWN * fill)) as u64
    }

    /// Notes that a prompt was read and returns the share of the time that it took, which is
    /// smaller when the prefix was cached.
    pub fn read_prefix(&mut self, prefix_hash: u64) -> f64 {
        let known = self.prefixes.iter().position(|held| *held == prefix_hash);
        if let Some(known) = known {
            self.prefixes.remove(known);
        }
        self.prefixes.push_back(prefix_hash);
        if self.prefixes.len() > CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
        match known {
            Some(_) => CACHED_PREFIX_SHARE,
            None => 1.0,
        }
    }

    /// Takes the report that the VMs will read.
    pub fn report(&mut self) {
        self.reported = (self.running.len() as u32, self.queue.len() as u32);
        self.reported_checkpoints = self.cache.held();
    }

    /// Empties the engine, as when its VM is lost. Returns the requests that were on it.
    pub fn lose(&mut self) -> Vec<u64> {
        self.alive = false;
        self.prefixes.clear();
        self.cache.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.queue));
        lost
    }
}
