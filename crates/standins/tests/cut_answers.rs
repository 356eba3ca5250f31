//! Answers that end before they are complete, or belong to another request.

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

/// Guards against half an answer that looks complete: the engine's connection breaks after some
/// events, so the body has no end and `[DONE]` is missing.
#[rstest]
#[case::after_the_head(0, 0)]
#[case::midway(2, 2)]
#[case::before_done(4, 4)]
fn stream_cut(#[case] after: u64, #[case] events: usize) {
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

/// Guards against an answer that reaches another caller: the engine gives the answer to a request
/// the identity and the tokens of the previous one, by which a reader can detect it.
#[test]
fn crossed_answer() {
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
fn cancelled_stream() {
    let engine = engine(1);
    let mut events = engine.stream("r", "m", ENDLESS);
    events.next().unwrap();
    assert_eq!(engine.post("/v1/cancel/r", &json!({})).status, 200);
    assert!(events.all(|data| data != "[DONE]"));
    assert!(
        !events.broken,
        "only the missing [DONE] shows that the answer is cut"
    );
    assert_eq!(engine.request_state("r"), "cancelled");
    assert_eq!(engine.stream("s", "m", 1).last().unwrap(), "[DONE]");
}

#[test]
fn cancelled_unstreamed_request() {
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

/// Guards against an engine that works for disconnected callers: a request generates or waits for a
/// slot while its caller closes the connection. Nothing is written to it for a long time, so that
/// no write fails, and the engine has to check the connection.
#[rstest]
#[case::generates(2)]
#[case::waits(1)]
fn disconnected_caller(#[case] slots: usize) {
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

/// The engine process ends while one request generates and another waits for its slot. Both answers
/// break.
#[test]
fn restart_cuts_requests() {
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
