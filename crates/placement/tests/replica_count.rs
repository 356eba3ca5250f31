//! The number of replicas follows the demand.

mod support;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::EngineView;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::PlacementPolicy;

use support::caching;
use support::engine;
use support::fleet;
use support::learned;
use support::loads;
use support::model;
use support::replica;
use support::unloads;
use support::waiting;

fn with_busy(name: &str, busy: u32) -> EngineView {
    EngineView {
        busy,
        ..engine(name)
    }
}

fn full_replica() -> FleetView {
    let mut model = waiting("m", 9, 30_000);
    model.running = 8;
    let near = caching("e2", "m", CacheTier::Memory);
    let engines = vec![with_busy("e1", 8), near, engine("e3")];
    fleet(engines, vec![model], vec![replica("m", "e1", true)])
}

#[test]
fn lasting_queue_gets_another_replica() {
    let mut policy = learned();
    let first = (0..60).find_map(|step| {
        let now_ms = step * 500;
        let proposed = loads(&policy.plan(now_ms, &full_replica()));
        (!proposed.is_empty()).then_some((now_ms, proposed))
    });
    let (at_ms, proposed) = first.unwrap();
    assert_eq!(proposed.len(), 1);
    assert!(at_ms >= 1_000, "a burst of {at_ms} ms");
}

#[test]
fn free_place_needs_no_other_replica() {
    let mut policy = learned();
    let engines = vec![with_busy("e1", 7), engine("e2")];
    let models = vec![waiting("m", 1, 30_000)];
    let view = fleet(engines, models, vec![replica("m", "e1", true)]);
    for step in 0..60 {
        assert_eq!(loads(&policy.plan(step * 500, &view)), []);
    }
}

/// Symptom: overload takes all memory. Sequence: all engines are full, so every model's requests
/// wait, and every model gets more replicas. Cause: a replica on a full engine adds no capacity.
#[test]
fn full_engines_get_no_other_replica() {
    let mut policy = learned();
    let mut view = full_replica();
    for engine in &mut view.engines {
        engine.busy = engine.slots;
    }
    for step in 0..60 {
        assert_eq!(loads(&policy.plan(step * 500, &view)), []);
    }
}

#[test]
fn spare_replica_is_kept_for_a_while() {
    let mut policy = learned();
    let mut model = model("m");
    model.running = 1;
    let replicas = vec![replica("m", "e1", true), replica("m", "e2", true)];
    let view = fleet(vec![engine("e1"), engine("e2")], vec![model], replicas);
    assert_eq!(unloads(&policy.plan(0, &view)), []);
    assert_eq!(unloads(&policy.plan(29_999, &view)), []);
    assert_eq!(unloads(&policy.plan(30_000, &view)).len(), 1);
}

#[test]
fn idle_replicas_go_one_by_one() {
    let mut policy = learned();
    let places = ["e1", "e2", "e3"];
    let engines = || places.map(engine).to_vec();
    let mut left: Vec<&str> = places.to_vec();
    let mut gone_ms = Vec::new();
    for step in 0..400 {
        let now_ms = step * 1_000;
        let mut model = model("m");
        // One request runs now and then, and at the start many did.
        model.running = match step {
            0 => 20,
            _ => u32::from(step % 3 == 0),
        };
        if step % 3 == 0 {
            policy.arrived(now_ms, &model.model);
        }
        let replicas = left.iter().map(|place| replica("m", place, true)).collect();
        let proposed = unloads(&policy.plan(now_ms, &fleet(engines(), vec![model], replicas)));
        for (_, place) in &proposed {
            left.retain(|held| held != place);
            gone_ms.push(now_ms);
        }
    }
    assert_eq!(left.len(), 1, "left on {left:?}");
    assert!(gone_ms[1] - gone_ms[0] >= 30_000, "{gone_ms:?}");
}
