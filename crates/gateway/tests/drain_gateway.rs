//! A draining VM refuses new requests and finishes those that it has.

mod support;

use std::time::Duration;

use support::Bench;
use support::PATIENCE;
use support::caller::Piece;
use support::engine::Act;
use support::engine::done;
use support::engine::event;
use support::engine::stream_head;

/// Guards against a drain that cuts streams off or drops waiting requests: one stream is in
/// progress and one request waits for a load when the drain begins.
#[test]
fn requests_in_progress_end_and_new_ones_are_refused() {
    let bench = Bench::cold();
    let mut waiting = bench.caller();
    waiting.send_completion(&[]);
    bench.demand.0.wait_for(|event| {
        matches!(
            event,
            apricotdale_core::serving::DemandEvent::Arrived { .. }
        )
    });
    let stream = vec![stream_head(), event("a"), Act::Hold, event("b"), done()];
    bench.engine.script(vec![
        Act::Hold,
        Act::Head(200, "application/json", Some("{id}")),
        Act::Piece("{}".to_owned()),
    ]);
    bench.engine.script(stream);
    bench.load("engine-1", 1);
    bench.engine.wait_held();
    let mut streaming = bench.caller();
    streaming.stream(&[]);
    streaming.head();
    streaming.piece();
    bench.engine.wait_held();
    let mut idle = bench.caller();
    assert_eq!(idle.call("GET", "/health/ready", &[], "").status, 200);

    bench.gateway.drain();
    let refused = bench.caller().complete(&[]);
    assert_eq!(
        refused.refusal(),
        (503, "draining".to_owned(), "not_run".to_owned())
    );
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert_eq!(idle.call("GET", "/health/ready", &[], "").status, 503);
    bench.server.stop();
    assert!(!bench.gateway.wait_idle(Duration::ZERO));
    assert!(bench.gateway.in_progress() >= 2);

    for _ in 0..2 {
        bench.engine.release.0.send(()).expect("the engine holds");
    }
    assert_eq!(waiting.answer().status, 200);
    assert!(matches!(streaming.piece(), Piece::Data(text) if text.contains("\"b\"")));
    assert!(matches!(streaming.piece(), Piece::Data(text) if text.contains("[DONE]")));
    assert_eq!(streaming.piece(), Piece::End);
    bench.settle();
    assert!(bench.server.wait_idle(PATIENCE));
}
