//! Choice of the models to load next.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use apricotdale_fleet::WantedModel;

use crate::demand::DemandTable;
use crate::demand::ModelDemand;
use crate::orders::OrderKind;
use crate::placement::FleetSnapshot;
use crate::placement::KnownUses;
use crate::placement::Placement;
use crate::placement_summary::PlacementSummary;
use crate::planner::Planner;

/// Minimum number of requests waiting for a slot, as a share of an engine's slots, that justifies
/// loading another replica of a resident model from the weight store. Such a load blocks other
/// orders to the engine for about 6 s. Without this bound, unneeded second replicas occupied the
/// engines that rarely used models needed, and the mean score of the requests fell from 0.78 to
/// 0.74 on fleets of many small engines.
const STORE_LOAD_WAITING_SHARE: f64 = 0.5;

/// Maximum number of placements that one planning round makes. Each one iterates over all engines;
/// an unbounded round would keep a small VM from renewing its lease and serving callers. The next
/// round makes the remaining placements.
const MAX_PLACEMENTS_PER_ROUND: usize = 4;

/// Share of a model's value up to which the models that are evicted for it may be worth.
const MAX_EVICTED_SHARE: f64 = 0.8;

/// Time between two updates of the factors on the numbers of replicas, which change at most once a second.
const FACTORS_INTERVAL_MS: u64 = 500;

impl Planner {
    /// Plans loads of models, and the unloads that free memory for them.
    pub(crate) fn plan_model_loads(
        &mut self,
        now_ms: u64,
        demand: &DemandTable,
        totals: &HashMap<WantedModel, ModelDemand>,
    ) {
        self.suspended_loads
            .retain(|_, until_ms| *until_ms > now_ms);
        let window_ms = self.options.store_window_ms;
        self.store_loads_ms
            .retain(|at_ms| at_ms + window_ms > now_ms);
        if demand.has_details() && now_ms >= self.next_factors_ms {
            self.next_factors_ms = now_ms + FACTORS_INTERVAL_MS;
            self.update_replica_factors(now_ms, demand, totals);
        }
        // Each placement changes what the next one may use, so the snapshot is rebuilt each time.
        for _ in 0..MAX_PLACEMENTS_PER_ROUND {
            let Some((index, steps)) = self.next_placement(now_ms, demand, totals) else {
                self.has_more_placements = false;
                return;
            };
            self.engines[index].next.extend(steps);
        }
        self.has_more_placements = true;
    }

    /// Updates the factors on the numbers of replicas.
    fn update_replica_factors(
        &mut self,
        now_ms: u64,
        demand: &DemandTable,
        totals: &HashMap<WantedModel, ModelDemand>,
    ) {
        let loads = self.snapshot(now_ms, demand, totals).urgent_model_loads();
        // A model that is no longer asked for urgently loses its factor.
        let mut before = std::mem::take(&mut self.replica_factors);
        let factors = loads.into_iter().map(|(model, load)| {
            let mut factor = before.remove(&model).unwrap_or_default();
            factor.update(now_ms, &load);
            (model, factor)
        });
        self.replica_factors = factors.collect();
    }

