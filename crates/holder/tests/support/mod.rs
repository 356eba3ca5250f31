//! Engines for tests of the planner: they carry out orders, lag in their reports and count what
//! they were told wrongly.

#![allow(dead_code)]

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use apricotdale_fleet::Configuration;
use apricotdale_fleet::Directory;
use apricotdale_fleet::DirectoryOptions;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::ModelSpec;
use apricotdale_fleet::Residence;
use apricotdale_fleet::Service;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_holder::DemandBook;
use apricotdale_holder::DemandRow;
use apricotdale_holder::EngineReport;
use apricotdale_holder::OrderKind;
use apricotdale_holder::OrderOutcome;
use apricotdale_holder::Planner;
use apricotdale_holder::PlannerAction;
use apricotdale_holder::PlannerOptions;

/// How far the residence in a report lags. The count of orders does not.
const REPORT_LAG_MS: u64 = 200;

/// How long a call takes to arrive, and its answer to come back.
const CALL_MS: u64 = 2;

/// How long an unload waits for the last requests.
const UNLOAD_MS: u64 = 150;

const ADAPTER_MS: u64 = 8;

/// Returns a catalogue of equal models; the first two have adapters.
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

/// How the next order to an engine goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// The answer is lost, the order is carried out.
    LostAnswer,
    /// The order is carried out later, with no answer.
    Late { after_ms: u64 },
    /// The order does not arrive.
    Lost,
}

struct Running {
    kind: OrderKind,
    done_ms: u64,
}

/// What a report would have shown at a time.
struct Past {
    at_ms: u64,
    residence: Residence,
    busy: bool,
    coming: Vec<(ModelName, ModelName)>,
}

/// `FakeEngine` is an engine as it really is.
pub struct FakeEngine {
    pub residence: Residence,
    pub orders_taken: u64,
    /// What it was told though it had no room for it.
    pub overcommitted: Vec<OrderKind>,
    pub fault: Option<OrderFault>,
    running: Option<Running>,
    coming: Vec<(ModelName, ModelName, u64)>,
    late: Vec<(u64, OrderKind, u64)>,
    history: VecDeque<Past>,
    /// Loads that ended, with whether the weights came from the weight store.
    pub loads: Vec<(ModelName, bool)>,
}

impl FakeEngine {
    fn new(models: &[&str]) -> Self {
        let mut residence = Residence::default();
        for model in models {
            residence.note_loaded(&ModelName::from(*model));
        }
        Self {
            residence,
            orders_taken: 0,
            overcommitted: Vec::new(),
            fault: None,
            running: None,
            coming: Vec::new(),
            late: Vec::new(),
            history: VecDeque::new(),
            loads: Vec::new(),
        }
    }

    /// Has an adapter on its way, by an order of somebody else's.
    pub fn bring(&mut self, model: &str, adapter: &str, arrives_ms: u64) {
        let names = (ModelName::from(model), ModelName::from(adapter));
        self.coming.push((names.0, names.1, arrives_ms));
    }

    fn advance(&mut self, now_ms: u64, spec: &EngineSpec) {
        if let Some(done) = self.running.take_if(|running| running.done_ms <= now_ms) {
            self.finish(done.kind);
        }
        let arrived: Vec<_> = self
            .coming
            .extract_if(.., |(.., at_ms)| *at_ms <= now_ms)
            .collect();
        for (model, adapter, _) in arrived {
            self.residence.note_adapter(&model, &adapter);
        }
        let late: Vec<_> = self
            .late
            .extract_if(.., |(at_ms, ..)| *at_ms <= now_ms)
            .collect();
        for (_, kind, before) in late {
            self.take(now_ms, spec, kind, before);
        }
        let coming = self
            .coming
            .iter()
            .map(|(model, it, _)| (model.clone(), it.clone()))
            .collect();
        self.history.push_back(Past {
            at_ms: now_ms,
            residence: self.residence.clone(),
            busy: self.running.is_some(),
            coming,
        });
        while self.history.len() > 1 && self.history[1].at_ms + REPORT_LAG_MS <= now_ms {
            self.history.pop_front();
        }
    }

    fn finish(&mut self, kind: OrderKind) {
        match kind {
            OrderKind::LoadModel(model) => {
                let from_store = !self.residence.on_disk.contains(&model);
                self.residence.note_loaded(&model);
                self.loads.push((model, from_store));
            }
            OrderKind::UnloadModel(model) => {
                self.residence.note_unloaded(&model);
            }
            OrderKind::LoadAdapter { .. } | OrderKind::UnloadAdapter { .. } => {}
        }
    }

