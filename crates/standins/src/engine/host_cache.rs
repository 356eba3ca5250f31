//! Checkpoints cached on the engine's host.

use apricotdale_core::engine::CacheTier;
use apricotdale_core::engine::CachedCheckpoint;
use apricotdale_core::names::ModelName;

/// Checkpoints cached in the host's memory and on its disk. Each of the two tiers is limited in
/// bytes and evicts the least recently used checkpoint.
#[derive(Clone, Debug)]
pub struct HostCache {
    memory: Tier,
    disk: Tier,
}

/// Checkpoints of one tier with their sizes in bytes, the most recently used last.
#[derive(Clone, Debug)]
struct Tier {
    limit_bytes: u64,
    held: Vec<(ModelName, u64)>,
}

impl HostCache {
    /// Returns an empty cache with the given limits in bytes.
    pub fn new(memory_bytes: u64, disk_bytes: u64) -> Self {
        Self {
            memory: Tier::new(memory_bytes),
            disk: Tier::new(disk_bytes),
        }
    }

    /// Returns the fastest tier that holds a checkpoint; remote if the host does not hold it.
    pub fn tier(&self, model: &ModelName) -> CacheTier {
        match model {
            model if self.memory.holds(model) => CacheTier::Memory,
            model if self.disk.holds(model) => CacheTier::Disk,
            _ => CacheTier::Remote,
        }
    }

    /// Records that a checkpoint was fetched or used, and caches it in each tier that it fits into.
    pub fn touch(&mut self, model: &ModelName, bytes: u64) {
        self.memory.touch(model, bytes);
        self.disk.touch(model, bytes);
    }

    /// Drops the checkpoints in memory, as the end of the engine process does.
    pub fn forget_memory(&mut self) {
        self.memory.held.clear();
    }

    /// Returns the cached checkpoints, each with its fastest tier.
    pub fn checkpoints(&self) -> Vec<CachedCheckpoint> {
        let on_disk = self.disk.held.iter();
        let on_disk = on_disk.filter(|(model, _)| !self.memory.holds(model));
        let held = self.memory.held.iter().chain(on_disk);
        held.map(|(model, _)| CachedCheckpoint {
            model: model.clone(),
            tier: self.tier(model),
        })
        .collect()
    }
}

impl Tier {
    fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes,
            held: Vec::new(),
        }
    }

    fn holds(&self, model: &ModelName) -> bool {
        self.held.iter().any(|(held, _)| held == model)
    }

    fn touch(&mut self, model: &ModelName, bytes: u64) {
        self.held.retain(|(held, _)| held != model);
        if bytes > self.limit_bytes {
            return;
        }
        while self.bytes_held() + bytes > self.limit_bytes {
            self.held.remove(0);
        }
        self.held.push((model.clone(), bytes));
    }

    fn bytes_held(&self) -> u64 {
        self.held.iter().map(|(_, bytes)| bytes).sum()
    }
}
