//! Choice of the engine that loads a model, and of the models that are evicted for it.

use std::cell::OnceCell;
use std::collections::HashMap;
use std::collections::HashSet;

use apricotdale_core::names::ModelName;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::Tier;
use apricotdale_fleet::WantedModel;
use apricotdale_placement::EvictionCandidate;
use apricotdale_placement::EvictionChoices;
use apricotdale_placement::EvictionOptions;
use apricotdale_placement::ModelLoad;
use apricotdale_placement::ReplicaFactor;
use apricotdale_placement::is_in_turn;

use crate::demand::DemandTable;
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

/// Amount that each model cached on an engine adds to the cost of a load from the weight store there.
const BLOCKED_MODEL_COST: f64 = 0.05;

/// Amount that each request per second for the model adds to the cost of a load on an engine of half the
/// mean speed.
const SLOW_ENGINE_COST: f64 = 0.05;

/// Load of a model on an engine, with the evictions that free memory for it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Placement {
    /// Index of the engine in the planner's list.
    pub engine: usize,
    /// Unloads of the evicted models, followed by the load.
    pub steps: Vec<OrderKind>,
}

/// What is known where VMs report their requests by engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownUses<'a> {
    /// Requests by engine and model.
    pub demand: &'a DemandTable,
    /// Factors on the numbers of replicas.
    pub factors: &'a HashMap<ModelName, ReplicaFactor>,
}

/// Snapshot of the fleet from which placements are chosen.
pub(crate) struct FleetSnapshot<'a> {
    now_ms: u64,
    spec: &'a EngineSpec,
    /// None if VMs don't report their requests by engine.
    uses: Option<KnownUses<'a>>,
    smallest_model_mb: f64,
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
    /// Whether its turn on the engine has not ended.
    in_turn: bool,
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
    /// Combinations of the residents that can be evicted, computed for the few engines that come into
    /// question for a load.
    choices: OnceCell<EvictionChoices>,
    /// Amount that requests for adapters on the engine add to the cost of a placement.
    adapter_cost: f64,
}

impl IdleEngine<'_> {
    /// Returns the models to evict for a model of this size, and the cost of evicting them. Returns
    /// none if the model does not fit even then, or if their value is above `max_value`.
    fn victims(
        &self,
        fleet: &FleetSnapshot<'_>,
        size_mb: f64,
        max_value: f64,
    ) -> Option<(Vec<&ModelName>, f64)> {
        if let Some(uses) = fleet.uses {
            let choices = self
                .choices
                .get_or_init(|| self.eviction_choices(uses.demand, fleet.smallest_model_mb));
            let (eviction, cost) = choices.cheapest(size_mb, max_value)?;
            let victims = eviction.victims().map(|index| self.residents[index].model);
            return Some((victims.collect(), cost));
        }
        let mut free_mb = self.free_mb;
        let mut value = 0.0;
        let mut victims = Vec::new();
        for resident in self.residents.iter().filter(|it| !it.in_turn) {
            if free_mb >= size_mb {
                break;
            }
            value += resident.value;
            free_mb += resident.size_mb;
            victims.push(resident.model);
        }
        let cost = value + EVICTION_COST * victims.len() as f64;
        (free_mb >= size_mb && value <= max_value).then_some((victims, cost))
    }
}

impl IdleEngine<'_> {
    fn eviction_choices(&self, demand: &DemandTable, smallest_model_mb: f64) -> EvictionChoices {
        let candidates = self.residents.iter().map(|it| EvictionCandidate {
            keep_value: it.value,
            size_mb: it.size_mb,
            running: demand.requests_at(self.ledger.key, it.model),
            in_turn: it.in_turn,
        });
        let candidates: Vec<EvictionCandidate> = candidates.collect();
        let options = EvictionOptions::default();
        EvictionChoices::new(&candidates, self.free_mb, smallest_model_mb, options)
    }
}