    fn weights_mb(&self, spec: &EngineSpec) -> f64 {
        let adapters = |model: &ModelName| {
            let coming = self
                .coming
                .iter()
                .filter(|(other, ..)| other == model)
                .count();
            let here = self
                .residence
                .model(model)
                .map_or(0, |it| it.adapters.len());
            (coming + here) as f64 * spec.models[model].adapter_mb
        };
        let residents = self.residence.models.iter();
        let here: f64 = residents
            .map(|it| spec.models[&it.model].size_mb + adapters(&it.model))
            .sum();
        let loading = match &self.running {
            Some(Running {
                kind: OrderKind::LoadModel(model),
                ..
            }) => spec.models[model].size_mb,
            _ => 0.0,
        };
        here + loading
    }

    fn take(
        &mut self,
        now_ms: u64,
        spec: &EngineSpec,
        kind: OrderKind,
        before: u64,
    ) -> OrderOutcome {
        if self.running.is_some() || before != self.orders_taken {
            return OrderOutcome::Conflict;
        }
        match &kind {
            OrderKind::LoadModel(model) => {
                if self.residence.model(model).is_some() {
                    return OrderOutcome::AlreadySo;
                }
                let tier = self.residence.tier(model);
                if self.weights_mb(spec) + spec.models[model].size_mb > spec.memory_mb {
                    self.overcommitted.push(kind.clone());
                }
                let model = &spec.models[model];
                let took_ms = match tier {
                    apricotdale_fleet::Tier::Memory => model.memory_load_ms,
                    apricotdale_fleet::Tier::Disk => model.disk_load_ms,
                    apricotdale_fleet::Tier::Store => model.store_load_ms,
                };
                self.running = Some(Running {
                    kind,
                    done_ms: now_ms + took_ms,
                });
            }
            OrderKind::UnloadModel(_) => {
                self.running = Some(Running {
                    kind,
                    done_ms: now_ms + UNLOAD_MS,
                });
            }
            OrderKind::LoadAdapter { model, adapter } => {
                let Some(resident) = self.residence.model(model) else {
                    return OrderOutcome::Refused;
                };
                let coming = self.coming.iter().any(|(_, it, _)| it == adapter);
                if resident.adapters.contains(adapter) || coming {
                    return OrderOutcome::AlreadySo;
                }
                let places = self.residence.adapters() + self.coming.len();
                let memory_mb = self.weights_mb(spec) + spec.models[model].adapter_mb;
                if places >= spec.adapter_slots as usize || memory_mb > spec.memory_mb {
                    self.overcommitted.push(kind.clone());
                }
                self.coming
                    .push((model.clone(), adapter.clone(), now_ms + ADAPTER_MS));
            }
            OrderKind::UnloadAdapter { model, adapter } => {
                self.residence.note_adapter_gone(model, adapter);
                self.orders_taken += 1;
                return OrderOutcome::DoneAtOnce;
            }
        }
        self.orders_taken += 1;
        OrderOutcome::Accepted
    }

    fn report(&self) -> EngineReport {
        let past = self.history.front().expect("it has been advanced");
        EngineReport {
            residence: past.residence.clone(),
            coming: past.coming.clone(),
            busy: past.busy,
            orders_taken: self.orders_taken,
            waiting: 0,
            running: 0,
        }
    }
}

enum Answer {
    Order(UpstreamName, OrderOutcome),
    Report(UpstreamName, EngineReport),
}

/// `World` runs a planner against engines.
pub struct World {
    pub now_ms: u64,
    pub engines: HashMap<UpstreamName, FakeEngine>,
    pub planner: Planner,
    pub demand: DemandBook,
    pub directory: Directory,
    /// What the other VMs were told, as engine, model, adapter and presence.
    pub told: Vec<(String, String, Option<String>, bool)>,
    /// Orders given, as time, engine and order.
    pub orders: Vec<(u64, UpstreamName, OrderKind)>,
    pub outcomes: HashMap<OrderOutcome, u32>,
    /// Engines that can't be reached.
    pub unreachable: Vec<UpstreamName>,
    spec: EngineSpec,
    answers: Vec<(u64, Answer)>,
    arrived: u64,
}

impl World {
    /// Returns a world whose engines hold the given models, and in which nothing is fetched that
    /// nobody asked for.
    pub fn new(models: usize, engines: &[&[&str]]) -> Self {
        let options = PlannerOptions {
            idle_share: 1.0,
            ..PlannerOptions::default()
        };
        Self::with_options(options, models, engines)
    }

