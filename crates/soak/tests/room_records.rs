//! Records in which engines fail under the requests that they have to reject.

mod support;

use apricotdale_soak::Disturbance;
use apricotdale_soak::Invariant;
use apricotdale_soak::Place;
use apricotdale_soak::Record;
use apricotdale_soak::RejectionSeen;
use apricotdale_soak::RoomFailureSeen;
use rstest::rstest;

use support::broken_invariants;
use support::valid_record;

const FAILED_MS: u64 = 20_000;

/// Returns a record with failures under a rejected request of VM 0 each.
fn record(failures: usize) -> Record {
    let mut record = valid_record();
    let id = record.attempts[0].id.clone();
    record.attempts[0].vm = 0;
    let failure = |index: usize| RoomFailureSeen {
        service: "llm".to_owned(),
        upstream: format!("i-{index}"),
        at_ms: FAILED_MS,
        rejected: vec![RejectionSeen {
            id: id.clone(),
            vm: None,
        }],
    };
    record.room_failures = (0..failures).map(failure).collect();
    record
}

/// Guards against a check that misses engines that fail again and again, or that reports the two
/// failures that users tolerate.
#[rstest]
#[case::two(2, false)]
#[case::three(3, true)]
fn failures_counted(#[case] failures: usize, #[case] broken: bool) {
    let expected: &[Invariant] = match broken {
        true => &[Invariant::OutlastsRejections],
        false => &[],
    };
    assert_eq!(broken_invariants(&record(failures)), expected);
}

/// Guards against a check that reports failures under requests of a VM that has just been killed.
#[test]
fn disturbed_vm() {
    let mut record = record(3);
    record.disturbances.push(Disturbance {
        what: "kill".to_owned(),
        place: Place::Vm(0),
        from_ms: FAILED_MS - 1_000,
        until_ms: FAILED_MS - 900,
    });
    assert_eq!(broken_invariants(&record), []);
}

/// Guards against a check that overlooks failures under health checks, which no caller has sent, and one
/// that adds up the failures of several services.
#[rstest]
#[case::one_service(["plain", "plain", "plain"], true)]
#[case::two_services(["llm", "plain", "plain"], false)]
fn rejected_checks(#[case] services: [&str; 3], #[case] broken: bool) {
    let mut record = record(3);
    for (failure, service) in record.room_failures.iter_mut().zip(services) {
        failure.service = service.to_owned();
        failure.rejected = vec![RejectionSeen {
            id: String::new(),
            vm: Some(0),
        }];
    }
    let expected: &[Invariant] = match broken {
        true => &[Invariant::OutlastsRejections],
        false => &[],
    };
    assert_eq!(broken_invariants(&record), expected);
}
