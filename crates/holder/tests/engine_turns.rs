//! Engines that many models share in turn, where VMs report which requests run where.

mod support;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_holder::DemandDetail;
use apricotdale_holder::EngineKey;
use apricotdale_holder::EngineUse;
use apricotdale_holder::ModelKey;
use apricotdale_holder::OrderKind;
use apricotdale_holder::OrderOutcome;
use rstest::rstest;

use support::World;

/// Reports running requests of one VM by engine and model, for as long as such a report counts.
fn report(world: &mut World, uses: &[(&str, &str, u16)]) {
    let uses = uses.iter().map(|(engine, model, requests)| EngineUse {
        engine: EngineKey::of(&UpstreamName::from(*engine)),
        model: ModelKey::of(&ModelName::from(*model)),
        requests: *requests,
    });
    let detail = DemandDetail {
        uses: uses.collect(),
        ..DemandDetail::default()
    };
    let vm = VmName::from("vm");
    world.demand.note_detail(world.now_ms, &vm, 1, &detail);
    world.demand.sum_uses(world.now_ms);
}

fn unloads(world: &World) -> Vec<(u64, ModelName)> {
    let unloads = world
        .orders
        .iter()
        .filter_map(|(at_ms, _, kind)| match kind {
            OrderKind::UnloadModel(model) => Some((*at_ms, model.clone())),
            _ => None,
        });
    unloads.collect()
}

fn conflicts(world: &World) -> u32 {
    let conflicts = world.outcomes.get(&OrderOutcome::Conflict);
    conflicts.copied().unwrap_or_default()
}

/// Guards against an unload that blocks the engine until requests have ended, while an equally wanted
/// model there has none.
#[rstest]
#[case::first_runs("m2", "m3")]
#[case::second_runs("m3", "m2")]
fn idle_replica_evicted(#[case] running: &str, #[case] expected: &str) {
    let mut world = World::new(6, &[&["m2", "m3", "m4"]]);
    world.cache_on_disk(0, "m5");
    report(&mut world, &[]);
    world.run(20);
    world.demand_running("m4", 8);
    report(&mut world, &[("e0", running, 1)]);
    world.want("m5", None, 2);
    world.run(300);
    let unloads = unloads(&world);
    assert_eq!(
        unloads.first().map(|it| &it.1),
        Some(&ModelName::from(expected))
    );
}

/// Guards against a model that is unloaded before the requests that have waited for it are sent.
#[rstest]
#[case::reported(true)]
#[case::not_reported(false)]
fn loaded_model_stays(#[case] has_reports: bool) {
    let mut world = World::new(8, &[&["m0"]]);
    let full: Vec<String> = (0..8).map(|index| format!("m{index}")).collect();
    for model in &full {
        world.cache_on_disk(0, model);
    }
    world.run(20);
    for round in 0..40 {
        if has_reports {
            report(&mut world, &[]);
        }
        world.want(&full[round % 8], None, 3);
        world.run(200);
    }
    let mut loaded_ms: Vec<(u64, ModelName)> = Vec::new();
    for (at_ms, _, kind) in &world.orders {
        match kind {
            OrderKind::LoadModel(model) => loaded_ms.push((*at_ms, model.clone())),
            OrderKind::UnloadModel(model) => {
                let load = loaded_ms.iter().rev().find(|(_, loaded)| loaded == model);
                let load_ms = world.planner_load_ms(model);
                if let Some((ordered_ms, _)) = load {
                    let stayed_ms = (at_ms - ordered_ms).saturating_sub(load_ms);
                    assert!(stayed_ms >= 250, "{model} stayed for {stayed_ms} ms");
                }
            }
            _ => {}
        }
    }
    assert!(!loaded_ms.is_empty());
}

/// Guards against a load order that conflicts with each unload before it: an unload of the fake engine
/// takes 150 ms, and 40 ms are assumed at first.
#[rstest]
fn unload_time_learnt() {
    let mut world = World::new(8, &[&["m0", "m1"]]);
    let models: Vec<String> = (0..8).map(|index| format!("m{index}")).collect();
    for model in &models {
        world.cache_on_disk(0, model);
    }
    world.run(20);
    for round in 0..100 {
        report(&mut world, &[]);
        world.want(&models[round % 8], None, 3);
        world.run(300);
    }
    let before = (conflicts(&world), unloads(&world).len());
    for round in 0..50 {
        report(&mut world, &[]);
        world.want(&models[round % 8], None, 3);
        world.run(300);
    }
    let more = conflicts(&world) - before.0;
    let unloads = unloads(&world).len() - before.1;
    assert!(unloads >= 10, "{unloads} unloads");
    assert!(
        f64::from(more) <= 0.25 * unloads as f64,
        "{more} conflicts after {unloads} unloads"
    );
}

/// Guards against a model in demand that becomes unavailable for the time of a load from the weight store
/// when the only engine with its weights leaves.
#[rstest]
#[case::in_demand(4, 2)]
#[case::rarely_asked(0, 1)]
fn second_copy_loaded(#[case] requests: u32, #[case] expected: usize) {
    let mut world = World::new(6, &[&["m0"], &["m1"]]);
    report(&mut world, &[]);
    world.run(20);
    for _ in 0..60 {
        report(&mut world, &[]);
        world.demand_running("m0", requests);
        world.run(200);
    }
    let copies = world
        .engines
        .values()
        .filter(|engine| engine.residence.on_disk.contains(&ModelName::from("m0")));
    assert_eq!(copies.count(), expected);
}
