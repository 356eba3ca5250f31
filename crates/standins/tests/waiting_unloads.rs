//! Unloads of the platform's engines, which wait for running requests, and loads of models whose
//! weights are in the host's memory or on disk.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::PlatformEngine;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteRequest;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Durations of loads that differ enough to be told apart.
const DISK_LOAD_MS: u64 = 500;
const MEMORY_LOAD_MS: u64 = 50;

fn site() -> Site {
    let engine = EngineOptions {
        instance: "i-0".to_owned(),
        models: vec!["m0".to_owned(), "m1".to_owned()],
        on_disk: vec!["m2".to_owned(), "m3".to_owned()],
        unload_ms: 0,
        disk_load_ms: DISK_LOAD_MS,
        memory_load_ms: MEMORY_LOAD_MS,
        memory_copies: 1,
        ..EngineOptions::default()
    };
    let options = SiteOptions {
        engines: vec![engine],
        ..SiteOptions::default()
    };
    Site::start(options).expect("site starts")
}

/// Sends an order and returns the status of its answer.
fn order(address: SocketAddr, operation: &str, model: &str) -> u16 {
    let body = format!(
        "{{\"operation\":\"{operation}\",\"model\":\"{model}\",\"holder\":\"vm0\",\
         \"fencing_token\":1}}"
    );
    let request = SiteRequest::new("POST", "/api/order", "").with_body(body.as_bytes());
    let mut caller = Caller::connect(address, TIMEOUT).expect("the engine listens");
    caller.ask(&request).expect("orders are answered").status()
}

/// Waits until an order is no longer refused because of another, and returns its status.
fn order_when_free(address: SocketAddr, operation: &str, model: &str) -> u16 {
    let until = Instant::now() + TIMEOUT;
    loop {
        match order(address, operation, model) {
            409 if Instant::now() < until => std::thread::yield_now(),
            status => return status,
        }
    }
}

/// Returns how long the last load of a model took.
fn load_time(engine: &PlatformEngine, model: &str) -> Duration {
    let residences = engine.residences();
    let mut loads = residences.iter().rev().filter(|it| it.model == model);
    let last = loads.next().expect("the model was loaded");
    last.from - last.ordered
}

/// Guards against an engine that unloads a model under a running request, takes another order or
/// begins further requests on the model meanwhile, or never ends the unload.
#[test]
fn unload_waits_for_stream() {
    let site = site();
    let address = site.engine_addresses[0];
    let mut streaming = Caller::connect(address, TIMEOUT).expect("the engine listens");
    site.engines[0].push_fault(AnswerFault::MuteAfter { events: 2 });
    let request = SiteRequest::patient("p1", "m0");
    streaming.send(&request.bytes()).expect("request is sent");
    streaming.wait_event(2).expect("the stream begins");

    assert_eq!(order(address, "unload", "m0"), 202);
    assert_eq!(order(address, "load", "m2"), 409);
    assert_eq!(order(address, "unload", "m1"), 409);
    let mut other = Caller::connect(address, TIMEOUT).expect("the engine listens");
    let late = other.ask(&SiteRequest::patient("p2", "m0"));
    assert_eq!(late.expect("requests are answered").status(), 421);
    let resident = other.ask(&SiteRequest::patient("p3", "m1"));
    assert_eq!(resident.expect("requests are answered").status(), 200);
    assert_eq!(order(address, "load", "m2"), 409);

    streaming.leave();
    assert_eq!(order_when_free(address, "load", "m2"), 202);
    assert!(!site.engines[0].serves("m0"));
    assert_eq!(site.engines[0].effects().overcommitted, 0);
    site.stop();
}

/// Guards against loads that take the same time whether the host's memory holds the weights, and
/// against more copies in memory than the host has room for.
#[rstest]
#[case::in_memory(&["m0"], "m0", MEMORY_LOAD_MS, DISK_LOAD_MS)]
#[case::dropped_from_memory(&["m0", "m1"], "m0", DISK_LOAD_MS, u64::MAX)]
#[case::on_disk(&[], "m3", DISK_LOAD_MS, u64::MAX)]
fn load_duration(
    #[case] unloaded: &[&str],
    #[case] loaded: &str,
    #[case] min_ms: u64,
    #[case] max_ms: u64,
) {
    let site = site();
    let address = site.engine_addresses[0];
    for model in unloaded {
        assert_eq!(order_when_free(address, "unload", model), 202);
    }
    assert_eq!(order_when_free(address, "load", loaded), 202);
    // An order of a loaded model is answered with 200 once the load has ended.
    assert_eq!(order_when_free(address, "load", loaded), 200);
    let took = load_time(&site.engines[0], loaded);
    assert!(took >= Duration::from_millis(min_ms), "{took:?}");
    assert!(took < Duration::from_millis(max_ms), "{took:?}");
    site.stop();
}
