//! Records in which VMs are cut off from all upstreams.

mod support;

use apricotdale_soak::Invariant;
use apricotdale_soak::Kind;
use apricotdale_soak::PathCutSeen;
use apricotdale_soak::Place;
use apricotdale_soak::Record;
use rstest::rstest;

use support::attempt;
use support::broken_invariants;
use support::disturbance;
use support::valid_record;

const CUT_MS: u64 = 20_000;

/// Returns a record of a VM that is cut off for 9 s with one other VM, and of its requests from a
/// time on, of which some are refused.
fn record(vm: usize, from_ms: u64, refused: usize, of_vms: usize) -> Record {
    let mut record = valid_record();
    for number in 0..15 {
        let status = if number < refused { 503 } else { 200 };
        let mut attempt = attempt(&format!("c-{number}"), Kind::Look, status);
        attempt.vm = vm;
        attempt.sent_ms = from_ms + 100 * number as u64;
        attempt.ended_ms = attempt.sent_ms + 20;
        record.attempts.push(attempt);
    }
    record.path_cuts = vec![PathCutSeen {
        vms: vec![0, 1],
        of_vms,
        from_ms: CUT_MS,
        until_ms: CUT_MS + 9_000,
    }];
    record
}

/// Guards against a check that misses a cut VM which serves nobody, or that reports other VMs, the
/// time before it must serve, cuts of all VMs or other faults.
#[rstest]
#[case::served(0, CUT_MS + 3_000, 5, 3, None, false)]
#[case::refused(0, CUT_MS + 3_000, 6, 3, None, true)]
#[case::other_vm(2, CUT_MS + 3_000, 15, 3, None, false)]
#[case::too_early(0, CUT_MS + 1_000, 15, 3, None, false)]
#[case::all_cut(0, CUT_MS + 3_000, 15, 2, None, false)]
#[case::other_fault(0, CUT_MS + 3_000, 15, 3, Some(Place::Vm(2)), false)]
fn served_through_others(
    #[case] vm: usize,
    #[case] from_ms: u64,
    #[case] refused: usize,
    #[case] of_vms: usize,
    #[case] other_fault: Option<Place>,
    #[case] is_broken: bool,
) {
    let mut record = record(vm, from_ms, refused, of_vms);
    if let Some(place) = other_fault {
        record
            .disturbances
            .push(disturbance(place, CUT_MS + 2_000, CUT_MS + 2_500));
    }
    let broken = broken_invariants(&record);
    let expected = [Invariant::ServesThroughOthers];
    assert_eq!(
        broken.as_slice(),
        if is_broken { &expected[..] } else { &[] }
    );
}
