//! What the daemon reads from the control state.

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::Offset;

use crate::configuration::Configuration;
use crate::control_state::ControlState;
use crate::control_state::StateDigest;
use crate::counters::Counters;
use crate::engines::Engine;
use crate::history::DecidedChange;
use crate::members::LIST_MARGIN_MS;
use crate::members::Members;
use crate::replicas::Owner;
use crate::replicas::Progress;
use crate::replicas::Replica;
use crate::verdict::Verdict;

/// `IntentKind` is what an unsettled intent is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum IntentKind {
    /// A load.
    Load,
    /// An unload.
    Unload,
}

/// `IntentView` is an accepted intent that is not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentView {
    /// The intent's offset.
    pub intent: Offset,
    /// What it is about.
    pub kind: IntentKind,
    /// The model or adapter.
    pub model: ModelName,
    /// The engine.
    pub engine: UpstreamName,
    /// The load whose replica it is about: the intent itself for a load.
    pub load: Offset,
    /// The process that proposed it. Only this one may send a load's order, once.
    pub sender: Epoch,
    /// The process that settles it.
    pub owner: Owner,
    /// Whether the sender may still send the order.
    pub sender_may_act: bool,
    /// Whether another process could now settle it further by a takeover.
    pub wants_take_over: bool,
}

/// `EngineMemory` is how an engine's memory is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineMemory {
    /// The whole memory.
    pub capacity_bytes: u64,
    /// Taken, or reserved for what may still come, in the present run.
    pub held_bytes: u64,
    /// Reserved for what may still come in a later run.
    pub held_after_restart_bytes: u64,
}

impl EngineMemory {
    /// Returns the bytes that a load may ask for.
    pub fn free_bytes(&self) -> u64 {
        let held_bytes = self.held_bytes.max(self.held_after_restart_bytes);
        self.capacity_bytes.saturating_sub(held_bytes)
    }
}

impl ControlState {
    /// Returns the offset of the next record to replay.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Configuration {
        &self.config
    }

    /// Returns the daemon processes.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the counts of verdicts.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the verdict on the record at an offset, or none if it is too old or not yet there.
    pub fn verdict(&self, offset: Offset) -> Option<&Verdict> {
        self.history.verdict(offset)
    }

    /// Returns the verdict on a configuration change, or none if it is too old or not yet there.
    pub fn change(&self, change_id: u64) -> Option<&DecidedChange> {
        self.history.change(change_id)
    }

    /// Returns the newest digest, or none before the first.
    pub fn digest(&self) -> Option<StateDigest> {
        self.digests.back().copied()
    }

    /// Returns the digest taken at an offset, or none if there is none or it is too old.
    pub fn digest_at(&self, at: Offset) -> Option<StateDigest> {
        self.digests.iter().copied().find(|digest| digest.at == at)
    }

    /// Returns the engines that are not gone.
    pub fn engines(&self) -> impl Iterator<Item = (&UpstreamName, &Engine)> {
        self.engines.iter().filter(|(_, engine)| !engine.is_gone())
    }

    /// Returns one engine, also if it is gone.
    pub fn engine(&self, engine: &UpstreamName) -> Option<&Engine> {
        self.engines.get(engine)
    }

    /// Returns the present run of an engine that the platform's list, speaking of the time
    /// `as_of_ms`, shows as gone, if the list can mean that run. Only then may the engine be said to
    /// be gone: a lagging list can still show the end of an engine whose successor of the same name
    /// runs already.
    pub fn removable_boot(&self, engine: &UpstreamName, as_of_ms: u64) -> Option<BootId> {
        let engine = self
            .engines
            .get(engine)
            .filter(|engine| !engine.is_gone())?;
        let is_meant = engine.run_since_ms.saturating_add(LIST_MARGIN_MS) < as_of_ms;
        is_meant.then_some(engine.boot())
    }

    /// Returns how an engine's memory is taken.
    pub fn memory(&self, name: &UpstreamName) -> Option<EngineMemory> {
        let engine = self.engines.get(name)?;
        Some(EngineMemory {
            capacity_bytes: engine.capacity_bytes,
            held_bytes: self.held_bytes(name, engine),
            held_after_restart_bytes: self.held_after_restart_bytes(name, engine),
        })
    }

    /// Returns every replica.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter()
    }

    /// Returns the replica that a load brought.
    pub fn replica(&self, load: Offset) -> Option<&Replica> {
        self.replicas.get(load)
    }

    /// Returns the replicas of a model.
    pub fn replicas_of(&self, model: &ModelName) -> impl Iterator<Item = &Replica> {
        self.replicas.of_model(model)
    }

    /// Returns the replicas on an engine.
    pub fn replicas_on(&self, engine: &UpstreamName) -> impl Iterator<Item = &Replica> {
        self.replicas.of_engine(engine)
    }

    /// Returns the number of a model's replicas in any stage, with those that no accepted load
    /// brought. A load must be based on this number.
    pub fn replica_count(&self, model: &ModelName) -> u32 {
        let decided = self.replicas.of_model(model).count();
        let engines = self.engines.values();
        let unmanaged = engines
            .filter(|engine| engine.unmanaged.contains_key(model))
            .count();
        u32::try_from(decided + unmanaged).unwrap_or(u32::MAX)
    }

    /// Returns every accepted intent that is not settled, loads first. A load whose sender is over
    /// and whose engine is gone is left out, since nobody can settle it unless the engine comes
    /// back.
    pub fn unsettled(&self) -> impl Iterator<Item = IntentView> + '_ {
        let loads = self
            .replicas
            .iter()
            .filter(|replica| replica.progress != Progress::Loaded)
            .filter(|replica| replica.sender_may_act() || !self.is_gone(&replica.engine));
        let loads = loads.map(|replica| IntentView {
            intent: replica.load,
            kind: IntentKind::Load,
            model: replica.model.clone(),
            engine: replica.engine.clone(),
            load: replica.load,
            sender: replica.sender,
            owner: replica.owner.clone(),
            sender_may_act: replica.sender_may_act(),
            wants_take_over: replica.last_boot.is_none() && replica.sender_ended_at.is_some(),
        });
        let unloads = self.unloads.iter().map(|(offset, task)| IntentView {
            intent: *offset,
            kind: IntentKind::Unload,
            model: task.model.clone(),
            engine: task.engine.clone(),
            load: task.load,
            sender: task.sender,
            owner: task.owner.clone(),
            sender_may_act: self.is_current(task.sender),
            wants_take_over: !self.is_current(task.owner.epoch),
        });
        loads.chain(unloads)
    }

    fn is_gone(&self, engine: &UpstreamName) -> bool {
        self.engines.get(engine).is_some_and(Engine::is_gone)
    }

    /// Returns the unsettled intents that a process owns.
    pub fn unsettled_of(&self, epoch: Epoch) -> impl Iterator<Item = IntentView> + '_ {
        self.unsettled()
            .filter(move |intent| intent.owner.epoch == epoch)
    }

    /// Returns whether a process's records are accepted.
    pub fn is_current(&self, epoch: Epoch) -> bool {
        self.members.is_current(epoch)
    }

    /// Returns the epoch of a process, or none if it has not joined or is over.
    pub fn epoch_of(&self, vm: &VmName, process_id: u64) -> Option<Epoch> {
        self.members.epoch_of(vm, process_id)
    }
}