impl<'a> FleetSnapshot<'a> {
    /// Takes a snapshot of the fleet.
    pub fn new(
        now_ms: u64,
        spec: &'a EngineSpec,
        engines: &'a [EngineLedger],
        totals: &HashMap<WantedModel, ModelDemand>,
        uses: Option<KnownUses<'a>>,
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
            // These two are of the model with all its adapters.
            sum.late_share = demand.late_share;
            sum.rank = demand.rank;
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
        let sizes_mb = spec.models.values().map(|model| model.size_mb);
        let mut snapshot = Self {
            now_ms,
            spec,
            uses,
            smallest_model_mb: sizes_mb.fold(f64::INFINITY, f64::min),
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
                    in_turn: is_in_turn(
                        self.now_ms,
                        ledger.loaded_ms.get(&resident.model).copied(),
                    ),
                })
            })
            .collect();
        residents.sort_by(|left, right| left.value.total_cmp(&right.value));
        let free_mb = ledger.free_mb(self.spec);
        IdleEngine {
            index,
            ledger,
            free_mb,
            residents,
            choices: OnceCell::new(),
            adapter_cost: ADAPTER_DEMAND_COST * self.adapter_demand(ledger),
        }
    }

    /// Returns the engines.
    pub fn engines(&self) -> &[EngineLedger] {
        self.engines
    }

    /// Returns the configuration of the engines.
    pub fn spec(&self) -> &EngineSpec {
        self.spec
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
        let factor = self.uses.and_then(|uses| uses.factors.get(model));
        let by_load = (f64::from(by_load) * factor.map_or(1.0, ReplicaFactor::get)).ceil() as u32;
        let spare = u32::from(demand.requests_per_s > SECOND_REPLICA_REQUESTS_PER_S);
        by_load.max(1 + spare).min(self.engines.len() as u32)
    }

    /// Returns the loads of the models with requests of the most urgent rank, for the numbers of their
    /// replicas. Replicas beyond what the load calls for take the memory of other models, which is not
    /// theirs to take for less urgent requests.
    pub fn urgent_model_loads(&self) -> Vec<(ModelName, ModelLoad)> {
        let ranks = self.by_model.values().filter_map(|demand| demand.rank);
        let most_urgent = ranks.min();
        let urgent = self.by_model.iter();
        let urgent =
            urgent.filter(|(_, demand)| demand.rank.is_some() && demand.rank == most_urgent);
        let loads = urgent.map(|(model, demand)| {
            let load = ModelLoad {
                active_requests: demand.running + demand.waiting_for_slot,
                replicas: self.replicas(model),
                slots: self.spec.slots,
                late_share: demand.late_share,
            };
            (model.clone(), load)
        });
        loads.collect()
    }

    /// Returns the number of engines that hold a model, load it or have its weights cached.
    pub fn copies(&self, model: &ModelName) -> usize {
        let has_copy = |engine: &&EngineLedger| {
            let may_load = engine.serving && !engine.limited;
            let is_cached = engine.residence.tier(model) != Tier::Store;
            may_load && (is_cached || engine.residence.model(model).is_some())
                || engine.will_load(model)
        };
        self.engines.iter().filter(has_copy).count()
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
        let requests_per_s = self.demand(model).requests_per_s;
        self.idle
            .iter()
            .filter_map(|engine| {
                let residence = &engine.ledger.residence;
                let tier = residence.tier(model);
                if (tier == Tier::Store) != from_store || residence.model(model).is_some() {
                    return None;
                }
                let (victims, cost) = engine.victims(self, size_mb, max_evicted_value)?;
                let disk_cost = if tier == Tier::Memory { 0.0 } else { 0.01 };
                // A long load keeps the engine from loading the models that it has cached.
                let blocked_cost = match (self.uses, tier) {
                    (Some(_), Tier::Store) => BLOCKED_MODEL_COST * residence.on_disk.len() as f64,
                    _ => 0.0,
                };
                let slowness = 100.0 / f64::from(engine.ledger.speed_percent) - 1.0;
                let slow_cost = SLOW_ENGINE_COST * requests_per_s * slowness.max(0.0);
                let cost = cost + engine.adapter_cost + disk_cost + blocked_cost + slow_cost;
                Some((engine.index, victims, cost))
            })
            .min_by(|left, right| left.2.total_cmp(&right.2))
            .map(|(engine, victims, _)| Placement {
                engine,
                steps: victims
                    .iter()
                    .map(|victim| OrderKind::UnloadModel((*victim).clone()))
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
        let running_value = match self.uses {
            // The requests that run at the engine itself are counted apart.
            Some(_) => 0.0,
            None => RUNNING_REQUEST_VALUE * f64::from(demand.running),
        };
        let waiting = demand.waiting_for_load + demand.waiting_for_slot;
        demand.requests_per_s + running_value + WAITING_REQUEST_VALUE * f64::from(waiting)
    }

    /// Returns the value of loading a replica of a model.
    pub fn load_value(&self, model: &ModelName) -> f64 {
        let demand = self.demand(model);
        demand.requests_per_s + WAITING_REQUEST_VALUE * f64::from(demand.waiting_for_load)
    }
}
