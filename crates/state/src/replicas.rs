//! Replicas of models and the load orders that create them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::Offset;

use crate::engines::Reading;

/// Process that is responsible for settling an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// VM of the process.
    pub vm: VmName,
    /// Epoch of the process.
    pub epoch: Epoch,
    /// Offset of the record that made it the owner: the intent itself or the last takeover. This is
    /// the fencing token of the orders that it sends as the owner.
    pub since: Offset,
}

/// Progress of a load, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The order may be unsent, on its way or lost.
    Ordered,
    /// The engine has shown that it is loading the model.
    Loading,
    /// The engine has loaded the model.
    Loaded,
}

/// Stage of a replica, derived from its progress, its unload and the state of its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The load is accepted and its memory is reserved.
    Reserved,
    /// The engine is loading the model.
    Loading,
    /// The replica can serve.
    Loaded,
    /// The replica takes no new work and is being unloaded.
    Unloading,
    /// The present incarnation of the engine refuses the order. A later one may accept it, and the
    /// sender may still send it. The replica is not expected to be loaded.
    Revoked,
    /// The sender of the order has ended, but the order may be queued in a connection of an engine
    /// that does not check fencing tokens. Its memory stays reserved. The replica is not expected
    /// to be loaded.
    Lingering,
}

/// One accepted load and its progress.
///
/// Its order is sent at most once, and only by the process that proposed the load. Once an engine
/// has shown the effect of the order, the order can therefore have no other effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Offset of the load, which is the fencing token of its order.
    pub load: Offset,
    /// Model or adapter.
    pub model: ModelName,
    /// Model that the adapter belongs to; `None` for a model.
    pub base: Option<ModelName>,
    /// Engine that holds or is to hold the replica.
    pub engine: UpstreamName,
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
    /// Version of the model's last configuration change on which the load was based.
    pub model_version: ConfigVersion,
    /// Progress of the load, as far as it is known.
    pub progress: Progress,
    /// Time at which the log appended the record that led to this progress, in milliseconds of Unix
    /// time.
    pub since_ms: u64,
    /// Epoch of the process that may send the order.
    pub sender: Epoch,
    /// Process that settles the intent.
    pub owner: Owner,
    /// Offset of the record after which the sender can no longer send the order: the departure of
    /// its VM, the first record of the VM's next process, or the sender's own takeover of the
    /// intent. `None` as long as the sender may send it.
    pub sender_ended_at: Option<Offset>,
    /// Last incarnation of the engine that the order can still reach; `None` if that is unknown.
    pub last_reachable_boot: Option<BootId>,
    /// Present incarnation of the engine if it certainly refuses the order; `None` otherwise.
    pub refused_by: Option<BootId>,
    /// Last status that showed the effect of the order; `None` if none has.
    pub effect_seen_at: Option<Reading>,
    /// Offset of the unload in progress; `None` if there is none.
    pub unload: Option<Offset>,
    /// Whether the engine has shown that it is unloading the model.
    pub engine_is_unloading: bool,
}

impl Replica {
    /// Returns the stage of the replica.
    pub fn stage(&self) -> Stage {
        match self.progress {
            _ if self.unload.is_some() || self.engine_is_unloading => Stage::Unloading,
            Progress::Loaded => Stage::Loaded,
            Progress::Loading => Stage::Loading,
            Progress::Ordered if self.refused_by.is_some() => Stage::Revoked,
            Progress::Ordered if self.last_reachable_boot.is_some() => Stage::Lingering,
            Progress::Ordered => Stage::Reserved,
        }
    }

    /// Returns whether the sender may still send the order.
    pub fn sender_may_act(&self) -> bool {
        self.effect_seen_at.is_none() && self.sender_ended_at.is_none()
    }

    /// Returns whether the replica takes memory in an incarnation of its engine, or still may.
    pub fn may_hold_memory(&self, boot: BootId) -> bool {
        match self.effect_seen_at {
            Some(effect_seen_at) => effect_seen_at.boot >= boot,
            None => self.order_may_reach(boot) && self.refused_by != Some(boot),
        }
    }

