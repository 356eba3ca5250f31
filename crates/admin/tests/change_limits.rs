//! Limits on changes, and answers to health checks while changes wait.

mod fake_source;

use std::thread;
use std::thread::JoinHandle;

use apricotdale_admin::AdminClient;
use apricotdale_admin::AdminServer;
use apricotdale_admin::ClientOptions;
use apricotdale_admin::Error;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::PublishRequest;
use apricotdale_admin::Result;
use apricotdale_admin::ServerOptions;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::numbers::ConfigVersion;

use fake_source::FakeSource;
use fake_source::class;

const LIMITS: ServerOptions = ServerOptions {
    max_requests: 3,
    max_changes: 2,
    max_body_bytes: 1_000,
};

fn change(operator: &str) -> PublishRequest {
    PublishRequest {
        operator: operator.to_owned(),
        change_id: None,
        base_version: ConfigVersion(7),
        edits: vec![ConfigEdit::PutClass(class("quick", 900))],
    }
}

fn client(server: &AdminServer) -> AdminClient {
    AdminClient::new(server.address(), ClientOptions::default())
}

fn publish_in_background(server: &AdminServer) -> JoinHandle<Result<PublishOutcome>> {
    let client = client(server);
    thread::spawn(move || client.publish(&change("lise")))
}

/// Guards against VMs that the platform replaces although they serve well: while the log is slow,
/// operators retry their changes until every thread of the server waits for the log. Without a free
/// thread the health check gets no answer.
#[test]
fn health_during_changes() {
    let source = FakeSource::new();
    let server = source.serve_with(LIMITS);
    let gate = source.close_gate();
    let waiting = [
        publish_in_background(&server),
        publish_in_background(&server),
    ];
    source.await_waiting(2);

    let third = client(&server).publish(&change("mads"));
    assert!(matches!(third, Err(Error::Busy(_))), "{third:?}");
    assert!(client(&server).status().is_ok());
    assert_eq!(source.published.lock().unwrap().len(), 2);

    drop(gate);
    for change in waiting {
        assert!(change.join().unwrap().is_ok());
    }
    assert!(client(&server).publish(&change("mads")).is_ok());
}

#[test]
fn large_body_refused() {
    let source = FakeSource::new();
    let server = source.serve_with(LIMITS);
    let answer = client(&server).publish(&change(&"x".repeat(2_000)));
    assert!(matches!(answer, Err(Error::BodyTooLarge(_))), "{answer:?}");
    assert!(source.published.lock().unwrap().is_empty());
}

#[test]
fn unknown_field_refused() {
    let source = FakeSource::new();
    let server = source.serve();
    let url = format!("http://{}/admin/config", server.address());
    let body = r#"{"operator":"lise","base_version":7,"edits":[],"weights":{"a":1}}"#;
    let answer = ureq::post(url).send(body);
    assert!(
        matches!(answer, Err(ureq::Error::StatusCode(400))),
        "{answer:?}"
    );
    assert!(source.published.lock().unwrap().is_empty());
}

#[test]
fn stop_during_change() {
    let source = FakeSource::new();
    let server = source.serve();
    let gate = source.close_gate();
    let address = server.address();
    let waiting = publish_in_background(&server);
    source.await_waiting(1);
    let stopped = thread::spawn(move || server.stop());
    drop(gate);
    assert!(waiting.join().unwrap().is_ok());
    stopped.join().unwrap();
    let after = AdminClient::new(address, ClientOptions::default()).status();
    assert!(matches!(after, Err(Error::Unreachable(_))), "{after:?}");
}
