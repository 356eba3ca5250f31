//! Simulated engines: memory, replicas, batches, prefix caches and load reports.

use std::collections::VecDeque;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;

use crate::deployment::EngineTable;
use crate::hosts::HostCache;

/// Number of prompt prefixes cached by one engine.
const CACHED_PREFIXES: usize = 48;

/// Share of the time to the first token that remains if the prefix is cached.
const CACHED_PREFIX_SHARE: f64 = 0.4;

/// Additional time in a full batch, as a share of the time in an empty one.
const FULL_BATCH_SLOWDOWN: f64 = 0.5;

/// Returns the work that all engines can do with full batches, in milliseconds of run time on empty
/// engines per millisecond.
pub fn max_work_rate(table: &EngineTable) -> f64 {
    let slots = f64::from(table.slots);
    let fill = (slots - 1.0) / slots;
    table.count as f64 * slots / (1.0 + FULL_BATCH_SLOWDOWN * fill)
}

/// Phase in the life of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The load was accepted and has not been settled.
    Loading,
    /// The replica can serve.
    Loaded,
    /// The replica takes no new requests, and is unloaded after its last one.
    Unloading,
}

/// Replica of a model on an engine.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Index of the model.
    pub model: usize,
    /// Index of the base if the model is an adapter, else none.
    pub base: Option<usize>,
    /// Accelerator memory that the replica occupies.
    pub bytes: u64,
    /// Phase in the life of the replica.
    pub phase: Phase,
    /// Index of the load that created the replica.
    pub load: usize,
    /// Time at which the load was accepted, or was settled once the replica is loaded.
    pub since_ms: u64,
    /// Time at which placement expects the load to end.
    pub ready_at_ms: u64,
    /// Number of its requests, running or queued.
    pub requests: u32,
}

/// Model engine, or instance of the plain service.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name as an upstream.
    pub name: UpstreamName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether the engine runs.
    pub alive: bool,
    /// Whether the VM list shows the engine.
    pub listed: bool,
    /// Checkpoints cached on its host.
    pub cache: HostCache,
    /// Replicas in any phase.
    pub replicas: Vec<Replica>,
    /// Tickets of the requests in the batch.
    pub running: Vec<u64>,
    /// Tickets of the requests that wait for a slot in the batch.
    pub queue: VecDeque<u64>,
    /// Numbers of requests running and waiting in the last report.
    pub reported: (u32, u32),
    /// Cached checkpoints in the last report.
    pub reported_checkpoints: Vec<(usize, CacheTier)>,
    prefixes: VecDeque<u64>,
    capacity_bytes: u64,
    slots: u32,
}

impl Engine {
    /// Returns a running engine without replicas.
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

    /// Returns the replica of a model, or none.
    pub fn replica(&self, model: usize) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.model == model)
    }

    /// Returns the replica of a model to be changed, or none.
    pub fn replica_mut(&mut self, model: usize) -> Option<&mut Replica> {
        self.replicas
            .iter_mut()
            .find(|replica| replica.model == model)
    }

    /// Returns whether the VMs regard this engine as able to serve the model: it is in the VM list
    /// and its replica is loaded.
    pub fn serves(&self, model: usize) -> bool {
        self.listed
            && self
                .replica(model)
                .is_some_and(|replica| replica.phase == Phase::Loaded)
    }

    /// Returns the accelerator memory that no replica occupies.
    pub fn free_bytes(&self) -> u64 {
        let used: u64 = self.replicas.iter().map(|replica| replica.bytes).sum();
        self.capacity_bytes.saturating_sub(used)
    }

    /// Returns the share of the memory occupied by replicas without requests. A base with requests
    /// on one of its adapters is not idle.
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

    /// Returns the number of slots for which no request runs or waits.
    pub fn free_slots(&self) -> u32 {
        let taken = self.running.len() + self.queue.len();
        self.slots.saturating_sub(taken as u32)
    }

    /// Returns whether the batch has a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Returns the time that a step takes with the present batch, if it takes `time_ms` on an empty
    /// engine.
    pub fn slowed_ms(&self, time_ms: u64) -> u64 {
        let fill = self.running.len() as f64 / f64::from(self.slots);
        (time_ms as f64 * (1.0 + FULL_BATCH_SLOWDOWN * fill)) as u64
    }

    /// Puts a prompt's prefix into the prefix cache. Returns the factor on the time to the first
    /// token, which is below 1 if the prefix was cached before.
    pub fn cache_prefix(&mut self, prefix_hash: u64) -> f64 {
        let cached_at = self.prefixes.iter().position(|held| *held == prefix_hash);
        if let Some(cached_at) = cached_at {
            self.prefixes.remove(cached_at);
        }
        self.prefixes.push_back(prefix_hash);
        if self.prefixes.len() > CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
        match cached_at {
            Some(_) => CACHED_PREFIX_SHARE,
            None => 1.0,
        }
    }

    /// Takes the snapshot that the VMs read until the next report.
    pub fn report(&mut self) {
        self.reported = (self.running.len() as u32, self.queue.len() as u32);
        self.reported_checkpoints = self.cache.held();
    }

    /// Stops the engine and clears its caches and batch. Returns the tickets of its requests.
    pub fn stop_and_clear(&mut self) -> Vec<u64> {
        self.alive = false;
        self.prefixes.clear();
        self.cache.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(std::mem::take(&mut self.queue));
        lost
    }
}
