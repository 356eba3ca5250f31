//! When models that requests wait for will be there.

use apricotdale_core::names::ModelName;

use crate::demand::DemandBook;
use crate::ledger::InProgress;
use crate::ledger::is_load;
use crate::orders::OrderKind;
use crate::placing::Placer;
use crate::planner::Planner;
use crate::planner::expected_ms;

impl Planner {
    /// Returns when each model that requests wait for can run; none where its load has no date.
    pub fn forecasts(&self, now_ms: u64, demand: &DemandBook) -> Vec<(ModelName, Option<u64>)> {
        let totals = demand.totals(now_ms);
        let placer = Placer::new(&self.spec, &self.engines, &totals);
        self.spec
            .models
            .keys()
            .filter(|model| placer.demand(model).missing > 0)
            .map(|model| {
                let ready_ms = self.ready_ms(now_ms, model);
                (model.clone(), ready_ms.or(self.held_ready_ms(model)))
            })
            .collect()
    }

    /// Returns when a model can be there that is not loaded for a time, so that requests for it are
    /// refused and do not wait in vain.
    fn held_ready_ms(&self, model: &ModelName) -> Option<u64> {
        let until_ms = self.held_back.get(model)?;
        let spec = self.spec.models.get(model)?;
        Some(until_ms + spec.memory_load_ms)
    }

    /// Returns when a load of a model that is in progress or planned will be done.
    fn ready_ms(&self, now_ms: u64, model: &ModelName) -> Option<u64> {
        self.engines
            .iter()
            .filter(|engine| engine.is_reached() && engine.will_hold(model))
            .map(|engine| match &engine.in_progress {
                Some(order) if is_load(&order.kind) && order.kind.model() == model => {
                    self.end_ms(order)
                }
                _ => {
                    let kind = OrderKind::LoadModel(model.clone());
                    let tier = engine.residence.tier(model);
                    now_ms + expected_ms(&self.options, &self.spec, &kind, tier)
                }
            })
            .min()
    }

    /// Returns when a load in progress will be done. One that is overdue shares the weight store
    /// with others, which are then all slower in proportion.
    fn end_ms(&self, order: &InProgress) -> u64 {
        match order.overdue {
            true => {
                let at_once = self.store_loads_in_progress().max(2) as u64;
                order
                    .done_ms
                    .max(order.since_ms + order.configured_ms * at_once)
            }
            false => order.done_ms,
        }
    }
}
