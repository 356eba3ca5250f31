//! Simulation of a planner and its engines, which carry out orders, lag in their reports and record
//! orders that overcommit them.

#![allow(dead_code)]

mod engine;
pub mod leases;

use std::collections::HashMap;
use std::sync::Arc;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use apricotdale_fleet::Configuration;
use apricotdale_fleet::Directory;
use apricotdale_fleet::DirectoryOptions;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::ModelSpec;
use apricotdale_fleet::Service;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_holder::DemandRow;
use apricotdale_holder::DemandTable;
use apricotdale_holder::EngineReport;
use apricotdale_holder::OrderKind;
use apricotdale_holder::OrderOutcome;
use apricotdale_holder::Planner;
use apricotdale_holder::PlannerAction;
use apricotdale_holder::PlannerOptions;

pub use engine::FakeEngine;
pub use engine::OrderFault;

/// Time from sending a call until its answer arrives.
const CALL_MS: u64 = 2;

/// Returns options with which models without demand are never prefetched.
pub fn options_without_prefetch() -> PlannerOptions {
    PlannerOptions {
        idle_share: 1.0,
        ..PlannerOptions::default()
    }
}

/// Returns a catalogue of models of equal size. The first two have adapters.
pub fn spec(models: usize) -> EngineSpec {
    let model = |index: usize| {
        let spec = ModelSpec {
            size_mb: 60_000.0,
            store_load_ms: 6_000,
            disk_load_ms: 800,
            memory_load_ms: 600,
            adapters: if index < 2 { 20 } else { 0 },
            adapter_mb: 60.0,
        };
        (ModelName::from(format!("m{index}")), spec)
    };
    EngineSpec {
        slots: 8,
        kv_tokens: 100_000,
        memory_mb: 200_000.0,
        adapter_slots: 4,
        store_loads_per_s: 15.0,
        models: (0..models).map(model).collect(),
    }
}

enum Answer {
    Order(UpstreamName, OrderOutcome),
    Report(UpstreamName, Option<EngineReport>),
}

/// Simulation of a planner and its engines.
pub struct World {
    pub now_ms: u64,
    pub engines: HashMap<UpstreamName, FakeEngine>,
    pub planner: Planner,
    pub demand: DemandTable,
    pub directory: Directory,
    /// Updates announced to the other VMs, as engine, model, adapter and presence.
    pub announced: Vec<(String, String, Option<String>, bool)>,
    /// Orders given, as time, engine and order.
    pub orders: Vec<(u64, UpstreamName, OrderKind)>,
    pub outcomes: HashMap<OrderOutcome, u32>,
    /// Engines that can't be reached.
    pub unreachable: Vec<UpstreamName>,
    /// Engines that state a rate limit.
    pub limited: Vec<UpstreamName>,
    /// Maximum number of concurrent loads from the weight store.
    pub max_store_loads: usize,
    /// Number of requests sent to an engine that was announced to hold their model and did not.
    pub rejected: u32,
    /// Models that requests wait for. Each request is sent once an engine is announced to hold its
    /// model.
    pub waiting: Vec<&'static str>,
    spec: EngineSpec,
    answers: Vec<(u64, Answer)>,
    arrived: u64,
}

impl World {
    /// Returns a world whose engines hold the given models, without prefetching.
    pub fn new(models: usize, engines: &[&[&str]]) -> Self {
        Self::with_options(options_without_prefetch(), models, engines)
    }

    /// Returns a world with the given planner options.
    pub fn with_options(options: PlannerOptions, models: usize, engines: &[&[&str]]) -> Self {
        Self::with_spec(options, spec(models), engines)
    }

