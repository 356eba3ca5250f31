//! Rules for proposals: loads, unloads and takeovers.

use apricotdale_core::control::LoadIntent;
use apricotdale_core::control::Proposer;
use apricotdale_core::control::TakeOver;
use apricotdale_core::control::UnloadIntent;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Offset;

use crate::configuration::ConfiguredModel;
use crate::control_state::ControlState;
use crate::control_state::Decision;
use crate::control_state::RecordStamp;
use crate::engines::Engine;
use crate::replicas::Owner;
use crate::replicas::Progress;
use crate::replicas::Replica;
use crate::replicas::Stage;
use crate::replicas::UnloadTask;
use crate::verdict::Accepted;
use crate::verdict::RejectReason;

impl ControlState {
    /// Decides on the proposal of a load.
    pub(crate) fn load(&mut self, stamp: RecordStamp, intent: &LoadIntent) -> Decision {
        let model = self
            .config
            .model(&intent.model)
            .ok_or(RejectReason::UnknownModel)?;
        let engine = self
            .engines
            .get(&intent.engine)
            .ok_or(RejectReason::UnknownEngine)?;
        check_engine(intent, model, engine)?;
        self.check_replicas(intent, model, engine)?;
        self.check_memory(&intent.engine, engine, model.bytes)?;
        let replica = Replica {
            load: stamp.offset,
            model: intent.model.clone(),
            base: model.base.clone(),
            engine: intent.engine.clone(),
            bytes: model.bytes,
            model_version: model.version,
            progress: Progress::Ordered,
            since_ms: stamp.appended_ms,
            sender: intent.proposer.epoch,
            owner: owner(&intent.proposer, stamp),
            sender_ended_at: None,
            last_reachable_boot: None,
            refused_by: None,
            effect_seen_at: None,
            unload: None,
            engine_is_unloading: false,
        };
        self.replicas.insert(replica);
        Ok(Accepted::LoadReserved)
    }

    fn check_replicas(
        &self,
        intent: &LoadIntent,
        model: &ConfiguredModel,
        engine: &Engine,
    ) -> Result<(), RejectReason> {
        if self.replica_count(&intent.model) != intent.expected_replicas {
            return Err(RejectReason::ReplicaCountChanged);
        }
        // Engines identify models by name and can't distinguish two replicas of one model: an order
        // to unload one of them would unload both.
        let boot = engine.boot();
        let is_same_model =
            |replica: &Replica| replica.model == intent.model && replica.may_hold_memory(boot);
        if engine.unmanaged.contains_key(&intent.model)
            || self.replicas.of_engine(&intent.engine).any(is_same_model)
        {
            return Err(RejectReason::AlreadyOnEngine);
        }
        match &model.base {
            Some(base) if !self.is_loaded_on(base, &intent.engine) => {
                Err(RejectReason::BaseNotLoaded)
            }
            _ => Ok(()),
        }
    }

    fn is_loaded_on(&self, model: &ModelName, engine: &UpstreamName) -> bool {
        let mut replicas = self.replicas.of_engine(engine);
        replicas.any(|replica| replica.model == *model && replica.stage() == Stage::Loaded)
    }

    /// Checks that an engine has memory for some more bytes, now and after a restart.
    ///
    /// A restart frees what is loaded. But every order whose effect has not been seen can still
    /// reach the new incarnation, including an order that the present incarnation refuses, since a
    /// restarted engine forgets the fencing tokens it has seen. Both sums must fit; otherwise a
    /// restart at an unfortunate time would overcommit the memory before any VM could know of it.
    fn check_memory(
        &self,
        name: &UpstreamName,
        engine: &Engine,
        bytes: u64,
    ) -> Result<(), RejectReason> {
        if self.held_bytes(name, engine).saturating_add(bytes) > engine.capacity_bytes {
            return Err(RejectReason::NoMemory);
        }
        if self
            .held_after_restart_bytes(name, engine)
            .saturating_add(bytes)
            > engine.capacity_bytes
        {
            return Err(RejectReason::NoMemoryAfterRestart);
        }
        Ok(())
    }

    /// Returns the memory that is taken or may be taken in the present incarnation of an engine.
    pub(crate) fn held_bytes(&self, name: &UpstreamName, engine: &Engine) -> u64 {
        let boot = engine.boot();
        let holding = self
            .replicas
            .of_engine(name)
            .filter(|replica| replica.may_hold_memory(boot));
        holding.fold(engine.unmanaged_bytes(), add_bytes)
    }

