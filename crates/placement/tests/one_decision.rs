//! A burst leads to one decision, which is proposed once.

mod support;

use rstest::rstest;

use apricotdale_placement::Options;
use apricotdale_placement::placement_policy;

use support::engine;
use support::fleet;
use support::loads;
use support::pair;
use support::replica;
use support::waiting;

/// Guards against loading one model on several engines and filling the log with rejected records.
/// During a burst, placement plans several times before the view shows the first proposal, and each
/// plan sees a waiting model without a replica.
#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn burst_loads_once(#[case] name: &str) {
    let mut policy = placement_policy(name, Options::default()).unwrap();
    let engines = || vec![engine("e1"), engine("e2"), engine("e3")];
    let mut proposed = Vec::new();
    for step in 0..20 {
        let model = waiting("m", 1 + step, 60_000);
        policy.arrived(u64::from(step) * 50, &model.model);
        let view = fleet(engines(), vec![model], Vec::new());
        proposed.extend(loads(&policy.plan(u64::from(step) * 50, &view)));
    }
    assert_eq!(proposed.len(), 1, "{proposed:?}");
    let reserved = vec![replica("m", &proposed[0].1, false)];
    let view = fleet(engines(), vec![waiting("m", 20, 59_000)], reserved);
    assert_eq!(loads(&policy.plan(1_100, &view)), []);
}

#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn lost_proposal_repeated(#[case] name: &str) {
    let options = Options::default();
    let timeout_ms = options.proposal_timeout_ms;
    let mut policy = placement_policy(name, options).unwrap();
    let view = fleet(
        vec![engine("e1")],
        vec![waiting("m", 1, 60_000)],
        Vec::new(),
    );
    assert_eq!(loads(&policy.plan(0, &view)).len(), 1);
    assert_eq!(loads(&policy.plan(timeout_ms - 1, &view)), []);
    assert_eq!(loads(&policy.plan(timeout_ms, &view)), [pair("m", "e1")]);
}

#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn foreign_model_ignored(#[case] name: &str) {
    let mut policy = placement_policy(name, Options::default()).unwrap();
    let mut model = waiting("m", 1, 60_000);
    model.preferred_here = false;
    let view = fleet(vec![engine("e1")], vec![model], Vec::new());
    assert_eq!(policy.plan(0, &view), []);
}

/// Guards against requests that wait although no load is in progress: the view shows a replica
/// being unloaded like one being loaded.
#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn unloading_replica_replaced(#[case] name: &str) {
    let mut policy = placement_policy(name, Options::default()).unwrap();
    let engines = || vec![engine("e1"), engine("e2")];
    let models = || vec![waiting("m", 1, 60_000)];
    let loaded = fleet(
        engines(),
        vec![support::model("m")],
        vec![replica("m", "e1", true)],
    );
    policy.plan(1_000, &loaded);
    let unloading = fleet(engines(), models(), vec![replica("m", "e1", false)]);
    assert_eq!(loads(&policy.plan(1_500, &unloading)), [pair("m", "e2")]);
}

#[test]
fn unknown_policy_name() {
    assert!(placement_policy("best", Options::default()).is_none());
}
