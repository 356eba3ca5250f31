//! Answers that are none in the protocol.

mod support;

use rstest::rstest;

use apricotdale_core::errors::Error;
use apricotdale_core::names::RequestId;
use apricotdale_core::service::ServiceCall;
use support::LONG_MS;
use support::adapters_at;
use support::answering;

fn call() -> ServiceCall {
    ServiceCall {
        id: RequestId::new("r-1"),
        method: "POST".to_owned(),
        path: "/slots".to_owned(),
        content_type: "text/plain".to_owned(),
        body: b"slot 7".to_vec(),
        key: None,
        timeout_ms: LONG_MS,
    }
}

/// Guards against an answer with a status that the protocol does not define, or that of another
/// protocol which nobody asked for.
#[rstest]
fn wrong_status(#[values("000", "001", "099", "101", "600", "999")] code: &str) {
    let server = answering(format!(
        "HTTP/1.1 {code} Status\r\nContent-Length: 4\r\n\r\ndone"
    ));
    let service = adapters_at(server.address).service;
    let answer = service.call(server.address, &call());
    assert!(
        matches!(answer, Err(Error::Unknown(_) | Error::Malformed(_))),
        "{answer:?}"
    );
}

/// Guards against an answer with a field whose name is none.
#[rstest]
fn malformed_field_name(
    #[values(
        "X A: 1",
        "X\u{1}A: 1",
        "X\0A: 1",
        "XA : 1",
        "X\tA: 1",
        " XA: 1",
        ": 1",
        "X\u{7f}: 1",
        "X\u{e9}: 1",
        "Content Length: 1",
        "Content-Length : 1",
        "Content-Length\u{1}: 1"
    )]
    field: &str,
) {
    let server = answering(format!(
        "HTTP/1.1 200 OK\r\n{field}\r\nContent-Length: 4\r\n\r\ndone"
    ));
    let service = adapters_at(server.address).service;
    let answer = service.call(server.address, &call());
    assert!(
        matches!(answer, Err(Error::Unknown(_) | Error::Malformed(_))),
        "{answer:?}"
    );
}
