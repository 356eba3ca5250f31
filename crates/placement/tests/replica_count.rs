//! The number of replicas follows the demand.

mod support;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::EngineView;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::PlacementPolicy;

use support::engine;
use support::engine_with_checkpoint;
use support::fleet;
use support::learned;
use support::loads;
use support::model;
use support::replica;
use support::unloads;
use support::waiting;

fn engine_with_busy(name: &str, busy: u32) -> EngineView {
    EngineView {
        busy,
        ..engine(name)
    }
}

fn full_replica() -> FleetView {
    let mut model = waiting("m", 9, 30_000);
    model.running = 8;
    let cached = engine_with_checkpoint("e2", "m", CacheTier::Memory);
    let engines = vec![engine_with_busy("e1", 8), cached, engine("e3")];
    fleet(engines, vec![model], vec![replica("m", "e1", true)])
}

#[test]
fn persistent_queue_scales_out() {
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
fn free_slot_suffices() {
    let mut policy = learned();
    let engines = vec![engine_with_busy("e1", 7), engine("e2")];
    let models = vec![waiting("m", 1, 30_000)];
    let view = fleet(engines, models, vec![replica("m", "e1", true)]);
    for step in 0..60 {
        assert_eq!(loads(&policy.plan(step * 500, &view)), []);
    }
}

/// Guards against overload that occupies all memory: when all engines are full, requests wait for
/// every model, but a replica on a full engine adds no capacity.
#[test]
fn full_engines_avoided() {
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
fn spare_unload_delayed() {
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
fn idle_replicas_one_by_one() {
    let mut policy = learned();
    let engine_names = ["e1", "e2", "e3"];
    let engines = || engine_names.map(engine).to_vec();
    let mut remaining: Vec<&str> = engine_names.to_vec();
    let mut unload_times_ms = Vec::new();
    for step in 0..400 {
        let now_ms = step * 1_000;
        let mut model = model("m");
        // A single request runs now and then, after many at the start.
        model.running = match step {
            0 => 20,
            _ => u32::from(step % 3 == 0),
        };
        if step % 3 == 0 {
            policy.arrived(now_ms, &model.model);
        }
        let replicas = remaining
            .iter()
            .map(|engine_name| replica("m", engine_name, true))
            .collect();
        let proposed = unloads(&policy.plan(now_ms, &fleet(engines(), vec![model], replicas)));
        for (_, engine_name) in &proposed {
            remaining.retain(|held| held != engine_name);
            unload_times_ms.push(now_ms);
        }
    }
    assert_eq!(remaining.len(), 1, "replicas remain on {remaining:?}");
    assert!(
        unload_times_ms[1] - unload_times_ms[0] >= 30_000,
        "{unload_times_ms:?}"
    );
}
