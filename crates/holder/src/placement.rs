//! Choice of the engine that loads a model, and of the models that are evicted for it.

use std::collections::HashMap;
use std::collections::HashSet;

use apricotdale_core::names::ModelName;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::Tier;
use apricotdale_fleet::WantedModel;

use crate::demand::ModelDemand;
use crate::engine_ledger::EngineLedger;
use crate::orders::OrderKind;

/// Request rate above which a model should have a second replica, so that the loss of one engine
/// does not make the model unavailable.
const SECOND_REPLICA_REQUESTS_PER_S: f64 = 2.0;

/// Share of an engine's slots that one model's requests may occupy before another replica is
/// wanted. Above about half, tokens are generated more slowly and prompts queue for processing.
const REPLICA_SLOT_SHARE: f64 = 0.4;

/// Amount that a running request adds to the value of keeping a replica. An unload would wait for
/// the request and block other orders to the engine.
const RUNNING_REQUEST_VALUE: f64 = 1.0;

/// Value of a waiting request relative to one expected request per second. A waiting request is
/// certain, and soon misses its deadline.
const WAITING_REQUEST_VALUE: f64 = 4.0;

/// Amount that each evicted model adds to the cost of a placement, because its unload takes time.
const EVICTION_COST: f64 = 0.05;

/// Amount that each request per second that may need an adapter adds to the cost of a placement.
const ADAPTER_DEMAND_COST: f64 = 0.02;

/// Amount that a resident model with adapters adds to the cost of a placement regardless of its
/// demand.
const ADAPTER_MODEL_COST: f64 = 0.005;

/// Load of a model on an engine, with the evictions that free memory for it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Placement {
    /// Index of the engine in the planner's list.
    pub engine: usize,
    /// Unloads of the evicted models, followed by the load.
    pub steps: Vec<OrderKind>,
}

/// Snapshot of the fleet from which placements are chosen.
pub(crate) struct FleetSnapshot<'a> {
    spec: &'a EngineSpec,
    engines: &'a [EngineLedger],
    by_model: HashMap<ModelName, ModelDemand>,
    replicas: HashMap<ModelName, u32>,
    idle: Vec<IdleEngine<'a>>,
}

/// Model that an engine holds, as a candidate for eviction.
struct Resident<'a> {
    model: &'a ModelName,
    /// Value of keeping the model's replica on the engine.
    value: f64,
    size_mb: f64,
}

/// Engine for which new orders can be planned. Everything that does not depend on the model to be
/// placed is computed once for each snapshot, since tens of models are tried on hundreds of
/// engines.
struct IdleEngine<'a> {
    index: usize,
    ledger: &'a EngineLedger,
    free_mb: f64,
    /// Resident models, the least valuable first.
    residents: Vec<Resident<'a>>,
    /// Amount that requests for adapters on the engine add to the cost of a placement.
    adapter_cost: f64,
}

impl IdleEngine<'_> {
    /// Returns the models to evict for a model of this size, and the sum of their values. Returns
    /// none if the model does not fit even then.
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

