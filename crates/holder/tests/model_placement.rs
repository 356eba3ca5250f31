//! Placement of models on engines, and evictions.

mod support;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_holder::OrderKind;
use apricotdale_holder::PlannerOptions;

use support::OrderFault;
use support::World;

fn load(model: &str) -> OrderKind {
    OrderKind::LoadModel(ModelName::from(model))
}

#[test]
fn requested_model_loaded() {
    let mut world = World::new(6, &[&["m0"], &["m3"]]);
    world
        .engine(1)
        .residence
        .on_disk
        .insert(ModelName::from("m4"));
    world.run(20);
    world.want("m4", None, 2);
    world.run(1_200);
    assert_eq!(world.replicas("m4"), 1);
    assert!(
        world
            .announced
            .iter()
            .any(|(_, model, _, present)| model == "m4" && *present)
    );
}

/// A load from cached weights takes a tenth of the time of a load from the weight store.
#[test]
fn cached_weights_preferred() {
    let mut world = World::new(6, &[&["m0"], &["m3"]]);
    world.cache_on_disk(1, "m5");
    world.run(20);
    world.want("m5", None, 1);
    world.run(100);
    let orders: Vec<_> = world
        .orders
        .iter()
        .filter(|(.., kind)| *kind == load("m5"))
        .collect();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].1, UpstreamName::from("e1"));
}

/// The number of concurrent loads that the weight store serves at full speed is not configured. The
/// limit starts at two, and grows by one after each load that ended in time, up to four.
#[test]
fn store_loads_limited() {
    let engines: Vec<&[&str]> = vec![&["m0"]; 10];
    let mut world = World::new(40, &engines);
    world.run(20);
    for model in 4..30 {
        world.want(&format!("m{model}"), None, 1);
    }
    world.run(300);
    let loads = world
        .orders
        .iter()
        .filter(|(.., kind)| matches!(kind, OrderKind::LoadModel(_)));
    assert_eq!(loads.count(), 2);
    for _ in 0..30 {
        for model in 4..30 {
            world.want(&format!("m{model}"), None, 1);
        }
        world.run(1_000);
    }
    assert_eq!(world.max_store_loads, 4);
}

/// Rarely used models are prefetched, but nothing is evicted for them.
#[test]
fn rare_models_prefetched() {
    let options = PlannerOptions::default();
    let engines: [&[&str]; 3] = [&["m0", "m1"], &["m2", "m3"], &["m4"]];
    let mut world = World::with_options(options, 7, &engines);
    world.run(14_000);
    assert_eq!(world.replicas("m0") + world.replicas("m1"), 2);
    assert_eq!(world.replicas("m2") + world.replicas("m3"), 2);
    let held: usize = world
        .engines
        .values()
        .map(|engine| engine.residence.models.len())
        .sum();
    assert_eq!(held, 7);
}

#[test]
fn idle_model_evicted() {
    let mut world = World::new(6, &[&["m2", "m3", "m4"]]);
    world
        .engine(0)
        .residence
        .on_disk
        .insert(ModelName::from("m5"));
    world.run(20);
    for _ in 0..20 {
        world.want("m2", None, 0);
        world.want("m5", None, 1);
        world.run(200);
    }
    world.run(8_000);
    assert_eq!(world.replicas("m5"), 1);
    assert_eq!(world.overcommitted(), []);
}

/// Guards against overcommitting an engine: the answer to a load order is lost, the engine carries
/// the order out seconds later, and another load is ordered in between. The expected order count
/// makes the late order fail.
#[test]
fn late_order_ignored() {
    let mut world = World::new(12, &[&["m2", "m3"]]);
    world.run(20);
    world.engine(0).fault = Some(OrderFault::Late { after_ms: 3_000 });
    for _ in 0..60 {
        world.want("m4", None, 1);
        world.want("m5", None, 1);
        world.run(200);
    }
    assert_eq!(world.overcommitted(), []);
    assert!(world.engine(0).residence.models.len() <= 3);
}

