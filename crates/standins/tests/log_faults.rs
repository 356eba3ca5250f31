//! Faults of the log and its limit on appends.

mod support;

use rstest::rstest;
use serde_json::json;

use apricotdale_standins::log::LogStandin;
use apricotdale_standins::log::Options;
use apricotdale_standins::rate_limit::RateLimit;

const RECORDS: &str = "/streams/control/records";

/// A writer appends a record during a fault and reads the stream after it. Status 503 means that
/// the record was not appended. A connection that is closed without an answer leaves that open, and
/// here the record was appended.
#[rstest]
#[case::up("up", Some(201), 1)]
#[case::down("down", Some(503), 0)]
#[case::lost_answer("lost_answer", None, 1)]
fn fault_outcomes(#[case] mode: &str, #[case] status: Option<u16>, #[case] appended: u64) {
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
fn counted_fault_ends(#[case] mode: &str) {
    let log = support::start(LogStandin::new(Options::default()));
    log.fault(&json!({"mode": mode, "count": 2}));
    let answered = |answer: Option<support::Answer>| answer.is_some_and(|it| it.status == 201);
    let answers: Vec<bool> = (0..4)
        .map(|_| answered(log.try_post(RECORDS, &json!(1))))
        .collect();
    assert_eq!(answers, [false, false, true, true]);
}

#[test]
fn reads_during_lost_answers() {
    let log = support::start(LogStandin::new(Options::default()));
    log.fault(&json!({"mode": "lost_answer", "count": 1}));
    assert_eq!(log.get(&format!("{RECORDS}?from=0")).status, 200);
    assert_eq!(
        log.try_post(RECORDS, &json!(1)),
        None,
        "the read does not count against the fault"
    );
}

/// A slow log appends a record that it has received only after a delay, so that the record can
/// appear on the stream after its writer has timed out.
#[test]
fn slow_append() {
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
fn rate_limited_append() {
    let options = Options {
        appends_per_s: 0,
        ..Options::default()
    };
    let log = support::start(LogStandin::new(options));
    assert_eq!(log.post(RECORDS, &json!(1)).status, 429);
    assert_eq!(log.effects()["appends"], 0);
}

#[test]
fn sliding_rate_window() {
    let mut limit = RateLimit::new(2);
    let allowed: Vec<bool> = [0, 600, 900, 999, 1_000, 1_100, 1_600]
        .into_iter()
        .map(|now_ms| limit.allow(now_ms))
        .collect();
    assert_eq!(allowed, [true, true, false, false, true, false, true]);
}