    /// Returns a world with the given planner options and catalogue.
    pub fn with_spec(options: PlannerOptions, spec: EngineSpec, engines: &[&[&str]]) -> Self {
        let service = GroupName::from("s");
        let mut directory = Directory::new(DirectoryOptions::default());
        let group = Service {
            name: service.clone(),
            max_connections: 100,
            health_path: None,
            engine: Some(spec.clone()),
        };
        directory
            .configure(Configuration {
                version: 1,
                services: HashMap::from([(service.clone(), Arc::new(group))]),
                ..Configuration::default()
            })
            .expect("a first configuration");
        let mut fakes = HashMap::new();
        for (index, models) in engines.iter().enumerate() {
            let name = UpstreamName::from(format!("e{index}"));
            let fake = FakeEngine::new(models);
            directory.record_entry(Upstream {
                name: name.clone(),
                instance: InstanceName::from(name.as_str()),
                born_ms: 0,
                service: service.clone(),
                address: "127.0.0.1:1".parse().expect("an address"),
                zone: ZoneName::from("a"),
                version: None,
                slots: spec.slots,
                phase: UpstreamPhase::Serving,
                warm_up_ms: 0,
                leaves_in_ms: None,
                revision: 1,
                residence: fake.residence.clone(),
            });
            fakes.insert(name, fake);
        }
        Self {
            now_ms: 10_000,
            engines: fakes,
            planner: Planner::new(options, service, spec.clone()),
            demand: DemandTable::default(),
            directory,
            announced: Vec::new(),
            orders: Vec::new(),
            outcomes: HashMap::new(),
            unreachable: Vec::new(),
            limited: Vec::new(),
            max_store_loads: 0,
            rejected: 0,
            waiting: Vec::new(),
            spec,
            answers: Vec::new(),
            arrived: 0,
        }
    }

    pub fn engine(&mut self, index: usize) -> &mut FakeEngine {
        let name = UpstreamName::from(format!("e{index}"));
        self.engines.get_mut(&name).expect("the engine exists")
    }

    /// Caches a model on an engine's disk, and updates the engine's entry accordingly.
    pub fn cache_on_disk(&mut self, index: usize, model: &str) {
        let model = ModelName::from(model);
        self.engine(index).residence.on_disk.insert(model.clone());
        let name = UpstreamName::from(format!("e{index}"));
        let mut entry = self.directory.upstream(&name).cloned().expect("listed");
        entry.revision += 1;
        entry.residence.on_disk.insert(model);
        self.directory.record_entry(entry);
    }

    /// Reports the demand of one VM for a model or adapter: waiting requests, which have just
    /// arrived.
    pub fn want(&mut self, model: &str, adapter: Option<&str>, waiting_for_load: u32) {
        self.arrived += u64::from(waiting_for_load);
        let row = DemandRow {
            model: ModelName::from(model),
            adapter: adapter.map(ModelName::from),
            waiting_for_load,
            waiting_for_slot: 0,
            running: 0,
            arrived: self.arrived,
        };
        self.demand
            .note(self.now_ms, &VmName::from("vm"), 1, vec![row]);
    }

