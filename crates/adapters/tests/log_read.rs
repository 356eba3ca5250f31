//! Reads of the log.

mod support;

use rstest::rstest;

use apricotdale_core::errors::Error;
use apricotdale_core::log::LogRecord;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use support::adapters_at;
use support::answering;
use support::closed_port;
use support::json;

#[test]
fn records_decoded() {
    let body = r#"{"first":2,"end":9,"records":[
        {"offset":7,"appended_ms":1790000000000,"payload":"cGF5bG9hZA=="},
        {"offset":8,"appended_ms":1790000000001,"payload":""}]}"#;
    let server = answering(json("200 OK", body));
    let log = adapters_at(server.address).log;
    let batch = log
        .read(&StreamName::new("control"), Offset(7), 100, 1_000)
        .expect("a batch");
    let expected = LogRecord {
        offset: Offset(7),
        appended_ms: 1_790_000_000_000,
        payload: b"payload".to_vec(),
    };
    assert_eq!(batch.records[0], expected);
    assert_eq!(batch.records[1].payload, b"");
    assert_eq!((batch.first, batch.end), (Offset(2), Offset(9)));
    let request = server.requests.recv().expect("one request");
    let line = "GET /streams/control/records?from=7&max=100&wait_ms=1000 HTTP/1.1\r\n";
    assert!(request.starts_with(line), "{request}");
}

#[test]
fn unreachable_log() {
    let log = adapters_at(closed_port()).log;
    let outcome = log.read(&StreamName::new("control"), Offset(0), 1, 0);
    assert!(matches!(outcome, Err(Error::Unavailable(_))), "{outcome:?}");
}

#[rstest]
#[case::down("503 Service Unavailable", "", "unavailable")]
#[case::internal("500 Internal Server Error", "", "unavailable")]
#[case::expired("410 Gone", r#"{"first":9}"#, "expired")]
#[case::expired_without_first("410 Gone", "{}", "malformed")]
#[case::not_json("200 OK", "]", "malformed")]
#[case::not_base64(
    "200 OK",
    r#"{"first":0,"end":8,"records":[{"offset":7,"appended_ms":1,"payload":"%"}]}"#,
    "malformed"
)]
#[case::negative_offset("200 OK", r#"{"first":-1,"end":8,"records":[]}"#, "malformed")]
fn failed_read_errors(#[case] status: &str, #[case] body: &str, #[case] expected: &str) {
    assert_eq!(kind(&read_at_7(status, body)), expected);
}

/// Guards against a reader that replays records without checking their offsets: an answer leaves
/// out a record, repeats one or begins elsewhere, and this VM's state would differ from that of all
/// others.
#[rstest]
#[case::gap(
    r#"[{"offset":7,"appended_ms":1,"payload":""},{"offset":9,"appended_ms":1,"payload":""}]"#
)]
#[case::repeated(
    r#"[{"offset":7,"appended_ms":1,"payload":""},{"offset":7,"appended_ms":1,"payload":""}]"#
)]
#[case::begins_later(r#"[{"offset":8,"appended_ms":1,"payload":""}]"#)]
#[case::begins_earlier(r#"[{"offset":6,"appended_ms":1,"payload":""}]"#)]
fn records_out_of_order(#[case] records: &str) {
    let body = format!(r#"{{"first":0,"end":20,"records":{records}}}"#);
    assert_eq!(kind(&read_at_7("200 OK", &body)), "malformed");
}

/// Guards against a reader that accepts contradictory answers and would read the log in a loop: an
/// offset is reported as expired and as kept, or the end precedes a returned record.
#[rstest]
#[case::expired_but_kept("410 Gone", r#"{"first":7}"#)]
#[case::ends_too_early(
    "200 OK",
    r#"{"first":0,"end":7,"records":[{"offset":7,"appended_ms":1,"payload":""}]}"#
)]
fn contradictory_answers(#[case] status: &str, #[case] body: &str) {
    assert_eq!(kind(&read_at_7(status, body)), "malformed");
}

fn read_at_7(status: &str, body: &str) -> Error {
    let server = answering(json(status, body));
    let log = adapters_at(server.address).log;
    log.read(&StreamName::new("control"), Offset(7), 100, 0)
        .expect_err("a failure")
}

fn kind(error: &Error) -> &'static str {
    match error {
        Error::Unavailable(_) => "unavailable",
        Error::Unknown(_) => "unknown",
        Error::Rejected(_) => "rejected",
        Error::StaleFence { .. } => "stale_fence",
        Error::Expired { first: Offset(9) } => "expired",
        Error::Expired { .. } => "expired elsewhere",
        Error::Malformed(_) => "malformed",
    }
}
