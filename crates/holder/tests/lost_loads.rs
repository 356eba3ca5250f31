//! Orders at engines that have ended or can't be reached, and are still listed.

mod support;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_holder::OrderKind;
use rstest::rstest;

use support::World;

/// How long a load from the weight store takes by the catalogue.
const LOAD_MS: u64 = 6_000;

/// Returns the engine that was last told to load a model.
fn loads_at(world: &World, model: &str) -> Option<UpstreamName> {
    let mut orders = world.orders.iter().rev();
    let is_load =
        |kind: &OrderKind| matches!(kind, OrderKind::LoadModel(it) if it.as_str() == model);
    let load = orders.find(|(.., kind)| is_load(kind));
    load.map(|(_, engine, _)| engine.clone())
}

/// Returns whether a model is loaded by an engine that can be reached.
fn is_loaded(world: &World, model: &str) -> bool {
    let model = ModelName::from(model);
    let mut engines = world.engines.iter();
    engines.any(|(name, engine)| {
        !world.unreachable.contains(name) && engine.residence.model(&model).is_some()
    })
}

/// Has models wanted for a time.
fn want(world: &mut World, models: &[&str], for_ms: u64) {
    for _ in 0..for_ms / 100 {
        for model in models {
            world.want(model, None, 1);
        }
        world.run(100);
    }
}

/// Guards against a load that was lost with its engine, and that keeps the weight store from all
/// others for as long as the engine is listed.
#[rstest]
fn store_is_free_after_lost_loads(
    #[values(1, 2)] lost: usize,
    #[values(1.0, 2.0)] load_factor: f64,
) {
    let engines: Vec<&[&str]> = vec![&["m0"]; 8];
    let mut world = World::new(8, &engines);
    for index in 0..engines.len() {
        world.engine(index).load_factor = load_factor;
    }
    world.run(20);
    want(&mut world, &["m4", "m5"], 1_000);
    for model in &["m4", "m5"][..lost] {
        let engine = loads_at(&world, model).expect("it is loaded");
        world.unreachable.push(engine);
    }
    want(&mut world, &["m4", "m5", "m6"], 8 * LOAD_MS);
    for model in ["m4", "m5", "m6"] {
        assert!(is_loaded(&world, model), "{model} is not loaded");
    }
}

/// Guards against taking the weight store for overloaded since a load is late whose engine has
/// ended.
#[test]
fn lost_load_slows_no_others() {
    let engines: Vec<&[&str]> = vec![&["m0"]; 8];
    let mut world = World::new(8, &engines);
    world.run(20);
    want(&mut world, &["m4"], 1_000);
    let engine = loads_at(&world, "m4").expect("it is loaded");
    world.unreachable.push(engine);
    let before = world.planner.store_loads_allowed();
    want(&mut world, &["m0"], 2 * LOAD_MS);
    assert_eq!(world.planner.store_loads_allowed(), before);
}

/// Guards against a load that is planned behind an unload, is never given since the engine has
/// ended, and counts all the same.
#[test]
fn planned_loads_end_with_their_engine() {
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
    assert_eq!(loads_at(&world, "m5"), None);
    world.unreachable.extend(lost);
    want(&mut world, &["m5", "m6"], 2 * LOAD_MS);
    for model in ["m5", "m6"] {
        assert!(is_loaded(&world, model), "{model} is not loaded");
    }
}

/// Guards against telling callers to wait for a load that was lost with its engine.
#[test]
fn lost_load_is_no_forecast() {
    let mut world = World::new(8, &[&["m0"]]);
    world.run(20);
    want(&mut world, &["m4"], 1_000);
    let engine = loads_at(&world, "m4").expect("it is loaded");
    world.unreachable.push(engine);
    want(&mut world, &["m4"], 1_000);
    let forecasts = world.planner.forecasts(world.now_ms, &world.demand);
    assert_eq!(forecasts, [(ModelName::from("m4"), None)]);
}

/// Guards against a second load elsewhere for one report that came late.
#[test]
fn load_counts_after_one_late_report() {
    let engines: Vec<&[&str]> = vec![&["m0"]; 8];
    let mut world = World::new(8, &engines);
    world.run(20);
    want(&mut world, &["m4", "m5"], 1_000);
    let engine = loads_at(&world, "m4").expect("it is loaded");
    let now_ms = world.now_ms;
    assert!(world.planner.report_ended(now_ms, &engine, None).is_empty());
    want(&mut world, &["m4", "m5", "m6"], LOAD_MS - 2_000);
    assert_eq!(world.most_store_loads, 2);
}
