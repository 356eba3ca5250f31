//! Records in which engines that ask for rest get requests.

mod support;

use apricotdale_soak::ArrivalSeen;
use apricotdale_soak::Disturbance;
use apricotdale_soak::FullestRest;
use apricotdale_soak::Invariant;
use apricotdale_soak::PathCutSeen;
use apricotdale_soak::Place;
use apricotdale_soak::Record;
use apricotdale_soak::RestSeen;
use apricotdale_soak::fullest_rest;
use rstest::rstest;

use support::broken_invariants;
use support::disturbance;
use support::valid_record;

/// Time at which the engine asks VM 0 for 2 s of rest.
const ASKED_MS: u64 = 20_000;

/// Returns a record in which requests of a VM reach the engine at these times after it asked for
/// rest.
fn record(vm: usize, after_ms: &[u64]) -> Record {
    let mut record = valid_record();
    record.rests = vec![RestSeen {
        id: "asked".to_owned(),
        upstream: "i-1".to_owned(),
        vm: Some(0),
        at_ms: ASKED_MS,
        rest_ms: 2_000,
    }];
    record.arrivals = after_ms
        .iter()
        .map(|after_ms| ArrivalSeen {
            id: format!("r-{after_ms}"),
            upstream: "i-1".to_owned(),
            vm: Some(vm),
            at_ms: ASKED_MS + after_ms,
            is_misdirected: false,
        })
        .collect();
    record
}

fn expected(broken: bool) -> &'static [Invariant] {
    match broken {
        true => &[Invariant::RestKept],
        false => &[],
    }
}

/// Guards against a check that misses requests in a rest, or that reports those that were under
/// way, came after it, or came from another VM.
#[rstest]
#[case::two(0, &[600, 700], false)]
#[case::three(0, &[501, 700, 1_999], true)]
#[case::under_way(0, &[0, 100, 500, 700, 800], false)]
#[case::after_the_end(0, &[700, 800, 2_000, 2_100], false)]
#[case::other_vm(1, &[600, 700, 800], false)]
fn requests_in_rest(#[case] vm: usize, #[case] after_ms: &[u64], #[case] broken: bool) {
    assert_eq!(broken_invariants(&record(vm, after_ms)), expected(broken));
}

fn named(what: &str, from_ms: u64) -> Disturbance {
    Disturbance {
        what: what.to_owned(),
        ..disturbance(Place::Upstreams, from_ms, from_ms + 100)
    }
}

/// Guards against a check that counts a disturbance which excuses nothing, or none that does.
#[rstest]
#[case::vm(disturbance(Place::Vm(0), ASKED_MS + 900, ASKED_MS + 950), false)]
#[case::vm_before(disturbance(Place::Vm(0), ASKED_MS - 900, ASKED_MS - 1), true)]
#[case::other_vm(disturbance(Place::Vm(1), ASKED_MS + 900, ASKED_MS + 950), true)]
#[case::store(disturbance(Place::Store, ASKED_MS, ASKED_MS + 2_000), true)]
#[case::link(named("upstream link", ASKED_MS + 900), false)]
#[case::link_after(named("upstream link", ASKED_MS + 2_001), true)]
#[case::reset(named("reset", ASKED_MS + 400), false)]
#[case::later_reset(named("reset", ASKED_MS + 501), true)]
#[case::answers(named("answers", ASKED_MS + 100), true)]
fn disturbed(#[case] disturbance: Disturbance, #[case] broken: bool) {
    let mut record = record(0, &[600, 700, 800]);
    record.disturbances = vec![disturbance];
    assert_eq!(broken_invariants(&record), expected(broken));
}

/// Guards against a cut of one VM that excuses another.
#[rstest]
#[case::own(0, false)]
#[case::other(1, true)]
fn cut_off(#[case] vm: usize, #[case] broken: bool) {
    let mut record = record(0, &[600, 700, 800]);
    record.path_cuts = vec![PathCutSeen {
        vms: vec![vm],
        of_vms: 3,
        from_ms: ASKED_MS + 700,
        until_ms: ASKED_MS + 800,
    }];
    assert_eq!(broken_invariants(&record), expected(broken));
}

/// Guards against a promise that is judged nowhere without anybody seeing it.
#[test]
fn judged_counted() {
    let mut record = record(0, &[600]);
    let expected = FullestRest { judged: 1, most: 1 };
    assert_eq!(fullest_rest(&record), expected);
    record.disturbances = vec![disturbance(Place::Vm(0), ASKED_MS, ASKED_MS + 100)];
    assert_eq!(fullest_rest(&record), FullestRest::default());
}
