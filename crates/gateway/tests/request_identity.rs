//! Class, caller, timeout and identity of a request, and what of it reaches the engine.

mod support;

use apricotdale_gateway::Options;
use apricotdale_gateway::Step;
use rstest::rstest;
use support::Fixture;
use support::MODEL;
use support::caller::Answer;

/// Returns the class, the caller and the timeout that an answered request was classified with.
fn classified(fixture: &Fixture, answer: &Answer) -> (String, String, u64) {
    let id = answer.header("x-request-id").expect("an identity");
    let trace = fixture.gateway.explain(&id.into()).expect("a trace");
    let steps = trace.steps.into_iter();
    let mut found = steps.filter_map(|traced| match traced.step {
        Step::Classified {
            class,
            caller,
            timeout_ms,
        } => Some((class, caller, timeout_ms)),
        _ => None,
    });
    found.next().expect("a class")
}

#[rstest]
#[case::default(&[], "quick", "anonymous", 20_000)]
#[case::named_class(&[("X-Request-Class", "review")], "review", "anonymous", 60_000)]
#[case::less_time(&[("X-Request-Timeout-Ms", "700")], "quick", "anonymous", 700)]
#[case::more_time(&[("X-Request-Timeout-Ms", "30000")], "quick", "anonymous", 30_000)]
#[case::too_much_time(&[("X-Request-Timeout-Ms", "99000000")], "quick", "anonymous", 90_000)]
#[case::named_caller(&[("X-Caller", "fyn")], "quick", "fyn", 20_000)]
#[case::invalid_caller(&[("X-Caller", "fyn reason=ok")], "quick", "anonymous", 20_000)]
#[case::token(
    &[("Authorization", "Bearer secret"), ("X-Caller", "fyn")],
    "quick",
    "bearer-2bb80d537b1da3e3",
    20_000
)]
fn request_classified(
    #[case] headers: &[(&str, &str)],
    #[case] class: &str,
    #[case] caller: &str,
    #[case] timeout_ms: u64,
) {
    let options = Options {
        max_timeout_ms: 90_000,
        ..Options::default()
    };
    let fixture = Fixture::with(options, apricotdale_http::Options::default());
    fixture.load("engine-1", 1);
    let answer = fixture.caller().complete(headers);
    let expected = (class.to_owned(), caller.to_owned(), timeout_ms);
    assert_eq!(classified(&fixture, &answer), expected);
}

#[rstest]
#[case::valid("order-77", Some("order-77"))]
#[case::invalid("order 77; drop", None)]
fn caller_request_id(#[case] request_id: &str, #[case] correlation_id: Option<&str>) {
    let fixture = Fixture::warm();
    let mut caller = fixture.caller();
    let first = caller.complete(&[("X-Request-Id", request_id)]);
    let second = caller.complete(&[("X-Request-Id", request_id)]);
    assert_eq!(first.header("x-correlation-id"), correlation_id);
    assert_ne!(first.header("x-request-id"), second.header("x-request-id"));
    assert_ne!(first.header("x-request-id"), Some(request_id));
}

#[test]
fn body_unchanged() {
    let fixture = Fixture::warm();
    let body = format!("{{ \"model\" : \"{MODEL}\",\n\t\"odd\": [1.50, 1e3], \"stream\": null }}");
    let headers = [("X-Request-Class", "review")];
    let answer = fixture
        .caller()
        .call("POST", "/v1/chat/completions", &headers, &body);
    assert_eq!(answer.status, 200);
    let (_, request) = fixture.engine.served.lock()[0].clone();
    assert_eq!(request.body, body.as_bytes());
    assert_eq!(
        (request.path.as_str(), request.stream),
        ("/v1/chat/completions", false)
    );
    assert_eq!(
        request.priority, 60_000,
        "the class's target orders requests at the engine"
    );
}

#[test]
fn models_listed() {
    let fixture = Fixture::warm();
    let list = fixture.caller().call("GET", "/v1/models", &[], "").json();
    assert_eq!(list["data"][0]["id"], MODEL);
    let path = format!("/v1/models/{MODEL}");
    let one = fixture.caller().call("GET", &path, &[], "").json();
    assert_eq!(
        (one["id"].as_str(), one["object"].as_str()),
        (Some(MODEL), Some("model"))
    );
}
