//! Answers that are returned as one piece: of engines, plain services and the platform.

mod support;

use rstest::rstest;

use apricotdale_core::engine::ServeRequest;
use apricotdale_core::errors::Error;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::RequestId;
use apricotdale_core::service::ServiceCall;
use apricotdale_core::vm_list::VmState;
use support::LONG_MS;
use support::adapters_at;
use support::answer;
use support::answering;
use support::closed_port;
use support::json;

fn call(method: &str, body: &str) -> ServiceCall {
    ServiceCall {
        id: RequestId::new("r-1"),
        method: method.to_owned(),
        path: "/slots?day=2".to_owned(),
        content_type: "text/plain".to_owned(),
        body: body.as_bytes().to_vec(),
        key: Some(IdempotencyKey::new("k-1")),
        timeout_ms: LONG_MS,
    }
}

#[rstest]
#[case("GET", "")]
#[case("GET", "with a body")]
#[case("POST", "slot 7")]
#[case("POST", "")]
#[case("PUT", "slot 7")]
#[case("PATCH", "slot 7")]
#[case("DELETE", "")]
#[case("DELETE", "slot 7")]
#[case("OPTIONS", "")]
#[case("PURGE", "slot 7")]
fn methods_forwarded(#[case] method: &str, #[case] body: &str) {
    let server = answering(answer("418 Teapot", "text/x", "done"));
    let service = adapters_at(server.address).service;
    let answer = service
        .call(server.address, &call(method, body))
        .expect("an answer");
    assert_eq!(answer.status, 418);
    assert_eq!(answer.content_type, "text/x");
    assert_eq!(answer.body, b"done");
    let request = server.requests.recv().expect("one request");
    assert!(request.starts_with(&format!("{method} /slots?day=2 HTTP/1.1\r\n")));
    assert!(request.ends_with(&format!("\r\n\r\n{body}")), "{request}");
    let head = request.to_lowercase();
    assert!(head.contains("x-request-id: r-1\r\n"), "{head}");
    assert!(head.contains("idempotency-key: k-1\r\n"), "{head}");
}

#[rstest]
#[case::head("HEAD", "200 OK\r\nContent-Length: 44")]
#[case::head_without_length("HEAD", "200 OK")]
#[case::no_content("POST", "204 No Content")]
#[case::not_modified("GET", "304 Not Modified")]
fn bodyless_answers(#[case] method: &str, #[case] status: &str) {
    let server = answering(format!("HTTP/1.1 {status}\r\n\r\n"));
    let service = adapters_at(server.address).service;
    let answer = service.call(server.address, &call(method, ""));
    assert_eq!(answer.map(|answer| answer.body), Ok(Vec::new()));
}

#[test]
fn chunked_answer() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let server = answering(format!("{head}2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"));
    let service = adapters_at(server.address).service;
    let answer = service.call(server.address, &call("GET", ""));
    assert_eq!(answer.map(|answer| answer.body), Ok(b"abc".to_vec()));
}

#[test]
fn interim_answer() {
    let complete = String::from_utf8(json("200 OK", "{}")).expect("text");
    let server = answering(format!("HTTP/1.1 100 Continue\r\n\r\n{complete}"));
    let service = adapters_at(server.address).service;
    let answer = service.call(server.address, &call("POST", "slot 7"));
    assert_eq!(answer.map(|answer| answer.status), Ok(200));
}

