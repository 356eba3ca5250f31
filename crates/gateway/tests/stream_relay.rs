//! Streams are relayed event by event, and a broken stream never looks complete.

mod support;

use apricotdale_core::refusal::Ran;
use apricotdale_core::serving::ServingEvent;
use apricotdale_gateway::Options;
use rstest::rstest;
use support::Bench;
use support::caller::Piece;
use support::engine::Act;
use support::engine::done;
use support::engine::event;
use support::engine::stream_head;

const LONG_MS: u64 = 30_000;

/// Guards against a relay that holds events back: the engine sends each event only after the caller
/// has read the one before. Such a relay would keep this test from ending.
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

#[test]
fn comments_are_dropped_and_a_whole_stream_counts_as_answered() {
    let bench = Bench::warm();
    let comment = Act::Piece(": still there\n\n".to_owned());
    bench
        .engine
        .script(vec![stream_head(), comment, event("a"), event("b"), done()]);
    let mut caller = bench.caller();
    caller.stream(&[("X-Request-Class", "review")]);
    caller.head();
    let mut pieces = Vec::new();
    while let Piece::Data(text) = caller.piece() {
        pieces.push(text);
    }
    assert_eq!(pieces.len(), 3, "{pieces:?}");
    bench.settle();
    let events = bench.observer.0.all();
    let answered = |event: &&ServingEvent| matches!(event, ServingEvent::Answered { class, met: true, .. } if class.as_str() == "review");
    assert_eq!(events.iter().filter(answered).count(), 1, "{events:?}");
    let is_gap = |event: &&ServingEvent| matches!(event, ServingEvent::InterToken { .. });
    assert_eq!(events.iter().filter(is_gap).count(), 1, "{events:?}");
}

/// Guards against a relay that ends the caller's stream as if the engine had ended it: the stream
/// breaks after its first event, and the caller would take half an answer for a complete one.
#[rstest]
#[case::connection_lost(vec![Act::Cut], "upstream_lost", LONG_MS)]
#[case::no_end_mark(vec![], "upstream_bad_answer", LONG_MS)]
#[case::told_fault(vec![Act::Piece("data: {\"error\":{}}\n\n".to_owned())], "upstream_bad_answer", LONG_MS)]
#[case::malformed(vec![Act::Piece("data: half a\n\n".to_owned())], "upstream_bad_answer", LONG_MS)]
#[case::silent(vec![Act::Hold], "upstream_timeout", 50)]
#[case::panic(vec![Act::Panic], "upstream_lost", LONG_MS)]
fn a_cut_stream_ends_with_an_error_and_no_last_chunk(
    #[case] rest: Vec<Act>,
    #[case] reason: &str,
    #[case] stream_idle_timeout_ms: u64,
) {
    let options = Options {
        stream_idle_timeout_ms,
        ..Options::default()
    };
    let bench = Bench::with(options, apricotdale_http::Options::default());
    bench.load("engine-1", 1);
    let mut acts = vec![stream_head(), event("half")];
    acts.extend(rest);
    bench.engine.script(acts);
    let mut caller = bench.caller();
    caller.stream(&[]);
    caller.head();
    assert!(matches!(caller.piece(), Piece::Data(text) if text.contains("half")));
    let Piece::Data(error) = caller.piece() else {
        panic!("no error event");
    };
    assert!(error.starts_with("event: error\ndata: {"), "{error}");
    assert!(
        error.contains(&format!("\"reason\":\"{reason}\"")),
        "{error}"
    );
    assert!(error.contains("\"ran\":\"ran\""), "{error}");
    assert!(error.contains("\"error\":{\"message\""), "{error}");
    assert_eq!(caller.piece(), Piece::Cut);
    bench.settle();
    assert_eq!(bench.observer.refusals(), [(reason.to_owned(), Ran::Ran)]);
    assert_eq!(
        bench.engine.served_count(),
        1,
        "a second run after a begun answer"
    );
}
