//! Loads that take longer than configured.

mod support;

use apricotdale_core::names::ModelName;

use support::World;

/// Maximum number of rejected requests until the planner has learned how slow an engine is.
const MAX_REJECTED: u32 = 2;

/// Guards against requests that are rejected dozens of times because a load is announced as done
/// after its configured duration although the engine is 1.3 times slower. The first rejection must
/// revert the announcement.
#[test]
fn slow_engine_learned() {
    let mut world = World::new(6, &[&["m0"]]);
    world.engine(0).load_factor = 1.3;
    world.cache_on_disk(0, "m4");
    world.cache_on_disk(0, "m5");
    world.run(20);
    world.waiting = vec!["m4"];
    world.want("m4", None, 1);
    world.run(1_500);
    assert_eq!(world.replicas("m4"), 1);
    assert!(world.waiting.is_empty());
    assert!(
        (1..=MAX_REJECTED).contains(&world.rejected),
        "{}",
        world.rejected
    );

    world.rejected = 0;
    world.waiting = vec!["m5"];
    world.want("m5", None, 1);
    world.run(1_500);
    assert_eq!(world.replicas("m5"), 1);
    assert_eq!(world.rejected, 0);
}

/// A load on an engine as fast as configured is announced without extra delay.
#[test]
fn timely_load_announced() {
    let mut world = World::new(6, &[&["m0"]]);
    world.cache_on_disk(0, "m4");
    world.run(20);
    world.waiting = vec!["m4"];
    world.want("m4", None, 1);
    world.run(840);
    assert!(world.waiting.is_empty());
    assert_eq!(world.rejected, 0);
}

/// Guards against announcing a model for seconds while the engine still fetches its weights: they
/// were evicted from the engine's disk, and its entry shows that late.
#[test]
fn evicted_weights_detected() {
    let mut world = World::new(6, &[&["m0"]]);
    world.cache_on_disk(0, "m4");
    world.run(20);
    world
        .engine(0)
        .residence
        .on_disk
        .remove(&ModelName::from("m4"));
    world.waiting = vec!["m4"];
    world.want("m4", None, 1);
    world.run(5_000);
    assert!(world.rejected <= 4, "{}", world.rejected);
    let before = world.rejected;
    world.run(2_500);
    assert_eq!(world.replicas("m4"), 1);
    assert!(world.waiting.is_empty());
    assert_eq!(world.rejected, before);
}

/// Guards against announcing loads from an overloaded weight store too early: of four concurrent
/// loads, none had ended after 33 s, but all were announced after 13 s. Such loads are announced
/// only when a report shows them as done, and fewer run concurrently afterwards.
#[test]
fn slow_store_detected() {
    let engines: Vec<&[&str]> = vec![&["m0"]; 6];
    let mut world = World::new(20, &engines);
    for engine in 0..6 {
        world.engine(engine).load_factor = 2.0;
    }
    world.run(20);
    world.waiting = vec!["m4", "m5", "m6", "m7"];
    for _ in 0..60 {
        for model in ["m4", "m5", "m6", "m7"] {
            world.want(model, None, 1);
        }
        world.run(1_000);
    }
    assert!(world.waiting.is_empty(), "{:?}", world.waiting);
    assert_eq!(world.rejected, 0);
    assert_eq!(world.max_store_loads, 2);
    let ordered_at_ms: Vec<u64> = world.orders.iter().map(|(at_ms, ..)| *at_ms).collect();
    assert!(
        ordered_at_ms
            .windows(2)
            .skip(1)
            .all(|pair| pair[1] - pair[0] > 5_000),
        "{ordered_at_ms:?}"
    );
}
