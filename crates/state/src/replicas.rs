//! Replicas and the orders that bring them.

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

/// `Owner` is the process that settles an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its VM.
    pub vm: VmName,
    /// Its epoch.
    pub epoch: Epoch,
    /// Where it became the owner: the intent itself or the last takeover. Orders that it gives
    /// carry this as their fencing number.
    pub since: Offset,
}

/// `Progress` is how far a load is known to have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The order may be sent, may be on its way, or may have been lost.
    Ordered,
    /// The engine has shown that it loads the model.
    Loading,
    /// The engine has loaded the model.
    Loaded,
}

/// `Stage` is what a replica is to the rest of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Decided; its memory is reserved.
    Reserved,
    /// The engine loads it.
    Loading,
    /// It can serve.
    Loaded,
    /// It takes no new work and is about to go.
    Unloading,
    /// The engine's present run refuses its order, but a later run might not, and the order's
    /// sender may still send it. Nobody expects it to come up.
    Revoked,
    /// Its order's sender is over, but the order may wait in a connection of an engine that obeys
    /// every order. Its memory is reserved. Nobody expects it to come up.
    Lingering,
}

/// `Replica` is one accepted load and what became of it.
///
/// Its order is sent at most once, and only by the process that proposed it. So once an engine has
/// shown the order's effect, the order can have no other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The offset of the load, which is its order's fencing number.
    pub load: Offset,
    /// The model or adapter.
    pub model: ModelName,
    /// The model an adapter belongs to.
    pub base: Option<ModelName>,
    /// The engine.
    pub engine: UpstreamName,
    /// The memory it takes.
    pub bytes: u64,
    /// The model's last change on which the load was based.
    pub model_version: ConfigVersion,
    /// How far it is known to have come.
    pub progress: Progress,
    /// When the log took the record that brought it so far, in milliseconds of Unix time.
    pub since_ms: u64,
    /// The process that may send the order.
    pub sender: Epoch,
    /// The process that settles the intent.
    pub owner: Owner,
    /// The record since which the sender certainly sends no more: its VM's departure, the first
    /// record of the VM's next process, or its own takeover of its intent.
    pub sender_ended_at: Option<Offset>,
    /// The last run of the engine that the order can still reach, once that is known.
    pub last_boot: Option<BootId>,
    /// The run of the engine that certainly refuses the order.
    pub refused_by: Option<BootId>,
    /// The last status that showed the order's effect.
    pub shown: Option<Reading>,
    /// The unload under way.
    pub unload: Option<Offset>,
    /// Whether the engine has shown that it unloads the model.
    pub engine_unloads: bool,
}

impl Replica {
    /// Returns what the replica is to the rest of the system.
    pub fn stage(&self) -> Stage {
        match self.progress {
            _ if self.unload.is_some() || self.engine_unloads => Stage::Unloading,
            Progress::Loaded => Stage::Loaded,
            Progress::Loading => Stage::Loading,
            Progress::Ordered if self.refused_by.is_some() => Stage::Revoked,
            Progress::Ordered if self.last_boot.is_some() => Stage::Lingering,
            Progress::Ordered => Stage::Reserved,
        }
    }

    /// Returns whether the order's sender may still send it.
    pub fn sender_may_act(&self) -> bool {
        self.shown.is_none() && self.sender_ended_at.is_none()
    }

    /// Returns whether the replica takes memory, now or at any moment, in a run of its engine.
    pub fn may_hold_memory(&self, boot: BootId) -> bool {
        match self.shown {
            Some(shown) => shown.boot >= boot,
            None => self.can_reach(boot) && self.refused_by != Some(boot),
        }
    }

    /// Returns whether the replica can take memory in a run later than the given one.
    pub fn can_hold_after(&self, boot: BootId) -> bool {
        match self.shown {
            Some(shown) => shown.boot > boot,
            None => self.last_boot.is_none_or(|last| last > boot),
        }
    }

    fn can_reach(&self, boot: BootId) -> bool {
        self.last_boot.is_none_or(|last| last >= boot)
    }
}

/// `UnloadTask` is an accepted unload that is not settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadTask {
    /// The model or adapter.
    pub model: ModelName,
    /// The engine.
    pub engine: UpstreamName,
    /// The load whose replica goes.
    pub load: Offset,
    /// The process that proposed it.
    pub sender: Epoch,
    /// The process that settles it.
    pub owner: Owner,
}

/// `Replicas` are the replicas with their indexes.
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

    /// Notes that a process certainly sends no more.
    pub(crate) fn end_sender(&mut self, epoch: Epoch, at: Offset) {
        for replica in self
            .by_load
            .values_mut()
            .filter(|replica| replica.sender == epoch)
        {
            replica.sender_ended_at.get_or_insert(at);
        }
    }

    /// Builds the indexes, which are not part of the encoded state.
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
