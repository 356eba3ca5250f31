//! Which model is loaded on which engine, and what gives way to it.

use std::collections::HashMap;
use std::collections::HashSet;

use apricotdale_core::names::ModelName;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::Tier;
use apricotdale_fleet::WantedModel;

use crate::demand::ModelDemand;
use crate::ledger::EngineLedger;
use crate::orders::OrderKind;

/// Requests a second above which a model should be on a second engine, so that the loss of one
/// engine does not leave it without.
const SECOND_REPLICA_PER_S: f64 = 2.0;

/// The part of an engine's places that one model's requests may take before another replica is
/// wanted. Above about half, tokens come slower and prompts wait for each other.
const REPLICA_FILL: f64 = 0.4;

/// What a running request of a model adds to its value against being unloaded. Its unload would
/// wait for the request, and the engine would stay busy.
const RUNNING_VALUE: f64 = 1.0;

/// What a waiting request is worth against one that may come: it is certain, and late soon.
const WAITING_VALUE: f64 = 4.0;

/// What each model that gives way adds to the cost of a place: its unload takes time first.
const VICTIM_WEIGHT: f64 = 0.05;

/// What each request a second that may want an adapter adds to the cost of a place.
const ADAPTER_WEIGHT: f64 = 0.02;

/// What a model with adapters adds to the cost of a place before anybody has asked for it.
const ADAPTER_MODEL_WEIGHT: f64 = 0.005;

/// `Placement` is what one engine should do for a model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Placement {
    /// The index of the engine's ledger.
    pub engine: usize,
    /// Models that give way, then the load.
    pub steps: Vec<OrderKind>,
}

/// `Placer` is one look at the fleet, from which placements are chosen.
pub(crate) struct Placer<'a> {
    spec: &'a EngineSpec,
    engines: &'a [EngineLedger],
    by_model: HashMap<ModelName, ModelDemand>,
    replicas: HashMap<ModelName, u32>,
    idle: Vec<IdleEngine<'a>>,
}

/// A model that an engine holds, as one that might give way.
struct Resident<'a> {
    model: &'a ModelName,
    /// What its replica here is worth.
    value: f64,
    size_mb: f64,
}

/// An engine that can be told something new. What does not depend on the model to be placed is
/// worked out once for each look: tens of models are tried on each of hundreds of engines.
struct IdleEngine<'a> {
    index: usize,
    ledger: &'a EngineLedger,
    free_mb: f64,
    /// What it holds; the least worth first.
    residents: Vec<Resident<'a>>,
    /// What its requests for adapters add to the cost of a place.
    adapter_cost: f64,
}

impl IdleEngine<'_> {
    /// Returns which models would give way to one of this size, and what they are worth.
    fn victims(&self, size_mb: f64) -> Option<(&[Resident<'_>], f64)> {
        let mut free_mb = self.free_mb;
        let mut value = 0.0;
        for (count, resident) in self.residents.iter().enumerate() {
            if free_mb >= size_mb {
                return Some((&self.residents[..count], value));
            }
            value += resident.value;
            free_mb += resident.size_mb;
        }
        (free_mb >= size_mb).then_some((&self.residents, value))
    }
}

