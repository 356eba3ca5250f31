//! Checkpoints that no host has any more.

mod support;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementPolicy;

use support::caching;
use support::engine;
use support::fleet;
use support::learned;
use support::loads;
use support::model;
use support::replica;
use support::unloads;
use support::waiting;

const MINUTE_MS: u64 = 60_000;

fn used_for_an_hour() -> apricotdale_placement::LearnedPlacement {
    let mut policy = learned();
    for minute in 0..60 {
        policy.arrived(minute * MINUTE_MS, &"m".into());
        let view = fleet(
            vec![caching("e1", "m", CacheTier::Disk)],
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

/// Symptom: after a zone is lost, models that were loaded within seconds take half a minute.
/// Sequence: the zone's hosts held the only checkpoints. Cause: nothing loads a model again before
/// its next caller comes.
#[test]
fn lost_checkpoint_is_fetched_and_the_model_unloaded() {
    let mut policy = used_for_an_hour();
    let proposed = loads(&policy.plan(65 * MINUTE_MS, &without_replica(engine("e2"), Vec::new())));
    assert_eq!(proposed.len(), 1);
    let mut held = replica("m", "e2", true);
    held.since_ms = 66 * MINUTE_MS;
    let view = fleet(
        vec![caching("e2", "m", CacheTier::Memory)],
        vec![model("m")],
        vec![held],
    );
    assert_eq!(unloads(&policy.plan(66 * MINUTE_MS, &view)).len(), 1);
}

#[test]
fn checkpoint_on_a_host_is_left_there() {
    let mut policy = used_for_an_hour();
    let host = caching("e2", "m", CacheTier::Disk);
    assert_eq!(
        policy.plan(65 * MINUTE_MS, &without_replica(host, Vec::new())),
        []
    );
}

#[test]
fn waiting_model_goes_first() {
    let mut policy = used_for_an_hour();
    let models = vec![waiting("other", 1, 60_000)];
    let proposed = loads(&policy.plan(65 * MINUTE_MS, &without_replica(engine("e2"), models)));
    assert_eq!(proposed.len(), 1);
    assert_eq!(proposed[0].0, "other");
}
