//! Each violated invariant is found in a record that shows it, and none in a valid record.

mod support;

use apricotdale_soak::BodySeen;
use apricotdale_soak::ConfigurationProbe;
use apricotdale_soak::Crash;
use apricotdale_soak::Disturbance;
use apricotdale_soak::Ending;
use apricotdale_soak::Invariant;
use apricotdale_soak::Kind;
use apricotdale_soak::Place;
use apricotdale_soak::Record;
use apricotdale_soak::Run;
use apricotdale_standins::platform::AnswerFault;
use rstest::rstest;

use support::PLAIN_BODY;
use support::attempt;
use support::broken_invariants;
use support::disturbance;
use support::effects;
use support::run;
use support::valid_record;

#[test]
fn valid_record_passes() {
    assert_eq!(broken_invariants(&valid_record()), Vec::new());
}

#[test]
fn second_run() {
    let mut record = valid_record();
    record.runs.push(run("a"));
    assert_eq!(broken_invariants(&record), vec![Invariant::RunsOnce]);
}

#[test]
fn refused_request_ran() {
    let mut record = valid_record();
    record.runs.push(run("b"));
    assert_eq!(broken_invariants(&record), vec![Invariant::TrueRefusal]);
}

#[rstest]
#[case::of_nobody("x", true)]
#[case::changed("a", false)]
fn unknown_run(#[case] id: &str, #[case] unchanged: bool) {
    let mut record = valid_record();
    record.runs.retain(|it| it.id != id);
    record.runs.push(Run {
        unchanged,
        ..run(id)
    });
    assert_eq!(
        broken_invariants(&record),
        vec![Invariant::OnlySentRequests]
    );
}

#[rstest]
#[case::of_another(Some("z"), true, true)]
#[case::of_nobody(None, true, true)]
#[case::unsigned(Some("a"), false, true)]
#[case::other_body(Some("a"), true, false)]
fn wrong_answer(#[case] id: Option<&str>, #[case] signed: bool, #[case] own_body: bool) {
    let mut record = valid_record();
    record.attempts[0].ending = Ending::Answered {
        status: 200,
        whole: true,
        id: id.map(str::to_owned),
        signed,
        body: BodySeen::Plain { own: own_body },
    };
    assert_eq!(broken_invariants(&record), vec![Invariant::OwnAnswer]);
}

#[rstest]
#[case::lower_fence(&[(4, "vm1"), (1, "vm0")])]
#[case::shared_fence(&[(1, "vm0"), (1, "vm1")])]
fn two_lease_holders(#[case] holders: &[(u64, &str)]) {
    let mut record = valid_record();
    record.engines = vec![effects(holders)];
    assert_eq!(broken_invariants(&record), vec![Invariant::OneLeaseHolder]);
}

#[test]
fn memory_overcommitted() {
    let mut record = valid_record();
    record.engines[0].1.overcommitted = 1;
    assert_eq!(broken_invariants(&record), vec![Invariant::FitsMemory]);
}

#[rstest]
#[case::late(Ending::Answered { status: 504, whole: true, id: None, signed: false, body: PLAIN_BODY }, 15_000)]
#[case::lost(Ending::Unanswered, 10_050)]
fn late_answer(#[case] ending: Ending, #[case] ended_ms: u64) {
    let mut record = valid_record();
    record.attempts[1].ending = ending;
    record.attempts[1].ended_ms = ended_ms;
    assert_eq!(broken_invariants(&record), vec![Invariant::InTime]);
    // A VM that was killed meanwhile need not answer.
    record.disturbances = vec![disturbance(Place::Vm(0), 9_000, 9_500)];
    assert_eq!(broken_invariants(&record), Vec::new());
    // A fault of the store excuses no late answer.
    record.disturbances = vec![disturbance(Place::Store, 9_000, 20_000)];
    assert_eq!(broken_invariants(&record), vec![Invariant::InTime]);
}

#[test]
fn request_after_departure() {
    let mut record = valid_record();
    record.drains[0].upstream = "p-0".to_owned();
    record.drains[0].at_ms = 6_000;
    assert!(broken_invariants(&record).contains(&Invariant::Drained));
    record.disturbances = vec![disturbance(Place::Store, 5_000, 6_500)];
    assert_eq!(broken_invariants(&record), Vec::new());
}

#[rstest]
#[case::not_there_yet(true, 404)]
#[case::still_there(false, 200)]
fn old_configuration(#[case] exists: bool, #[case] status: u16) {
    let mut record = valid_record();
    record.probes = vec![ConfigurationProbe {
        vm: 1,
        acknowledged_ms: 5_000,
        sent_ms: 7_300,
        exists,
        status,
    }];
    assert_eq!(
        broken_invariants(&record),
        vec![Invariant::ConfigurationInForce]
    );
    record.probes[0].sent_ms = 6_900;
    assert_eq!(broken_invariants(&record), Vec::new());
}

#[rstest]
#[case::never(None)]
#[case::late(Some((19_000, Some(0))))]
#[case::failed(Some((12_000, Some(1))))]
#[case::by_signal(Some((12_000, None)))]
fn failed_stop(#[case] ended: Option<(u64, Option<i32>)>) {
    let mut record = valid_record();
    record.stops[0].ended = ended;
    assert_eq!(broken_invariants(&record), vec![Invariant::PlannedStop]);
}

/// Promises that a stop breaks which cuts off a request that runs.
const LOST_IN_STOP: [Invariant; 2] = [Invariant::NothingLost, Invariant::PlannedStop];

