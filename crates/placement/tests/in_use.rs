//! What is in use is never evicted.

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

fn full_engine_plan(name: &str, used: support::Used) -> Vec<(String, String)> {
    let mut policy = placement_policy(name, Options::default()).unwrap();
    let mut held = replica("held", "e1", true);
    held.bytes = 75 * GB;
    let mut view = model("held");
    view.running = used.running;
    view.preferred_here = used.mine;
    let mut host = engine("e1");
    host.busy = used.busy;
    let models = vec![waiting("m", 1, 60_000), view];
    unloads(&policy.plan(60_000, &fleet(vec![host], models, vec![held])))
}

#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn running_model_stays(#[case] name: &str) {
    let used = support::Used {
        running: 1,
        busy: 1,
        mine: true,
    };
    assert_eq!(full_engine_plan(name, used), []);
}

/// Symptom: a VM evicts a model under another VM's callers. Sequence: a model's demand is told to
/// its preferred VM only; a second VM needs room on the same engine. Cause: in the second VM's
/// view the model runs nothing.
#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn other_vms_model_stays_while_its_engine_is_busy(#[case] name: &str) {
    let used = support::Used {
        running: 0,
        busy: 1,
        mine: false,
    };
    assert_eq!(full_engine_plan(name, used), []);
}

#[rstest]
#[case("fixed_timeout")]
#[case("learned")]
fn idle_model_makes_room(#[case] name: &str) {
    let used = support::Used {
        running: 0,
        busy: 0,
        mine: true,
    };
    assert_eq!(full_engine_plan(name, used), [pair("held", "e1")]);
}
