//! Responses to refused requests.

mod support;

use apricotdale_core::Error;
use apricotdale_core::refusal::Ran;
use rstest::rstest;
use std::sync::atomic::Ordering;
use std::time::Duration;
use support::Fixture;
use support::MODEL;
use support::caller::Answer;
use support::engine::ScriptStep;
use support::policies::REFUSED_CALLER;

const COMPLETIONS: &str = "/v1/completions";

fn call_body() -> String {
    format!(r#"{{"model":"{MODEL}","prompt":"x"}}"#)
}

/// Checks that a refusal is complete, consistent, and counted once.
fn check(fixture: &Fixture, answer: &Answer, status: u16, reason: &str, ran: &str) {
    let received = (status, reason.to_owned(), ran.to_owned());
    assert_eq!(answer.refusal(), received, "{answer:?}");
    assert_eq!(
        answer.header("content-type"),
        Some("application/problem+json")
    );
    let problem = answer.json();
    assert_eq!(problem["status"], status);
    assert_eq!(problem["type"], format!("urn:apricotdale:refusal:{reason}"));
    assert_eq!(
        problem["request_id"],
        answer.header("x-request-id").expect("an identity")
    );
    assert_eq!(problem["error"]["code"], reason);
    assert_eq!(problem["error"]["message"], problem["detail"]);
    let counted = fixture.observer.refusals();
    assert_eq!(counted.len(), 1, "{counted:?}");
    assert_eq!(counted[0].0, reason);
    assert_eq!(counted[0].1.as_str(), ran);
}

#[rstest]
#[case::not_json("POST", COMPLETIONS, &[], "{", 400, "bad_request")]
#[case::no_model("POST", COMPLETIONS, &[], r#"{"prompt":"x"}"#, 400, "bad_request")]
#[case::bad_timeout("POST", COMPLETIONS, &[("X-Request-Timeout-Ms", "-5")], &call_body(), 400, "bad_request")]
#[case::zero_timeout("POST", COMPLETIONS, &[("X-Request-Timeout-Ms", "0")], &call_body(), 400, "bad_request")]
#[case::unknown_class("POST", COMPLETIONS, &[("X-Request-Class", "gold")], &call_body(), 400, "unknown_class")]
#[case::unknown_model("POST", COMPLETIONS, &[], r#"{"model":"nobody"}"#, 404, "unknown_model")]
#[case::unknown_listed_model("GET", "/v1/models/nobody", &[], "", 404, "unknown_model")]
#[case::unknown_service("GET", "/services/nobody/x", &[], "", 404, "unknown_service")]
#[case::unknown_path("GET", "/v2/models", &[], "", 404, "unknown_path")]
#[case::wrong_method("GET", COMPLETIONS, &[], "", 405, "method_not_allowed")]
#[case::over_share("POST", COMPLETIONS, &[("X-Caller", REFUSED_CALLER)], &call_body(), 429, "caller_over_share")]
#[case::empty_key("POST", "/services/booking-app/book", &[("Idempotency-Key", "")], "", 400, "bad_request")]
fn refusal_not_run(
    #[case] method: &str,
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let fixture = Fixture::warm();
    let answer = fixture.caller().call(method, path, headers, body);
    check(&fixture, &answer, status, reason, "not_run");
    assert_eq!(
        fixture.engine.served_count() + fixture.service.call_count(),
        0
    );
    let methods = (status == 405).then_some("POST");
    assert_eq!(answer.header("allow"), methods);
}

#[rstest]
#[case::unavailable(Error::unavailable("refused"), 502, "upstream_unavailable", "not_run")]
#[case::rejected(Error::rejected("no"), 502, "upstream_refused", "not_run")]
#[case::lost(Error::unknown("reset"), 502, "upstream_lost", "unknown")]
#[case::malformed(Error::malformed("what"), 502, "upstream_bad_answer", "unknown")]
fn failed_call_ran(
    #[case] error: Error,
    #[case] status: u16,
    #[case] reason: &str,
    #[case] ran: &str,
) {
    let fixture = Fixture::warm();
    for _ in 0..3 {
        fixture.engine.script(vec![ScriptStep::Fail(error.clone())]);
    }
    let answer = fixture.caller().complete(&[]);
    check(&fixture, &answer, status, reason, ran);
    assert_eq!(answer.header("x-should-retry"), Some("false"));
}

/// Guards against a refusal that reports only the last attempt: the first attempt is lost after it
/// was sent, the second is certainly not received. A caller that reads "not run" would call again.
#[test]
fn ran_of_all_attempts() {
    let fixture = Fixture::warm();
    fixture
        .engine
        .script(vec![ScriptStep::Fail(Error::unknown("reset"))]);
    for _ in 0..2 {
        fixture
            .engine
            .script(vec![ScriptStep::Fail(Error::unavailable("refused"))]);
    }
    let answer = fixture.caller().complete(&[]);
    check(&fixture, &answer, 502, "upstream_unavailable", "unknown");
}

#[test]
fn retry_after_rounded() {
    let fixture = Fixture::warm();
    let answer = fixture.caller().complete(&[("X-Caller", REFUSED_CALLER)]);
    assert_eq!(answer.header("retry-after"), Some("3"));
    assert_eq!(answer.header("x-should-retry"), Some("true"));
    assert_eq!(answer.json()["retry_after_ms"], 2_300);
}

#[test]
fn not_ready_refuses() {
    let fixture = Fixture::warm();
    fixture.directory.is_closed.store(true, Ordering::Release);
    let ready = fixture.caller().call("GET", "/health/ready", &[], "");
    assert_eq!(
        (ready.status, ready.json()["reason"].as_str()),
        (503, Some("not_ready"))
    );
    assert_eq!(
        fixture.caller().call("GET", "/health/live", &[], "").status,
        200
    );
    let answer = fixture.caller().complete(&[]);
    check(&fixture, &answer, 503, "not_ready", "not_run");
}

/// Guards against a thread that waits for the upstream instead of the deadline: the model is not
/// loaded, or the engine does not answer, until the deadline has passed.
#[rstest]
#[case::waiting(false, "not_run")]
#[case::sent(true, "unknown")]
fn deadline_refuses(#[case] loaded: bool, #[case] ran: &str) {
    let fixture = Fixture::cold();
    if loaded {
        fixture.load("engine-1", 1);
        fixture.engine.script(vec![
            ScriptStep::Hold,
            ScriptStep::Head(200, "application/json", Some("{id}")),
        ]);
    }
    let answer = fixture
        .caller()
        .complete(&[("X-Request-Timeout-Ms", "500")]);
    check(&fixture, &answer, 504, "deadline_passed", ran);
    if loaded {
        let id = fixture.engine.wait_cancelled();
        assert_eq!(Some(id.as_str()), answer.header("x-request-id"));
    }
    fixture.wait_idle();
    assert_eq!(fixture.observer.refusals().len(), 1);
}

#[test]
fn panic_refused() {
    let fixture = Fixture::warm();
    for _ in 0..3 {
        fixture.engine.script(vec![ScriptStep::Panic]);
    }
    let answer = fixture.caller().complete(&[]);
    check(&fixture, &answer, 502, "upstream_lost", "unknown");
}

#[rstest]
#[case::head("GET / HTTP/1.1\r\n\r\n", 400, "bad_request")]
#[case::long_head(&format!("GET /{} HTTP/1.1\r\n", "a".repeat(600)), 431, "head_too_large")]
#[case::long_body(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n",
    413,
    "body_too_large"
)]
#[case::slow("GET / HTTP/1.1\r\nHost: ", 408, "request_timeout")]
fn protocol_errors_refused(#[case] bytes: &str, #[case] status: u16, #[case] reason: &str) {
    let limits = apricotdale_http::Options {
        max_head_bytes: 512,
        max_body_bytes: 100,
        head_timeout: Duration::from_millis(50),
        ..apricotdale_http::Options::default()
    };
    let fixture = Fixture::with(apricotdale_gateway::Options::default(), limits);
    let mut caller = fixture.caller();
    caller.send_raw(bytes);
    check(&fixture, &caller.answer(), status, reason, "not_run");
}

#[test]
fn connection_limit() {
    let limits = apricotdale_http::Options {
        max_connections: 1,
        ..apricotdale_http::Options::default()
    };
    let fixture = Fixture::with(apricotdale_gateway::Options::default(), limits);
    let mut holder = fixture.caller();
    assert_eq!(holder.call("GET", "/health/live", &[], "").status, 200);
    let answer = fixture.caller().answer();
    check(
        &fixture,
        &answer,
        503,
        "too_many_connections",
        Ran::NotRun.as_str(),
    );
    assert_eq!(answer.header("retry-after"), Some("1"));
}
