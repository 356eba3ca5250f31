//! The order of loads under the weight store's limit.

mod support;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementPolicy;

use support::GB;
use support::caching;
use support::engine;
use support::fleet;
use support::learned;
use support::loads;
use support::refusals;
use support::waiting;

fn many(models: Vec<ModelView>) -> FleetView {
    let engines = (0..9).map(|index| engine(&format!("e{index}"))).collect();
    fleet(engines, models, Vec::new())
}

/// Symptom: after a zone is lost, every load takes minutes. Sequence: dozens of models are wanted
/// at once, and all are loaded from the store at once. Cause: beyond the number at full speed
/// loads only share the store's speed, so each ends later and none earlier.
#[test]
fn no_more_loads_than_run_at_full_speed() {
    let mut policy = learned();
    let models = (0..9).map(|index| waiting(&format!("m{index}"), 1, 180_000));
    let proposed = loads(&policy.plan(0, &many(models.collect())));
    assert_eq!(proposed.len(), 4);
}

#[test]
fn least_time_to_spare_goes_first() {
    let mut policy = learned();
    let models = (0..9).map(|index| waiting(&format!("m{index}"), 1, 180_000 - 10_000 * index));
    let proposed = loads(&policy.plan(0, &many(models.collect())));
    let order: Vec<&str> = proposed.iter().map(|(model, _)| model.as_str()).collect();
    assert_eq!(order, ["m8", "m7", "m6", "m5"]);
}

#[test]
fn load_that_is_late_anyway_delays_no_other() {
    let mut policy = learned();
    let mut models: Vec<ModelView> = (0..4)
        .map(|index| waiting(&format!("late{index}"), 1, 2_000))
        .collect();
    models.extend((0..4).map(|index| waiting(&format!("good{index}"), 1, 30_000)));
    let proposed = loads(&policy.plan(0, &many(models)));
    assert!(
        proposed.iter().all(|(model, _)| model.starts_with("good")),
        "{proposed:?}"
    );
}

#[test]
fn short_load_passes_the_limit() {
    let mut policy = learned();
    let models: Vec<ModelView> = (0..4)
        .map(|index| waiting(&format!("m{index}"), 1, 60_000))
        .collect();
    assert_eq!(loads(&policy.plan(0, &many(models.clone()))).len(), 4);
    let mut small = waiting("small", 1, 10_000);
    small.bytes = GB / 2;
    let models: Vec<ModelView> = models.into_iter().chain([small]).collect();
    let proposed = loads(&policy.plan(100, &many(models)));
    assert_eq!(proposed.len(), 1);
    assert_eq!(proposed[0].0, "small");
}

#[test]
fn loads_from_hosts_need_no_turn() {
    let mut policy = learned();
    let models = (0..9)
        .map(|index| waiting(&format!("m{index}"), 1, 60_000))
        .collect();
    let engines = (0..9)
        .map(|index| caching(&format!("e{index}"), &format!("m{index}"), CacheTier::Disk))
        .collect();
    let proposed = loads(&policy.plan(0, &fleet(engines, models, Vec::new())));
    assert_eq!(proposed.len(), 9);
}

/// Symptom: callers wait to their deadline for a model whose load had no chance. Sequence: the
/// store is busy, so the load waits for its turn, which comes too late. Cause: a request without a
/// load under way has no predicted time, so admission can't refuse it.
#[test]
fn deferred_load_refuses_whom_it_can_not_help() {
    let mut policy = learned();
    let mut models: Vec<ModelView> = (0..4)
        .map(|index| waiting(&format!("m{index}"), 1, 18_000))
        .collect();
    models.push(waiting("x", 3, 25_000));
    let actions = policy.plan(0, &many(models.clone()));
    let refused = refusals(&actions);
    assert_eq!(refused.len(), 1);
    let (model, reason, retry_after_ms) = &refused[0];
    assert_eq!((model.as_str(), *reason), ("x", "deadline_too_short"));
    // Its turn comes when the first load ends, and then it takes as long itself.
    assert!(retry_after_ms.is_some_and(|after_ms| (20_000..60_000).contains(&after_ms)));
    // The refused requests show for a moment longer and are not refused again.
    assert_eq!(refusals(&policy.plan(100, &many(models))), []);
}

#[test]
fn refused_callers_find_the_model_when_they_come_back() {
    let mut policy = learned();
    let mut models: Vec<ModelView> = (0..4)
        .map(|index| waiting(&format!("m{index}"), 1, 18_000))
        .collect();
    models.push(waiting("x", 3, 25_000));
    policy.plan(0, &many(models));
    // The refused requests are gone, and the store is free again.
    let actions = policy.plan(17_000, &many(Vec::new()));
    assert_eq!(loads(&actions).len(), 1);
    assert_eq!(loads(&actions)[0].0, "x");
}