    /// Returns a world with a planner of these options.
    pub fn with_options(options: PlannerOptions, models: usize, engines: &[&[&str]]) -> Self {
        let service = GroupName::from("s");
        let spec = spec(models);
        let mut directory = Directory::new(DirectoryOptions::default());
        let group = Service {
            name: service.clone(),
            max_connections: 100,
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
            directory.note_entry(Upstream {
                name: name.clone(),
                service: service.clone(),
                address: "127.0.0.1:1".parse().expect("an address"),
                zone: ZoneName::from("a"),
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
            demand: DemandBook::default(),
            directory,
            told: Vec::new(),
            orders: Vec::new(),
            outcomes: HashMap::new(),
            unreachable: Vec::new(),
            spec,
            answers: Vec::new(),
            arrived: 0,
        }
    }

    /// Returns an engine.
    pub fn engine(&mut self, index: usize) -> &mut FakeEngine {
        let name = UpstreamName::from(format!("e{index}"));
        self.engines.get_mut(&name).expect("the engine exists")
    }

    /// Tells the demand of one VM for a model: requests that wait, and new ones.
    pub fn want(&mut self, model: &str, adapter: Option<&str>, missing: u32) {
        self.arrived += u64::from(missing);
        let row = DemandRow {
            model: ModelName::from(model),
            adapter: adapter.map(ModelName::from),
            missing,
            crowded: 0,
            running: 0,
            arrived: self.arrived,
        };
        self.demand
            .note(self.now_ms, &VmName::from("vm"), 1, vec![row]);
    }

    /// Lets time pass in steps of one millisecond.
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
                        self.planner.report_ended(self.now_ms, &name, Some(report))
                    }
                };
                self.carry_out(actions);
            }
            if self.now_ms.is_multiple_of(10) {
                let unreachable = &self.unreachable;
                self.planner
                    .sync(&self.directory, |name| unreachable.contains(name));
                let actions = self.planner.plan(self.now_ms, &self.demand);
                self.carry_out(actions);
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<PlannerAction>) {
        for action in actions {
            match action {
                PlannerAction::Order {
                    engine,
                    kind,
                    orders_before,
                } => {
                    self.orders
                        .push((self.now_ms, engine.clone(), kind.clone()));
                    self.order(engine, kind, orders_before);
                }
                PlannerAction::Report { engine } => {
                    let report = self.engines[&engine].report();
                    self.answers
                        .push((self.now_ms + CALL_MS, Answer::Report(engine, report)));
                }
                PlannerAction::Tell(news) => self.told.push((
                    news.engine.to_string(),
                    news.model.to_string(),
                    news.adapter.map(|adapter| adapter.to_string()),
                    news.present,
                )),
            }
        }
    }

    fn order(&mut self, name: UpstreamName, kind: OrderKind, before: u64) {
        let engine = self.engines.get_mut(&name).expect("the engine exists");
        let (outcome, after_ms) = match engine.fault.take() {
            None => (engine.take(self.now_ms, &self.spec, kind, before), CALL_MS),
            Some(OrderFault::LostAnswer) => {
                engine.take(self.now_ms, &self.spec, kind, before);
                (OrderOutcome::Unknown, 500)
            }
            Some(OrderFault::Late { after_ms }) => {
                engine.late.push((self.now_ms + after_ms, kind, before));
                (OrderOutcome::Unknown, 500)
            }
            Some(OrderFault::Lost) => (OrderOutcome::NotSent, CALL_MS),
        };
        self.answers
            .push((self.now_ms + after_ms, Answer::Order(name, outcome)));
    }

    /// Returns what engines were told though they had no room for it.
    pub fn overcommitted(&self) -> Vec<OrderKind> {
        self.engines
            .values()
            .flat_map(|engine| engine.overcommitted.clone())
            .collect()
    }

    /// Returns how many engines hold a model.
    pub fn replicas(&self, model: &str) -> usize {
        let model = ModelName::from(model);
        self.engines
            .values()
            .filter(|engine| engine.residence.model(&model).is_some())
            .count()
    }
}

impl World {
    /// Tells that one VM has requests in progress on a model.
    pub fn demand_running(&mut self, model: &str, running: u32) {
        self.demand_crowded(model, running, 0);
    }

    /// Tells that one VM has requests in progress on a model, and some that found its engines full.
    pub fn demand_crowded(&mut self, model: &str, running: u32, crowded: u32) {
        self.arrived += u64::from(running);
        let row = DemandRow {
            model: ModelName::from(model),
            adapter: None,
            missing: 0,
            crowded,
            running,
            arrived: self.arrived,
        };
        self.demand
            .note(self.now_ms, &VmName::from("other"), 2, vec![row]);
    }
}
