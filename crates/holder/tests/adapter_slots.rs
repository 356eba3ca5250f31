//! Loads of adapters on engines that hold their model, within the engines' adapter slots.

mod support;

use apricotdale_core::names::ModelName;
use apricotdale_holder::OrderKind;
use apricotdale_holder::OrderOutcome;

use support::World;

#[test]
fn waiting_adapter_loaded() {
    let mut world = World::new(1, &[&["m0"]]);
    world.run(20);
    world.want("m0", Some("a1"), 1);
    world.run(60);
    let announced = (
        "e0".to_owned(),
        "m0".to_owned(),
        Some("a1".to_owned()),
        true,
    );
    assert!(world.announced.contains(&announced));
    let resident = world.engine(0).residence.models[0].clone();
    assert_eq!(resident.adapters, [ModelName::from("a1")]);
}

#[test]
fn oldest_adapter_evicted() {
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

/// Guards against ordering one adapter more than an engine has slots, which crashes the engine. A
/// report requested right after an adapter order may show the adapters from before the order with
/// the count from after it, so the count does not prove that the adapters are up to date.
#[test]
fn outdated_report_ignored() {
    let mut world = World::new(2, &[&["m0"], &["m0"]]);
    world.run(20);
    for round in 0..40_u32 {
        for adapter in 0..6_u32 {
            world.want("m0", Some(&format!("a{}", (round + adapter) % 12)), 1);
        }
        // A load of a model on the same engine ends with a report while adapters are ordered.
        world.want("m1", None, 1);
        world.run(37);
    }
    assert_eq!(world.overcommitted(), []);
}

/// Guards against conflicts of half of all orders: an unload of an unused adapter is done at once,
/// and must be counted like other orders.
#[test]
fn immediate_unload_counted() {
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
fn adapter_needs_model() {
    let mut world = World::new(4, &[&["m3"]]);
    world.run(20);
    world.want("m0", Some("a1"), 1);
    world.run(40);
    let adapters = world
        .orders
        .iter()
        .filter(|(.., kind)| !kind.is_model_order())
        .count();
    assert_eq!(adapters, 0);
}

/// Guards against a new lease holder that crashes an engine with its first adapter order: adapters
/// still being loaded on the previous holder's orders occupy slots, but are not in the report's
/// list of loaded ones.
#[test]
fn loading_adapters_occupy_slots() {
    let mut world = World::new(1, &[&["m0"]]);
    for adapter in ["a6", "a7", "a8", "a9"] {
        world.engine(0).start_adapter_load("m0", adapter, 60_000);
    }
    world.run(20);
    world.want("m0", Some("a1"), 1);
    world.run(300);
    assert_eq!(world.overcommitted(), []);
}
