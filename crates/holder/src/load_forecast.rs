//! Forecasts of when models that requests wait for become available.

use apricotdale_core::names::ModelName;

use crate::demand::DemandTable;
use crate::engine_ledger::OrderInProgress;
use crate::engine_ledger::is_load;
use crate::order_durations::expected_ms;
use crate::orders::OrderKind;
use crate::placement::FleetSnapshot;
use crate::planner::Planner;

impl Planner {
    /// Returns the time at which each model that requests wait for is expected to be loaded; none
    /// if its load is not planned yet.
    pub fn forecasts(&self, now_ms: u64, demand: &DemandTable) -> Vec<(ModelName, Option<u64>)> {
        let totals = demand.totals(now_ms);
        let snapshot = FleetSnapshot::new(now_ms, &self.spec, &self.engines, &totals, None);
        self.spec
            .models
            .keys()
            .filter(|model| snapshot.demand(model).waiting_for_load > 0)
            .map(|model| {
                let ready_ms = self.ready_ms(now_ms, model);
                (
                    model.clone(),
                    ready_ms.or(self.ready_after_suspension_ms(model)),
                )
            })
            .collect()
    }

    /// Returns the earliest time at which a model whose loads are suspended can be loaded, so that
    /// requests for it are refused instead of waiting for nothing.
    fn ready_after_suspension_ms(&self, model: &ModelName) -> Option<u64> {
        let until_ms = self.suspended_loads.get(model)?;
        let spec = self.spec.models.get(model)?;
        Some(until_ms + spec.memory_load_ms)
    }

    /// Returns the expected end of the earliest load of a model that is in progress or planned.
    fn ready_ms(&self, now_ms: u64, model: &ModelName) -> Option<u64> {
        self.engines
            .iter()
            .filter(|engine| engine.is_reachable() && engine.will_load(model))
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

    /// Returns the expected end of a load in progress. An overdue load shares the bandwidth of the
    /// weight store with the other loads, so all of them slow down in proportion.
    fn end_ms(&self, order: &OrderInProgress) -> u64 {
        match order.overdue {
            true => {
                let at_once = self.store_loads_in_progress().max(2) as u64;
                order
                    .expected_done_ms
                    .max(order.accepted_at_ms + order.configured_ms * at_once)
            }
            false => order.expected_done_ms,
        }
    }
}