#[test]
fn lost_answer_recovered() {
    let mut world = World::new(6, &[&["m2"]]);
    world
        .engine(0)
        .residence
        .on_disk
        .insert(ModelName::from("m4"));
    world.run(20);
    world.engine(0).fault = Some(OrderFault::LostAnswer);
    for _ in 0..10 {
        world.want("m4", None, 1);
        world.run(200);
    }
    assert_eq!(world.replicas("m4"), 1);
    assert!(
        world
            .announced
            .iter()
            .any(|(_, model, _, present)| model == "m4" && *present)
    );
}

#[test]
fn unsent_order_retried() {
    let mut world = World::new(6, &[&["m2"]]);
    world.run(20);
    world.engine(0).fault = Some(OrderFault::Lost);
    for _ in 0..50 {
        world.want("m4", None, 1);
        world.run(200);
    }
    assert_eq!(world.replicas("m4"), 1);
}

/// An unload takes until the last request on its model has ended. The load that waits for it must
/// follow within a fraction of its own duration.
#[test]
fn load_follows_unload() {
    let mut world = World::new(6, &[&["m2", "m3", "m4"]]);
    world.cache_on_disk(0, "m5");
    world.run(20);
    world.want("m5", None, 1);
    world.run(1_300);
    assert_eq!(world.replicas("m5"), 1);
}

#[test]
fn second_replica_loaded() {
    let mut world = World::new(6, &[&["m2"], &["m3"]]);
    world
        .engine(1)
        .residence
        .on_disk
        .insert(ModelName::from("m2"));
    world.run(20);
    world.keep_busy("m2", 7, 0, 8_000);
    assert_eq!(world.replicas("m2"), 2);
}

/// Guards against a busy model that is never loaded from the weight store because only engines that
/// already hold it have its weights cached. Its requests would wait although other engines are
/// idle.
#[test]
fn busy_model_uncached_elsewhere() {
    let mut world = World::new(6, &[&["m2"], &["m3"]]);
    world.run(20);
    world.keep_busy("m2", 7, 9, 12_000);
    assert_eq!(world.replicas("m2"), 2);
}

/// A second replica without waiting requests does not justify blocking an engine for seconds.
#[test]
fn idle_replica_not_fetched() {
    let mut world = World::new(6, &[&["m2"], &["m3"]]);
    world.run(20);
    world.keep_busy("m2", 7, 0, 12_000);
    assert_eq!(world.replicas("m2"), 1);
}

/// A model whose only engine is unreachable is loaded elsewhere before the engine is unlisted.
#[test]
fn unreachable_engine_replaced() {
    let mut world = World::new(6, &[&["m2"], &["m3"]]);
    world.cache_on_disk(1, "m2");
    world.run(20);
    world.unreachable.push(UpstreamName::from("e0"));
    world.want("m2", None, 1);
    world.run(900);
    assert_eq!(world.replicas("m2"), 2);
}

/// Guards against exceeding the rate limit of the weight store: if loads are short, the limit on
/// concurrent loads does not bound how many begin within the operators' window.
#[test]
fn store_load_rate_limited() {
    let engines: Vec<&[&str]> = vec![&["m0"]; 12];
    let mut spec = support::spec(40);
    spec.store_loads_per_s = 0.4;
    for model in spec.models.values_mut() {
        model.store_load_ms = 100;
    }
    let mut world = World::with_spec(support::options_without_prefetch(), spec, &engines);
    world.run(20);
    for _ in 0..50 {
        for model in 4..30 {
            world.want(&format!("m{model}"), None, 1);
        }
        world.run(200);
    }
    let start_times_ms: Vec<u64> = world
        .orders
        .iter()
        .filter(|(.., kind)| matches!(kind, OrderKind::LoadModel(_)))
        .map(|(at_ms, ..)| *at_ms)
        .collect();
    let max_in_window = start_times_ms
        .iter()
        .map(|from| {
            start_times_ms
                .iter()
                .filter(|at| (*from..from + 5_000).contains(*at))
                .count()
        })
        .max();
    assert!(
        max_in_window.is_some_and(|max_in_window| (2..=5).contains(&max_in_window)),
        "{max_in_window:?}"
    );
}
