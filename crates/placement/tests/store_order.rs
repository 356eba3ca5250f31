//! Order of loads from the weight store.

mod support;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementPolicy;

use support::GB;
use support::engine;
use support::engine_with_checkpoint;
use support::fleet;
use support::learned;
use support::loads;
use support::refusals;
use support::waiting;

fn fleet_of_nine(models: Vec<ModelView>) -> FleetView {
    let engines = (0..9).map(|index| engine(&format!("e{index}"))).collect();
    fleet(engines, models, Vec::new())
}

/// Guards against loads that all take minutes after the loss of a zone, when dozens of models are
/// wanted at once. Loads beyond the number at full speed share the store's bandwidth: each ends
/// later, and none earlier.
#[test]
fn concurrent_loads_limited() {
    let mut policy = learned();
    let models = (0..9).map(|index| waiting(&format!("m{index}"), 1, 180_000));
    let proposed = loads(&policy.plan(0, &fleet_of_nine(models.collect())));
    assert_eq!(proposed.len(), 4);
}

#[test]
fn least_slack_first() {
    let mut policy = learned();
    let models = (0..9).map(|index| waiting(&format!("m{index}"), 1, 180_000 - 10_000 * index));
    let proposed = loads(&policy.plan(0, &fleet_of_nine(models.collect())));
    let order: Vec<&str> = proposed.iter().map(|(model, _)| model.as_str()).collect();
    assert_eq!(order, ["m8", "m7", "m6", "m5"]);
}

#[test]
fn late_load_yields() {
    let mut policy = learned();
    let mut models: Vec<ModelView> = (0..4)
        .map(|index| waiting(&format!("late{index}"), 1, 2_000))
        .collect();
    models.extend((0..4).map(|index| waiting(&format!("good{index}"), 1, 30_000)));
    let proposed = loads(&policy.plan(0, &fleet_of_nine(models)));
    assert!(
        proposed.iter().all(|(model, _)| model.starts_with("good")),
        "{proposed:?}"
    );
}

#[test]
fn short_load_exceeds_limit() {
    let mut policy = learned();
    let models: Vec<ModelView> = (0..4)
        .map(|index| waiting(&format!("m{index}"), 1, 60_000))
        .collect();
    assert_eq!(
        loads(&policy.plan(0, &fleet_of_nine(models.clone()))).len(),
        4
    );
    let mut small = waiting("small", 1, 10_000);
    small.bytes = GB / 2;
    let models: Vec<ModelView> = models.into_iter().chain([small]).collect();
    let proposed = loads(&policy.plan(100, &fleet_of_nine(models)));
    assert_eq!(proposed.len(), 1);
    assert_eq!(proposed[0].0, "small");
}

#[test]
fn cached_loads_unlimited() {
    let mut policy = learned();
    let models = (0..9)
        .map(|index| waiting(&format!("m{index}"), 1, 60_000))
        .collect();
    let engines = (0..9)
        .map(|index| {
            engine_with_checkpoint(&format!("e{index}"), &format!("m{index}"), CacheTier::Disk)
        })
        .collect();
    let proposed = loads(&policy.plan(0, &fleet(engines, models, Vec::new())));
    assert_eq!(proposed.len(), 9);
}

/// Guards against callers that wait until their deadline for a queued load that will start too
/// late. Admission can't refuse them, since it predicts no time for a load that has not begun.
#[test]
fn queued_load_refuses_late() {
    let mut policy = learned();
    let mut models: Vec<ModelView> = (0..4)
        .map(|index| waiting(&format!("m{index}"), 1, 18_000))
        .collect();
    models.push(waiting("x", 3, 25_000));
    let actions = policy.plan(0, &fleet_of_nine(models.clone()));
    let refused = refusals(&actions);
    assert_eq!(refused.len(), 1);
    let (model, reason, retry_after_ms) = &refused[0];
    assert_eq!((model.as_str(), *reason), ("x", "deadline_too_short"));
    // The load starts when the first one ends, and then takes equally long.
    assert!(retry_after_ms.is_some_and(|after_ms| (20_000..60_000).contains(&after_ms)));
    // The view shows the refused requests for a short time, in which they are not refused again.
    assert_eq!(refusals(&policy.plan(100, &fleet_of_nine(models))), []);
}

#[test]
fn refused_callers_anticipated() {
    let mut policy = learned();
    let mut models: Vec<ModelView> = (0..4)
        .map(|index| waiting(&format!("m{index}"), 1, 18_000))
        .collect();
    models.push(waiting("x", 3, 25_000));
    policy.plan(0, &fleet_of_nine(models));
    // The refused requests are gone, and the store is free again.
    let actions = policy.plan(17_000, &fleet_of_nine(Vec::new()));
    assert_eq!(loads(&actions).len(), 1);
    assert_eq!(loads(&actions)[0].0, "x");
}
