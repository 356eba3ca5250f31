//! Appends to the log, and which of their outcomes are certain.

mod support;

use rstest::rstest;

use apricotdale_core::errors::Error;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::refusal::Ran;
use support::adapters_at;
use support::answering;
use support::closed_port;
use support::json;

#[test]
fn append_offset() {
    let server = answering(json("201 Created", r#"{"offset":7}"#));
    let log = adapters_at(server.address).log;
    let offset = log.append(&StreamName::new("claims/3"), b"payload");
    assert_eq!(offset, Ok(Offset(7)));
    let request = server.requests.recv().expect("one request");
    assert!(request.starts_with("POST /streams/claims%2F3/records HTTP/1.1\r\n"));
    assert!(request.ends_with("\r\n\r\npayload"));
}

#[test]
fn refused_connection() {
    let log = adapters_at(closed_port()).log;
    let outcome = log.append(&StreamName::new("control"), b"payload");
    assert!(matches!(outcome, Err(Error::Unavailable(_))), "{outcome:?}");
}

/// Guards against a failed answer that is taken for a failed append: the log has appended the
/// record, and its answer is lost, cut or malformed. A second append would duplicate a claim.
#[rstest]
#[case::too_many("429 Too Many Requests", "", Ran::NotRun)]
#[case::down("503 Service Unavailable", "", Ran::NotRun)]
#[case::internal("500 Internal Server Error", "", Ran::Unknown)]
#[case::gateway("502 Bad Gateway", "", Ran::Unknown)]
#[case::bad_request("400 Bad Request", "", Ran::Unknown)]
#[case::redirect("302 Found\r\nLocation: http://127.0.0.1:1/", "", Ran::Unknown)]
#[case::not_json("201 Created", "{", Ran::Unknown)]
#[case::no_offset("201 Created", "{}", Ran::Unknown)]
#[case::other_success("200 OK", r#"{"offset":7}"#, Ran::Unknown)]
fn append_certainty(#[case] status: &str, #[case] body: &str, #[case] ran: Ran) {
    let server = answering(json(status, body));
    let log = adapters_at(server.address).log;
    let outcome = log.append(&StreamName::new("control"), b"payload");
    let error = outcome.expect_err("a failure");
    assert_eq!(error.ran(), ran, "{error}");
}
