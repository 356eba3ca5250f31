//! Streams are relayed event by event, and a broken one is never passed off as whole.

mod support;

use support::Bench;
use support::caller::Piece;
use support::engine::Act;
use support::engine::done;
use support::engine::event;
use support::engine::stream_head;

/// Symptom: a caller sees its answer in bursts, or only at its end. Sequence: the engine sends
/// each event only after the caller has read the one before. Cause: a relay that holds an event
/// back; the engine then waits for ever, and this test never ends.
#[test]
fn each_event_reaches_the_caller_before_the_next_is_made() {
    let bench = Bench::warm();
    let mut acts = vec![stream_head()];
    for number in 0..5 {
        acts.extend([event(&format!("part {number}")), Act::Hold]);
    }
    acts.push(done());
    bench.engine.script(acts);
    let mut caller = bench.caller();
    caller.stream(&[]);
    let (status, head) = caller.head();
    assert_eq!(status, 200);
    assert!(head.contains("Content-Type: text/event-stream"), "{head}");
    for number in 0..5 {
        let Piece::Data(text) = caller.piece() else {
            panic!("the stream ended early");
        };
        assert!(text.contains(&format!("part {number}")), "{text}");
        bench.engine.release.0.send(()).expect("the engine holds");
    }
    assert_eq!(caller.piece(), Piece::Data("data: [DONE]\n\n".to_owned()));
    assert_eq!(caller.piece(), Piece::End);
}
