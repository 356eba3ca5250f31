//! The steps that processes and engines take.

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
    /// Lets a process append a record that it makes for its proposer.
    fn propose(
        &mut self,
        vm: usize,
        how: u8,
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
            self.append(record.encode(), how);
        }
    }

    pub fn propose_load(&mut self, vm: usize, model: usize, engine: usize, how: u8) {
        self.propose(vm, how, |process, proposer| {
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

    /// A process takes up one of its accepted loads: after its last check, before it sends.
    pub fn pick(&mut self, vm: usize, index: usize) {
        let engines = self.engines.len();
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let to_pick = process.to_pick();
        let Some(load) = to_pick.get(index % to_pick.len().max(1)).copied() else {
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
        process.picked.insert(load);
        process
            .hands
            .push((engine.expect("engines are not renamed"), order));
    }

    /// A process takes up an unload, which it may order more than once.
    pub fn pick_unload(&mut self, vm: usize, index: usize) {
        let engines = self.engines.len();
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let to_unload = process.to_unload();
        let Some(intent) = to_unload.get(index % to_unload.len().max(1)) else {
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
            .hands
            .push((engine.expect("engines are not renamed"), order));
    }

    /// A process sends what it has taken up, however long ago.
    pub fn send(&mut self, vm: usize, index: usize) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        if process.hands.is_empty() {
            return;
        }
        let (engine, order) = process.hands.remove(index % process.hands.len());
        process.waiting.insert(order.intent);
        self.engines[engine].inbox.push(order);
    }

    /// A process gives up one of its accepted loads without having taken it up.
    pub fn abandon(&mut self, vm: usize, index: usize) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let to_pick = process.to_pick();
        let Some(load) = to_pick.get(index % to_pick.len().max(1)).copied() else {
            return;
        };
        process.picked.insert(load);
        let settled_as = SettledAs::Abandoned;
        let outcome = Outcome {
            kind: IntentKind::Load,
            settled_as,
            reading: None,
        };
        process.outcomes.insert(load, outcome);
    }

    /// A process's connection breaks before the answer.
    pub fn lose_answer(&mut self, vm: usize, index: usize) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let waiting: Vec<Offset> = process.waiting.iter().copied().collect();
        if let Some(intent) = waiting.get(index % waiting.len().max(1)) {
            process.waiting.remove(intent);
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
        if !process.waiting.remove(&order.intent) || is_lost {
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

    /// A process appends an outcome that it knows.
    pub fn settle(&mut self, vm: usize, index: usize, how: u8) {
        self.propose(vm, how, |process, proposer| {
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

    pub fn read(&mut self, vm: usize, engine: usize) {
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
            highest_fence: FencingToken(status.highest),
            residents: status.resident_list(),
        };
        process.readings.push(reading);
    }

    /// A process appends a reading, however old.
    pub fn append_reading(&mut self, vm: usize, index: usize, how: u8) {
        self.propose(vm, how, |process, proposer| {
            if process.readings.is_empty() {
                return None;
            }
            let index = index % process.readings.len();
            let reading = process.readings.remove(index);
            Some(ControlRecord::Observed(Observation {
                proposer,
                ..reading
            }))
        });
    }

    pub fn take_over(&mut self, vm: usize, index: usize, how: u8) {
        self.propose(vm, how, |process, proposer| {
            let intents = process.to_take_over();
            let intent = intents.get(index % intents.len().max(1))?.intent;
            process.picked.insert(intent);
            process.outcomes.remove(&intent);
            Some(ControlRecord::TakeOver(TakeOver { proposer, intent }))
        });
    }

    /// A process asks an engine about an intent that it has taken over. Raising the fence can fail
    /// where reading the status does not.
    pub fn resolve(&mut self, vm: usize, index: usize, raises: bool) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let intents = process.to_resolve();
        let Some(intent) = intents.get(index % intents.len().max(1)) else {
            return;
        };
        let mut names = (0..self.engines.len()).map(World::engine_name);
        let engine = names.position(|name| name == intent.engine);
        let engine = &mut self.engines[engine.expect("engines are not renamed")];
        if engine.checks_fence && raises {
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

    pub fn propose_unload(&mut self, vm: usize, index: usize, how: u8) {
        self.propose(vm, how, |process, proposer| {
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

    /// A process proposes that an engine is gone whose present run, as the process knows it, is over.
    /// The engine's successor bears the same name.
    pub fn remove_engine(&mut self, vm: usize, engine: usize, how: u8) {
        let boot = self.engines[engine].boot;
        self.propose(vm, how, |process, proposer| {
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

    /// The platform takes a VM away.
    pub fn remove_vm(&mut self, vm: usize) {
        self.processes[vm] = None;
        self.gone[vm] = true;
    }

    /// A process proposes that a VM which the list shows as gone has departed.
    pub fn depart(&mut self, vm: usize, other: usize, how: u8) {
        if !self.gone[other] {
            return;
        }
        self.propose(vm, how, |process, proposer| {
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

/// Returns whether an intent only waits for the next run of an engine that obeys every order.
pub fn lingers(world: &World, intent: &IntentView) -> bool {
    let replica = world.reference.replica(intent.intent);
    let engine = world.reference.engine(&intent.engine);
    replica.is_some_and(|replica| replica.stage() == Stage::Lingering)
        && engine.is_some_and(|engine| !engine.checks_fence)
}