impl<'a> Placer<'a> {
    /// Returns a look at the fleet.
    pub fn new(
        spec: &'a EngineSpec,
        engines: &'a [EngineLedger],
        totals: &HashMap<WantedModel, ModelDemand>,
    ) -> Self {
        let mut by_model: HashMap<ModelName, ModelDemand> = HashMap::new();
        for (wanted, demand) in totals {
            let sum = by_model.entry(wanted.model.clone()).or_default();
            if wanted.adapter.is_none() {
                sum.missing += demand.missing;
            }
            sum.crowded += demand.crowded;
            sum.running += demand.running;
            sum.per_s += demand.per_s;
            sum.last_ms = sum.last_ms.max(demand.last_ms);
        }
        let mut replicas: HashMap<ModelName, u32> = HashMap::new();
        for engine in engines.iter().filter(|engine| engine.serving) {
            for resident in &engine.residence.models {
                if !engine.will_drop(&resident.model) {
                    *replicas.entry(resident.model.clone()).or_default() += 1;
                }
            }
            let coming: HashSet<&ModelName> = engine.coming_models().collect();
            for model in coming {
                *replicas.entry(model.clone()).or_default() += 1;
            }
        }
        let mut placer = Self {
            spec,
            engines,
            by_model,
            replicas,
            idle: Vec::new(),
        };
        placer.idle = engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.is_idle())
            .map(|(index, engine)| placer.idle_engine(index, engine))
            .collect();
        placer
    }

    fn idle_engine(&self, index: usize, ledger: &'a EngineLedger) -> IdleEngine<'a> {
        let mut residents: Vec<Resident<'_>> = ledger
            .residence
            .models
            .iter()
            .filter_map(|resident| {
                let size_mb = self.spec.models.get(&resident.model)?.size_mb;
                Some(Resident {
                    model: &resident.model,
                    value: self.value(&resident.model),
                    size_mb,
                })
            })
            .collect();
        residents.sort_by(|left, right| left.value.total_cmp(&right.value));
        IdleEngine {
            index,
            ledger,
            free_mb: ledger.free_mb(self.spec),
            residents,
            adapter_cost: ADAPTER_WEIGHT * self.adapter_demand(ledger),
        }
    }

    /// Returns whether any engine can be told something new.
    pub fn has_idle_engines(&self) -> bool {
        !self.idle.is_empty()
    }

    /// Returns the demand for a model with its adapters.
    pub fn demand(&self, model: &ModelName) -> ModelDemand {
        self.by_model.get(model).copied().unwrap_or_default()
    }

    /// Returns how many engines hold a model or will.
    pub fn replicas(&self, model: &ModelName) -> u32 {
        self.replicas.get(model).copied().unwrap_or_default()
    }

    /// Returns how many engines should hold a model.
    pub fn wanted_replicas(&self, model: &ModelName) -> u32 {
        let demand = self.demand(model);
        let busy = f64::from(demand.running + demand.crowded);
        let by_load = (busy / (f64::from(self.spec.slots) * REPLICA_FILL)).ceil() as u32;
        let spare = u32::from(demand.per_s > SECOND_REPLICA_PER_S);
        by_load.max(1 + spare).min(self.engines.len() as u32)
    }

    /// Returns how many loads from the weight store are in progress or planned.
    pub fn store_loads(&self) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.loads_from_store())
            .count()
    }

    /// Returns whether an engine that does not hold the model has a copy of its weights.
    pub fn is_at_hand(&self, model: &ModelName) -> bool {
        self.engines.iter().any(|engine| {
            let holds = engine.residence.model(model).is_some() || engine.will_hold(model);
            engine.serving && !holds && engine.residence.tier(model) != Tier::Store
        })
    }

    /// Chooses the engine for a load: the one that is done soonest, and of these the one that gives
    /// up least for it. `most_value` bounds what may be given up.
    pub fn place(&self, model: &ModelName, from_store: bool, most_value: f64) -> Option<Placement> {
        let size_mb = self.spec.models.get(model)?.size_mb;
        self.idle
            .iter()
            .filter_map(|engine| {
                let (victims, value) = engine
                    .victims(size_mb)
                    .filter(|(_, value)| *value <= most_value)?;
                let residence = &engine.ledger.residence;
                let tier = residence.tier(model);
                if (tier == Tier::Store) != from_store || residence.model(model).is_some() {
                    return None;
                }
                let farther = if tier == Tier::Memory { 0.0 } else { 0.01 };
                let cost =
                    value + VICTIM_WEIGHT * victims.len() as f64 + engine.adapter_cost + farther;
                Some((engine.index, victims, cost))
            })
            .min_by(|left, right| left.2.total_cmp(&right.2))
            .map(|(engine, victims, _)| Placement {
                engine,
                steps: victims
                    .iter()
                    .map(|victim| OrderKind::UnloadModel(victim.model.clone()))
                    .chain([OrderKind::LoadModel(model.clone())])
                    .collect(),
            })
    }

    /// Requests a second for models with adapters on an engine. Adapters can't be loaded while the
    /// engine loads a model, so such engines are kept free of long loads where others can be had.
    fn adapter_demand(&self, engine: &EngineLedger) -> f64 {
        engine
            .residence
            .models
            .iter()
            .filter(|resident| {
                self.spec
                    .models
                    .get(&resident.model)
                    .is_some_and(|model| model.adapters > 0)
            })
            .map(|resident| {
                self.demand(&resident.model).per_s + ADAPTER_MODEL_WEIGHT / ADAPTER_WEIGHT
            })
            .sum()
    }

    /// Returns what one replica of a model is worth: the requests a second that would miss it.
    pub fn value(&self, model: &ModelName) -> f64 {
        let demand = self.demand(model);
        let replicas = self.replicas(model).max(1);
        if replicas > self.wanted_replicas(model) {
            return 0.01 * demand.per_s / f64::from(replicas);
        }
        demand.per_s
            + RUNNING_VALUE * f64::from(demand.running)
            + WAITING_VALUE * f64::from(demand.missing + demand.crowded)
    }

    /// Returns what a load of a model that is missing is worth.
    pub fn missing_value(&self, model: &ModelName) -> f64 {
        let demand = self.demand(model);
        demand.per_s + WAITING_VALUE * f64::from(demand.missing)
    }
}
