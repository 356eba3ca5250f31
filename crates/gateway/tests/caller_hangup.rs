//! A caller's hang-up ends its request at once, in every state of the request.

mod support;

use std::time::Duration;

use apricotdale_core::refusal::Ran;
use apricotdale_core::serving::DemandEvent;
use support::Fixture;
use support::caller::Piece;
use support::engine::ScriptStep;
use support::engine::event;
use support::engine::stream_head;

#[test]
fn waiting_request_withdrawn() {
    let fixture = Fixture::cold();
    let mut caller = fixture.caller();
    caller.send_completion(&[]);
    fixture
        .demand
        .0
        .wait_for(|event| matches!(event, DemandEvent::Arrived { .. }));
    drop(caller);
    fixture
        .demand
        .0
        .wait_for(|event| matches!(event, DemandEvent::Ended { .. }));
    fixture.wait_idle();
    let gone = ("caller_gone".to_owned(), Ran::NotRun);
    assert_eq!(fixture.observer.refusals(), [gone]);
    fixture.load_with("engine-1", 1, 1);
    assert_eq!(fixture.caller().complete(&[]).status, 200);
    assert_eq!(
        fixture.engine.served_count(),
        1,
        "a withdrawn request was sent"
    );
}

/// Guards against a hang-up that is noticed only at the next write: the caller closes its
/// connection while the engine has not answered, and the engine must not go on working for it.
#[test]
fn unresponsive_engine_cancelled() {
    let fixture = Fixture::warm();
    fixture
        .engine
        .script(vec![ScriptStep::Hold, ScriptStep::Cut]);
    let mut caller = fixture.caller();
    caller.send_completion(&[]);
    let held = fixture.engine.wait_held();
    drop(caller);
    assert_eq!(fixture.engine.wait_cancelled(), held);
    fixture.wait_idle();
    let gone = ("caller_gone".to_owned(), Ran::Unknown);
    assert_eq!(fixture.observer.refusals(), [gone]);
}

#[test]
fn stream_cancelled() {
    let fixture = Fixture::warm();
    fixture.engine.script(vec![
        stream_head(),
        event("a"),
        ScriptStep::Hold,
        event("b"),
    ]);
    let mut caller = fixture.caller();
    caller.stream(&[]);
    caller.head();
    assert!(matches!(caller.piece(), Piece::Data(_)));
    let held = fixture.engine.wait_held();
    drop(caller);
    assert_eq!(fixture.engine.wait_cancelled(), held);
    fixture.wait_idle();
    fixture.engine.release.0.send(()).expect("the engine holds");
    let dropped = fixture.engine.dropped.1.recv_timeout(support::TEST_TIMEOUT);
    assert_eq!(dropped, Ok(held));
    let gone = ("caller_gone".to_owned(), Ran::Ran);
    assert_eq!(fixture.observer.refusals(), [gone]);
}

/// Guards against a relay that waits for the caller without limit: the caller keeps its connection
/// open and reads nothing, so the buffers fill up and the engine's slot stays occupied.
#[test]
fn unread_stream_cancelled() {
    let limits = apricotdale_http::Options {
        write_timeout: Duration::from_millis(100),
        ..apricotdale_http::Options::default()
    };
    let fixture = Fixture::with(apricotdale_gateway::Options::default(), limits);
    fixture.load("engine-1", 1);
    let mut steps = vec![stream_head()];
    let long = "x".repeat(256 * 1024);
    steps.extend((0..100).map(|_| event(&long)));
    fixture.engine.script(steps);
    let mut caller = fixture.caller();
    caller.stream(&[]);
    fixture.engine.wait_cancelled();
    fixture.wait_idle();
    let gone = ("caller_gone".to_owned(), Ran::Ran);
    assert_eq!(fixture.observer.refusals(), [gone]);
}
