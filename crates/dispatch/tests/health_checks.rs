//! Health checks that VMs share.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_dispatch::HealthCheckStep;
use apricotdale_dispatch::HealthChecks;

fn upstream() -> UpstreamName {
    UpstreamName::from("p-0")
}

fn vm(index: usize) -> VmName {
    VmName::from(format!("vm-{index}").as_str())
}

fn others() -> Vec<VmName> {
    (1..4).map(vm).collect()
}

fn ask(index: usize) -> HealthCheckStep {
    HealthCheckStep::Ask(vm(index), upstream())
}

fn check() -> HealthCheckStep {
    HealthCheckStep::Check(upstream())
}

/// Guards against a VM that checks an upstream itself while others can, and against one that never does
/// although nobody answers.
#[test]
fn others_asked_first() {
    let mut checks = HealthChecks::default();
    assert_eq!(checks.ask(0, &upstream(), &others()), Some(ask(1)));
    assert_eq!(checks.ask(10, &upstream(), &others()), None);
    assert_eq!(checks.due(799, |_| others()), []);
    assert_eq!(checks.due(800, |_| others()), [ask(2)]);
    assert_eq!(checks.due(1_600, |_| others()), [check()]);
    assert_eq!(checks.next_ms(), u64::MAX);
    let (_, asked_ms) = checks.record_check(2_200, &upstream(), Some(false));
    assert_eq!(asked_ms, Some(0));
}

/// Guards against a VM that is alone and never checks.
#[test]
fn alone() {
    let mut checks = HealthChecks::default();
    assert_eq!(checks.ask(0, &upstream(), &[]), Some(check()));
    checks.record_check(600, &upstream(), Some(false));
    assert_eq!(checks.due(900, |_| Vec::new()), [check()]);
}

/// Guards against one check for each VM that asks, and against questions that are not answered.
#[test]
fn one_check_for_all() {
    let mut checks = HealthChecks::default();
    let asked: Vec<_> = (1..60)
        .filter_map(|index| checks.record_question(index as u64, &upstream(), &vm(index)))
        .collect();
    assert_eq!(asked, [check()]);
    let (told, asked_ms) = checks.record_check(100, &upstream(), Some(true));
    let all = HealthCheckStep::Answer {
        vms: (1..60).map(vm).collect(),
        upstream: upstream(),
        is_responsive: true,
    };
    assert_eq!((told, asked_ms), (Some(all), None));
    // What has just been found out is not checked again.
    let answered = checks.record_question(300, &upstream(), &vm(60));
    assert!(matches!(answered, Some(HealthCheckStep::Answer { .. })));
    assert_eq!(
        checks.record_question(350, &upstream(), &vm(60)),
        Some(check())
    );
}

/// Guards against an upstream that stays suspended because of one VM's path: each check is another
/// VM's.
#[test]
fn rechecked_in_turn() {
    let mut checks = HealthChecks::default();
    checks.record_question(0, &upstream(), &vm(9));
    let (told, _) = checks.record_check(600, &upstream(), Some(false));
    let silent = HealthCheckStep::TellAll {
        upstream: upstream(),
        is_responsive: false,
    };
    assert_eq!(told, Some(silent));
    assert_eq!(checks.due(900, |_| others()), [ask(1)]);
    assert_eq!(checks.due(5_000, |_| others()), []);
    // The VM that has checked it sees to the next check.
    checks.record_told(1_500, &upstream(), false);
    assert_eq!(checks.next_ms(), u64::MAX);
    checks.record_question(2_100, &upstream(), &vm(1));
    checks.record_check(2_700, &upstream(), Some(false));
    assert_eq!(checks.due(3_899, |_| others()), []);
    assert_eq!(checks.due(3_900, |_| others()), [ask(2)]);
    checks.record_question(4_000, &upstream(), &vm(2));
    let (told, _) = checks.record_check(4_010, &upstream(), Some(true));
    let answers = HealthCheckStep::TellAll {
        upstream: upstream(),
        is_responsive: true,
    };
    assert_eq!(told, Some(answers));
}

/// Guards against a question that is forgotten because a check of this VM could not be sent.
#[test]
fn check_not_sent() {
    let mut checks = HealthChecks::default();
    checks.ask(0, &upstream(), &others());
    checks.record_question(10, &upstream(), &vm(5));
    assert_eq!(checks.record_check(20, &upstream(), None), (None, None));
    assert_eq!(checks.record_told(30, &upstream(), true), Some(0));
    assert_eq!(checks.record_told(40, &upstream(), true), None);
}
