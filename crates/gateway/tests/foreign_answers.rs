//! A caller receives the answer to its own request and nothing of another caller's.

mod support;

use rstest::rstest;
use support::Fixture;
use support::caller::Piece;
use support::engine::ScriptStep;
use support::engine::done;
use support::engine::event;
use support::engine::stream_head;

const FOREIGN: &str = "another caller's wheel profile";

fn foreign_event() -> ScriptStep {
    ScriptStep::Piece(format!(
        "data: {{\"id\":\"cmpl-req-0000\",\"text\":\"{FOREIGN}\"}}\n\n"
    ))
}

fn foreign_json() -> ScriptStep {
    ScriptStep::Piece(format!(r#"{{"id":"cmpl-req-0000","text":"{FOREIGN}"}}"#))
}

/// Guards against a relay that trusts the connection on which an answer came: the engine mixes up
/// two answers, and one caller would read another's.
#[rstest]
#[case::head(vec![ScriptStep::Head(200, "application/json", Some("req-0000")), foreign_json()])]
#[case::head_of_refusal(vec![ScriptStep::Head(404, "application/json", Some("req-0000")), foreign_json()])]
#[case::no_head(vec![ScriptStep::Head(200, "application/json", None), foreign_json()])]
#[case::head_alone(vec![ScriptStep::Head(200, "text/plain", Some("req-0000")), ScriptStep::Piece(FOREIGN.to_owned())])]
#[case::no_head_alone(vec![ScriptStep::Head(200, "text/plain", None), ScriptStep::Piece(FOREIGN.to_owned())])]
#[case::body(vec![ScriptStep::Head(200, "application/json", Some("{id}")), foreign_json()])]
#[case::unidentified_404(vec![ScriptStep::Head(404, "text/plain", None), ScriptStep::Piece(FOREIGN.to_owned())])]
fn foreign_answer_retried(#[case] steps: Vec<ScriptStep>) {
    let fixture = Fixture::warm();
    fixture.load("engine-2", 2);
    fixture.engine.script(steps);
    let answer = fixture.caller().complete(&[]);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(!answer.body.contains(FOREIGN), "{answer:?}");
    let id = answer.header("x-request-id").expect("an identity");
    assert!(answer.body.contains(&format!("cmpl-{id}")), "{answer:?}");
    assert_eq!(fixture.engine.served_count(), 2);
}

#[test]
fn foreign_first_event() {
    let fixture = Fixture::warm();
    fixture
        .engine
        .script(vec![stream_head(), foreign_event(), done()]);
    fixture
        .engine
        .script(vec![stream_head(), event("own"), done()]);
    let mut caller = fixture.caller();
    caller.stream(&[]);
    assert_eq!(caller.head().0, 200);
    assert!(matches!(caller.piece(), Piece::Data(text) if text.contains("own")));
}

#[rstest]
#[case::identified(foreign_event())]
#[case::unidentified(ScriptStep::Piece(format!("data: {{\"text\":\"{FOREIGN}\"}}\n\n")))]
#[case::identified_by_field(ScriptStep::Piece(format!("id: req-0000\ndata: {{\"text\":\"{FOREIGN}\"}}\n\n")))]
fn foreign_later_event(#[case] foreign_step: ScriptStep) {
    let fixture = Fixture::warm();
    fixture
        .engine
        .script(vec![stream_head(), event("own"), foreign_step, done()]);
    let mut caller = fixture.caller();
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
