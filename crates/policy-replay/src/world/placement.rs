//! Simulation of placement: the policy's view, decisions, loads and unloads.

use std::collections::BTreeSet;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::EngineView;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::ReplicaView;
use apricotdale_core::refusal::Refusal;

use crate::fleet::Phase;
use crate::fleet::Replica;
use crate::world::BUSY_PLAN_INTERVAL_MS;
use crate::world::Event;
use crate::world::LOG_ROUND_TRIP_MS;
use crate::world::Load;
use crate::world::QUIET_PLAN_INTERVAL_MS;
use crate::world::World;

/// Time in which an engine frees the memory of a replica without requests.
const UNLOAD_MS: u64 = 200;

/// Time in which the weight store refuses a load above its rate limit.
const STORE_REFUSAL_MS: u64 = 100;

impl World<'_> {
    pub(super) fn plan(&mut self) {
        if self.plan_ms != Some(self.now_ms) {
            return;
        }
        self.plan_ms = None;
        let view = self.view();
        let actions = self.policies.placement.plan(self.now_ms, &view);
        for action in actions {
            self.propose(action);
        }
        let is_busy = self.waiting.iter().any(|waiting| !waiting.is_empty());
        let pause_ms = if is_busy {
            BUSY_PLAN_INTERVAL_MS
        } else {
            QUIET_PLAN_INTERVAL_MS
        };
        self.plan_no_later_than(self.now_ms + pause_ms);
    }

    fn propose(&mut self, action: PlacementAction) {
        let model = match &action {
            PlacementAction::NoLoadInTime { model, refusal } => {
                self.refuse_late(&model.clone(), &refusal.clone());
                return;
            }
            PlacementAction::Load { model, .. } | PlacementAction::Unload { model, .. } => model,
        };
        if !self.log_is_up {
            return;
        }
        let expected_replicas = self
            .target(model)
            .map_or(0, |model| self.replicas_of(model));
        let event = Event::Accept {
            action,
            expected_replicas,
        };
        self.schedule(self.now_ms + LOG_ROUND_TRIP_MS, event);
    }

    /// Refuses the waiting requests whose deadline is before the time at which the refusal allows a
    /// retry.
    fn refuse_late(&mut self, model: &ModelName, refusal: &Refusal) {
        let Some(target) = self.target(model) else {
            return;
        };
        let ready_ms = self.now_ms + refusal.retry_after_ms.unwrap_or(0);
        let late: Vec<u64> = self.waiting[target]
            .iter()
            .copied()
            .filter(|ticket| self.requests[*ticket as usize].deadline_ms < ready_ms)
            .collect();
        for ticket in late {
            self.withdraw(ticket);
            self.refuse(ticket, refusal);
        }
    }

    pub(super) fn target(&self, model: &ModelName) -> Option<usize> {
        self.indexes.get(model).copied()
    }

    fn engine(&self, name: &UpstreamName) -> Option<usize> {
        self.engines.iter().position(|engine| engine.name == *name)
    }

    fn replicas_of(&self, model: usize) -> usize {
        let held =
            |engine: &&crate::fleet::Engine| engine.listed && engine.replica(model).is_some();
        self.engines.iter().filter(held).count()
    }

    pub(super) fn accept(&mut self, action: &PlacementAction, expected_replicas: usize) {
        match action {
            PlacementAction::Load {
                model,
                engine,
                ready_at_ms,
            } => self.accept_load(model, engine, *ready_at_ms, expected_replicas),
            PlacementAction::Unload { model, engine } => self.accept_unload(model, engine),
            PlacementAction::NoLoadInTime { .. } => {}
        }
    }

    fn accept_load(
        &mut self,
        model: &ModelName,
        engine: &UpstreamName,
        ready_at_ms: u64,
        expected_replicas: usize,
    ) {
        let (Some(model), Some(engine)) = (self.target(model), self.engine(engine)) else {
            return;
        };
        let table = &self.trace.models[model];
        let held = &self.engines[engine];
        let base_is_there = table.base.is_none_or(|base| held.serves(base));
        let is_possible = held.listed
            && held.replica(model).is_none()
            && held.free_bytes() >= table.bytes
            && base_is_there
            && self.replicas_of(model) == expected_replicas;
        if !is_possible {
            return;
        }
        let load = self.loads.len();
        let tier = held.cache.tier(model);
        let (fixed_ms, sized_ms) = self.deployment.load_times.parts_ms(tier, table.bytes);
        self.loads.push(Load {
            engine,
            model,
            started_ms: self.now_ms,
            tier,
            sized_ms,
        });
        self.engines[engine].replicas.push(Replica {
            model,
            base: table.base,
            bytes: table.bytes,
            phase: Phase::Loading,
            load,
            since_ms: self.now_ms,
            ready_at_ms,
            requests: 0,
        });
        self.record_idle_memory(engine);
        self.measures.record_load(self.now_ms);
        match tier {
            CacheTier::Remote => {
                self.schedule(self.now_ms + fixed_ms as u64, Event::StoreStart(load));
            }
            CacheTier::Memory | CacheTier::Disk => {
                let took_ms = (fixed_ms + sized_ms) as u64;
                self.schedule(self.now_ms + took_ms, Event::LoadDone(load));
            }
        }
        self.announce_capacity(model);
    }

    pub(super) fn store_start(&mut self, load: usize) {
        let sized_ms = self.loads[load].sized_ms;
        if !self.holds(load) {
            return;
        }
        if !self.store.start(self.now_ms, load, sized_ms) {
            self.schedule(self.now_ms + STORE_REFUSAL_MS, Event::LoadFailed(load));
        }
        self.schedule_store_end();
    }

    pub(super) fn schedule_store_end(&mut self) {
        self.store_end_ms = self.store.next_end_ms();
        if let Some(end_ms) = self.store_end_ms {
            self.schedule(end_ms.max(self.now_ms), Event::StoreEnd);
        }
    }

    pub(super) fn store_end(&mut self) {
        if self.store_end_ms != Some(self.now_ms) {
            return;
        }
        for load in self.store.take_ended(self.now_ms) {
            self.load_done(load);
        }
        self.schedule_store_end();
    }

    /// Returns whether the engine runs and still has the replica created by a load.
    fn holds(&self, load: usize) -> bool {
        let Load { engine, model, .. } = self.loads[load];
        let engine = &self.engines[engine];
        engine.alive && engine.replica(model).is_some_and(|held| held.load == load)
    }

    pub(super) fn load_done(&mut self, load: usize) {
        if !self.holds(load) {
            return;
        }
        let Load {
            engine,
            model,
            tier,
            started_ms,
            ..
        } = self.loads[load];
        let bytes = self.trace.models[model].bytes;
        self.engines[engine].cache.touch(model, bytes);
        let took_ms = self.now_ms - started_ms;
        self.policies
            .placement
            .loaded(self.now_ms, &self.targets[model], tier, took_ms);
        match self.log_is_up {
            true => self.settle(load),
            false => self.unsettled.push(load),
        }
    }

    pub(super) fn settle(&mut self, load: usize) {
        self.schedule(self.now_ms + LOG_ROUND_TRIP_MS, Event::Settled(load));
    }

    pub(super) fn load_failed(&mut self, load: usize) {
        if !self.holds(load) {
            return;
        }
        let Load { engine, model, .. } = self.loads[load];
        self.engines[engine]
            .replicas
            .retain(|held| held.load != load);
        self.record_idle_memory(engine);
        self.announce_capacity(model);
        self.plan_no_later_than(self.now_ms);
    }

    pub(super) fn settled(&mut self, load: usize) {
        if !self.holds(load) {
            return;
        }
        let Load { engine, model, .. } = self.loads[load];
        let now_ms = self.now_ms;
        if let Some(replica) = self.engines[engine].replica_mut(model) {
            replica.phase = Phase::Loaded;
            replica.since_ms = now_ms;
        }
        self.record_idle_memory(engine);
        self.record_cold_starts(model);
        self.announce_capacity(model);
        self.plan_no_later_than(self.now_ms);
    }

    fn accept_unload(&mut self, model: &ModelName, engine: &UpstreamName) {
        let (Some(model), Some(engine)) = (self.target(model), self.engine(engine)) else {
            return;
        };
        let is_base = self.engines[engine]
            .replicas
            .iter()
            .any(|held| held.base == Some(model) && held.phase != Phase::Unloading);
        let Some(replica) = self.engines[engine].replica_mut(model) else {
            return;
        };
        if is_base || replica.phase != Phase::Loaded {
            return;
        }
        replica.phase = Phase::Unloading;
        let (load, requests) = (replica.load, replica.requests);
        if requests == 0 {
            self.schedule(self.now_ms + UNLOAD_MS, Event::Unloaded(load));
        }
        self.announce_capacity(model);
    }

    /// Schedules the end of an unload once the replica has no requests left.
    pub(super) fn unload_if_done(&mut self, engine: usize, model: usize) {
        let Some(replica) = self.engines[engine].replica(model) else {
            return;
        };
        if replica.phase == Phase::Unloading && replica.requests == 0 {
            let load = replica.load;
            self.schedule(self.now_ms + UNLOAD_MS, Event::Unloaded(load));
        }
    }

    pub(super) fn unloaded(&mut self, load: usize) {
        if !self.holds(load) {
            return;
        }
        let engine = self.loads[load].engine;
        self.engines[engine]
            .replicas
            .retain(|held| held.load != load);
        self.record_idle_memory(engine);
        self.plan_no_later_than(self.now_ms + LOG_ROUND_TRIP_MS);
    }

    fn view(&self) -> FleetView {
        let engines = &self.engines[..self.deployment.engines.count];
        let listed = || engines.iter().filter(|engine| engine.listed);
        FleetView {
            engines: listed().map(|engine| self.engine_view(engine)).collect(),
            replicas: listed()
                .flat_map(|engine| {
                    engine.replicas.iter().map(|replica| ReplicaView {
                        model: self.targets[replica.model].clone(),
                        engine: engine.name.clone(),
                        loaded: replica.phase == Phase::Loaded,
                        bytes: replica.bytes,
                        since_ms: replica.since_ms,
                    })
                })
                .collect(),
            models: self.model_views(),
            growing_groups: BTreeSet::new(),
            store_active_loads: self.store.active_loads(),
            store_full_speed_loads: self.deployment.store.full_speed_loads,
            tightest_target_ms: self.deployment.tightest_target_ms(),
        }
    }

    fn engine_view(&self, engine: &crate::fleet::Engine) -> EngineView {
        let (running, queued) = engine.reported;
        let loading = engine
            .replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Loading);
        EngineView {
            engine: engine.name.clone(),
            group: self.deployment.engines.group.clone(),
            zone: engine.zone.clone(),
            capacity_bytes: self.deployment.engines.capacity_bytes,
            free_bytes: engine.free_bytes(),
            accepts: true,
            busy: running + queued,
            slots: self.deployment.engines.slots,
            loading: loading.count() as u32,
            checkpoints: engine
                .reported_checkpoints
                .iter()
                .map(|(model, tier)| (self.targets[*model].clone(), *tier))
                .collect(),
        }
    }

    fn model_views(&self) -> Vec<ModelView> {
        let count = self.trace.models.len();
        let mut shown = vec![false; count];
        for replica in self.engines.iter().flat_map(|engine| &engine.replicas) {
            if replica.model < count {
                shown[replica.model] = true;
            }
        }
        for (model, shown) in shown.iter_mut().enumerate() {
            *shown |= !self.waiting[model].is_empty() || self.running[model] > 0;
        }
        let bases = (0..count).filter(|model| shown[*model]);
        let bases: Vec<usize> = bases
            .filter_map(|model| self.trace.models[model].base)
            .collect();
        for base in bases {
            shown[base] = true;
        }
        (0..count)
            .filter(|model| shown[*model])
            .map(|model| self.model_view(model))
            .collect()
    }

    fn model_view(&self, model: usize) -> ModelView {
        let table = &self.trace.models[model];
        let tightest = self.waiting[model]
            .iter()
            .map(|ticket| self.requests[*ticket as usize].deadline_ms)
            .min();
        ModelView {
            model: table.model.clone(),
            base: table.base.map(|base| self.targets[base].clone()),
            group: self.deployment.engines.group.clone(),
            bytes: table.bytes,
            waiting: self.waiting[model].len() as u32,
            running: self.running[model],
            tightest_ms: tightest.map(|at_ms| at_ms.saturating_sub(self.now_ms)),
            preferred_here: true,
        }
    }

    /// Returns the minimum time in which any engine could load the model now, with its base.
    pub(super) fn floor_ms(&self, model: usize) -> u64 {
        let table = &self.trace.models[model];
        let best_ms = self.engines[..self.deployment.engines.count]
            .iter()
            .filter(|engine| engine.listed)
            .map(|engine| {
                let tier = engine.cache.tier(model);
                self.deployment.load_times.total_ms(tier, table.bytes)
            })
            .min()
            .unwrap_or(0);
        let base_ms = match table.base {
            Some(base) if self.serving(base).next().is_none() => self.floor_ms(base),
            _ => 0,
        };
        best_ms + base_ms
    }
}
