//! Orders to engines, and reports from engines.

mod support;

use rstest::rstest;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::engine::LoadOrder;
use apricotdale_core::engine::Residency;
use apricotdale_core::errors::Error;
use apricotdale_core::names::ModelName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::FencingToken;
use support::LONG_MS;
use support::adapters_at;
use support::answering;
use support::closed_port;
use support::json;

const STATUS: &str = r#"{"boot":4,"sequence":9,"capacity_bytes":80,"checks_fence":true,
    "highest_fence":12,"residents":[{"model":"m","residency":"loaded","bytes":7,"fence":12}]}"#;

fn order() -> LoadOrder {
    LoadOrder {
        model: ModelName::new("m"),
        base: Some(ModelName::new("base")),
        bytes: 7,
        fence: FencingToken(12),
    }
}

#[test]
fn load_status() {
    let server = answering(json("200 OK", STATUS));
    let orders = adapters_at(server.address).orders;
    let status = orders
        .load(server.address, &order(), LONG_MS)
        .expect("a status");
    assert_eq!((status.boot, status.sequence), (BootId(4), 9));
    assert_eq!(status.residents[0].residency, Residency::Loaded);
    let request = server.requests.recv().expect("one request");
    assert!(request.starts_with("POST /orders/load HTTP/1.1\r\n"));
    assert!(request.ends_with(r#"{"model":"m","base":"base","bytes":7,"fence":12}"#));
}

#[rstest]
#[case::stale("409 Conflict", r#"{"reason":"stale_fence","highest":40}"#, Error::StaleFence { highest: 40 })]
#[case::no_memory(
    "422 Unprocessable",
    r#"{"reason":"no_memory"}"#,
    Error::rejected("no_memory")
)]
#[case::no_base(
    "422 Unprocessable",
    r#"{"reason":"base_missing"}"#,
    Error::rejected("base_missing")
)]
#[case::other_conflict("409 Conflict", r#"{"reason":"busy"}"#, Error::rejected("busy"))]
fn refused_order(#[case] status: &str, #[case] body: &str, #[case] expected: Error) {
    let server = answering(json(status, body));
    let orders = adapters_at(server.address).orders;
    let outcome = orders.load(server.address, &order(), LONG_MS);
    assert_eq!(outcome, Err(expected));
}

/// Guards against an order that is taken for refused after an answer that can't be parsed: the
/// engine may have loaded the model, and a second replica would be loaded beside the first.
#[rstest]
#[case::status_not_json("200 OK", "loaded")]
#[case::status_incomplete("200 OK", r#"{"boot":4}"#)]
#[case::refusal_not_json("409 Conflict", "<html>")]
#[case::refusal_without_reason("422 Unprocessable", "{}")]
#[case::internal("500 Internal Server Error", r#"{"reason":"no_memory"}"#)]
#[case::unavailable("503 Service Unavailable", "")]
#[case::not_found("404 Not Found", "")]
fn malformed_order_answer(#[case] status: &str, #[case] body: &str) {
    let server = answering(json(status, body));
    let orders = adapters_at(server.address).orders;
    let outcome = orders.load(server.address, &order(), LONG_MS);
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
}

#[test]
fn report_reads() {
    let load = r#"{"as_of_ms":5,"running":1,"waiting":2,"slots":3,
        "checkpoints":[{"model":"m","tier":"disk"}]}"#;
    let server = answering(json("200 OK", load));
    let reports = adapters_at(server.address).reports;
    let report = reports.load_report(server.address).expect("a report");
    assert_eq!((report.running, report.waiting, report.slots), (1, 2, 3));
    assert_eq!(report.checkpoints[0].tier, CacheTier::Disk);

    let server = answering(json("200 OK", STATUS));
    let status = reports.status(server.address).expect("a status");
    assert_eq!(status.highest_fence, FencingToken(12));

    let events = r#"[{"sequence":8,"prefix_hash":1,"cached":true}]"#;
    let server = answering(json("200 OK", events));
    let events = reports.cache_events(server.address, 7).expect("events");
    assert_eq!(events[0].sequence, 8);
    let request = server.requests.recv().expect("one request");
    assert!(request.starts_with("GET /cache-events?after=7 HTTP/1.1\r\n"));
}

#[test]
fn unreachable_engine() {
    let address = closed_port();
    let outcome = adapters_at(address).reports.status(address);
    assert!(matches!(outcome, Err(Error::Unavailable(_))), "{outcome:?}");
}

/// Guards against answers that are read without a size limit: a faulty upstream answers without
/// end, and the daemon would run out of memory.
#[test]
fn endless_answer() {
    let endless = support::serve(|stream| {
        use std::io::Write;
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut sent = stream.write_all(head.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(b"8\r\n        \r\n");
        }
    });
    let reports = adapters_at(endless.address).reports;
    let outcome = reports.status(endless.address);
    assert!(matches!(outcome, Err(Error::Malformed(_))), "{outcome:?}");
}
