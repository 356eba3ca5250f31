//! Faults of the log.

mod support;

use rstest::rstest;
use serde_json::json;

use apricotdale_standins::log::LogStandin;
use apricotdale_standins::log::Options;
use apricotdale_standins::rate_limit::RateLimit;

const RECORDS: &str = "/streams/control/records";

/// Symptom: a writer can't tell whether its record is on the stream.
/// Sequence: the log is faulty, a record is appended, the log works again, the record is looked for.
/// Cause: an answer of 503 says that it is not there; a connection closed without an answer says
/// nothing, and here the record is there.
#[rstest]
#[case::up("up", Some(201), 1)]
#[case::down("down", Some(503), 0)]
#[case::lost_answer("lost_answer", None, 1)]
fn each_fault_leaves_what_it_says(
    #[case] mode: &str,
    #[case] status: Option<u16>,
    #[case] appended: u64,
) {
    let log = support::start(LogStandin::new(Options::default()));
    log.fault(&json!({"mode": mode}));
    let answer = log.try_post(RECORDS, &json!(1));
    assert_eq!(answer.map(|answer| answer.status), status);
    log.fault(&json!({"mode": "up"}));
    assert_eq!(log.get(&format!("{RECORDS}?from=0")).body["end"], appended);
    assert_eq!(log.effects()["appends"], appended);
}

#[rstest]
#[case::down("down")]
#[case::lost_answer("lost_answer")]
fn a_fault_with_a_count_ends_by_itself(#[case] mode: &str) {
    let log = support::start(LogStandin::new(Options::default()));
    log.fault(&json!({"mode": mode, "count": 2}));
    let answered = |answer: Option<support::Answer>| answer.is_some_and(|it| it.status == 201);
    let answers: Vec<bool> = (0..4)
        .map(|_| answered(log.try_post(RECORDS, &json!(1))))
        .collect();
    assert_eq!(answers, [false, false, true, true]);
}

#[test]
fn reads_go_on_while_appends_lose_their_answers() {
    let log = support::start(LogStandin::new(Options::default()));
    log.fault(&json!({"mode": "lost_answer", "count": 1}));
    assert_eq!(log.get(&format!("{RECORDS}?from=0")).status, 200);
    assert_eq!(
        log.try_post(RECORDS, &json!(1)),
        None,
        "the read has not used up the fault"
    );
}

/// Symptom: a record appears on the stream after its writer has given up.
/// Sequence: the log is slow, a record is sent, the writer closes its connection, time passes.
/// Cause: the record was received and is appended later; only its answer has nowhere to go.
#[test]
fn a_slow_append_takes_effect_late() {
    let log = support::start(LogStandin::new(Options::default()));
    log.fault(&json!({"mode": "slow", "delay_ms": 3_600_000}));
    let append = log.post_in_background(RECORDS, &json!(1));
    support::wait_until(|| log.effects()["held"] == 1);
    assert_eq!(log.effects()["appends"], 0);
    log.fault(&json!({"mode": "up"}));
    assert_eq!(append.join().unwrap().unwrap().status, 201);
    assert_eq!(log.effects()["appends"], 1);
}

#[test]
fn an_append_above_the_rate_is_refused_without_effect() {
    let options = Options {
        appends_per_s: 0,
        ..Options::default()
    };
    let log = support::start(LogStandin::new(options));
    assert_eq!(log.post(RECORDS, &json!(1)).status, 429);
    assert_eq!(log.effects()["appends"], 0);
}

#[test]
fn the_rate_holds_within_any_second() {
    let mut limit = RateLimit::new(2);
    let allowed: Vec<bool> = [0, 600, 900, 999, 1_000, 1_100, 1_600]
        .into_iter()
        .map(|now_ms| limit.allow(now_ms))
        .collect();
    assert_eq!(allowed, [true, true, false, false, true, false, true]);
}
