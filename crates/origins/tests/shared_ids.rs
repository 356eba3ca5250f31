//! Streams of one organisation that were begun under the same ID.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::VmName;
use apricotdale_core::origin::Origin;
use apricotdale_origins::Evidence;
use apricotdale_origins::OriginUnknown;
use apricotdale_origins::Resumption;
use apricotdale_origins::ResumptionStep;
use rstest::rstest;

const BEGIN_MS: u64 = 1_000;
const AFTER_TIMEOUT_MS: u64 = BEGIN_MS + 400;

fn origin(version: &str) -> Origin {
    Origin {
        service: GroupName::from("llm"),
        version: Some(SoftwareVersion::from(version)),
        upstream: None,
    }
}

fn vms() -> Vec<VmName> {
    ["a", "b", "c"].map(VmName::from).to_vec()
}

/// Guards against the VM that began one of two streams resuming the other one at its version,
/// though the VMs that were told of both know better.
#[rstest]
#[case::conflict(Evidence::Conflict)]
#[case::other_record(Evidence::Origin(origin("v2")))]
fn own_record_contradicted(#[case] evidence: Evidence) {
    let mut search = Resumption::new(BEGIN_MS, Evidence::Origin(origin("v1")), vms());
    assert!(matches!(search.decide(BEGIN_MS), ResumptionStep::Ask(..)));
    search.record_answer(&vms()[0], evidence);
    let refusal = ResumptionStep::Refuse(OriginUnknown::Conflict);
    assert_eq!(search.decide(BEGIN_MS + 2), refusal);
}

/// Guards against the answer of the VM that began one of the streams counting before the others
/// have answered.
#[test]
fn first_answer_contradicted() {
    let mut search = Resumption::new(BEGIN_MS, Evidence::Nothing, vms());
    assert!(matches!(search.decide(BEGIN_MS), ResumptionStep::Ask(..)));
    search.record_answer(&vms()[0], Evidence::Origin(origin("v1")));
    let step = search.decide(BEGIN_MS + 1);
    assert!(matches!(step, ResumptionStep::Wait(_)), "{step:?}");
    search.record_answer(&vms()[1], Evidence::Conflict);
    let refusal = ResumptionStep::Refuse(OriginUnknown::Conflict);
    assert_eq!(search.decide(BEGIN_MS + 2), refusal);
}

/// Guards against resumptions that wait for VMs which don't answer: two records suffice, and one
/// does if nobody else answers.
#[rstest]
#[case::own_and_other(Evidence::Origin(origin("v1")), 1, BEGIN_MS + 2)]
#[case::two_others(Evidence::Nothing, 2, BEGIN_MS + 2)]
#[case::only_own(Evidence::Origin(origin("v1")), 0, AFTER_TIMEOUT_MS)]
#[case::only_one_other(Evidence::Nothing, 1, AFTER_TIMEOUT_MS)]
fn record_confirmed(#[case] own: Evidence, #[case] answers: usize, #[case] at_ms: u64) {
    let mut search = Resumption::new(BEGIN_MS, own, vms());
    assert!(matches!(search.decide(BEGIN_MS), ResumptionStep::Ask(..)));
    for vm in vms().iter().take(answers) {
        search.record_answer(vm, Evidence::Origin(origin("v1")));
    }
    assert_eq!(search.decide(at_ms), ResumptionStep::Resume(origin("v1")));
    assert!(search.is_recorded());
}

/// A VM that knows no others decides by its own record at once.
#[test]
fn nobody_to_ask() {
    let own = Evidence::Origin(origin("v1"));
    let mut search = Resumption::new(BEGIN_MS, own, Vec::new());
    assert_eq!(
        search.decide(BEGIN_MS),
        ResumptionStep::Resume(origin("v1"))
    );
}
