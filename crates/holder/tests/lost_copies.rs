//! Models whose weights are on engines that are lost.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_holder::OrderKind;
use apricotdale_holder::PlannerOptions;

use support::World;

/// Symptom: for four seconds the busiest model was on no engine, and nothing loaded it. Sequence: the
/// engine that held it was lost; another with a copy on its disk had gone dark and stayed on the list.
/// Cause: the copy counted as at hand, and a model with a copy at hand was not fetched from the weight
/// store.
#[test]
fn copy_of_a_dark_engine_is_not_awaited() {
    let mut world = World::new(6, &[&["m4"], &["m1"], &["m2"]]);
    world.copy_on_disk(1, "m4");
    world.run(300);
    world.engine(1).dark = true;
    world.unreachable = vec![UpstreamName::from("e0")];
    for _ in 0..25 {
        world.want("m4", None, 1);
        world.run(400);
    }
    let held = world.engine(2).residence.model(&"m4".into()).is_some();
    assert!(held, "{:?}", world.orders);
}

/// The same where the engine with the copy fetches another model from the weight store: it takes no
/// orders for as long as a fetch of this one takes.
#[test]
fn copy_of_a_fetching_engine_is_not_awaited() {
    let mut world = World::new(8, &[&["m1"], &["m2"]]);
    world.copy_on_disk(0, "m4");
    world.run(300);
    // The other engine can't be reached for a moment, so the first one fetches a model.
    world.unreachable = vec![UpstreamName::from("e1")];
    world.want("m5", None, 1);
    world.run(100);
    world.unreachable.clear();
    for _ in 0..3 {
        world.want("m4", None, 1);
        world.run(400);
    }
    let load = OrderKind::LoadModel("m4".into());
    let orders: Vec<_> = world
        .orders
        .iter()
        .map(|(_, name, kind)| (name.as_str(), kind))
        .collect();
    assert!(orders.contains(&("e1", &load)), "{orders:?}");
}

/// Symptom: the busiest model was lost with the engines that held it and took 6 s to be fetched, in
/// which every request for it was refused. Cause: no other engine had its weights. A busy model is
/// fetched to more engines while there is time.
#[test]
fn busy_model_has_copies() {
    let engines: Vec<&[&str]> = vec![
        &["m0"],
        &["m0"],
        &["m1"],
        &["m1"],
        &["m2"],
        &["m2"],
        &["m3"],
    ];
    let mut world = World::with_options(PlannerOptions::default(), 5, &engines);
    world.run(300);
    for _ in 0..30 {
        world.press("m0", 4, 0, 1_000);
    }
    let copies = (0..7).filter(|index| {
        let residence = &world.engine(*index).residence;
        residence.model(&"m0".into()).is_some() || residence.on_disk.contains(&"m0".into())
    });
    assert_eq!(copies.count(), 3);
    assert!(world.overcommitted().is_empty());
}

/// A model that is rarely called gets no such copies: they would push out others.
#[test]
fn rare_model_has_one() {
    let engines: Vec<&[&str]> = vec![&["m0"], &["m1"], &["m2"], &["m3"]];
    let mut world = World::new(4, &engines);
    world.run(300);
    for _ in 0..20 {
        world.want("m0", None, 0);
        world.demand_running("m0", 1);
        world.run(1_000);
    }
    assert_eq!(world.replicas("m0"), 1);
}
