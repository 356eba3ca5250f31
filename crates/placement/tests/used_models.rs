//! Replicas in use are never evicted.

mod support;

use rstest::rstest;

use apricotdale_placement::Options;
use apricotdale_placement::placement_policy;

use support::GB;
use support::engine;
use support::fleet;
use support::model;
use support::pair;
use support::replica;
use support::unloads;
use support::waiting;

fn unloads_on_full_engine(name: &str, used: support::ModelUse) -> Vec<(String, String)> {
    let mut policy = placement_policy(name, Options::default()).unwrap();
    let mut held = replica("held", "e1", true);
    held.bytes = 75 * GB;
    let mut view = model("held");
    view.running = used.running;
    view.preferred_here = used.proposed_here;
    let mut host = engine("e1");
    host.busy = used.busy;
    let models = vec![waiting("m", 1, 60_000), view];
    unloads(&policy.plan(60_000, &fleet(vec![host], models, vec![held])))
}

#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn running_model_kept(#[case] name: &str) {
    let used = support::ModelUse {
        running: 1,
        busy: 1,
        proposed_here: true,
    };
    assert_eq!(unloads_on_full_engine(name, used), []);
}

/// Guards against evicting a model that another VM uses. The demand is reported only to the model's
/// preferred proposer, so in the view of a VM that needs memory on the same engine the model runs
/// no requests.
#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn foreign_model_kept(#[case] name: &str) {
    let used = support::ModelUse {
        running: 0,
        busy: 1,
        proposed_here: false,
    };
    assert_eq!(unloads_on_full_engine(name, used), []);
}

#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn idle_model_evicted(#[case] name: &str) {
    let used = support::ModelUse {
        running: 0,
        busy: 0,
        proposed_here: true,
    };
    assert_eq!(unloads_on_full_engine(name, used), [pair("held", "e1")]);
}
