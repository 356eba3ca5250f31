//! Checkpoints that no host has cached any more.

mod support;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementPolicy;

use support::engine;
use support::engine_with_checkpoint;
use support::fleet;
use support::learned;
use support::loads;
use support::model;
use support::replica;
use support::unloads;
use support::waiting;

const MINUTE_MS: u64 = 60_000;

fn policy_after_an_hour() -> apricotdale_placement::LearnedPlacement {
    let mut policy = learned();
    for minute in 0..60 {
        policy.arrived(minute * MINUTE_MS, &"m".into());
        let view = fleet(
            vec![engine_with_checkpoint("e1", "m", CacheTier::Disk)],
            vec![model("m")],
            vec![replica("m", "e1", true)],
        );
        policy.plan(minute * MINUTE_MS, &view);
    }
    policy
}

fn without_replica(
    host: apricotdale_core::policy::EngineView,
    models: Vec<ModelView>,
) -> FleetView {
    fleet(vec![host], models, Vec::new())
}

/// Guards against slow loads after the loss of a zone whose hosts had cached the only checkpoints:
/// models that were loaded within seconds would take half a minute for the next caller.
#[test]
fn lost_checkpoint_restored() {
    let mut policy = policy_after_an_hour();
    let proposed = loads(&policy.plan(65 * MINUTE_MS, &without_replica(engine("e2"), Vec::new())));
    assert_eq!(proposed.len(), 1);
    let mut held = replica("m", "e2", true);
    held.since_ms = 66 * MINUTE_MS;
    let view = fleet(
        vec![engine_with_checkpoint("e2", "m", CacheTier::Memory)],
        vec![model("m")],
        vec![held],
    );
    assert_eq!(unloads(&policy.plan(66 * MINUTE_MS, &view)).len(), 1);
}

#[test]
fn cached_checkpoint_not_restored() {
    let mut policy = policy_after_an_hour();
    let host = engine_with_checkpoint("e2", "m", CacheTier::Disk);
    assert_eq!(
        policy.plan(65 * MINUTE_MS, &without_replica(host, Vec::new())),
        []
    );
}

#[test]
fn waiting_model_first() {
    let mut policy = policy_after_an_hour();
    let models = vec![waiting("other", 1, 60_000)];
    let proposed = loads(&policy.plan(65 * MINUTE_MS, &without_replica(engine("e2"), models)));
    assert_eq!(proposed.len(), 1);
    assert_eq!(proposed[0].0, "other");
}
