//! Adapters need their base on the same engine.

mod support;

use apricotdale_core::policy::PlacementPolicy;
use apricotdale_core::policy::ReplicaView;

use support::GB;
use support::adapter;
use support::engine;
use support::fleet;
use support::learned;
use support::loads;
use support::model;
use support::pair;
use support::replica;
use support::unloads;
use support::waiting;

fn adapter_replica(name: &str, engine: &str) -> ReplicaView {
    ReplicaView {
        bytes: GB / 2,
        ..replica(name, engine, true)
    }
}

#[test]
fn base_loaded_first() {
    let mut policy = learned();
    let models = vec![adapter(waiting("a", 2, 60_000), "b"), model("b")];
    let engines = || vec![engine("e1"), engine("e2")];
    let first = loads(&policy.plan(0, &fleet(engines(), models.clone(), Vec::new())));
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].0, "b");
    let on = first[0].1.clone();
    let loading = fleet(engines(), models.clone(), vec![replica("b", &on, false)]);
    assert_eq!(loads(&policy.plan(500, &loading)), []);
    let loaded = fleet(engines(), models, vec![replica("b", &on, true)]);
    assert_eq!(loads(&policy.plan(9_000, &loaded)), [pair("a", &on)]);
}

/// Guards against an adapter whose requests wait forever: a base without demand and replicas is
/// missing from the view, so its size is unknown.
#[test]
fn unseen_base_loaded() {
    let mut policy = learned();
    let models = vec![adapter(waiting("a", 1, 60_000), "b")];
    let view = fleet(vec![engine("e1")], models, Vec::new());
    assert_eq!(loads(&policy.plan(0, &view)), [pair("b", "e1")]);
}

#[test]
fn shared_base_once() {
    let mut policy = learned();
    let models = vec![
        adapter(waiting("a1", 1, 60_000), "b"),
        adapter(waiting("a2", 1, 60_000), "b"),
        model("b"),
    ];
    let view = fleet(vec![engine("e1"), engine("e2")], models, Vec::new());
    assert_eq!(loads(&policy.plan(0, &view)).len(), 1);
}

#[test]
fn base_outlives_adapter() {
    let mut policy = learned();
    let models = vec![adapter(model("a"), "b"), model("b")];
    let replicas = vec![replica("b", "e1", true), adapter_replica("a", "e1")];
    let view = fleet(vec![engine("e1")], models, replicas);
    // After days without use both should be unloaded, the adapter first.
    let first = unloads(&policy.plan(400_000_000, &view));
    assert_eq!(first, [pair("a", "e1")]);
}

#[test]
fn adapters_evicted_with_base() {
    let mut policy = learned();
    let mut base = replica("b", "e1", true);
    base.bytes = 70 * GB;
    let models = vec![
        waiting("m", 1, 60_000),
        adapter(model("a"), "b"),
        model("b"),
    ];
    let view = fleet(
        vec![engine("e1")],
        models,
        vec![base, adapter_replica("a", "e1")],
    );
    let evicted = unloads(&policy.plan(1_000, &view));
    assert_eq!(evicted, [pair("a", "e1"), pair("b", "e1")]);
}
