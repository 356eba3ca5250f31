//! Records in which engines that state that they leave get requests.

mod support;

use apricotdale_soak::ArrivalSeen;
use apricotdale_soak::Disturbance;
use apricotdale_soak::Invariant;
use apricotdale_soak::Kind;
use apricotdale_soak::PathCutSeen;
use apricotdale_soak::Place;
use apricotdale_soak::Record;
use apricotdale_soak::StatedLeaveSeen;
use apricotdale_soak::judged_leaves;
use rstest::rstest;

use support::attempt;
use support::broken_invariants;
use support::disturbance;
use support::run;
use support::valid_record;

/// Time at which a request reached the engine whose answer stated that it leaves.
const TOLD_MS: u64 = 20_000;

/// Adds a request of a VM that reaches the engine, and runs there.
fn add_request(record: &mut Record, id: &str, vm: usize, at_ms: u64) {
    let mut attempt = attempt(id, Kind::Look, 200);
    (attempt.vm, attempt.sent_ms, attempt.ended_ms) = (vm, at_ms - 10, at_ms + 10);
    record.attempts.push(attempt);
    let mut run = run(id);
    (run.upstream, run.at_ms) = ("i-1".to_owned(), at_ms);
    record.runs.push(run);
    record.arrivals.push(ArrivalSeen {
        id: id.to_owned(),
        upstream: "i-1".to_owned(),
        vm: Some(vm),
        at_ms,
        is_misdirected: false,
    });
}

/// Returns a record in which VM 0 passes on that an engine leaves, and a VM sends it another
/// request.
fn record(later_vm: usize, later_ms: u64) -> Record {
    let mut record = valid_record();
    record.stated_leaves = vec![StatedLeaveSeen {
        upstream: "i-1".to_owned(),
        from_ms: TOLD_MS - 1_000,
    }];
    add_request(&mut record, "told", 0, TOLD_MS);
    add_request(&mut record, "later", later_vm, later_ms);
    record
}

fn expected(broken: bool) -> &'static [Invariant] {
    match broken {
        true => &[Invariant::DrainedAsStated],
        false => &[],
    }
}

fn upstream_link(from_ms: u64, until_ms: u64) -> Disturbance {
    Disturbance {
        what: "upstream link".to_owned(),
        ..disturbance(Place::Upstreams, from_ms, until_ms)
    }
}

/// Guards against a check that misses a request to an engine that leaves, or that reports one in
/// time, or from a VM that was not told.
#[rstest]
#[case::in_time(0, TOLD_MS + 3_000, false)]
#[case::late(0, TOLD_MS + 3_001, true)]
#[case::other_vm(1, TOLD_MS + 3_500, false)]
fn later_request(#[case] vm: usize, #[case] at_ms: u64, #[case] broken: bool) {
    assert_eq!(broken_invariants(&record(vm, at_ms)), expected(broken));
}

/// Guards against a check that counts a disturbance which excuses nothing, or none that does.
#[rstest]
#[case::vm(Place::Vm(0), TOLD_MS + 500, false)]
#[case::vm_before(Place::Vm(0), TOLD_MS - 500, true)]
#[case::other_vm(Place::Vm(1), TOLD_MS + 500, true)]
#[case::store(Place::Store, TOLD_MS + 500, true)]
#[case::upstreams(Place::Upstreams, TOLD_MS + 500, true)]
fn disturbed(#[case] place: Place, #[case] from_ms: u64, #[case] broken: bool) {
    let mut record = record(0, TOLD_MS + 3_500);
    record.disturbances = vec![disturbance(place, from_ms, from_ms + 100)];
    assert_eq!(broken_invariants(&record), expected(broken));
}

/// Guards against an excuse for requests that were sent too late, whatever held them back.
#[rstest]
#[case::sent_in_time(TOLD_MS + 2_000, false)]
#[case::sent_late(TOLD_MS + 3_100, true)]
fn held_back(#[case] sent_ms: u64, #[case] broken: bool) {
    let mut record = record(0, TOLD_MS + 3_500);
    let later = record.attempts.iter_mut().find(|it| it.id == "later");
    later.expect("it was sent").sent_ms = sent_ms;
    assert_eq!(broken_invariants(&record), expected(true));
    record.disturbances = vec![upstream_link(TOLD_MS + 1_500, TOLD_MS + 3_400)];
    assert_eq!(broken_invariants(&record), expected(broken));
    record.disturbances.clear();
    record.path_cuts = vec![PathCutSeen {
        vms: vec![0],
        of_vms: 3,
        from_ms: TOLD_MS + 1_500,
        until_ms: TOLD_MS + 3_400,
    }];
    assert_eq!(broken_invariants(&record), expected(broken));
}

/// Guards against requests that count although the engine refused them as not meant for it.
#[test]
fn misdirected_left_out() {
    let mut record = record(0, TOLD_MS + 3_500);
    record.arrivals[1].is_misdirected = true;
    assert_eq!(broken_invariants(&record), []);
}

/// Guards against a promise that is judged nowhere without anybody seeing it.
#[test]
fn judged_counted() {
    let mut record = record(1, TOLD_MS + 500);
    assert_eq!(judged_leaves(&record), 2);
    record.disturbances = vec![disturbance(Place::Vm(1), TOLD_MS + 700, TOLD_MS + 900)];
    assert_eq!(judged_leaves(&record), 1);
}
