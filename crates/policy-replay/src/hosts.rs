//! Checkpoint cache of an engine's host.

use apricotdale_core::engine::CacheTier;

/// Checkpoints cached on one host, in memory and on disk. Each tier evicts the least recently used
/// ones.
#[derive(Clone, Debug)]
pub struct HostCache {
    memory: Tier,
    disk: Tier,
}

#[derive(Clone, Debug)]
struct Tier {
    capacity_bytes: u64,
    held: Vec<(usize, u64)>,
}

impl Tier {
    fn holds(&self, model: usize) -> bool {
        self.held.iter().any(|(held, _)| *held == model)
    }

    fn touch(&mut self, model: usize, bytes: u64) {
        self.held.retain(|(held, _)| *held != model);
        self.held.push((model, bytes));
        let mut used: u64 = self.held.iter().map(|(_, bytes)| *bytes).sum();
        while used > self.capacity_bytes {
            let (_, dropped) = self.held.remove(0);
            used -= dropped;
        }
    }
}

impl HostCache {
    /// Returns an empty cache with the given capacities.
    pub fn new(memory_bytes: u64, disk_bytes: u64) -> Self {
        let tier = |capacity_bytes| Tier {
            capacity_bytes,
            held: Vec::new(),
        };
        Self {
            memory: tier(memory_bytes),
            disk: tier(disk_bytes),
        }
    }

    /// Returns the fastest tier that holds a model's checkpoint, or [`CacheTier::Remote`].
    pub fn tier(&self, model: usize) -> CacheTier {
        match model {
            _ if self.memory.holds(model) => CacheTier::Memory,
            _ if self.disk.holds(model) => CacheTier::Disk,
            _ => CacheTier::Remote,
        }
    }

    /// Puts a checkpoint that was read for a load into both tiers, as the most recently used one.
    pub fn touch(&mut self, model: usize, bytes: u64) {
        self.disk.touch(model, bytes);
        self.memory.touch(model, bytes);
    }

    /// Puts a checkpoint on the disk, as the most recently used one.
    pub fn put_on_disk(&mut self, model: usize, bytes: u64) {
        self.disk.touch(model, bytes);
    }

    /// Removes all checkpoints from both tiers.
    pub fn clear(&mut self) {
        self.memory.held.clear();
        self.disk.held.clear();
    }

    /// Returns the cached checkpoints, each with the fastest tier that holds it.
    pub fn held(&self) -> Vec<(usize, CacheTier)> {
        let in_memory = self
            .memory
            .held
            .iter()
            .map(|(model, _)| (*model, CacheTier::Memory));
        let on_disk = self
            .disk
            .held
            .iter()
            .filter(|(model, _)| !self.memory.holds(*model))
            .map(|(model, _)| (*model, CacheTier::Disk));
        in_memory.chain(on_disk).collect()
    }
}
