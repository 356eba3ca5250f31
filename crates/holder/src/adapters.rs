//! Which adapters are loaded where.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::WantedModel;

use crate::demand::ModelDemand;
use crate::ledger::EngineLedger;
use crate::orders::OrderKind;

/// Chooses an order that brings an adapter for which requests wait to an engine that holds its
/// model, or that makes room for it. Returns the engine's index and the order.
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
        .any(|engine| engine.serving && engine.residence.serves(&wanted))
    {
        return None;
    }
    let load = OrderKind::LoadAdapter {
        model: model.clone(),
        adapter: adapter.clone(),
    };
    if engines
        .iter()
        .any(|engine| engine.awaiting.as_ref() == Some(&load))
    {
        return None;
    }
    let (index, engine) = engines
        .iter()
        .enumerate()
        .filter(|(_, engine)| engine.takes_orders())
        .filter(|(_, engine)| engine.residence.model(model).is_some() && !engine.will_drop(model))
        .min_by_key(|(_, engine)| (engine.residence.adapters(), engine.residence.models.len()))?;
    let adapter_mb = spec.models.get(model)?.adapter_mb;
    let has_place = engine.residence.adapters() < spec.adapter_slots as usize;
    let has_memory = spec.memory_mb - engine.used_mb(spec) >= adapter_mb;
    if has_place && has_memory {
        return Some((index, load));
    }
    oldest_adapter(engine, totals)
        .map(|(model, adapter)| (index, OrderKind::UnloadAdapter { model, adapter }))
}

/// Returns the adapter that was used longest ago and for which nothing runs or waits.
fn oldest_adapter(
    engine: &EngineLedger,
    totals: &HashMap<WantedModel, ModelDemand>,
) -> Option<(ModelName, ModelName)> {
    let place = |model: &ModelName, adapter: &ModelName| {
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
            let is_coming = |(coming_model, coming): &(ModelName, ModelName)| {
                coming_model == *model && coming == *adapter
            };
            !engine.coming.iter().any(is_coming)
        })
        .filter(|(model, adapter)| {
            let wanted = WantedModel {
                model: (*model).clone(),
                adapter: Some((*adapter).clone()),
            };
            totals
                .get(&wanted)
                .is_none_or(|demand| demand.running + demand.missing == 0)
        })
        .min_by_key(|(model, adapter)| place(model, adapter))
        .map(|(model, adapter)| (model.clone(), adapter.clone()))
}
