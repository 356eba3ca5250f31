//! Fake engine that carries out orders and whose reports lag.

use std::collections::VecDeque;

use apricotdale_core::names::ModelName;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::Residence;
use apricotdale_fleet::Tier;
use apricotdale_holder::EngineReport;
use apricotdale_holder::OrderKind;
use apricotdale_holder::OrderOutcome;

/// Lag of the residence in a report. The order count does not lag.
const REPORT_LAG_MS: u64 = 200;

/// Duration of an unload, during which the last requests end.
const UNLOAD_MS: u64 = 150;

const ADAPTER_MS: u64 = 8;

/// Fault of the next order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// The order is carried out, and its answer is lost.
    LostAnswer,
    /// The order is carried out with a delay, and is not answered.
    Late { after_ms: u64 },
    /// The order is lost.
    Lost,
}

struct Running {
    kind: OrderKind,
    /// Whether the order is a load from the weight store.
    from_store: bool,
    done_ms: u64,
}

/// State as a report shows it at a time.
struct PastState {
    at_ms: u64,
    residence: Residence,
    busy: bool,
    /// Pairs of model and adapter.
    loading_adapters: Vec<(ModelName, ModelName)>,
}

/// Fake engine that carries out orders and whose reports lag.
pub struct FakeEngine {
    pub residence: Residence,
    pub orders_taken: u64,
    /// Orders that exceeded the engine's memory or slots.
    pub overcommitted: Vec<OrderKind>,
    pub fault: Option<OrderFault>,
    running: Option<Running>,
    /// Model, adapter and the time at which the adapter is loaded.
    loading_adapters: Vec<(ModelName, ModelName, u64)>,
    late: Vec<(u64, OrderKind, u64)>,
    history: VecDeque<PastState>,
    /// Completed loads, and whether the weights came from the weight store.
    pub loads: Vec<(ModelName, bool)>,
    /// Ratio of the actual to the configured duration of loads.
    pub load_factor: f64,
}

impl FakeEngine {
    pub fn new(models: &[&str]) -> Self {
        let mut residence = Residence::default();
        for model in models {
            residence.record_loaded(&ModelName::from(*model));
        }
        Self {
            residence,
            orders_taken: 0,
            overcommitted: Vec::new(),
            fault: None,
            running: None,
            loading_adapters: Vec::new(),
            late: Vec::new(),
            history: VecDeque::new(),
            loads: Vec::new(),
            load_factor: 1.0,
        }
    }

    /// Returns whether a load from the weight store is in progress.
    pub fn loads_from_store(&self) -> bool {
        self.running.as_ref().is_some_and(|it| it.from_store)
    }

    /// Schedules an order to be carried out at a time.
    pub fn execute_late(&mut self, at_ms: u64, kind: OrderKind, before: u64) {
        self.late.push((at_ms, kind, before));
    }

    /// Starts the load of an adapter on the order of another holder.
    pub fn start_adapter_load(&mut self, model: &str, adapter: &str, arrives_ms: u64) {
        let names = (ModelName::from(model), ModelName::from(adapter));
        self.loading_adapters.push((names.0, names.1, arrives_ms));
    }

    pub fn advance(&mut self, now_ms: u64, spec: &EngineSpec) {
        if let Some(done) = self.running.take_if(|running| running.done_ms <= now_ms) {
            self.finish(done.kind);
        }
        let arrived: Vec<_> = self
            .loading_adapters
            .extract_if(.., |(.., at_ms)| *at_ms <= now_ms)
            .collect();
        for (model, adapter, _) in arrived {
            self.residence.record_adapter_loaded(&model, &adapter);
        }
        let late: Vec<_> = self
            .late
            .extract_if(.., |(at_ms, ..)| *at_ms <= now_ms)
            .collect();
        for (_, kind, before) in late {
            self.execute(now_ms, spec, kind, before);
        }
        let loading_adapters = self
            .loading_adapters
            .iter()
            .map(|(model, it, _)| (model.clone(), it.clone()))
            .collect();
        self.history.push_back(PastState {
            at_ms: now_ms,
            residence: self.residence.clone(),
            busy: self.running.is_some(),
            loading_adapters,
        });
        while self.history.len() > 1 && self.history[1].at_ms + REPORT_LAG_MS <= now_ms {
            self.history.pop_front();
        }
    }

    fn finish(&mut self, kind: OrderKind) {
        match kind {
            OrderKind::LoadModel(model) => {
                let from_store = !self.residence.on_disk.contains(&model);
                self.residence.record_loaded(&model);
                self.loads.push((model, from_store));
            }
            OrderKind::UnloadModel(model) => {
                self.residence.record_unloaded(&model);
            }
            OrderKind::LoadAdapter { .. } | OrderKind::UnloadAdapter { .. } => {}
        }
    }

    fn weights_mb(&self, spec: &EngineSpec) -> f64 {
        let adapters = |model: &ModelName| {
            let loading_count = self
                .loading_adapters
                .iter()
                .filter(|(other, ..)| other == model)
                .count();
            let here = self
                .residence
                .model(model)
                .map_or(0, |it| it.adapters.len());
            (loading_count + here) as f64 * spec.models[model].adapter_mb
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

    pub fn execute(
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
                    Tier::Memory => model.memory_load_ms,
                    Tier::Disk => model.disk_load_ms,
                    Tier::Store => model.store_load_ms,
                };
                self.running = Some(Running {
                    kind,
                    from_store: tier == Tier::Store,
                    done_ms: now_ms + (took_ms as f64 * self.load_factor) as u64,
                });
            }
            OrderKind::UnloadModel(_) => {
                self.running = Some(Running {
                    kind,
                    from_store: false,
                    done_ms: now_ms + UNLOAD_MS,
                });
            }
            OrderKind::LoadAdapter { model, adapter } => {
                let Some(resident) = self.residence.model(model) else {
                    return OrderOutcome::Refused;
                };
                let is_loading = self.loading_adapters.iter().any(|(_, it, _)| it == adapter);
                if resident.adapters.contains(adapter) || is_loading {
                    return OrderOutcome::AlreadySo;
                }
                let used_slots = self.residence.adapters() + self.loading_adapters.len();
                let memory_mb = self.weights_mb(spec) + spec.models[model].adapter_mb;
                if used_slots >= spec.adapter_slots as usize || memory_mb > spec.memory_mb {
                    self.overcommitted.push(kind.clone());
                }
                self.loading_adapters
                    .push((model.clone(), adapter.clone(), now_ms + ADAPTER_MS));
            }
            OrderKind::UnloadAdapter { model, adapter } => {
                self.residence.record_adapter_unloaded(model, adapter);
                self.orders_taken += 1;
                return OrderOutcome::DoneAtOnce;
            }
        }
        self.orders_taken += 1;
        OrderOutcome::Accepted
    }

    pub fn report(&self) -> EngineReport {
        let past = self.history.front().expect("it has been advanced");
        EngineReport {
            born_ms: 0,
            residence: past.residence.clone(),
            coming: past.loading_adapters.clone(),
            busy: past.busy,
            orders_taken: self.orders_taken,
            waiting: 0,
            running: 0,
        }
    }
}
