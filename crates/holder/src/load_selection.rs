//! Choice of the models to load next.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use apricotdale_fleet::WantedModel;

use crate::demand::ModelDemand;
use crate::orders::OrderKind;
use crate::placement::FleetSnapshot;
use crate::placement::Placement;
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

impl Planner {
    /// Plans loads of models, and the unloads that free memory for them.
    pub(crate) fn plan_model_loads(
        &mut self,
        now_ms: u64,
        totals: &HashMap<WantedModel, ModelDemand>,
    ) {
        self.suspended_loads
            .retain(|_, until_ms| *until_ms > now_ms);
        let window_ms = self.options.store_window_ms;
        self.store_loads_ms
            .retain(|at_ms| at_ms + window_ms > now_ms);
        // Each placement changes what the next one may use, so the snapshot is rebuilt each time.
        for _ in 0..MAX_PLACEMENTS_PER_ROUND {
            let Some((index, steps)) = self.next_placement(totals) else {
                self.has_more_placements = false;
                return;
            };
            self.engines[index].next.extend(steps);
        }
        self.has_more_placements = true;
    }

    fn next_placement(
        &self,
        totals: &HashMap<WantedModel, ModelDemand>,
    ) -> Option<(usize, Vec<OrderKind>)> {
        let snapshot = FleetSnapshot::new(&self.spec, &self.engines, totals);
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
            .find_map(|(model, value)| snapshot.best_placement(model, false, value * 0.8))
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
                    .find_map(|(model, value)| snapshot.best_placement(model, true, value * 0.8))
                    .or_else(|| self.prefetch(&snapshot))
            })
            .map(|placement| (placement.engine, placement.steps))
    }

    /// Chooses a model that nobody has requested yet, because a load from the weight store is too
    /// slow to begin with the first request. Uses only memory that is free without an eviction.
    fn prefetch(&self, snapshot: &FleetSnapshot<'_>) -> Option<Placement> {
        let idle = self
            .engines
            .iter()
            .filter(|engine| engine.is_idle())
            .count();
        if idle as f64 <= self.options.idle_share * self.engines.len() as f64 {
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
