//! Which model is loaded next.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use apricotdale_fleet::WantedModel;

use crate::demand::ModelDemand;
use crate::orders::OrderKind;
use crate::placing::Placement;
use crate::placing::Placer;
use crate::planner::Planner;

/// Waiting requests, as a share of an engine's places, from which another replica of a model that
/// is resident is worth a load from the weight store, which keeps the engine from other orders for
/// some 6 s. Without this bound the mean worth fell from 0.78 to 0.74 where engines are many and
/// small: second replicas that nobody waited for took the engines that rare models needed.
const CROWD_FOR_STORE_LOAD: f64 = 0.5;

/// Placements that one round of planning makes. Each is a look at all engines: a round that places
/// all that is wanted keeps a small VM from renewing its lease and from serving callers meanwhile.
/// What is left follows in the next round.
const PLACEMENTS_A_ROUND: usize = 4;

impl Planner {
    /// Plans loads of models, and what gives way to them.
    pub(crate) fn plan_models(&mut self, now_ms: u64, totals: &HashMap<WantedModel, ModelDemand>) {
        self.held_back.retain(|_, until_ms| *until_ms > now_ms);
        let window_ms = self.options.store_window_ms;
        self.store_loads_ms
            .retain(|at_ms| at_ms + window_ms > now_ms);
        // Each placement changes what the next one may use, so the look is taken anew.
        for _ in 0..PLACEMENTS_A_ROUND {
            let Some((index, steps)) = self.next_placement(totals) else {
                self.is_unfinished = false;
                return;
            };
            self.engines[index].next.extend(steps);
        }
        self.is_unfinished = true;
    }

    fn next_placement(
        &self,
        totals: &HashMap<WantedModel, ModelDemand>,
    ) -> Option<(usize, Vec<OrderKind>)> {
        let placer = Placer::new(&self.spec, &self.engines, totals);
        if !placer.has_idle_engines() {
            return None;
        }
        let mut wanted: Vec<(&ModelName, f64)> = self
            .spec
            .models
            .keys()
            .filter(|model| !self.held_back.contains_key(*model))
            .filter(|model| {
                let demand = placer.demand(model);
                demand.missing + demand.crowded > 0 || demand.per_s > 0.0
            })
            .filter(|model| placer.replicas(model) < placer.wanted_replicas(model))
            .map(|model| (model, placer.missing_value(model)))
            .collect();
        wanted.sort_by(|left, right| right.1.total_cmp(&left.1).then_with(|| left.0.cmp(right.0)));
        let store_is_free = self.store_is_free(&placer);
        wanted
            .iter()
            .filter(|(model, value)| {
                placer.replicas(model) > 0 || *value > 1.0 || placer.is_at_hand(model)
            })
            .find_map(|(model, value)| placer.place(model, false, value * 0.8))
            .or_else(|| {
                if !store_is_free {
                    return None;
                }
                let crowd = CROWD_FOR_STORE_LOAD * f64::from(self.spec.slots);
                let mut far = wanted.iter().filter(|(model, _)| {
                    let is_pressed = placer.replicas(model) == 0
                        || f64::from(placer.demand(model).crowded) >= crowd;
                    is_pressed && !placer.is_at_hand(model)
                });
                far.find_map(|(model, value)| placer.place(model, true, value * 0.8))
                    .or_else(|| self.prefetch(&placer))
            })
            .map(|placement| (placement.engine, placement.steps))
    }

    /// Chooses a model that nobody has asked for yet: a first load takes too long to begin it only
    /// when the first request waits. Only room that nothing else uses is given to it.
    fn prefetch(&self, placer: &Placer<'_>) -> Option<Placement> {
        let idle = self
            .engines
            .iter()
            .filter(|engine| engine.is_idle())
            .count();
        if idle as f64 <= self.options.idle_share * self.engines.len() as f64 {
            return None;
        }
        let mut unseen: Vec<&ModelName> = self
            .spec
            .models
            .keys()
            .filter(|model| placer.replicas(model) == 0 && !placer.is_at_hand(model))
            .filter(|model| !self.held_back.contains_key(*model))
            .collect();
        unseen.sort_by(|left, right| {
            let size_mb = |model: &ModelName| self.spec.models[model].size_mb;
            size_mb(left)
                .total_cmp(&size_mb(right))
                .then_with(|| left.cmp(right))
        });
        unseen
            .into_iter()
            .filter_map(|model| placer.place(model, true, 0.0))
            .find(|placement| placement.steps.len() == 1)
    }

    /// Returns whether another load from the weight store may be planned.
    fn store_is_free(&self, placer: &Placer<'_>) -> bool {
        let window_s = self.options.store_window_ms as f64 / 1_000.0;
        let most = self.spec.store_loads_per_s * window_s + self.options.store_spare_loads;
        let planned = self.engines.iter().filter(|engine| {
            engine.in_progress.is_none() && engine.awaiting.is_none() && engine.loads_from_store()
        });
        let begun = self.store_loads_ms.len() + planned.count();
        placer.store_loads() < self.store_limit.loads() && (begun as f64) < most
    }
}
