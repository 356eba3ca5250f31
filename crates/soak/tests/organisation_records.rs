//! Records that violate an invariant about organisations, their keys or limits.

mod support;

use apricotdale_soak::Attempt;
use apricotdale_soak::Disturbance;
use apricotdale_soak::Invariant;
use apricotdale_soak::Kind;
use apricotdale_soak::LimitSeen;
use apricotdale_soak::Place;
use apricotdale_soak::Presented;
use apricotdale_soak::Record;
use apricotdale_soak::Run;
use apricotdale_soak::fullest_window;
use rstest::rstest;

use support::attempt;
use support::broken_invariants;
use support::disturbance;
use support::limit;
use support::run;
use support::valid_record;

/// Guards against a check that misses a served caller without a valid key.
#[rstest]
#[case::none(Presented::None)]
#[case::unknown(Presented::Unknown)]
#[case::several(Presented::Several)]
fn run_without_key(#[case] presented: Presented) {
    let mut record = valid_record();
    record.attempts[0].presented = presented;
    record.disturbances = vec![disturbance(Place::Vm(0), 0, 20_000)];
    assert_eq!(
        broken_invariants(&record),
        vec![Invariant::ValidKeyRequired]
    );
}

/// Guards against a check that misses a request served with a revoked key, or that reports one
/// while the VM may not know of the revocation yet.
#[rstest]
#[case::in_time(7_500, None, &[])]
#[case::late(5_000, None, &[Invariant::ValidKeyRequired])]
#[case::vm_disturbed(5_000, Some(Place::Vm(0)), &[])]
#[case::vm_disturbed_later(3_000, Some(Place::Vm(0)), &[Invariant::ValidKeyRequired])]
#[case::other_vm_disturbed(5_000, Some(Place::Vm(1)), &[Invariant::ValidKeyRequired])]
#[case::store_disturbed(5_000, Some(Place::Store), &[])]
fn run_with_revoked_key(
    #[case] left_ms: u64,
    #[case] place: Option<Place>,
    #[case] expected: &[Invariant],
) {
    let mut record = valid_record();
    record.last_attempts.clear();
    record.runs.truncate(1);
    record.keys[0].leaving_ms = Some(left_ms);
    record.keys[0].left_ms = Some(left_ms);
    record.disturbances = place
        .map(|it| disturbance(it, 7_000, 7_500))
        .into_iter()
        .collect();
    assert_eq!(broken_invariants(&record), expected);
}

/// Guards against a false violation after a rollback of the store, which may restore a revoked key.
#[rstest]
#[case::just_now(8_000, &[])]
#[case::long_ago(5_000, &[Invariant::ValidKeyRequired])]
fn key_after_rollback(#[case] until_ms: u64, #[case] expected: &[Invariant]) {
    let mut record = valid_record();
    record.last_attempts.clear();
    record.runs.truncate(1);
    record.keys[0].leaving_ms = Some(3_000);
    record.keys[0].left_ms = Some(3_000);
    record.disturbances = vec![Disturbance {
        what: "set back".to_owned(),
        ..disturbance(Place::Store, 4_000, until_ms)
    }];
    assert_eq!(broken_invariants(&record), expected);
}

/// Guards against a check that misses a refused valid key, or that reports one which the VM may not
/// know yet.
#[rstest]
#[case::first_key(0, None, Some(Place::Vm(0)), &[Invariant::ValidKeyRequired])]
#[case::new_key(9_000, None, None, &[])]
#[case::added_key(5_000, None, None, &[Invariant::ValidKeyRequired])]
#[case::added_key_disturbed(5_000, None, Some(Place::Vm(0)), &[])]
#[case::leaving_key(0, Some(10_020), None, &[])]
fn valid_key_refused(
    #[case] acknowledged_ms: u64,
    #[case] leaving_ms: Option<u64>,
    #[case] place: Option<Place>,
    #[case] expected: &[Invariant],
) {
    let mut record = valid_record();
    record.attempts[1] = attempt("b", Kind::Book, 401);
    record.attempts[1].presented = Presented::Key(1);
    record.keys[1].acknowledged_ms = acknowledged_ms;
    record.keys[1].leaving_ms = leaving_ms;
    record.disturbances = place
        .map(|it| disturbance(it, 7_000, 7_500))
        .into_iter()
        .collect();
    assert_eq!(broken_invariants(&record), expected);
}