#[test]
fn stop_cuts_call() {
    let mut record = valid_record();
    record.attempts[0].vm = 2;
    record.attempts[0].ending = Ending::Unanswered;
    record.disturbances = vec![Disturbance {
        what: "stop".to_owned(),
        ..disturbance(Place::Vm(2), 9_000, 12_000)
    }];
    assert_eq!(broken_invariants(&record), LOST_IN_STOP);
}

#[test]
fn upstream_cuts_call() {
    let mut record = valid_record();
    record.attempts[0].vm = 2;
    record.attempts[0].ending = Ending::Answered {
        status: 200,
        whole: false,
        id: Some("a".to_owned()),
        signed: true,
        body: PLAIN_BODY,
    };
    record.disturbances = vec![Disturbance {
        what: "stop".to_owned(),
        ..disturbance(Place::Vm(2), 9_000, 12_000)
    }];
    assert_eq!(broken_invariants(&record), LOST_IN_STOP);
    record.runs[0].fault = Some(AnswerFault::LargeCut);
    assert_eq!(broken_invariants(&record), []);
}

#[test]
fn no_recovery() {
    let mut record = valid_record();
    record.last_attempts = vec![attempt("c", Kind::Look, 503), attempt("d", Kind::Look, 503)];
    record.runs.retain(|it| it.id != "c");
    assert_eq!(broken_invariants(&record), vec![Invariant::Recovers]);
    record.last_attempts.push(attempt("e", Kind::Look, 200));
    assert_eq!(broken_invariants(&record), Vec::new());
}

#[test]
fn unexpected_exit() {
    let mut record = valid_record();
    record.unexpected_exits = vec!["vm1: exit status: 101".to_owned()];
    assert_eq!(broken_invariants(&record), vec![Invariant::StaysUp]);
}

/// Returns a record of a request that has crashed three engines by 10 s and was sent again at the
/// given times.
fn crasher_record(sent_ms: &[u64]) -> Record {
    let mut record = valid_record();
    record.crashes = [8_000, 9_000, 10_000]
        .map(|at_ms| Crash {
            body: "body".to_owned(),
            upstream: format!("i-{at_ms}"),
            at_ms,
        })
        .to_vec();
    for at_ms in sent_ms {
        let id = format!("e-{at_ms}");
        record.attempts.push(attempt(&id, Kind::Quick, 502));
        record.runs.push(Run {
            at_ms: *at_ms,
            ..run(&id)
        });
        record.crasher_ids.push((id, "body".to_owned()));
    }
    record
}

#[test]
fn crasher_blocked() {
    let record = crasher_record(&[10_500, 11_000, 12_000, 12_900, 13_500, 14_000, 15_000]);
    assert_eq!(broken_invariants(&record), []);
}

/// Guards against a check that blames VMs which were all killed before a request had to be blocked,
/// and that excuses VMs which were killed later, or not all.
#[rstest]
#[case::before_third_crash("kill all", 9_500, true)]
#[case::before_deadline("kill all", 12_900, true)]
#[case::after_deadline("kill all", 13_100, false)]
#[case::single_vm("kill", 12_900, false)]
fn crasher_after_kills(#[case] what: &str, #[case] at_ms: u64, #[case] is_excused: bool) {
    let mut record = crasher_record(&[18_000, 18_100, 18_200, 18_300]);
    record.stops.clear();
    record.disturbances = vec![Disturbance {
        what: what.to_owned(),
        ..disturbance(Place::Vm(0), at_ms, at_ms + 200)
    }];
    let expected: &[Invariant] = match is_excused {
        true => &[],
        false => &[Invariant::StopsCrashers],
    };
    assert_eq!(broken_invariants(&record), expected);
}

/// Returns a record of a part under which five engines have crashed by 10 s, some with several
/// requests, and of requests with it that were sent at the given times.
fn crashing_part_record(sent_ms: &[u64]) -> Record {
    const PART: &str = "c0de0";
    let mut record = crasher_record(sent_ms);
    record.crashes = [6_000, 6_000, 7_000, 8_000, 9_000, 10_000]
        .map(|at_ms| Crash {
            body: PART.to_owned(),
            upstream: format!("i-{at_ms}"),
            at_ms,
        })
        .to_vec();
    for (_, body) in &mut record.crasher_ids {
        *body = PART.to_owned();
    }
    record
}

/// Guards against a check that overlooks requests which share nothing but a crashing part, and one
/// that counts the requests lost with an engine instead of the engines.
#[rstest]
#[case::in_time(&[12_500, 12_600, 12_700, 12_800, 13_500, 14_000, 15_000], true)]
#[case::late(&[13_500, 14_000, 15_000, 16_000], false)]
fn crashing_part(#[case] sent_ms: &[u64], #[case] is_valid: bool) {
    let expected: &[Invariant] = match is_valid {
        true => &[],
        false => &[Invariant::StopsCrashers],
    };
    assert_eq!(broken_invariants(&crashing_part_record(sent_ms)), expected);
}

#[test]
fn crasher_not_blocked() {
    let mut record = crasher_record(&[13_500, 14_000, 15_000, 16_000]);
    assert_eq!(broken_invariants(&record), [Invariant::StopsCrashers]);
    record
        .disturbances
        .push(disturbance(Place::Vm(0), 12_000, 12_500));
    assert_eq!(broken_invariants(&record), []);
}