#[rstest]
#[case::head(format!("X-Padding: {}\r\nContent-Length: 0", "x".repeat(64 * 1024)), "unknown")]
#[case::body(format!("Content-Length: {}", u64::MAX / 2), "malformed")]
#[case::length("Content-Length: many".to_owned(), "unknown")]
fn oversized_answers(#[case] headers: String, #[case] expected: &str) {
    let server = answering(format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n"));
    let service = adapters_at(server.address).service;
    let error = service
        .call(server.address, &call("POST", ""))
        .expect_err("a refusal");
    match expected {
        "unknown" => assert!(matches!(error, Error::Unknown(_)), "{error}"),
        _ => assert!(matches!(error, Error::Malformed(_)), "{error}"),
    }
}

/// Guards against a status that is turned into an error and hides the body: the engine refuses with
/// "not loaded", and the request should be retried elsewhere.
#[test]
fn engine_refusal_body() {
    let body = r#"{"error":{"code":"model_not_loaded"}}"#;
    let server = answering(json("404 Not Found", body));
    let serving = adapters_at(server.address).serving;
    let request = ServeRequest {
        id: RequestId::new("r-1"),
        path: "/v1/chat/completions".to_owned(),
        body: b"{}".to_vec(),
        stream: true,
        first_byte_timeout_ms: LONG_MS,
        idle_timeout_ms: LONG_MS,
        priority: 3,
    };
    let mut answer = serving.serve(server.address, &request).expect("a head");
    assert_eq!(answer.head().status, 404);
    assert_eq!(answer.head().id, None);
    assert_eq!(answer.next_piece(), Ok(Some(body.as_bytes().to_vec())));
    assert_eq!(answer.next_piece(), Ok(None));
}

#[test]
fn cancellation_path() {
    let server = answering(json("200 OK", ""));
    let serving = adapters_at(server.address).serving;
    let outcome = serving.cancel(server.address, &RequestId::new("r/1"));
    assert_eq!(outcome, Ok(()));
    let request = server.requests.recv().expect("one request");
    assert!(request.starts_with("POST /v1/cancel/r%2F1 HTTP/1.1\r\n"));
}

#[test]
fn weight_store_reads() {
    let server = answering(json("200 OK", r#"{"bytes":9}"#));
    let weights = adapters_at(server.address).weights;
    assert_eq!(weights.size_bytes(&ModelName::new("org/m?")), Ok(9));
    let request = server.requests.recv().expect("one request");
    assert!(request.starts_with("GET /models/org%2Fm%3F HTTP/1.1\r\n"));

    let body = r#"{"active_loads":1,"full_speed_loads":4,"loads_per_s":15}"#;
    let server = answering(json("200 OK", body));
    let weights = adapters_at(server.address).weights;
    assert_eq!(weights.status().map(|status| status.loads_per_s), Ok(15));

    let server = answering(json("404 Not Found", ""));
    let weights = adapters_at(server.address).weights;
    let outcome = weights.size_bytes(&ModelName::new("m"));
    assert!(matches!(outcome, Err(Error::Rejected(_))), "{outcome:?}");

    let weights = adapters_at(closed_port()).weights;
    let outcome = weights.status();
    assert!(matches!(outcome, Err(Error::Unavailable(_))), "{outcome:?}");
}

#[test]
fn vm_list_reads() {
    let body = r#"{"as_of_ms":5,"entries":[{"name":"vm-1","role":"entry","group":"g",
        "zone":"hall-a","address":"127.0.0.1:80","state":"leaving"}]}"#;
    let server = answering(json("200 OK", body));
    let listing = adapters_at(server.address).vm_list.list().expect("a list");
    assert_eq!(listing.entries[0].state, VmState::Leaving);

    let server = answering(json("200 OK", r#"{"as_of_ms":5,"entries":[{}]}"#));
    let outcome = adapters_at(server.address).vm_list.list();
    assert!(matches!(outcome, Err(Error::Malformed(_))), "{outcome:?}");

    let server = answering(json("503 Service Unavailable", ""));
    let outcome = adapters_at(server.address).vm_list.list();
    assert!(matches!(outcome, Err(Error::Unavailable(_))), "{outcome:?}");
}

#[test]
fn monotonic_clock() {
    let clock = adapters_at(closed_port()).clock;
    let mut last = clock.monotonic_ms();
    for _ in 0..1_000 {
        let now = clock.monotonic_ms();
        assert!(now >= last);
        last = now;
    }
    assert!(clock.unix_ms() > 1_700_000_000_000);
}
