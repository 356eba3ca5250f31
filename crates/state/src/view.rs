//! Read access to the control state for the daemon.

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
use crate::members::LIST_CLOCK_MARGIN_MS;
use crate::members::Members;
use crate::replicas::Owner;
use crate::replicas::Progress;
use crate::replicas::Replica;
use crate::verdict::Verdict;

/// Kind of an unsettled intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum IntentKind {
    /// Load of a new replica.
    Load,
    /// Unload of a replica.
    Unload,
}

/// Accepted intent that has not been settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentView {
    /// Offset of the intent.
    pub intent: Offset,
    /// Whether the intent is a load or an unload.
    pub kind: IntentKind,
    /// Model or adapter.
    pub model: ModelName,
    /// Engine that the order is addressed to.
    pub engine: UpstreamName,
    /// Offset of the load of the replica concerned; for a load, that of the intent itself.
    pub load: Offset,
    /// Epoch of the process that proposed it. The order of a load is sent by this process only, and
    /// at most once.
    pub sender: Epoch,
    /// Process that settles the intent.
    pub owner: Owner,
    /// Whether the sender may still send the order.
    pub sender_may_act: bool,
    /// Whether a takeover would let another process settle the intent, or settle it further.
    pub needs_take_over: bool,
}

/// Use of an engine's accelerator memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineMemory {
    /// Total memory, in bytes.
    pub capacity_bytes: u64,
    /// Memory that is taken in the present incarnation, or reserved for orders that may reach it.
    pub held_bytes: u64,
    /// Memory that is reserved for orders that may reach a later incarnation.
    pub held_after_restart_bytes: u64,
}

impl EngineMemory {
    /// Returns the memory that is free both now and after a restart, in bytes.
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

    /// Returns the daemon processes that have joined.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the number of verdicts by code.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the verdict on the record at an offset; `None` if it is no longer kept or the record
    /// has not been replayed.
    pub fn verdict(&self, offset: Offset) -> Option<&Verdict> {
        self.history.verdict(offset)
    }

    /// Returns the verdict on a configuration change; `None` if it is no longer kept or the change
    /// has not been replayed.
    pub fn change(&self, change_id: u64) -> Option<&DecidedChange> {
        self.history.change(change_id)
    }

    /// Returns the newest digest; `None` before the first.
    pub fn digest(&self) -> Option<StateDigest> {
        self.digests.back().copied()
    }

    /// Returns the digest taken at an offset; `None` if none was taken or it is no longer kept.
    pub fn digest_at(&self, at: Offset) -> Option<StateDigest> {
        self.digests.iter().copied().find(|digest| digest.at == at)
    }

    /// Returns the engines that are not gone, in order of name.
    pub fn engines(&self) -> impl Iterator<Item = (&UpstreamName, &Engine)> {
        self.engines.iter().filter(|(_, engine)| !engine.is_gone())
    }

    /// Returns an engine, even if it is gone; `None` if it was never observed or is forgotten.
    pub fn engine(&self, engine: &UpstreamName) -> Option<&Engine> {
        self.engines.get(engine)
    }

    /// Returns the present incarnation of an engine if it may be proposed as gone, given that the
    /// VM list of the time `as_of_ms` shows the engine as gone.
    ///
    /// The delayed list may still show the end of an earlier engine when a new one with the same
    /// name is running already. So the present incarnation is returned only if it was first
    /// observed more than [`LIST_CLOCK_MARGIN_MS`] before the list's time.
    pub fn removable_boot(&self, engine: &UpstreamName, as_of_ms: u64) -> Option<BootId> {
        let engine = self
            .engines
            .get(engine)
            .filter(|engine| !engine.is_gone())?;
        let is_covered_by_list = engine
            .incarnation_since_ms
            .saturating_add(LIST_CLOCK_MARGIN_MS)
            < as_of_ms;
        is_covered_by_list.then_some(engine.boot())
    }

    /// Returns the memory use of an engine; `None` if the engine is not known.
    pub fn memory(&self, name: &UpstreamName) -> Option<EngineMemory> {
        let engine = self.engines.get(name)?;
        Some(EngineMemory {
            capacity_bytes: engine.capacity_bytes,
            held_bytes: self.held_bytes(name, engine),
            held_after_restart_bytes: self.held_after_restart_bytes(name, engine),
        })
    }

    /// Returns all replicas in order of load.
    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.iter()
    }

    /// Returns the replica that a load created; `None` if it has been removed.
    pub fn replica(&self, load: Offset) -> Option<&Replica> {
        self.replicas.get(load)
    }

    /// Returns the replicas of a model in any stage.
    pub fn replicas_of(&self, model: &ModelName) -> impl Iterator<Item = &Replica> {
        self.replicas.of_model(model)
    }

    /// Returns the replicas on an engine in any stage.
    pub fn replicas_on(&self, engine: &UpstreamName) -> impl Iterator<Item = &Replica> {
        self.replicas.of_engine(engine)
    }

    /// Returns the number of replicas of a model in any stage, including unmanaged ones. A proposal
    /// to load another replica must name this number.
    pub fn replica_count(&self, model: &ModelName) -> u32 {
        let decided = self.replicas.of_model(model).count();
        let engines = self.engines.values();
        let unmanaged = engines
            .filter(|engine| engine.unmanaged.contains_key(model))
            .count();
        u32::try_from(decided + unmanaged).unwrap_or(u32::MAX)
    }

    /// Returns the accepted intents that have not been settled, loads first. Loads whose sender has
    /// ended and whose engine is gone are omitted, since no process can settle them unless the
    /// engine returns.
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
            needs_take_over: replica.last_reachable_boot.is_none()
                && replica.sender_ended_at.is_some(),
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
            needs_take_over: !self.is_current(task.owner.epoch),
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

    /// Returns whether records of the process with this epoch are accepted.
    pub fn is_current(&self, epoch: Epoch) -> bool {
        self.members.is_current(epoch)
    }

    /// Returns the epoch of a process; `None` if it has not joined or has ended.
    pub fn epoch_of(&self, vm: &VmName, process_id: u64) -> Option<Epoch> {
        self.members.epoch_of(vm, process_id)
    }
}
