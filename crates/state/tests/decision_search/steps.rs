//! Steps of processes and engines.

use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Depart;
use apricotdale_core::control::LoadIntent;
use apricotdale_core::control::Observation;
use apricotdale_core::control::Proposer;
use apricotdale_core::control::SettledAs;
use apricotdale_core::control::Settlement;
use apricotdale_core::control::TakeOver;
use apricotdale_core::control::UnloadIntent;
use apricotdale_core::control::UpstreamGone;
use apricotdale_core::engine::Residency;
use apricotdale_core::names::ModelName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;

use apricotdale_state::replicas::Stage;
use apricotdale_state::view::IntentKind;
use apricotdale_state::view::IntentView;

use crate::engine::Answer;
use crate::engine::Order;
use crate::process::Outcome;
use crate::process::Process;
use crate::world::MODELS;
use crate::world::World;

impl World {
    /// Lets the process of a VM append the record that `record` returns, if any.
    fn propose(
        &mut self,
        vm: usize,
        variation: u8,
        record: impl FnOnce(&mut Process, Proposer) -> Option<ControlRecord>,
    ) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let Some(epoch) = process.epoch() else { return };
        let sequence = process.sequence + 1;
        let proposer = Proposer {
            vm: process.vm.as_str().into(),
            epoch,
            sequence,
        };
        if let Some(record) = record(process, proposer) {
            process.sequence = sequence;
            self.append(record.encode(), variation);
        }
    }

    pub fn propose_load(&mut self, vm: usize, model: usize, engine: usize, variation: u8) {
        self.propose(vm, variation, |process, proposer| {
            let model = ModelName::from(MODELS[model % MODELS.len()].0);
            let engine = World::engine_name(engine);
            let intent = LoadIntent {
                proposer,
                boot: process.state.engine(&engine)?.boot(),
                expected_replicas: process.state.replica_count(&model),
                model_version: process.state.config().model(&model)?.version,
                model,
                engine,
            };
            Some(ControlRecord::Load(intent))
        });
    }

    /// Prepares the order of one of a process's accepted loads, after the last check.
    pub fn prepare_load(&mut self, vm: usize, index: usize) {
        let engines = self.engines.len();
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let startable_loads = process.startable_loads();
        let Some(load) = startable_loads
            .get(index % startable_loads.len().max(1))
            .copied()
        else {
            return;
        };
        let Some(replica) = process.state.replica(load) else {
            return;
        };
        let order = Order {
            process_id: process.process_id,
            intent: load,
            model: replica.model.clone(),
            base: replica.base.clone(),
            bytes: Some(replica.bytes),
            fence: FencingToken::from(load),
        };
        let engine = (0..engines).find(|engine| World::engine_name(*engine) == replica.engine);
        process.handled_loads.insert(load);
        process
            .ready_to_send
            .push((engine.expect("engines are not renamed"), order));
    }

    /// Prepares the order of an unload, which may be sent more than once.
    pub fn prepare_unload(&mut self, vm: usize, index: usize) {
        let engines = self.engines.len();
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let intents_to_unload = process.intents_to_unload();
        let Some(intent) = intents_to_unload.get(index % intents_to_unload.len().max(1)) else {
            return;
        };
        let order = Order {
            process_id: process.process_id,
            intent: intent.intent,
            model: intent.model.clone(),
            base: None,
            bytes: None,
            fence: FencingToken::from(intent.owner.since),
        };
        let engine = (0..engines).find(|engine| World::engine_name(*engine) == intent.engine);
        process
            .ready_to_send
            .push((engine.expect("engines are not renamed"), order));
    }

    /// Sends an order that was prepared at any earlier time.
    pub fn send(&mut self, vm: usize, index: usize) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        if process.ready_to_send.is_empty() {
            return;
        }
        let (engine, order) = process
            .ready_to_send
            .remove(index % process.ready_to_send.len());
        process.awaiting_answer.insert(order.intent);
        self.engines[engine].inbox.push(order);
    }

    /// Abandons one of a process's accepted loads without having prepared its order.
    pub fn abandon(&mut self, vm: usize, index: usize) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let startable_loads = process.startable_loads();
        let Some(load) = startable_loads
            .get(index % startable_loads.len().max(1))
            .copied()
        else {
            return;
        };
        process.handled_loads.insert(load);
        let settled_as = SettledAs::Abandoned;
        let outcome = Outcome {
            kind: IntentKind::Load,
            settled_as,
            reading: None,
        };
        process.outcomes.insert(load, outcome);
    }

    /// Breaks the connection of a process before the answer arrives.
    pub fn lose_answer(&mut self, vm: usize, index: usize) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let awaiting_answer: Vec<Offset> = process.awaiting_answer.iter().copied().collect();
        if let Some(intent) = awaiting_answer.get(index % awaiting_answer.len().max(1)) {
            process.awaiting_answer.remove(intent);
        }
    }

    pub fn answer(&mut self, answered: Option<(Order, Answer)>, is_lost: bool) {
        let Some((order, answer)) = answered else {
            return;
        };
        let mut processes = self.processes.iter_mut().flatten();
        let Some(process) = processes.find(|process| process.process_id == order.process_id) else {
            return;
        };
        if !process.awaiting_answer.remove(&order.intent) || is_lost {
            return;
        }
        let kind = match order.bytes {
            Some(_) => IntentKind::Load,
            None => IntentKind::Unload,
        };
        let (settled_as, reading) = match answer {
            Answer::Done(boot, sequence) => (SettledAs::Done, Some((boot, sequence))),
            Answer::Refused => (SettledAs::Failed("refused".to_owned()), None),
        };
        process.outcomes.insert(
            order.intent,
            Outcome {
                kind,
                settled_as,
                reading,
            },
        );
    }

    /// Appends an outcome that a process knows.
    pub fn settle(&mut self, vm: usize, index: usize, variation: u8) {
        self.propose(vm, variation, |process, proposer| {
            let known: Vec<Offset> = process.outcomes.keys().copied().collect();
            let intent = *known.get(index % known.len().max(1))?;
            let outcome = process.outcomes.get(&intent)?.clone();
            if process
                .state
                .unsettled()
                .all(|unsettled| unsettled.intent != intent)
            {
                process.outcomes.remove(&intent);
                return None;
            }
            let settlement = Settlement {
                proposer,
                intent,
                boot: Process::boot_of(outcome.reading),
                sequence: outcome.reading.map(|(_, sequence)| sequence),
                outcome: outcome.settled_as,
            };
            Some(match outcome.kind {
                IntentKind::Load => ControlRecord::LoadSettled(settlement),
                IntentKind::Unload => ControlRecord::UnloadSettled(settlement),
            })
        });
    }

    pub fn read_status(&mut self, vm: usize, engine: usize) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let Some(epoch) = process.epoch() else { return };
        let status = &self.engines[engine];
        let reading = Observation {
            proposer: Proposer {
                vm: process.vm.as_str().into(),
                epoch,
                sequence: 0,
            },
            engine: World::engine_name(engine),
            group: "g".into(),
            zone: "z".into(),
            boot: BootId(status.boot),
            sequence: status.sequence,
            capacity_bytes: status.capacity_bytes,
            checks_fence: status.checks_fence,
            highest_fence: FencingToken(status.highest_fence),
            residents: status.resident_list(),
        };
        process.statuses.push(reading);
    }

    /// Appends a status that a process read at any earlier time.
    pub fn append_status(&mut self, vm: usize, index: usize, variation: u8) {
        self.propose(vm, variation, |process, proposer| {
            if process.statuses.is_empty() {
                return None;
            }
            let index = index % process.statuses.len();
            let reading = process.statuses.remove(index);
            Some(ControlRecord::Observed(Observation {
                proposer,
                ..reading
            }))
        });
    }

    pub fn take_over(&mut self, vm: usize, index: usize, variation: u8) {
        self.propose(vm, variation, |process, proposer| {
            let intents = process.intents_to_take_over();
            let intent = intents.get(index % intents.len().max(1))?.intent;
            process.handled_loads.insert(intent);
            process.outcomes.remove(&intent);
            Some(ControlRecord::TakeOver(TakeOver { proposer, intent }))
        });
    }

    /// Queries an engine about an intent that a process has taken over. Raising the fence can fail
    /// when reading the status succeeds.
    pub fn resolve(&mut self, vm: usize, index: usize, raises_fence: bool) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let intents = process.intents_to_resolve();
        let Some(intent) = intents.get(index % intents.len().max(1)) else {
            return;
        };
        let mut names = (0..self.engines.len()).map(World::engine_name);
        let engine = names.position(|name| name == intent.engine);
        let engine = &mut self.engines[engine.expect("engines are not renamed")];
        if engine.checks_fence && raises_fence {
            engine.raise_fence(intent.owner.since.0);
        }
        let resident = engine
            .residents
            .get(&intent.model)
            .map(|(resident, _)| resident);
        let resident = resident.filter(|resident| resident.fence.0 == intent.load.0);
        let settled_as = match (intent.kind, resident.map(|resident| resident.residency)) {
            (IntentKind::Load, Some(Residency::Loaded)) => SettledAs::Done,
            (IntentKind::Unload, None) => SettledAs::Done,
            (_, None) => SettledAs::Failed("not there".to_owned()),
            (_, Some(_)) => return,
        };
        let reading = Some((engine.boot, engine.sequence));
        let outcome = Outcome {
            kind: intent.kind,
            settled_as,
            reading,
        };
        process.outcomes.insert(intent.intent, outcome);
    }

    pub fn propose_unload(&mut self, vm: usize, index: usize, variation: u8) {
        self.propose(vm, variation, |process, proposer| {
            let loaded = process
                .state
                .replicas()
                .filter(|r| r.stage() == Stage::Loaded);
            let loaded: Vec<_> = loaded.collect();
            let replica = loaded.get(index % loaded.len().max(1))?;
            Some(ControlRecord::Unload(UnloadIntent {
                proposer,
                model: replica.model.clone(),
                engine: replica.engine.clone(),
                load: replica.load,
            }))
        });
    }

    /// Proposes that an engine is gone if the incarnation that the process knows has ended. The new
    /// incarnation has the same engine name.
    pub fn remove_engine(&mut self, vm: usize, engine: usize, variation: u8) {
        let boot = self.engines[engine].boot;
        self.propose(vm, variation, |process, proposer| {
            let engine = World::engine_name(engine);
            let known = process.state.engine(&engine)?.boot();
            let gone = UpstreamGone {
                proposer,
                engine,
                boot: known,
            };
            (known.0 < boot).then_some(ControlRecord::UpstreamGone(gone))
        });
    }

    /// Removes a VM, which the platform's list then shows as gone.
    pub fn remove_vm(&mut self, vm: usize) {
        self.processes[vm] = None;
        self.gone[vm] = true;
    }

    /// Proposes the departure of a VM that the list shows as gone.
    pub fn depart(&mut self, vm: usize, other: usize, variation: u8) {
        if !self.gone[other] {
            return;
        }
        self.propose(vm, variation, |process, proposer| {
            let name = format!("vm{other}").as_str().into();
            let mut newest = process.state.members().newest();
            let (_, member) = newest.find(|(vm, _)| **vm == name)?;
            Some(ControlRecord::Depart(Depart {
                proposer,
                epoch: member.epoch,
                vm: name,
            }))
        });
    }
}

/// Returns whether an intent can only be settled after a restart of its engine, which does not
/// check fencing tokens.
pub fn is_lingering(world: &World, intent: &IntentView) -> bool {
    let replica = world.reference.replica(intent.intent);
    let engine = world.reference.engine(&intent.engine);
    replica.is_some_and(|replica| replica.stage() == Stage::Lingering)
        && engine.is_some_and(|engine| !engine.checks_fence)
}
