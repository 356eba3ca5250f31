//! Model calls under which one engine after the other crashes.

mod support;

use std::time::Instant;

use apricotdale_core::Error;
use apricotdale_core::policy::RoutingEvent;
use support::Fixture;
use support::TEST_TIMEOUT;
use support::engine::ScriptStep;

/// Attempts per call, as allowed by the fixture's retry policy.
const ATTEMPTS: usize = 3;

/// Minimum number of crashes before one VM blocks a request by itself.
const MIN_CRASHES: usize = 5;

/// Makes a new engine crash under a call, and returns the reason of the refusal.
fn crash(fixture: &Fixture, number: usize, headers: &[(&str, &str)]) -> String {
    let engine = format!("engine-{number}");
    fixture.directory.replicas.lock().clear();
    fixture.load(&engine, 100 + number as u16);
    for _ in 0..ATTEMPTS {
        fixture
            .engine
            .script(vec![ScriptStep::Fail(Error::unknown("reset"))]);
    }
    let (_, reason, _) = fixture.caller().complete(headers).refusal();
    fixture.gateway.learn_routing(RoutingEvent::Removed {
        upstream: engine.as_str().into(),
    });
    reason
}

/// Guards against a call that is sent to engine after engine, each of which crashes under it.
#[test]
fn crashing_call_refused() {
    let fixture = Fixture::warm();
    let began = Instant::now();
    let mut crashes = 0;
    while crash(&fixture, crashes, &[]) != "crashes_upstreams" {
        crashes += 1;
        assert!(began.elapsed() < TEST_TIMEOUT, "{crashes} engines crashed");
    }
    assert!(crashes >= MIN_CRASHES, "{crashes}");
    let served = fixture.engine.served_count();
    let (status, reason, ran) = fixture.caller().complete(&[]).refusal();
    assert_eq!((status, reason.as_str()), (503, "crashes_upstreams"));
    assert_eq!(ran, "not_run");
    assert_eq!(fixture.engine.served_count(), served);
}