impl<'a> FleetSnapshot<'a> {
    /// Takes a snapshot of the fleet.
    pub fn new(
        spec: &'a EngineSpec,
        engines: &'a [EngineLedger],
        totals: &HashMap<WantedModel, ModelDemand>,
    ) -> Self {
        let mut by_model: HashMap<ModelName, ModelDemand> = HashMap::new();
        for (wanted, demand) in totals {
            let sum = by_model.entry(wanted.model.clone()).or_default();
            if wanted.adapter.is_none() {
                sum.waiting_for_load += demand.waiting_for_load;
            }
            sum.waiting_for_slot += demand.waiting_for_slot;
            sum.running += demand.running;
            sum.requests_per_s += demand.requests_per_s;
            sum.last_arrival_ms = sum.last_arrival_ms.max(demand.last_arrival_ms);
        }
        let mut replicas: HashMap<ModelName, u32> = HashMap::new();
        for engine in engines
            .iter()
            .filter(|engine| engine.serving && !engine.limited)
        {
            for resident in &engine.residence.models {
                if !engine.will_unload(&resident.model) {
                    *replicas.entry(resident.model.clone()).or_default() += 1;
                }
            }
            let loading: HashSet<&ModelName> = engine.loading_models().collect();
            for model in loading {
                *replicas.entry(model.clone()).or_default() += 1;
            }
        }
        let mut snapshot = Self {
            spec,
            engines,
            by_model,
            replicas,
            idle: Vec::new(),
        };
        snapshot.idle = engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.is_idle() && !engine.limited)
            .map(|(index, engine)| snapshot.idle_engine(index, engine))
            .collect();
        snapshot
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
            adapter_cost: ADAPTER_DEMAND_COST * self.adapter_demand(ledger),
        }
    }

    /// Returns whether new orders can be planned for any engine.
    pub fn has_idle_engines(&self) -> bool {
        !self.idle.is_empty()
    }

    /// Returns the demand for a model and its adapters.
    pub fn demand(&self, model: &ModelName) -> ModelDemand {
        self.by_model.get(model).copied().unwrap_or_default()
    }

    /// Returns the number of engines that hold a model or will after the planned orders.
    pub fn replicas(&self, model: &ModelName) -> u32 {
        self.replicas.get(model).copied().unwrap_or_default()
    }

    /// Returns the number of replicas that the demand for a model calls for.
    pub fn wanted_replicas(&self, model: &ModelName) -> u32 {
        let demand = self.demand(model);
        let active_requests = f64::from(demand.running + demand.waiting_for_slot);
        let by_load =
            (active_requests / (f64::from(self.spec.slots) * REPLICA_SLOT_SHARE)).ceil() as u32;
        let spare = u32::from(demand.requests_per_s > SECOND_REPLICA_REQUESTS_PER_S);
        by_load.max(1 + spare).min(self.engines.len() as u32)
    }

    /// Returns the number of loads from the weight store that are in progress or planned.
    pub fn store_loads(&self) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.loads_from_store())
            .count()
    }

    /// Returns whether an engine that does not hold the model has its weights cached in memory or
    /// on disk.
    pub fn is_cached_elsewhere(&self, model: &ModelName) -> bool {
        self.engines.iter().any(|engine| {
            let holds = engine.residence.model(model).is_some() || engine.will_load(model);
            let may_load = engine.serving && !engine.limited;
            may_load && !holds && engine.residence.tier(model) != Tier::Store
        })
    }

    /// Chooses the engine with the lowest cost for a load. The cost combines the value of the
    /// evicted models, the time that the evictions and the load take, and the demand for adapters
    /// there.
    ///
    /// `from_store` selects between engines without and with cached weights. `max_evicted_value` limits
    /// the value of the evicted models.
    pub fn best_placement(
        &self,
        model: &ModelName,
        from_store: bool,
        max_evicted_value: f64,
    ) -> Option<Placement> {
        let size_mb = self.spec.models.get(model)?.size_mb;
        self.idle
            .iter()
            .filter_map(|engine| {
                let (victims, value) = engine
                    .victims(size_mb)
                    .filter(|(_, value)| *value <= max_evicted_value)?;
                let residence = &engine.ledger.residence;
                let tier = residence.tier(model);
                if (tier == Tier::Store) != from_store || residence.model(model).is_some() {
                    return None;
                }
                let disk_cost = if tier == Tier::Memory { 0.0 } else { 0.01 };
                let cost =
                    value + EVICTION_COST * victims.len() as f64 + engine.adapter_cost + disk_cost;
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

    /// Returns the rate of requests for models with adapters on an engine. Adapters can't be loaded
    /// while the engine loads a model, so long loads are placed on other engines if possible.
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
                self.demand(&resident.model).requests_per_s
                    + ADAPTER_MODEL_COST / ADAPTER_DEMAND_COST
            })
            .sum()
    }

    /// Returns the value of keeping one replica of a model: the rate of requests that would miss
    /// it, plus the weighted number of its running and waiting requests.
    pub fn value(&self, model: &ModelName) -> f64 {
        let demand = self.demand(model);
        let replicas = self.replicas(model).max(1);
        if replicas > self.wanted_replicas(model) {
            return 0.01 * demand.requests_per_s / f64::from(replicas);
        }
        demand.requests_per_s
            + RUNNING_REQUEST_VALUE * f64::from(demand.running)
            + WAITING_REQUEST_VALUE * f64::from(demand.waiting_for_load + demand.waiting_for_slot)
    }

    /// Returns the value of loading a replica of a model.
    pub fn load_value(&self, model: &ModelName) -> f64 {
        let demand = self.demand(model);
        demand.requests_per_s + WAITING_REQUEST_VALUE * f64::from(demand.waiting_for_load)
    }
}
