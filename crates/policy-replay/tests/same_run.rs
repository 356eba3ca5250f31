//! Properties of one simulated run.

mod support;

use rstest::rstest;

use apricotdale_policy_replay::case::Case;
use apricotdale_policy_replay::deployment::Deployment;
use apricotdale_policy_replay::floors;
use apricotdale_policy_replay::measures::Results;
use apricotdale_policy_replay::policies::PolicySet;
use apricotdale_policy_replay::trace::trace;
use apricotdale_policy_replay::world::World;

use support::busy;
use support::small;

fn run(deployment: &Deployment, case: Case, set: PolicySet) -> Results {
    let trace = trace(deployment, 1, case.until_ms(), case.surge(deployment));
    let world = World::new(deployment, &trace, case, set).unwrap();
    world.run().results()
}

#[test]
fn same_seed_repeats() {
    let deployment = small();
    let first = run(&deployment, Case::Restart, PolicySet::chosen(1, false));
    let second = run(&deployment, Case::Restart, PolicySet::chosen(1, false));
    assert_eq!(first, second);
}

#[rstest]
fn no_request_stuck(
    #[values(Case::ZoneLost, Case::Restart)] case: Case,
    #[values(PolicySet::baseline(600_000, 1), PolicySet::chosen(1, true))] set: PolicySet,
) {
    let results = run(&busy(), case, set);
    let ended = ["answered_share", "refused_share", "failed_share"].map(|name| results.get(name));
    // Requests still in progress at the end of the run are in none of the shares.
    assert!(ended.iter().sum::<f64>() > 0.99, "{ended:?}");
    assert_eq!(results.get("stuck_requests"), 0.0);
}

#[test]
fn idle_floor_holds() {
    let deployment = small();
    let case = Case::LogOutage;
    let arrivals = trace(&deployment, 1, case.until_ms(), None);
    let floor = floors::idle_hours(&deployment, &arrivals, case);
    for set in [PolicySet::baseline(60_000, 1), PolicySet::chosen(1, true)] {
        let idle = run(&deployment, case, set).get("idle_accelerator_hours");
        assert!(idle > floor, "{idle} against {floor}");
    }
}

#[test]
fn unknown_policy_fails() {
    let deployment = small();
    let arrivals = trace(&deployment, 1, 1_000, None);
    let set = PolicySet {
        placement: "best",
        ..PolicySet::chosen(1, false)
    };
    assert!(World::new(&deployment, &arrivals, Case::Usual, set).is_err());
}
