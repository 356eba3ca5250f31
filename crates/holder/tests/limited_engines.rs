//! Engines that state a rate limit.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::WantedModel;
use apricotdale_holder::OrderKind;

use support::World;

fn e0() -> UpstreamName {
    UpstreamName::from("e0")
}

fn loads(world: &World, model: &str) -> Vec<UpstreamName> {
    let orders = world.orders.iter();
    let loads = orders.filter(
        |(.., kind)| matches!(kind, OrderKind::LoadModel(loaded) if loaded.as_str() == model),
    );
    loads.map(|(_, engine, _)| engine.clone()).collect()
}

/// Guards against a model of which only limited engines hold replicas, so that most of its requests
/// are refused for as long as the need lasts.
#[test]
fn model_loaded_elsewhere() {
    let mut world = World::new(4, &[&["m0"], &["m1"]]);
    world.run(500);
    assert!(world.orders.is_empty());
    world.limited = vec![e0()];
    for _ in 0..20 {
        world.want("m0", None, 3);
        world.run(100);
    }
    assert_eq!(loads(&world, "m0"), [UpstreamName::from("e1")]);
}

/// Guards against a limited engine that is ordered to load more models, or to unload one for them.
#[test]
fn nothing_loaded_there() {
    let mut world = World::new(4, &[&["m0"], &["m1"]]);
    world.limited = vec![e0()];
    for _ in 0..20 {
        world.want("m2", None, 3);
        world.run(100);
    }
    assert_eq!(loads(&world, "m2"), [UpstreamName::from("e1")]);
    assert!(world.orders.iter().all(|(_, engine, _)| *engine != e0()));
}

/// Guards against reports that are read again and again because requests wait for another replica.
#[test]
fn replicas_not_reannounced() {
    let mut world = World::new(4, &[&["m0"], &["m1"]]);
    world.run(500);
    let wanted = WantedModel {
        model: "m0".into(),
        adapter: None,
    };
    assert_eq!(world.planner.known_replicas(&wanted).len(), 1);
    world.limited = vec![e0()];
    world.run(20);
    assert!(world.planner.known_replicas(&wanted).is_empty());
}
