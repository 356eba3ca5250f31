//! Models whose load crashes engines.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_holder::OrderKind;

use support::World;

/// Waits until an engine is ordered to load a model, and returns the engine.
fn next_load(world: &mut World, model: &str, orders_before: usize) -> Option<UpstreamName> {
    for _ in 0..40 {
        world.want(model, None, 1);
        world.run(100);
        let orders = world.orders.iter().skip(orders_before);
        let mut loads = orders.filter(
            |(.., kind)| matches!(kind, OrderKind::LoadModel(loaded) if loaded.as_str() == model),
        );
        if let Some((_, engine, _)) = loads.next() {
            return Some(engine.clone());
        }
    }
    None
}

/// Removes engines while they load a model until its loads are suspended, and returns their number.
fn crash_engines(world: &mut World, leaving: bool) -> usize {
    let mut before = world.orders.len();
    for ended in 0..6 {
        let Some(engine) = next_load(world, "m4", before) else {
            return ended;
        };
        before = world.orders.len();
        if leaving {
            let mut entry = world.directory.upstream(&engine).cloned().expect("listed");
            entry.phase = UpstreamPhase::Leaving;
            entry.revision += 1;
            world.directory.record_entry(entry);
            world.run(20);
        }
        world.directory.record_gone(&engine);
        world.run(1_500);
    }
    6
}

/// Guards against a model whose loads crash one engine after another.
#[test]
fn crashing_model_suspended() {
    let engines: Vec<&[&str]> = vec![&["m0"]; 8];
    let mut world = World::new(6, &engines);
    world.run(20);
    assert_eq!(crash_engines(&mut world, false), 3);
    // Other models are still loaded.
    let before = world.orders.len();
    assert!(next_load(&mut world, "m5", before).is_some());
    let forecasts = world.planner.forecasts(world.now_ms, &world.demand);
    let suspended = forecasts.iter().find(|(model, _)| model.as_str() == "m4");
    let ready_ms = suspended.and_then(|(_, ready_ms)| *ready_ms);
    assert!(ready_ms.is_some_and(|ready_ms| ready_ms > world.now_ms + 40_000));
}

/// Guards against suspending a model because of engines that had announced that they leave.
#[test]
fn leaving_engines_ignored() {
    let engines: Vec<&[&str]> = vec![&["m0"]; 8];
    let mut world = World::new(6, &engines);
    world.run(20);
    assert_eq!(crash_engines(&mut world, true), 6);
}

/// Guards against a suspension that never ends.
#[test]
fn suspension_ends() {
    let engines: Vec<&[&str]> = vec![&["m0"]; 8];
    let mut world = World::new(6, &engines);
    world.run(20);
    crash_engines(&mut world, false);
    let before = world.orders.len();
    world.run(60_000);
    assert!(next_load(&mut world, "m4", before).is_some());
}
