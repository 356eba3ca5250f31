//! Model calls under which one engine after the other crashes.

mod support;

use std::time::Instant;

use apricotdale_core::Error;
use apricotdale_core::policy::RoutingEvent;
use support::Bench;
use support::PATIENCE;
use support::engine::Act;

/// Attempts per call, as allowed by the fixture's retry policy.
const TRIES: usize = 3;

/// Minimum number of crashes before one VM blocks a request by itself.
const CRASHES: usize = 5;

/// Makes a new engine crash under a call, and returns the reason of the refusal.
fn crash(bench: &Bench, number: usize, headers: &[(&str, &str)]) -> String {
    let engine = format!("engine-{number}");
    bench.directory.replicas.lock().clear();
    bench.load(&engine, 100 + number as u16);
    for _ in 0..TRIES {
        bench
            .engine
            .script(vec![Act::Fail(Error::unknown("reset"))]);
    }
    let (_, reason, _) = bench.caller().complete(headers).refusal();
    bench.gateway.learn_routing(RoutingEvent::Removed {
        upstream: engine.as_str().into(),
    });
    reason
}

/// Guards against a call that is sent to engine after engine, each of which crashes under it.
#[test]
fn crashing_call_is_refused() {
    let bench = Bench::warm();
    let began = Instant::now();
    let mut crashes = 0;
    while crash(&bench, crashes, &[]) != "crashes_upstreams" {
        crashes += 1;
        assert!(began.elapsed() < PATIENCE, "{crashes} engines crashed");
    }
    assert!(crashes >= CRASHES, "{crashes}");
    let served = bench.engine.served_count();
    let (status, reason, ran) = bench.caller().complete(&[]).refusal();
    assert_eq!((status, reason.as_str()), (503, "crashes_upstreams"));
    assert_eq!(ran, "not_run");
    assert_eq!(bench.engine.served_count(), served);
}