    /// Returns whether the replica may take memory in an incarnation later than the given one.
    pub fn may_hold_memory_after(&self, boot: BootId) -> bool {
        match self.effect_seen_at {
            Some(effect_seen_at) => effect_seen_at.boot > boot,
            None => self.last_reachable_boot.is_none_or(|last| last > boot),
        }
    }

    fn order_may_reach(&self, boot: BootId) -> bool {
        self.last_reachable_boot.is_none_or(|last| last >= boot)
    }
}

/// Accepted unload that has not been settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadTask {
    /// Model or adapter to unload.
    pub model: ModelName,
    /// Engine that holds the replica.
    pub engine: UpstreamName,
    /// Offset of the load that created the replica.
    pub load: Offset,
    /// Epoch of the process that proposed the unload.
    pub sender: Epoch,
    /// Process that settles the unload.
    pub owner: Owner,
}

/// Replicas by load offset, with indexes by engine and by model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Replicas {
    by_load: BTreeMap<Offset, Replica>,
    #[serde(skip)]
    by_engine: BTreeMap<UpstreamName, BTreeSet<Offset>>,
    #[serde(skip)]
    by_model: BTreeMap<ModelName, BTreeSet<Offset>>,
}

impl Replicas {
    pub(crate) fn get(&self, load: Offset) -> Option<&Replica> {
        self.by_load.get(&load)
    }

    pub(crate) fn get_mut(&mut self, load: Offset) -> Option<&mut Replica> {
        self.by_load.get_mut(&load)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.by_load.values()
    }

    pub(crate) fn of_engine(&self, engine: &UpstreamName) -> impl Iterator<Item = &Replica> {
        let loads = self.by_engine.get(engine).into_iter().flatten();
        loads.map(|load| &self.by_load[load])
    }

    pub(crate) fn of_model(&self, model: &ModelName) -> impl Iterator<Item = &Replica> {
        let loads = self.by_model.get(model).into_iter().flatten();
        loads.map(|load| &self.by_load[load])
    }

    pub(crate) fn loads_of_engine(&self, engine: &UpstreamName) -> Vec<Offset> {
        self.by_engine
            .get(engine)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    }

    pub(crate) fn insert(&mut self, replica: Replica) {
        self.index(&replica);
        self.by_load.insert(replica.load, replica);
    }

    pub(crate) fn remove(&mut self, load: Offset) -> Option<Replica> {
        let replica = self.by_load.remove(&load)?;
        remove_from(&mut self.by_engine, &replica.engine, load);
        remove_from(&mut self.by_model, &replica.model, load);
        Some(replica)
    }

    /// Records that a process can send no more orders.
    pub(crate) fn record_sender_end(&mut self, epoch: Epoch, at: Offset) {
        for replica in self
            .by_load
            .values_mut()
            .filter(|replica| replica.sender == epoch)
        {
            replica.sender_ended_at.get_or_insert(at);
        }
    }

    /// Rebuilds the indexes after decoding; they are not part of the encoded state.
    pub(crate) fn rebuild_indexes(&mut self) {
        let replicas: Vec<Replica> = self.by_load.values().cloned().collect();
        for replica in &replicas {
            self.index(replica);
        }
    }

    fn index(&mut self, replica: &Replica) {
        self.by_engine
            .entry(replica.engine.clone())
            .or_default()
            .insert(replica.load);
        self.by_model
            .entry(replica.model.clone())
            .or_default()
            .insert(replica.load);
    }
}

fn remove_from<K: Ord>(index: &mut BTreeMap<K, BTreeSet<Offset>>, key: &K, load: Offset) {
    let Some(loads) = index.get_mut(key) else {
        return;
    };
    loads.remove(&load);
    if loads.is_empty() {
        index.remove(key);
    }
}
