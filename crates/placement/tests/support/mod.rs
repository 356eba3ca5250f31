//! Builders of fleet views.

#![allow(dead_code)]

use std::collections::BTreeSet;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::EngineView;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::PlacementPolicy;
use apricotdale_core::policy::ReplicaView;

use apricotdale_placement::LearnedPlacement;
use apricotdale_placement::Options;

pub const GB: u64 = 1_000_000_000;

/// Tightest class target in all views.
pub const TARGET_MS: u64 = 3_000;

/// Returns a `LearnedPlacement` policy without any history.
pub fn learned() -> LearnedPlacement {
    LearnedPlacement::new(Options::default())
}

/// Returns an idle engine with 80 GB of memory and 8 slots.
pub fn engine(name: &str) -> EngineView {
    EngineView {
        engine: name.into(),
        group: "planner-lm".into(),
        zone: "hall-a".into(),
        capacity_bytes: 80 * GB,
        free_bytes: 80 * GB,
        accepts: true,
        busy: 0,
        slots: 8,
        loading: 0,
        checkpoints: Vec::new(),
    }
}

/// Returns an engine whose host has cached a checkpoint in the given tier.
pub fn engine_with_checkpoint(name: &str, model: &str, tier: CacheTier) -> EngineView {
    let mut engine = engine(name);
    engine.checkpoints.push((model.into(), tier));
    engine
}

/// Returns a model of 14 GB without demand.
pub fn model(name: &str) -> ModelView {
    ModelView {
        model: name.into(),
        base: None,
        group: "planner-lm".into(),
        bytes: 14 * GB,
        waiting: 0,
        running: 0,
        tightest_ms: None,
        preferred_here: true,
    }
}

/// Returns a model with waiting requests, the most urgent of which has `remaining_ms` left.
pub fn waiting(name: &str, count: u32, remaining_ms: u64) -> ModelView {
    ModelView {
        waiting: count,
        tightest_ms: Some(remaining_ms),
        ..model(name)
    }
}

/// Turns a model into an adapter of a base.
pub fn adapter(view: ModelView, base: &str) -> ModelView {
    ModelView {
        base: Some(base.into()),
        bytes: GB / 2,
        ..view
    }
}

/// Returns a replica of 14 GB.
pub fn replica(model: &str, engine: &str, loaded: bool) -> ReplicaView {
    ReplicaView {
        model: model.into(),
        engine: engine.into(),
        loaded,
        bytes: 14 * GB,
        since_ms: 0,
    }
}

/// Returns a view in which the replicas occupy memory of their engines.
pub fn fleet(
    mut engines: Vec<EngineView>,
    models: Vec<ModelView>,
    replicas: Vec<ReplicaView>,
) -> FleetView {
    for replica in &replicas {
        for engine in engines
            .iter_mut()
            .filter(|engine| engine.engine == replica.engine)
        {
            engine.free_bytes = engine.free_bytes.saturating_sub(replica.bytes);
        }
    }
    FleetView {
        engines,
        replicas,
        models,
        growing_groups: BTreeSet::new(),
        store_active_loads: 0,
        store_full_speed_loads: 4,
        tightest_target_ms: TARGET_MS,
    }
}

/// Returns the loads among the actions, as pairs of model and engine.
pub fn loads(actions: &[PlacementAction]) -> Vec<(String, String)> {
    let pair = |action: &PlacementAction| match action {
        PlacementAction::Load { model, engine, .. } => {
            Some((model.to_string(), engine.to_string()))
        }
        _ => None,
    };
    actions.iter().filter_map(pair).collect()
}

/// Returns the unloads among the actions, as pairs of model and engine.
pub fn unloads(actions: &[PlacementAction]) -> Vec<(String, String)> {
    let pair = |action: &PlacementAction| match action {
        PlacementAction::Unload { model, engine } => Some((model.to_string(), engine.to_string())),
        _ => None,
    };
    actions.iter().filter_map(pair).collect()
}

/// Returns the refusals among the actions, as model, reason and retry delay.
pub fn refusals(actions: &[PlacementAction]) -> Vec<(String, &'static str, Option<u64>)> {
    let triple = |action: &PlacementAction| match action {
        PlacementAction::NoLoadInTime { model, refusal } => Some((
            model.to_string(),
            refusal.reason.as_str(),
            refusal.retry_after_ms,
        )),
        _ => None,
    };
    actions.iter().filter_map(triple).collect()
}

/// Returns a pair of model and engine, as [`loads`] and [`unloads`] do.
pub fn pair(model: &str, engine: &str) -> (String, String) {
    (model.to_owned(), engine.to_owned())
}

/// Plans every `step_ms` from `from_ms` to `to_ms`, and returns the time of the first unload.
pub fn first_unload_ms(
    policy: &mut dyn PlacementPolicy,
    fleet: &FleetView,
    from_ms: u64,
    to_ms: u64,
    step_ms: u64,
) -> Option<u64> {
    (from_ms..to_ms)
        .step_by(step_ms as usize)
        .find(|now_ms| !unloads(&policy.plan(*now_ms, fleet)).is_empty())
}

/// Use of a model that fills an engine.
pub struct ModelUse {
    /// Number of the model's running requests, as this VM sees them.
    pub running: u32,
    /// Number of busy slots that the engine reports.
    pub busy: u32,
    /// Whether this VM is the model's preferred proposer.
    pub proposed_here: bool,
}
