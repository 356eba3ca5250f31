//! Refusals when no engine can load the model.

mod support;

use apricotdale_core::policy::PlacementPolicy;

use support::GB;
use support::engine;
use support::fleet;
use support::learned;
use support::loads;
use support::model;
use support::pair;
use support::refusals;
use support::replica;
use support::waiting;

fn refusals_when_full(remaining_ms: u64) -> Vec<(String, &'static str, Option<u64>)> {
    let mut policy = learned();
    let mut used = model("used");
    used.running = 1;
    let mut held = replica("used", "e1", true);
    held.bytes = 75 * GB;
    let models = vec![used, waiting("m", 1, remaining_ms)];
    refusals(&policy.plan(0, &fleet(vec![engine("e1")], models, vec![held])))
}

#[test]
fn hopeless_requests_refused() {
    let refused = refusals_when_full(1_000);
    assert_eq!(refused, [("m".to_owned(), "no_capacity", Some(5_000))]);
}

#[test]
fn patient_requests_wait() {
    assert_eq!(refusals_when_full(60_000), []);
}

/// Guards against refusing requests while the first engine of the group is about to appear.
#[test]
fn growing_group_waits() {
    let mut policy = learned();
    let models = vec![waiting("m", 1, 60_000)];
    let mut view = fleet(Vec::new(), models.clone(), Vec::new());
    view.growing_groups.insert("planner-lm".into());
    assert_eq!(refusals(&policy.plan(0, &view)), []);
    let described = fleet(vec![engine("e1")], models, Vec::new());
    assert_eq!(loads(&policy.plan(1, &described)), [pair("m", "e1")]);
}

#[test]
fn empty_group_refuses() {
    let mut policy = learned();
    let mut leaving = engine("e1");
    leaving.accepts = false;
    let view = fleet(vec![leaving], vec![waiting("m", 1, 60_000)], Vec::new());
    let refused = refusals(&policy.plan(0, &view));
    assert_eq!(
        refused,
        [("m".to_owned(), "upstream_unavailable", Some(5_000))]
    );
}
