//! Configured durations of orders.

use apricotdale_core::names::ModelName;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::Tier;

use crate::options::PlannerOptions;
use crate::orders::OrderKind;

/// Returns the configured duration of a load from the weight store.
pub(crate) fn store_load_ms(spec: &EngineSpec, model: &ModelName) -> u64 {
    spec.models
        .get(model)
        .map_or(0, |model| model.store_load_ms)
}

/// Returns the configured duration of an order.
pub(crate) fn expected_ms(
    options: &PlannerOptions,
    spec: &EngineSpec,
    kind: &OrderKind,
    tier: Tier,
) -> u64 {
    let load_ms = |model: &ModelName| {
        spec.models
            .get(model)
            .map_or(options.report_interval_ms, |model| match tier {
                Tier::Memory => model.memory_load_ms,
                Tier::Disk => model.disk_load_ms,
                Tier::Store => model.store_load_ms,
            })
    };
    match kind {
        OrderKind::LoadModel(model) => load_ms(model) + 10,
        OrderKind::UnloadModel(_) => options.unload_check_ms,
        OrderKind::LoadAdapter { .. } | OrderKind::UnloadAdapter { .. } => options.adapter_ms,
    }
}