/// Guards against a check that misses an upstream which received another organisation or a key.
#[rstest]
#[case::another(&["south"], false)]
#[case::none(&[], false)]
#[case::two(&["north", "south"], false)]
#[case::key(&["north"], true)]
fn wrong_organisation(#[case] organisations: &[&str], #[case] shows_key: bool) {
    let mut record = valid_record();
    record.runs[0].organisations = organisations.iter().map(ToString::to_string).collect();
    record.runs[0].shows_key = shows_key;
    assert_eq!(
        broken_invariants(&record),
        vec![Invariant::OrganisationForwarded]
    );
}

/// Returns a record in which upstreams ran `count` requests of an organisation, 10 ms apart from
/// 10,000 ms on.
fn record_of_runs(count: u64) -> Record {
    let mut record = valid_record();
    record.attempts.clear();
    record.runs.clear();
    for number in 0..count {
        let id = format!("u-{number}");
        record.attempts.push(Attempt {
            sent_ms: 10_000 + 10 * number,
            ended_ms: 10_050 + 10 * number,
            ..attempt(&id, Kind::Look, 200)
        });
        record.runs.push(Run {
            at_ms: 10_010 + 10 * number,
            ..run(&id)
        });
    }
    record
}

/// Guards against a check that misses an organisation above its limit, or that applies a new limit
/// before every VM has to know it.
#[rstest]
#[case::within(5, vec![limit(0, 5)], None, &[])]
#[case::beyond(6, vec![limit(0, 5)], None, &[Invariant::WithinLimits])]
#[case::beyond_disturbed(6, vec![limit(0, 5)], Some(Place::Store), &[Invariant::WithinLimits])]
#[case::raised(6, vec![limit(0, 5), limit(12_000, 6)], None, &[])]
#[case::lowered_just_now(6, vec![limit(0, 6), limit(4_000, 5)], None, &[])]
#[case::lowered(6, vec![limit(0, 6), limit(2_500, 5)], None, &[Invariant::WithinLimits])]
#[case::lowered_disturbed(6, vec![limit(0, 6), limit(2_500, 5)], Some(Place::Vm(1)), &[])]
fn limit_exceeded(
    #[case] count: u64,
    #[case] limits: Vec<LimitSeen>,
    #[case] place: Option<Place>,
    #[case] expected: &[Invariant],
) {
    let mut record = record_of_runs(count);
    record.limits = limits;
    record.disturbances = place
        .map(|it| disturbance(it, 4_000, 4_500))
        .into_iter()
        .collect();
    assert_eq!(broken_invariants(&record), expected);
}

#[test]
fn fullest_window_reported() {
    let mut record = record_of_runs(3);
    record.limits = vec![limit(0, 5)];
    let window = fullest_window(&record).expect("a window");
    assert_eq!((window.from_ms, window.ran, window.most), (10_000, 3, 5));
}

/// Guards against retries of a request that count against its organisation's limit.
#[test]
fn retry_counts_once() {
    let mut record = record_of_runs(5);
    record.limits = vec![limit(0, 5)];
    record.runs.push(run("u-0"));
    assert_eq!(broken_invariants(&record), Vec::new());
}

/// Guards against a check that misses a key in a log line.
#[test]
fn key_in_log() {
    let mut record = valid_record();
    record.key_lines.push("refused north-secret-0".to_owned());
    assert_eq!(broken_invariants(&record), vec![Invariant::KeysStaySecret]);
}
