//! Choice of the engine that loads an adapter, and of the adapter that is evicted for it.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::WantedModel;

use crate::demand::ModelDemand;
use crate::engine_ledger::EngineLedger;
use crate::orders::OrderKind;

/// Chooses the next order for an adapter that requests wait for: a load on an engine that holds
/// its model, or an unload that frees a slot or memory there. Returns the engine's index and the
/// order.
///
/// Returns none if an engine already serves the adapter, if its load has been ordered and not yet
/// answered, or if no engine can take the order.
pub(crate) fn adapter_order(
    spec: &EngineSpec,
    engines: &[EngineLedger],
    totals: &HashMap<WantedModel, ModelDemand>,
    model: &ModelName,
    adapter: &ModelName,
) -> Option<(usize, OrderKind)> {
    let wanted = WantedModel {
        model: model.clone(),
        adapter: Some(adapter.clone()),
    };
    if engines
        .iter()
        .any(|engine| engine.serving && !engine.limited && engine.residence.serves(&wanted))
    {
        return None;
    }
    let load = OrderKind::LoadAdapter {
        model: model.clone(),
        adapter: adapter.clone(),
    };
    if engines
        .iter()
        .any(|engine| engine.unanswered.as_ref() == Some(&load))
    {
        return None;
    }
    let (index, engine) = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.takes_orders() && !engine.limited)
        .filter(|(_, engine)| engine.residence.model(model).is_some() && !engine.will_unload(model))
        .min_by_key(|(_, engine)| (engine.residence.adapters(), engine.residence.models.len()))?;
    let adapter_mb = spec.models.get(model)?.adapter_mb;
    let has_free_slot = engine.residence.adapters() < spec.adapter_slots as usize;
    let has_memory = spec.memory_mb - engine.used_mb(spec) >= adapter_mb;
    if has_free_slot && has_memory {
        return Some((index, load));
    }
    least_recent_adapter(engine, totals)
        .map(|(model, adapter)| (index, OrderKind::UnloadAdapter { model, adapter }))
}

/// Returns the least recently used adapter without running or waiting requests.
fn least_recent_adapter(
    engine: &EngineLedger,
    totals: &HashMap<WantedModel, ModelDemand>,
) -> Option<(ModelName, ModelName)> {
    let last_use = |model: &ModelName, adapter: &ModelName| {
        engine
            .adapter_uses
            .iter()
            .position(|(used_model, used)| used_model == model && used == adapter)
    };
    engine
        .residence
        .models
        .iter()
        .flat_map(|resident| {
            resident
                .adapters
                .iter()
                .map(move |adapter| (&resident.model, adapter))
        })
        .filter(|(model, adapter)| {
            let is_loading = |(loading_model, loading): &(ModelName, ModelName)| {
                loading_model == *model && loading == *adapter
            };
            !engine.loading_adapters.iter().any(is_loading)
        })
        .filter(|(model, adapter)| {
            let wanted = WantedModel {
                model: (*model).clone(),
                adapter: Some((*adapter).clone()),
            };
            totals
                .get(&wanted)
                .is_none_or(|demand| demand.running + demand.waiting_for_load == 0)
        })
        .min_by_key(|(model, adapter)| last_use(model, adapter))
        .map(|(model, adapter)| (model.clone(), adapter.clone()))
}
