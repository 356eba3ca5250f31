//! The baseline loads what waits and unloads what idles.

use apricotdale_core::policy::EngineView;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementAction;
use apricotdale_core::policy::ReplicaView;

use apricotdale_placement::Options;
use apricotdale_placement::placement_policy;

fn engine(name: &str, free_bytes: u64) -> EngineView {
    EngineView {
        engine: name.into(),
        group: "planner-lm".into(),
        zone: "hall-a".into(),
        capacity_bytes: 80,
        free_bytes,
        accepts: true,
        busy: 0,
        slots: 8,
        loading: 0,
        checkpoints: Vec::new(),
    }
}

fn model(name: &str, waiting: u32) -> ModelView {
    ModelView {
        model: name.into(),
        base: None,
        group: "planner-lm".into(),
        bytes: 30,
        waiting,
        running: 0,
        tightest_ms: None,
        preferred_here: true,
    }
}

fn fleet(engines: Vec<EngineView>, models: Vec<ModelView>) -> FleetView {
    FleetView {
        engines,
        replicas: Vec::new(),
        models,
        store_active_loads: 0,
        store_full_speed_loads: 4,
        tightest_target_ms: 2_000,
    }
}

#[test]
fn waiting_model_goes_where_memory_is_free() {
    let mut policy = placement_policy("fixed_timeout", Options::default()).unwrap();
    let fleet = fleet(
        vec![engine("e1", 40), engine("e2", 80)],
        vec![model("m", 3)],
    );
    let actions = policy.plan(0, &fleet);
    assert!(matches!(
        &actions[..],
        [PlacementAction::Load { model, engine, .. }]
            if model.as_str() == "m" && engine.as_str() == "e2"
    ));
    assert_eq!(policy.plan(100, &fleet), Vec::new());
}

#[test]
fn idle_replica_leaves_after_its_timeout() {
    let mut policy = placement_policy("fixed_timeout", Options::default()).unwrap();
    let mut fleet = fleet(vec![engine("e1", 50)], vec![model("m", 0)]);
    fleet.replicas.push(ReplicaView {
        model: "m".into(),
        engine: "e1".into(),
        loaded: true,
        bytes: 30,
        since_ms: 0,
    });
    assert_eq!(policy.plan(599_999, &fleet), Vec::new());
    let unload = PlacementAction::Unload {
        model: "m".into(),
        engine: "e1".into(),
    };
    assert_eq!(policy.plan(600_000, &fleet), vec![unload]);
}
