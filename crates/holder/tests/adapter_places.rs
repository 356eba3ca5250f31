//! Adapters: brought to engines that hold their model, within the engines' places.

mod support;

use apricotdale_core::names::ModelName;
use apricotdale_holder::OrderKind;
use apricotdale_holder::OrderOutcome;

use support::World;

#[test]
fn adapter_is_brought() {
    let mut world = World::new(1, &[&["m0"]]);
    world.run(20);
    world.want("m0", Some("a1"), 1);
    world.run(60);
    let told = (
        "e0".to_owned(),
        "m0".to_owned(),
        Some("a1".to_owned()),
        true,
    );
    assert!(world.told.contains(&told));
    let resident = world.engine(0).residence.models[0].clone();
    assert_eq!(resident.adapters, [ModelName::from("a1")]);
}

#[test]
fn oldest_adapter_gives_way() {
    let mut world = World::new(1, &[&["m0"]]);
    world.run(20);
    for adapter in ["a1", "a2", "a3", "a4", "a5"] {
        world.want("m0", Some(adapter), 1);
        world.run(60);
        world.want("m0", Some(adapter), 0);
        world.run(1_100);
    }
    let held = world.engine(0).residence.models[0].adapters.clone();
    assert!(held.contains(&ModelName::from("a5")));
    assert!(!held.contains(&ModelName::from("a1")));
    assert!(world.overcommitted().is_empty());
}

/// Symptom: an engine crashes because it was ordered to load one adapter more than it has places.
/// Sequence: a report is asked for right after an adapter order; it shows the adapters from before
/// that order, with the count of orders after it; the next adapter order goes to a place that is
/// taken. Cause: the count of orders was taken as proof that the report is fresh.
#[test]
fn lagging_report_hides_an_adapter() {
    let mut world = World::new(2, &[&["m0"], &["m0"]]);
    world.run(20);
    for round in 0..40_u32 {
        for adapter in 0..6_u32 {
            world.want("m0", Some(&format!("a{}", (round + adapter) % 12)), 1);
        }
        // A model load on the same engine ends with a report while adapters are ordered.
        world.want("m1", None, 1);
        world.run(37);
    }
    assert_eq!(world.overcommitted(), []);
}

/// Symptom: half of all orders meet a conflict. Sequence: an adapter that no request uses is
/// unloaded at once and answered as done; the next order names the count from before. Cause: an
/// order that was done at once was not counted.
#[test]
fn unload_at_once_is_counted() {
    let mut world = World::new(1, &[&["m0"]]);
    world.run(20);
    for adapter in 0..8_u32 {
        world.want("m0", Some(&format!("a{adapter}")), 1);
        world.run(100);
        world.want("m0", Some(&format!("a{adapter}")), 0);
        world.run(1_100);
    }
    let unloads = world
        .orders
        .iter()
        .filter(|(.., kind)| matches!(kind, OrderKind::UnloadAdapter { .. }));
    assert!(unloads.count() >= 4);
    assert_eq!(world.outcomes.get(&OrderOutcome::Conflict), None);
}

#[test]
fn adapter_without_its_model_waits() {
    let mut world = World::new(4, &[&["m3"]]);
    world.run(20);
    world.want("m0", Some("a1"), 1);
    world.run(40);
    let adapters = world
        .orders
        .iter()
        .filter(|(.., kind)| !kind.is_of_model())
        .count();
    assert_eq!(adapters, 0);
}

/// Symptom: a new giver of orders crashes an engine with its first adapter order. Sequence: the
/// giver before had ordered adapters that are still on their way; the report does not list them
/// among the engine's own. Cause: adapters on their way take places already.
#[test]
fn adapters_on_their_way_take_places() {
    let mut world = World::new(1, &[&["m0"]]);
    for adapter in ["a6", "a7", "a8", "a9"] {
        world.engine(0).bring("m0", adapter, 60_000);
    }
    world.run(20);
    world.want("m0", Some("a1"), 1);
    world.run(300);
    assert_eq!(world.overcommitted(), []);
}
