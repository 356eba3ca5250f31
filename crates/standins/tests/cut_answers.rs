//! Answers that end before they are whole, or are another request's.

mod support;

use rstest::rstest;
use serde_json::json;

use apricotdale_standins::engine::Options;

use support::Standin;
use support::completion;

const ENDLESS: u32 = 1_000_000;

fn engine(slots: usize) -> Standin {
    let options = Options {
        slots,
        ..Options::default()
    };
    support::engine_with(options, &["m"])
}

/// Symptom: a caller gets half an answer.
/// Sequence: a stream begins, its connection breaks after some events.
/// Cause: the engine's end of the connection died. The body has no end and `[DONE]` is missing.
#[rstest]
#[case::after_the_head(0, 0)]
#[case::midway(2, 2)]
#[case::before_done(4, 4)]
fn a_stream_is_cut_after_so_many_events(#[case] after: u64, #[case] events: usize) {
    let engine = engine(1);
    engine.fault(&json!({"cut_stream_after": after}));
    let mut cut = engine.stream("r", "m", 4);
    assert_eq!(cut.by_ref().count(), events);
    assert!(cut.broken);
    assert_eq!(engine.request_state("r"), "cut");
    assert_eq!(
        engine.stream("s", "m", 4).last().unwrap(),
        "[DONE]",
        "only one stream is cut"
    );
}

/// Symptom: a caller gets another's answer.
/// Sequence: a request ends, the answer to the next one carries the first one's identity.
/// Cause: the engine crossed its answers. The identity and the tokens show it.
#[test]
fn a_crossed_answer_carries_another_identity() {
    let engine = engine(1);
    engine.stream("r", "m", 1).last().unwrap();
    engine.fault(&json!({"crossed": true}));
    let first = engine.stream("s", "m", 1).next().unwrap();
    assert!(
        first.contains("cmpl-r") && first.contains("tok-r-0"),
        "{first}"
    );
    let next = engine.stream("t", "m", 1).next().unwrap();
    assert!(next.contains("cmpl-t"), "{next}");
}

#[test]
fn a_cancelled_stream_ends_short_and_frees_its_slot() {
    let engine = engine(1);
    let mut events = engine.stream("r", "m", ENDLESS);
    events.next().unwrap();
    assert_eq!(engine.post("/v1/cancel/r", &json!({})).status, 200);
    assert!(events.all(|data| data != "[DONE]"));
    assert!(
        !events.broken,
        "only the missing end shows that it is short"
    );
    assert_eq!(engine.request_state("r"), "cancelled");
    assert_eq!(engine.stream("s", "m", 1).last().unwrap(), "[DONE]");
}

#[test]
fn a_cancelled_request_without_a_stream_gets_no_answer() {
    let engine = engine(1);
    let headers = [("X-Request-Id", "r")];
    let body = completion("m", ENDLESS, false);
    std::thread::scope(|scope| {
        let request = scope.spawn(|| engine.try_post_with("/v1/completions", &body, &headers));
        support::wait_until(|| engine.request_state("r") == "running");
        engine.post("/v1/cancel/r", &json!({}));
        assert_eq!(request.join().unwrap(), None);
    });
    assert_eq!(engine.request_state("r"), "cancelled");
}

/// Symptom: an engine works for callers that are no longer there.
/// Sequence: a request generates or waits for a slot, its caller closes the connection.
/// Cause: nothing is written to such a connection for long, so no write fails. The engine has to
/// look.
#[rstest]
#[case::generates(2)]
#[case::waits(1)]
fn a_caller_that_goes_away_ends_its_request(#[case] slots: usize) {
    let engine = engine(slots);
    let mut events = engine.stream("other", "m", ENDLESS);
    events.next().unwrap();
    let path = "/v1/completions";
    let caller = engine.send_only(path, "r", &completion("m", ENDLESS, false));
    support::wait_until(|| engine.request_state("r") == "running");
    drop(caller);
    support::wait_until(|| engine.request_state("r") == "cancelled");
    drop(events);
    support::wait_until(|| engine.request_state("other") == "cancelled");
    assert_eq!(engine.stream("s", "m", 1).last().unwrap(), "[DONE]");
}

/// Symptom: all answers in progress break at once.
/// Sequence: one request generates, another waits for its slot, the engine restarts.
/// Cause: the process died.
#[test]
fn a_restart_cuts_the_requests_in_progress() {
    let engine = engine(1);
    let mut events = engine.stream("r", "m", ENDLESS);
    events.next().unwrap();
    let waiting = engine.stream_in_background("s", "m", 1, 0);
    support::wait_until(|| engine.request_state("s") == "running");
    engine.fault(&json!({"restart": true}));
    assert!(events.all(|data| data != "[DONE]"));
    assert!(events.broken);
    assert_eq!(waiting.iter().count(), 0);
    assert_eq!(
        (engine.request_state("r"), engine.request_state("s")),
        (json!("cut"), json!("cut"))
    );
    assert_eq!(
        engine
            .post("/v1/completions", &completion("m", 1, false))
            .status,
        404
    );
}