    /// Returns the memory that orders already accepted may take in a later incarnation of an
    /// engine.
    pub(crate) fn held_after_restart_bytes(&self, name: &UpstreamName, engine: &Engine) -> u64 {
        let boot = engine.boot();
        let holding = self
            .replicas
            .of_engine(name)
            .filter(|replica| replica.may_hold_memory_after(boot));
        holding.fold(0, add_bytes)
    }

    /// Decides on the proposal of an unload.
    pub(crate) fn unload(&mut self, stamp: RecordStamp, intent: &UnloadIntent) -> Decision {
        let task = UnloadTask {
            model: intent.model.clone(),
            engine: intent.engine.clone(),
            load: intent.load,
            sender: intent.proposer.epoch,
            owner: owner(&intent.proposer, stamp),
        };
        match self.replicas.get(intent.load) {
            Some(replica) => {
                self.check_unload(replica, intent)?;
                let replica = self.replicas.get_mut(intent.load);
                replica.expect("the replica was found above").unload = Some(stamp.offset);
            }
            None => self.unload_unmanaged(stamp.offset, intent)?,
        }
        self.unloads.insert(stamp.offset, task);
        Ok(Accepted::UnloadStarted)
    }

    fn check_unload(&self, replica: &Replica, intent: &UnloadIntent) -> Result<(), RejectReason> {
        if replica.model != intent.model || replica.engine != intent.engine {
            return Err(RejectReason::UnknownReplica);
        }
        if replica.progress != Progress::Loaded || replica.unload.is_some() {
            return Err(RejectReason::NotLoaded);
        }
        self.check_no_adapters(intent)
    }

    fn check_no_adapters(&self, intent: &UnloadIntent) -> Result<(), RejectReason> {
        let mut replicas = self.replicas.of_engine(&intent.engine);
        match replicas.any(|replica| replica.base.as_ref() == Some(&intent.model)) {
            true => Err(RejectReason::HasAdapters),
            false => Ok(()),
        }
    }

    fn unload_unmanaged(
        &mut self,
        offset: Offset,
        intent: &UnloadIntent,
    ) -> Result<(), RejectReason> {
        self.check_no_adapters(intent)?;
        let engine = self
            .engines
            .get_mut(&intent.engine)
            .ok_or(RejectReason::UnknownReplica)?;
        match engine.unmanaged.get_mut(&intent.model) {
            Some(resident) if resident.fence.0 != intent.load.0 => {
                Err(RejectReason::UnknownReplica)
            }
            Some(resident) if resident.unload.is_some() => Err(RejectReason::NotLoaded),
            Some(resident) => {
                resident.unload = Some(offset);
                Ok(())
            }
            None => Err(RejectReason::UnknownReplica),
        }
    }

    /// Decides on a takeover.
    pub(crate) fn take_over(&mut self, stamp: RecordStamp, takeover: &TakeOver) -> Decision {
        let owner = owner(&takeover.proposer, stamp);
        if let Some(task) = self.unloads.get_mut(&takeover.intent) {
            task.owner = owner;
            return Ok(Accepted::TakenOver);
        }
        let replica = self
            .replicas
            .get_mut(takeover.intent)
            .ok_or(RejectReason::UnknownIntent)?;
        if replica.progress == Progress::Loaded {
            return Err(RejectReason::UnknownIntent);
        }
        // A sender that takes over its own intent declares that its attempt has ended and that it
        // will not send the order again.
        if replica.sender == owner.epoch {
            replica.sender_ended_at.get_or_insert(stamp.offset);
        }
        replica.owner = owner;
        Ok(Accepted::TakenOver)
    }
}

fn check_engine(
    intent: &LoadIntent,
    model: &ConfiguredModel,
    engine: &Engine,
) -> Result<(), RejectReason> {
    match engine {
        _ if model.version != intent.model_version => Err(RejectReason::ModelChanged),
        _ if engine.is_gone() => Err(RejectReason::EngineGone),
        _ if engine.boot() != intent.boot => Err(RejectReason::EngineRestarted),
        _ if engine.newest_reading.boot != intent.boot => Err(RejectReason::EngineRestarted),
        _ if engine.group != model.group => Err(RejectReason::WrongGroup),
        _ => Ok(()),
    }
}

/// Adds a size without overflow, since a wrong size reported by an engine must not cause a panic.
fn add_bytes(sum: u64, replica: &Replica) -> u64 {
    sum.saturating_add(replica.bytes)
}

fn owner(proposer: &Proposer, stamp: RecordStamp) -> Owner {
    Owner {
        vm: proposer.vm.clone(),
        epoch: proposer.epoch,
        since: stamp.offset,
    }
}