    /// Advances time in steps of one millisecond.
    pub fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms {
            self.now_ms += 1;
            for engine in self.engines.values_mut() {
                engine.advance(self.now_ms, &self.spec);
            }
            let due: Vec<_> = self
                .answers
                .extract_if(.., |(at_ms, _)| *at_ms <= self.now_ms)
                .collect();
            for (_, answer) in due {
                let actions = match answer {
                    Answer::Order(name, outcome) => {
                        *self.outcomes.entry(outcome).or_default() += 1;
                        self.planner.order_ended(self.now_ms, &name, outcome)
                    }
                    Answer::Report(name, report) => {
                        self.planner.report_ended(self.now_ms, &name, report)
                    }
                };
                self.carry_out(actions);
            }
            self.send_waiting();
            let store_loads = self.engines.values().filter(|it| it.loads_from_store());
            self.max_store_loads = self.max_store_loads.max(store_loads.count());
            if self.now_ms.is_multiple_of(10) {
                let unreachable = &self.unreachable;
                self.planner
                    .sync(&self.directory, |name| unreachable.contains(name));
                let limited = &self.limited;
                self.planner.set_limited(|name| limited.contains(name));
                let actions = self.planner.plan(self.now_ms, &self.demand);
                self.carry_out(actions);
            }
        }
    }

    /// Sends each waiting request to the engines last announced to hold its model.
    fn send_waiting(&mut self) {
        for model in self.waiting.clone() {
            for engine in self.announced_holders(model) {
                let holds = self.engines[&engine].residence.model(&model.into());
                if holds.is_some() {
                    self.waiting.retain(|it| *it != model);
                    continue;
                }
                self.rejected += 1;
                let model = ModelName::from(model);
                let now_ms = self.now_ms;
                let actions = self.planner.record_rejection(now_ms, &engine, &model);
                self.carry_out(actions);
            }
        }
    }

    fn announced_holders(&self, model: &str) -> Vec<UpstreamName> {
        let mut holding: HashMap<&str, bool> = HashMap::new();
        for (engine, announced_model, adapter, present) in &self.announced {
            if announced_model == model && adapter.is_none() {
                holding.insert(engine, *present);
            }
        }
        let held = holding.into_iter().filter(|(_, present)| *present);
        held.map(|(engine, _)| UpstreamName::from(engine)).collect()
    }

    fn carry_out(&mut self, actions: Vec<PlannerAction>) {
        for action in actions {
            match action {
                PlannerAction::Order {
                    engine,
                    kind,
                    orders_before,
                    ..
                } => {
                    self.orders
                        .push((self.now_ms, engine.clone(), kind.clone()));
                    self.order(engine, kind, orders_before);
                }
                PlannerAction::Report { engine } => {
                    let is_reachable = !self.unreachable.contains(&engine);
                    let report = is_reachable.then(|| self.engines[&engine].report());
                    self.answers
                        .push((self.now_ms + CALL_MS, Answer::Report(engine, report)));
                }
                PlannerAction::Announce(update) => self.announced.push((
                    update.engine.to_string(),
                    update.model.to_string(),
                    update.adapter.map(|adapter| adapter.to_string()),
                    update.present,
                )),
            }
        }
    }

    fn order(&mut self, name: UpstreamName, kind: OrderKind, before: u64) {
        if self.unreachable.contains(&name) {
            let answer = Answer::Order(name, OrderOutcome::NotSent);
            self.answers.push((self.now_ms + CALL_MS, answer));
            return;
        }
        let engine = self.engines.get_mut(&name).expect("the engine exists");
        let (outcome, after_ms) = match engine.fault.take() {
            None => (
                engine.execute(self.now_ms, &self.spec, kind, before),
                CALL_MS,
            ),
            Some(OrderFault::LostAnswer) => {
                engine.execute(self.now_ms, &self.spec, kind, before);
                (OrderOutcome::Unknown, 500)
            }
            Some(OrderFault::Late { after_ms }) => {
                engine.execute_late(self.now_ms + after_ms, kind, before);
                (OrderOutcome::Unknown, 500)
            }
            Some(OrderFault::Lost) => (OrderOutcome::NotSent, CALL_MS),
        };
        self.answers
            .push((self.now_ms + after_ms, Answer::Order(name, outcome)));
    }

    /// Returns the orders that exceeded the memory or slots of an engine.
    pub fn overcommitted(&self) -> Vec<OrderKind> {
        self.engines
            .values()
            .flat_map(|engine| engine.overcommitted.clone())
            .collect()
    }

    /// Returns the number of engines that hold a model.
    pub fn replicas(&self, model: &str) -> usize {
        let model = ModelName::from(model);
        self.engines
            .values()
            .filter(|engine| engine.residence.model(&model).is_some())
            .count()
    }
}

impl World {
    /// Keeps a model in demand for a time, with running requests and requests waiting for a slot.
    pub fn keep_busy(&mut self, model: &str, running: u32, waiting_for_slot: u32, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.want(model, None, 0);
            self.demand_with_waiting(model, running, waiting_for_slot);
            self.run(200);
        }
    }

    /// Reports running requests of one VM for a model.
    pub fn demand_running(&mut self, model: &str, running: u32) {
        self.demand_with_waiting(model, running, 0);
    }

    /// Reports running requests of one VM for a model, and requests waiting for a slot.
    pub fn demand_with_waiting(&mut self, model: &str, running: u32, waiting_for_slot: u32) {
        self.arrived += u64::from(running);
        let row = DemandRow {
            model: ModelName::from(model),
            adapter: None,
            waiting_for_load: 0,
            waiting_for_slot,
            running,
            arrived: self.arrived,
        };
        self.demand
            .note(self.now_ms, &VmName::from("other"), 2, vec![row]);
    }
}

impl World {
    /// Returns the configured duration of a load of a model from an engine's disk or memory, whichever is
    /// longer.
    pub fn planner_load_ms(&self, model: &ModelName) -> u64 {
        let spec = &self.spec.models[model];
        spec.disk_load_ms.max(spec.memory_load_ms)
    }
}
