//! A caller's hang-up ends its request at once, in every state of the request.

mod support;

use std::time::Duration;

use apricotdale_core::refusal::Ran;
use apricotdale_core::serving::DemandEvent;
use support::Bench;
use support::caller::Piece;
use support::engine::Act;
use support::engine::event;
use support::engine::stream_head;

#[test]
fn a_waiting_request_is_withdrawn() {
    let bench = Bench::cold();
    let mut caller = bench.caller();
    caller.send_completion(&[]);
    bench
        .demand
        .0
        .wait_for(|event| matches!(event, DemandEvent::Arrived { .. }));
    drop(caller);
    bench
        .demand
        .0
        .wait_for(|event| matches!(event, DemandEvent::Ended { .. }));
    bench.settle();
    let gone = ("caller_gone".to_owned(), Ran::NotRun);
    assert_eq!(bench.observer.refusals(), [gone]);
    bench.load_with("engine-1", 1, 1);
    assert_eq!(bench.caller().complete(&[]).status, 200);
    assert_eq!(
        bench.engine.served_count(),
        1,
        "a withdrawn request was sent"
    );
}

/// Guards against a hang-up that is noticed only at the next write: the caller closes its
/// connection while the engine has not answered, and the engine must not go on working for it.
#[test]
fn a_request_at_a_silent_engine_is_cancelled_and_ends() {
    let bench = Bench::warm();
    bench.engine.script(vec![Act::Hold, Act::Cut]);
    let mut caller = bench.caller();
    caller.send_completion(&[]);
    let held = bench.engine.wait_held();
    drop(caller);
    assert_eq!(bench.engine.wait_cancelled(), held);
    bench.settle();
    let gone = ("caller_gone".to_owned(), Ran::Unknown);
    assert_eq!(bench.observer.refusals(), [gone]);
}

#[test]
fn a_stream_is_cancelled_and_its_connection_let_go() {
    let bench = Bench::warm();
    bench
        .engine
        .script(vec![stream_head(), event("a"), Act::Hold, event("b")]);
    let mut caller = bench.caller();
    caller.stream(&[]);
    caller.head();
    assert!(matches!(caller.piece(), Piece::Data(_)));
    let held = bench.engine.wait_held();
    drop(caller);
    assert_eq!(bench.engine.wait_cancelled(), held);
    bench.settle();
    bench.engine.release.0.send(()).expect("the engine holds");
    let dropped = bench.engine.dropped.1.recv_timeout(support::PATIENCE);
    assert_eq!(dropped, Ok(held));
    let gone = ("caller_gone".to_owned(), Ran::Ran);
    assert_eq!(bench.observer.refusals(), [gone]);
}

/// Guards against a relay that waits for the caller without limit: the caller keeps its connection
/// open and reads nothing, so the buffers fill up and the engine's slot stays occupied.
#[test]
fn a_caller_that_does_not_read_is_given_up() {
    let limits = apricotdale_http::Options {
        write_timeout: Duration::from_millis(100),
        ..apricotdale_http::Options::default()
    };
    let bench = Bench::with(apricotdale_gateway::Options::default(), limits);
    bench.load("engine-1", 1);
    let mut acts = vec![stream_head()];
    let long = "x".repeat(256 * 1024);
    acts.extend((0..100).map(|_| event(&long)));
    bench.engine.script(acts);
    let mut caller = bench.caller();
    caller.stream(&[]);
    bench.engine.wait_cancelled();
    bench.settle();
    let gone = ("caller_gone".to_owned(), Ran::Ran);
    assert_eq!(bench.observer.refusals(), [gone]);
}
