//! Calls of the operators' interface from a client to a server over a socket.

mod fake_source;

use std::sync::atomic::Ordering;

use apricotdale_admin::AdminClient;
use apricotdale_admin::AdminSource;
use apricotdale_admin::ClientOptions;
use apricotdale_admin::Error;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::PublishRequest;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::names::RequestId;
use apricotdale_core::numbers::ConfigVersion;
use rstest::rstest;

use fake_source::FakeSource;
use fake_source::KNOWN_REQUEST;
use fake_source::class;

fn change(base_version: u64) -> PublishRequest {
    PublishRequest {
        operator: "lise".to_owned(),
        change_id: Some(5),
        base_version: ConfigVersion(base_version),
        edits: vec![ConfigEdit::PutClass(class("re-plan", 60_000))],
    }
}

#[test]
fn views_unchanged() {
    let source = FakeSource::new();
    let server = source.serve();
    let client = AdminClient::new(server.address(), ClientOptions::default());
    assert_eq!(client.status(), Ok(source.status()));
    assert_eq!(client.config(), source.config());
    assert_eq!(client.models(), source.models());
    assert_eq!(client.upstreams(), source.upstreams());
    assert_eq!(client.members(), source.members());
    let request = RequestId::new(KNOWN_REQUEST);
    assert_eq!(client.explain(&request), source.explain(&request));
}

#[test]
fn errors_unchanged() {
    let source = FakeSource::new();
    let server = source.serve();
    let client = AdminClient::new(server.address(), ClientOptions::default());
    let unknown = RequestId::new("entry-1.43");
    assert_eq!(
        client.explain(&unknown),
        Err(Error::not_found("request entry-1.43"))
    );
    source.ready.store(false, Ordering::SeqCst);
    assert_eq!(client.models(), source.models());
    assert!(matches!(client.config(), Err(Error::NotReady(_))));
    assert!(
        client.status().is_ok(),
        "the status is available before the daemon is ready"
    );
}

#[test]
fn stale_base_version() {
    let source = FakeSource::new();
    let server = source.serve();
    let client = AdminClient::new(server.address(), ClientOptions::default());
    let version = ConfigVersion(8);
    assert_eq!(
        client.publish(&change(7)),
        Ok(PublishOutcome::Accepted { version })
    );
    assert!(matches!(
        client.publish(&change(7)),
        Ok(PublishOutcome::Rejected { reason, .. }) if reason == "version_conflict"
    ));
    assert_eq!(source.published.lock().unwrap()[0], change(7));
}

#[test]
fn unknown_outcome() {
    let source = FakeSource::new();
    let unknown = PublishOutcome::Unknown {
        change_id: 5,
        detail: "the append's answer was lost".to_owned(),
    };
    *source.next_outcome.lock().unwrap() = Some(unknown.clone());
    let server = source.serve();
    let client = AdminClient::new(server.address(), ClientOptions::default());
    assert_eq!(client.publish(&change(7)), Ok(unknown));
}

#[test]
fn repeated_drain() {
    let source = FakeSource::new();
    let server = source.serve();
    let client = AdminClient::new(server.address(), ClientOptions::default());
    assert!(!client.drain().unwrap().was_draining);
    assert!(client.drain().unwrap().was_draining);
}

#[rstest]
#[case::live("GET", "/health/live", 200, "text/plain; charset=utf-8")]
#[case::ready("GET", "/health/ready", 200, "text/plain; charset=utf-8")]
#[case::metrics(
    "GET",
    "/metrics",
    200,
    "application/openmetrics-text; version=1.0.0; charset=utf-8"
)]
#[case::view("GET", "/admin/status", 200, "application/json")]
#[case::other_path("GET", "/admin/weights", 404, "application/problem+json")]
#[case::other_method("DELETE", "/admin/config", 405, "application/problem+json")]
#[case::post_to_view("POST", "/admin/models", 405, "application/problem+json")]
#[case::no_request("GET", "/admin/requests/", 400, "application/problem+json")]
#[case::no_body("POST", "/admin/config", 400, "application/problem+json")]
fn status_and_content_type(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
    #[case] content_type: &str,
) {
    let server = FakeSource::new().serve();
    let (got_status, got_type, _) = call(&server, method, path);
    assert_eq!((got_status, got_type.as_str()), (status, content_type));
}

#[test]
fn readiness_reason() {
    let source = FakeSource::new();
    source.ready.store(false, Ordering::SeqCst);
    let server = source.serve();
    let (status, content_type, body) = call(&server, "GET", "/health/ready");
    assert_eq!(
        (status, content_type.as_str()),
        (503, "application/problem+json")
    );
    assert!(
        body.contains("the control stream is not replayed"),
        "{body}"
    );
    assert_eq!(call(&server, "GET", "/health/live").0, 200);
}

fn call(
    server: &apricotdale_admin::AdminServer,
    method: &str,
    path: &str,
) -> (u16, String, String) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", server.address()))
        .body(())
        .expect("the request is well-formed");
    let mut answer = agent.run(request).expect("the server answers");
    let content_type = answer.headers()["content-type"]
        .to_str()
        .unwrap()
        .to_owned();
    let body = answer.body_mut().read_to_string().unwrap();
    (answer.status().as_u16(), content_type, body)
}
