//! Streams are relayed event by event, and a broken stream never looks complete.

mod support;

use apricotdale_core::refusal::Ran;
use apricotdale_core::serving::ServingEvent;
use apricotdale_gateway::Options;
use rstest::rstest;
use support::Fixture;
use support::caller::Piece;
use support::engine::ScriptStep;
use support::engine::done;
use support::engine::event;
use support::engine::stream_head;

const LONG_MS: u64 = 30_000;

/// Guards against a relay that holds events back: the engine sends each event only after the caller
/// has read the one before. Such a relay would keep this test from ending.
#[test]
fn events_relayed_immediately() {
    let fixture = Fixture::warm();
    let mut steps = vec![stream_head()];
    for number in 0..5 {
        steps.extend([event(&format!("part {number}")), ScriptStep::Hold]);
    }
    steps.push(done());
    fixture.engine.script(steps);
    let mut caller = fixture.caller();
    caller.stream(&[]);
    let (status, head) = caller.head();
    assert_eq!(status, 200);
    assert!(head.contains("Content-Type: text/event-stream"), "{head}");
    for number in 0..5 {
        let Piece::Data(text) = caller.piece() else {
            panic!("the stream ended early");
        };
        assert!(text.contains(&format!("part {number}")), "{text}");
        fixture.engine.release.0.send(()).expect("the engine holds");
    }
    assert_eq!(caller.piece(), Piece::Data("data: [DONE]\n\n".to_owned()));
    assert_eq!(caller.piece(), Piece::End);
}

#[test]
fn comments_dropped() {
    let fixture = Fixture::warm();
    let comment = ScriptStep::Piece(": still there\n\n".to_owned());
    fixture
        .engine
        .script(vec![stream_head(), comment, event("a"), event("b"), done()]);
    let mut caller = fixture.caller();
    caller.stream(&[("X-Request-Class", "review")]);
    caller.head();
    let mut pieces = Vec::new();
    while let Piece::Data(text) = caller.piece() {
        pieces.push(text);
    }
    assert_eq!(pieces.len(), 3, "{pieces:?}");
    fixture.wait_idle();
    let events = fixture.observer.0.all();
    let answered = |event: &&ServingEvent| matches!(event, ServingEvent::Answered { class, met: true, .. } if class.as_str() == "review");
    assert_eq!(events.iter().filter(answered).count(), 1, "{events:?}");
    let is_gap = |event: &&ServingEvent| matches!(event, ServingEvent::InterToken { .. });
    assert_eq!(events.iter().filter(is_gap).count(), 1, "{events:?}");
}

/// Guards against a relay that ends the caller's stream as if the engine had ended it: the stream
/// breaks after its first event, and the caller would take half an answer for a complete one.
#[rstest]
#[case::connection_lost(vec![ScriptStep::Cut], "upstream_lost", LONG_MS)]
#[case::no_end_mark(vec![], "upstream_bad_answer", LONG_MS)]
#[case::reported_fault(vec![ScriptStep::Piece("data: {\"error\":{}}\n\n".to_owned())], "upstream_bad_answer", LONG_MS)]
#[case::malformed(vec![ScriptStep::Piece("data: half a\n\n".to_owned())], "upstream_bad_answer", LONG_MS)]
#[case::silent(vec![ScriptStep::Hold], "upstream_timeout", 50)]
#[case::panic(vec![ScriptStep::Panic], "upstream_lost", LONG_MS)]
fn cut_stream_error(
    #[case] last_steps: Vec<ScriptStep>,
    #[case] reason: &str,
    #[case] stream_idle_timeout_ms: u64,
) {
    let options = Options {
        stream_idle_timeout_ms,
        ..Options::default()
    };
    let fixture = Fixture::with(options, apricotdale_http::Options::default());
    fixture.load("engine-1", 1);
    let mut steps = vec![stream_head(), event("half")];
    steps.extend(last_steps);
    fixture.engine.script(steps);
    let mut caller = fixture.caller();
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
    fixture.wait_idle();
    assert_eq!(fixture.observer.refusals(), [(reason.to_owned(), Ran::Ran)]);
    assert_eq!(
        fixture.engine.served_count(),
        1,
        "a second run after a begun answer"
    );
}
