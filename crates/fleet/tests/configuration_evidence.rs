//! What counts as evidence of which configuration is in force.

use apricotdale_fleet::AwaitedEvidence;
use apricotdale_fleet::ConfigurationEvidence;
use apricotdale_fleet::EvidenceOptions;
use apricotdale_fleet::ReadVersion;
use apricotdale_fleet::Readiness;
use rstest::rstest;

fn read(era: u64, version: u64, is_change: bool) -> ReadVersion {
    ReadVersion {
        era,
        version,
        is_change,
    }
}

fn evidence() -> ConfigurationEvidence {
    let mut evidence = ConfigurationEvidence::new(EvidenceOptions::default());
    evidence.record_other_vms();
    evidence
}

/// Guards against waiting where the store has never been rolled back.
#[test]
fn first_era_ready() {
    let mut evidence = evidence();
    evidence.record_read(1_000, read(0, 1, false));
    assert_eq!(evidence.readiness(1_000, true, 1, 0), Readiness::Ready);
}

/// Guards against waiting although the version in force is known.
#[rstest]
#[case::stated(|it: &mut ConfigurationEvidence| it.record_statement(1_100, 1, 100))]
#[case::changed(|it: &mut ConfigurationEvidence| it.record_read(1_100, read(3, 2, false)))]
#[case::written_again(|it: &mut ConfigurationEvidence| it.record_read(1_100, read(3, 1, true)))]
fn evidence_ready(#[case] give: fn(&mut ConfigurationEvidence)) {
    let mut evidence = evidence();
    evidence.record_read(1_000, read(3, 1, false));
    let waiting = Readiness::Waiting(AwaitedEvidence::Confirmation);
    assert_eq!(evidence.readiness(1_000, true, 1, 0), waiting);
    give(&mut evidence);
    assert_eq!(evidence.readiness(1_100, true, 2, 1), Readiness::Ready);
}

/// Guards against taking any of these for evidence after a rollback.
#[rstest]
#[case::same_version(|it: &mut ConfigurationEvidence| it.record_read(1_100, read(3, 1, false)))]
#[case::other_vms(|it: &mut ConfigurationEvidence| it.record_other_vms())]
#[case::unknowing_vm(|it: &mut ConfigurationEvidence| it.record_statement(1_100, 0, 0))]
#[case::rollback(|it: &mut ConfigurationEvidence| it.record_rollback(1_100))]
fn no_evidence(#[case] give: fn(&mut ConfigurationEvidence)) {
    let mut evidence = evidence();
    evidence.record_read(1_000, read(3, 1, false));
    evidence.readiness(1_000, true, 1, 0);
    give(&mut evidence);
    let waiting = Readiness::Waiting(AwaitedEvidence::Confirmation);
    assert_eq!(evidence.readiness(10_900, true, 1, 0), waiting);
    assert!(!evidence.is_known(10_900));
    assert_eq!(
        evidence.readiness(11_100, true, 1, 0),
        Readiness::ReadyUnconfirmed
    );
    assert!(evidence.is_known(11_100));
}

/// Guards against serving by an older configuration than other VMs have in force, and against
/// waiting for it without end.
#[test]
fn newer_version_awaited() {
    let mut evidence = evidence();
    evidence.record_read(1_000, read(3, 1, false));
    evidence.record_statement(1_000, 2, 0);
    let waiting = Readiness::Waiting(AwaitedEvidence::NewerVersion);
    assert_eq!(evidence.readiness(1_000, true, 1, 2), waiting);
    assert_eq!(
        evidence.readiness(11_000, true, 1, 2),
        Readiness::ReadyUnconfirmed
    );
}

/// Guards against evidence of a VM that may have missed a change before the rollback.
#[rstest]
#[case::recent(2_200, true)]
#[case::old(2_201, false)]
fn evidence_at_rollback(#[case] age_ms: u64, #[case] counts: bool) {
    let mut evidence = evidence();
    evidence.record_read(1_000, read(0, 1, false));
    evidence.record_rollback(1_000 + age_ms);
    assert_eq!(evidence.is_known(1_000 + age_ms), counts);
}
