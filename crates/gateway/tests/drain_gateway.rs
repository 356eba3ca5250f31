//! A draining VM refuses new requests and finishes those that it has.

mod support;

use std::time::Duration;

use support::Fixture;
use support::TEST_TIMEOUT;
use support::caller::Piece;
use support::engine::ScriptStep;
use support::engine::done;
use support::engine::event;
use support::engine::stream_head;

/// Guards against a drain that cuts streams off or drops waiting requests: one stream is in
/// progress and one request waits for a load when the drain begins.
#[test]
fn drain_finishes_requests() {
    let fixture = Fixture::cold();
    let mut waiting = fixture.caller();
    waiting.send_completion(&[]);
    fixture.demand.0.wait_for(|event| {
        matches!(
            event,
            apricotdale_core::serving::DemandEvent::Arrived { .. }
        )
    });
    let stream = vec![
        stream_head(),
        event("a"),
        ScriptStep::Hold,
        event("b"),
        done(),
    ];
    fixture.engine.script(vec![
        ScriptStep::Hold,
        ScriptStep::Head(200, "application/json", Some("{id}")),
        ScriptStep::Piece("{}".to_owned()),
    ]);
    fixture.engine.script(stream);
    fixture.load("engine-1", 1);
    fixture.engine.wait_held();
    let mut streaming = fixture.caller();
    streaming.stream(&[]);
    streaming.head();
    streaming.piece();
    fixture.engine.wait_held();
    let mut idle = fixture.caller();
    assert_eq!(idle.call("GET", "/health/ready", &[], "").status, 200);

    fixture.gateway.drain();
    let refused = fixture.caller().complete(&[]);
    assert_eq!(
        refused.refusal(),
        (503, "draining".to_owned(), "not_run".to_owned())
    );
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert_eq!(idle.call("GET", "/health/ready", &[], "").status, 503);
    fixture.server.stop();
    assert!(!fixture.gateway.wait_idle(Duration::ZERO));
    assert!(fixture.gateway.in_progress() >= 2);

    for _ in 0..2 {
        fixture.engine.release.0.send(()).expect("the engine holds");
    }
    assert_eq!(waiting.answer().status, 200);
    assert!(matches!(streaming.piece(), Piece::Data(text) if text.contains("\"b\"")));
    assert!(matches!(streaming.piece(), Piece::Data(text) if text.contains("[DONE]")));
    assert_eq!(streaming.piece(), Piece::End);
    fixture.wait_idle();
    assert!(fixture.server.wait_idle(TEST_TIMEOUT));
}