    fn snapshot<'a>(
        &'a self,
        now_ms: u64,
        demand: &'a DemandTable,
        totals: &HashMap<WantedModel, ModelDemand>,
    ) -> FleetSnapshot<'a> {
        let uses = demand.has_details().then_some(KnownUses {
            demand,
            factors: &self.replica_factors,
        });
        FleetSnapshot::new(now_ms, &self.spec, &self.engines, totals, uses)
    }

    /// Returns the state of placement, for logs and metrics.
    pub fn placement_summary(&self, now_ms: u64, demand: &DemandTable) -> PlacementSummary {
        let totals = demand.totals(now_ms);
        self.snapshot(now_ms, demand, &totals).summary()
    }

    fn next_placement(
        &self,
        now_ms: u64,
        demand: &DemandTable,
        totals: &HashMap<WantedModel, ModelDemand>,
    ) -> Option<(usize, Vec<OrderKind>)> {
        let snapshot = self.snapshot(now_ms, demand, totals);
        if !snapshot.has_idle_engines() {
            return None;
        }
        let mut wanted: Vec<(&ModelName, f64)> = self
            .spec
            .models
            .keys()
            .filter(|model| !self.suspended_loads.contains_key(*model))
            .filter(|model| {
                let demand = snapshot.demand(model);
                demand.waiting_for_load + demand.waiting_for_slot > 0 || demand.requests_per_s > 0.0
            })
            .filter(|model| snapshot.replicas(model) < snapshot.wanted_replicas(model))
            .map(|model| (model, snapshot.load_value(model)))
            .collect();
        wanted.sort_by(|left, right| right.1.total_cmp(&left.1).then_with(|| left.0.cmp(right.0)));
        let may_load_from_store = self.may_load_from_store(&snapshot);
        wanted
            .iter()
            .filter(|(model, value)| {
                snapshot.replicas(model) > 0 || *value > 1.0 || snapshot.is_cached_elsewhere(model)
            })
            .find_map(|(model, value)| {
                snapshot.best_placement(model, false, value * MAX_EVICTED_SHARE)
            })
            .or_else(|| {
                if !may_load_from_store {
                    return None;
                }
                let min_waiting = STORE_LOAD_WAITING_SHARE * f64::from(self.spec.slots);
                let mut uncached = wanted.iter().filter(|(model, _)| {
                    let is_urgent = snapshot.replicas(model) == 0
                        || f64::from(snapshot.demand(model).waiting_for_slot) >= min_waiting;
                    is_urgent && !snapshot.is_cached_elsewhere(model)
                });
                uncached
                    .find_map(|(model, value)| {
                        snapshot.best_placement(model, true, value * MAX_EVICTED_SHARE)
                    })
                    .or_else(|| self.backup(demand, &snapshot))
                    .or_else(|| self.prefetch(&snapshot))
                    .or_else(|| self.fill(demand, &snapshot))
            })
            .map(|placement| (placement.engine, placement.steps))
    }

    /// Chooses a model with much demand whose weights are cached on a single engine, to be loaded on
    /// another one. Only one such load is in progress at a time, at the full speed of the weight
    /// store.
    fn backup(&self, demand: &DemandTable, snapshot: &FleetSnapshot<'_>) -> Option<Placement> {
        if !demand.has_details() || snapshot.store_loads() > 0 {
            return None;
        }
        let models = self.spec.models.keys();
        let at_risk = models
            .filter(|model| !self.suspended_loads.contains_key(*model))
            .map(|model| (model, snapshot.demand(model).requests_per_s))
            .filter(|(_, rate)| *rate >= self.options.backup_requests_per_s)
            .filter(|(model, _)| snapshot.copies(model) == 1);
        let mut at_risk: Vec<(&ModelName, f64)> = at_risk.collect();
        at_risk.sort_by(|left, right| right.1.total_cmp(&left.1).then_with(|| left.0.cmp(right.0)));
        at_risk.into_iter().find_map(|(model, rate)| {
            snapshot.best_placement(model, true, rate * MAX_EVICTED_SHARE)
        })
    }

    /// Chooses a model that nobody has requested yet, because a load from the weight store is too
    /// slow to begin with the first request. Uses only memory that is free without an eviction.
    fn prefetch(&self, snapshot: &FleetSnapshot<'_>) -> Option<Placement> {
        if !self.are_most_engines_idle() {
            return None;
        }
        let mut unavailable: Vec<&ModelName> = self
            .spec
            .models
            .keys()
            .filter(|model| snapshot.replicas(model) == 0 && !snapshot.is_cached_elsewhere(model))
            .filter(|model| !self.suspended_loads.contains_key(*model))
            .collect();
        unavailable.sort_by(|left, right| {
            let size_mb = |model: &ModelName| self.spec.models[model].size_mb;
            size_mb(left)
                .total_cmp(&size_mb(right))
                .then_with(|| left.cmp(right))
        });
        unavailable
            .into_iter()
            .filter_map(|model| snapshot.best_placement(model, true, 0.0))
            .find(|placement| placement.steps.len() == 1)
    }

    /// Chooses a cached model that no engine holds, for memory that is free without an eviction, so
    /// that the first requests for it need not wait. Only done while most engines are idle.
    fn fill(&self, demand: &DemandTable, snapshot: &FleetSnapshot<'_>) -> Option<Placement> {
        if !demand.has_details() || !self.are_most_engines_idle() {
            return None;
        }
        let mut models: Vec<&ModelName> = self
            .spec
            .models
            .keys()
            .filter(|model| snapshot.replicas(model) == 0 && snapshot.is_cached_elsewhere(model))
            .filter(|model| !self.suspended_loads.contains_key(*model))
            .collect();
        models.sort();
        models
            .into_iter()
            .filter_map(|model| snapshot.best_placement(model, false, 0.0))
            .find(|placement| placement.steps.len() == 1)
    }

    fn are_most_engines_idle(&self) -> bool {
        let idle = self.engines.iter().filter(|engine| engine.is_idle());
        idle.count() as f64 > self.options.idle_share * self.engines.len() as f64
    }

    /// Returns whether the rate limit and the concurrency limit of the weight store allow one more
    /// load.
    fn may_load_from_store(&self, snapshot: &FleetSnapshot<'_>) -> bool {
        let window_s = self.options.store_window_ms as f64 / 1_000.0;
        let max_begun = self.spec.store_loads_per_s * window_s + self.options.store_spare_loads;
        let planned = self.engines.iter().filter(|engine| {
            engine.in_progress.is_none() && engine.unanswered.is_none() && engine.loads_from_store()
        });
        let begun = self.store_loads_ms.len() + planned.count();
        snapshot.store_loads() < self.store_load_limit.loads() && (begun as f64) < max_begun
    }
}
