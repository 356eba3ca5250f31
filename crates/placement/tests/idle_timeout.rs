//! The baseline policy loads models that requests wait for, and unloads idle ones.

mod support;

use apricotdale_core::policy::PlacementPolicy;

use apricotdale_placement::FixedTimeout;
use apricotdale_placement::Options;

use support::adapter;
use support::engine;
use support::fleet;
use support::loads;
use support::model;
use support::pair;
use support::replica;
use support::unloads;
use support::waiting;

fn baseline() -> FixedTimeout {
    FixedTimeout::new(Options::default())
}

#[test]
fn most_free_memory() {
    let mut policy = baseline();
    let view = fleet(
        vec![engine("e1"), engine("e2")],
        vec![waiting("m", 3, 2_000), model("other")],
        vec![replica("other", "e1", true)],
    );
    assert_eq!(loads(&policy.plan(0, &view)), [pair("m", "e2")]);
    assert_eq!(loads(&policy.plan(100, &view)), []);
}

#[test]
fn idle_replica_unloaded() {
    let mut policy = baseline();
    let view = fleet(
        vec![engine("e1")],
        vec![model("m")],
        vec![replica("m", "e1", true)],
    );
    assert_eq!(unloads(&policy.plan(599_999, &view)), []);
    assert_eq!(unloads(&policy.plan(600_000, &view)), [pair("m", "e1")]);
}

#[test]
fn least_recent_evicted() {
    let mut policy = baseline();
    let mut old = replica("old", "e1", true);
    old.bytes = 40 * support::GB;
    let mut young = replica("young", "e1", true);
    young.bytes = 40 * support::GB;
    young.since_ms = 1_000;
    let models = vec![waiting("m", 1, 2_000), model("old"), model("young")];
    let view = fleet(vec![engine("e1")], models, vec![old, young]);
    assert_eq!(unloads(&policy.plan(2_000, &view)), [pair("old", "e1")]);
}

#[test]
fn base_loaded_first() {
    let mut policy = baseline();
    let models = vec![adapter(waiting("a", 1, 2_000), "b"), model("b")];
    let view = fleet(vec![engine("e1")], models.clone(), Vec::new());
    assert_eq!(loads(&policy.plan(0, &view)), [pair("b", "e1")]);
    let view = fleet(vec![engine("e1")], models, vec![replica("b", "e1", true)]);
    assert_eq!(loads(&policy.plan(10_000, &view)), [pair("a", "e1")]);
}
