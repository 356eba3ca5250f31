//! Orders to engines that have ended or can't be reached, and are still listed.

mod support;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_holder::OrderKind;
use rstest::rstest;

use support::World;

/// Configured duration of a load from the weight store.
const LOAD_MS: u64 = 6_000;

/// Returns the engine that was last ordered to load a model.
fn last_load_engine(world: &World, model: &str) -> Option<UpstreamName> {
    let mut orders = world.orders.iter().rev();
    let is_load =
        |kind: &OrderKind| matches!(kind, OrderKind::LoadModel(it) if it.as_str() == model);
    let load = orders.find(|(.., kind)| is_load(kind));
    load.map(|(_, engine, _)| engine.clone())
}

/// Returns whether a reachable engine holds a model.
fn is_loaded(world: &World, model: &str) -> bool {
    let model = ModelName::from(model);
    let mut engines = world.engines.iter();
    engines.any(|(name, engine)| {
        !world.unreachable.contains(name) && engine.residence.model(&model).is_some()
    })
}

/// Keeps requests for models waiting for a time.
fn want(world: &mut World, models: &[&str], for_ms: u64) {
    for _ in 0..for_ms / 100 {
        for model in models {
            world.want(model, None, 1);
        }
        world.run(100);
    }
}

/// Guards against a load lost with its engine that blocks other loads from the weight store for as
/// long as the engine stays listed.
#[rstest]
fn lost_loads_free_store(#[values(1, 2)] lost: usize, #[values(1.0, 2.0)] load_factor: f64) {
    let engines: Vec<&[&str]> = vec![&["m0"]; 8];
    let mut world = World::new(8, &engines);
    for index in 0..engines.len() {
        world.engine(index).load_factor = load_factor;
    }
    world.run(20);
    want(&mut world, &["m4", "m5"], 1_000);
    for model in &["m4", "m5"][..lost] {
        let engine = last_load_engine(&world, model).expect("it is loaded");
        world.unreachable.push(engine);
    }
    want(&mut world, &["m4", "m5", "m6"], 8 * LOAD_MS);
    for model in ["m4", "m5", "m6"] {
        assert!(is_loaded(&world, model), "{model} is not loaded");
    }
}

/// Guards against lowering the limit on concurrent loads because a load is overdue whose engine has
/// ended.
#[test]
fn lost_load_keeps_limit() {
    let engines: Vec<&[&str]> = vec![&["m0"]; 8];
    let mut world = World::new(8, &engines);
    world.run(20);
    want(&mut world, &["m4"], 1_000);
    let engine = last_load_engine(&world, "m4").expect("it is loaded");
    world.unreachable.push(engine);
    let before = world.planner.store_loads_allowed();
    want(&mut world, &["m0"], 2 * LOAD_MS);
    assert_eq!(world.planner.store_loads_allowed(), before);
}

/// Guards against counting a load that was planned after an unload and is never ordered, because
/// the engine has ended.
#[test]
fn planned_loads_dropped() {
    let engines: Vec<&[&str]> = vec![&["m2", "m3", "m4"]; 4];
    let mut world = World::new(8, &engines);
    world.run(20);
    world.want("m5", None, 1);
    world.want("m6", None, 1);
    world.run(30);
    let unloads = world.orders.iter();
    let unloads = unloads.filter(|(.., kind)| matches!(kind, OrderKind::UnloadModel(_)));
    let lost: Vec<UpstreamName> = unloads.map(|(_, engine, _)| engine.clone()).collect();
    assert_eq!(lost.len(), 2);
    assert_eq!(last_load_engine(&world, "m5"), None);
    world.unreachable.extend(lost);
    want(&mut world, &["m5", "m6"], 2 * LOAD_MS);
    for model in ["m5", "m6"] {
        assert!(is_loaded(&world, model), "{model} is not loaded");
    }
}

/// Guards against a forecast, for which callers would wait, based on a load lost with its engine.
#[test]
fn lost_load_not_forecast() {
    let mut world = World::new(8, &[&["m0"]]);
    world.run(20);
    want(&mut world, &["m4"], 1_000);
    let engine = last_load_engine(&world, "m4").expect("it is loaded");
    world.unreachable.push(engine);
    want(&mut world, &["m4"], 1_000);
    let forecasts = world.planner.forecasts(world.now_ms, &world.demand);
    assert_eq!(forecasts, [(ModelName::from("m4"), None)]);
}

/// Guards against ordering a second load elsewhere because a single report read has failed.
#[test]
fn one_failed_report_tolerated() {
    let engines: Vec<&[&str]> = vec![&["m0"]; 8];
    let mut world = World::new(8, &engines);
    world.run(20);
    want(&mut world, &["m4", "m5"], 1_000);
    let engine = last_load_engine(&world, "m4").expect("it is loaded");
    let now_ms = world.now_ms;
    assert!(world.planner.report_ended(now_ms, &engine, None).is_empty());
    want(&mut world, &["m4", "m5", "m6"], LOAD_MS - 2_000);
    assert_eq!(world.max_store_loads, 2);
}
