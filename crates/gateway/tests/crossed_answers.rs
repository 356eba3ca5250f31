//! A caller receives the answer to its own request and nothing of another caller's.

mod support;

use rstest::rstest;
use support::Bench;
use support::caller::Piece;
use support::engine::Act;
use support::engine::done;
use support::engine::event;
use support::engine::stream_head;

const FOREIGN: &str = "another caller's wheel profile";

fn foreign_event() -> Act {
    Act::Piece(format!(
        "data: {{\"id\":\"cmpl-req-0000\",\"text\":\"{FOREIGN}\"}}\n\n"
    ))
}

fn foreign_json() -> Act {
    Act::Piece(format!(r#"{{"id":"cmpl-req-0000","text":"{FOREIGN}"}}"#))
}

/// Guards against a relay that trusts the connection on which an answer came: the engine mixes up
/// two answers, and one caller would read another's.
#[rstest]
#[case::head(vec![Act::Head(200, "application/json", Some("req-0000")), foreign_json()])]
#[case::head_of_refusal(vec![Act::Head(404, "application/json", Some("req-0000")), foreign_json()])]
#[case::no_head(vec![Act::Head(200, "application/json", None), foreign_json()])]
#[case::head_alone(vec![Act::Head(200, "text/plain", Some("req-0000")), Act::Piece(FOREIGN.to_owned())])]
#[case::no_head_alone(vec![Act::Head(200, "text/plain", None), Act::Piece(FOREIGN.to_owned())])]
#[case::body(vec![Act::Head(200, "application/json", Some("{id}")), foreign_json()])]
#[case::unvouched_404(vec![Act::Head(404, "text/plain", None), Act::Piece(FOREIGN.to_owned())])]
fn a_crossed_answer_is_replaced_by_a_second_run(#[case] acts: Vec<Act>) {
    let bench = Bench::warm();
    bench.load("engine-2", 2);
    bench.engine.script(acts);
    let answer = bench.caller().complete(&[]);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(!answer.body.contains(FOREIGN), "{answer:?}");
    let id = answer.header("x-request-id").expect("an identity");
    assert!(answer.body.contains(&format!("cmpl-{id}")), "{answer:?}");
    assert_eq!(bench.engine.served_count(), 2);
}

#[test]
fn a_crossed_first_event_is_replaced_by_a_second_run() {
    let bench = Bench::warm();
    bench
        .engine
        .script(vec![stream_head(), foreign_event(), done()]);
    bench
        .engine
        .script(vec![stream_head(), event("own"), done()]);
    let mut caller = bench.caller();
    caller.stream(&[]);
    assert_eq!(caller.head().0, 200);
    assert!(matches!(caller.piece(), Piece::Data(text) if text.contains("own")));
}

#[rstest]
#[case::named(foreign_event())]
#[case::nameless(Act::Piece(format!("data: {{\"text\":\"{FOREIGN}\"}}\n\n")))]
#[case::named_by_field(Act::Piece(format!("id: req-0000\ndata: {{\"text\":\"{FOREIGN}\"}}\n\n")))]
fn a_crossed_later_event_cuts_the_stream(#[case] crossed: Act) {
    let bench = Bench::warm();
    bench
        .engine
        .script(vec![stream_head(), event("own"), crossed, done()]);
    let mut caller = bench.caller();
    caller.stream(&[]);
    caller.head();
    assert!(matches!(caller.piece(), Piece::Data(text) if text.contains("own")));
    let Piece::Data(error) = caller.piece() else {
        panic!("no error event");
    };
    assert!(error.contains("upstream_bad_answer"), "{error}");
    assert!(!error.contains(FOREIGN), "{error}");
    assert_eq!(caller.piece(), Piece::Cut);
}
