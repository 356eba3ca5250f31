//! Engines' answers that are incomplete or no answers to the request.

mod support;

use std::time::Duration;

use apricotdale_gateway::Options;
use rstest::rstest;
use support::Fixture;
use support::caller::Piece;
use support::engine::ScriptStep;
use support::engine::done;
use support::engine::event;
use support::engine::json_answer;
use support::engine::stream_head;
use support::policies::AlwaysRetry;
use support::policies::CapacityAdmission;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn head(status: u16, content_type: &'static str) -> ScriptStep {
    ScriptStep::Head(status, content_type, Some("{id}"))
}

/// Guards against a caller that receives part of an answer, or another kind of answer, as complete.
#[rstest]
#[case::empty_stream(vec![stream_head()])]
#[case::comments_only(vec![stream_head(), ScriptStep::Piece(": still there\n\n".to_owned())])]
#[case::cut_stream(vec![stream_head(), ScriptStep::Cut])]
#[case::stream_of_another_success(vec![head(201, "text/event-stream"), event("half"), event("b"), done()])]
#[case::stream_of_partial_content(vec![head(206, "text/event-stream"), event("half"), done()])]
#[case::stream_of_no_content(vec![head(204, "text/event-stream"), done()])]
#[case::stream_of_bad_request(vec![head(400, "text/event-stream"), event("half"), done()])]
#[case::stream_of_not_found(vec![head(404, "text/event-stream"), event("half"), done()])]
#[case::stream_redirect(vec![head(302, "text/event-stream"), event("half"), done()])]
#[case::cut_body(vec![head(200, "application/json"), ScriptStep::Cut])]
#[case::body_without_end(vec![head(200, "application/json")])]
#[case::redirect(vec![head(302, "text/html"), ScriptStep::Piece("moved".to_owned())])]
#[case::not_modified(vec![head(304, "text/html"), ScriptStep::Piece(String::new())])]
#[case::no_content(vec![head(204, "application/json"), ScriptStep::Piece(String::new())])]
#[case::partial_content(vec![head(206, "application/json"), ScriptStep::Piece("{\"te".to_owned())])]
fn incomplete_answer_retried(#[case] first: Vec<ScriptStep>) {
    let fixture = Fixture::warm();
    fixture.load("engine-2", 2);
    fixture.engine.script(first);
    fixture
        .engine
        .script(vec![stream_head(), event("own"), done()]);
    let mut caller = fixture.caller();
    caller.stream(&[]);
    let (status, head) = caller.head();
    assert_eq!(status, 200, "{head}");
    assert!(head.contains("chunked"), "{head}");
    let (pieces, end) = caller.pieces();
    assert_eq!((pieces.len(), end), (2, Piece::End), "{pieces:?}");
    assert!(pieces[0].contains("own"), "{pieces:?}");
    assert_eq!(fixture.engine.served_count(), 2);
}

/// Guards against a stream that is relayed as a body, so that the caller receives only one event.
#[rstest]
#[case::capitals("Text/Event-Stream")]
#[case::parameters("text/event-stream; charset=utf-8")]
fn stream_content_types(#[case] content_type: &'static str) {
    let fixture = Fixture::warm();
    let steps = vec![head(200, content_type), event("a"), event("b"), done()];
    fixture.engine.script(steps);
    let mut caller = fixture.caller();
    caller.stream(&[]);
    let (_, head) = caller.head();
    assert!(head.contains("chunked"), "{head}");
    let (pieces, end) = caller.pieces();
    assert_eq!((pieces.len(), end), (3, Piece::End), "{pieces:?}");
}

/// Guards against an event that is dropped because of its line ends, from a stream that then looks
/// complete.
#[rstest]
#[case::line_feed("\n")]
#[case::both("\r\n")]
#[case::carriage_return("\r")]
fn event_line_ends(#[case] line_end: &str) {
    let fixture = Fixture::warm();
    let mut steps = vec![stream_head()];
    let identified = |text: &str| {
        let fields = [
            "id: cmpl-{id}",
            &format!("data: {{\"text\":\"{text}\"}}"),
            "",
        ];
        let lines = fields.map(|field| format!("{field}{line_end}"));
        ScriptStep::Piece(lines.concat())
    };
    steps.extend([identified("a"), identified("b")]);
    steps.push(ScriptStep::Piece(format!(
        "event: end{line_end}data: [DONE]{line_end}{line_end}"
    )));
    fixture.engine.script(steps);
    let mut caller = fixture.caller();
    caller.stream(&[]);
    caller.head();
    let (pieces, end) = caller.pieces();
    assert_eq!((pieces.len(), end), (3, Piece::End), "{pieces:?}");
    assert!(pieces[0].contains("\"a\"") && pieces[1].contains("\"b\""));
}

/// Guards against a second engine's answer after part of the first one's. The retry policy of this
/// test allows every retry.
#[rstest]
#[case::stream(vec![stream_head(), event("second"), done()])]
#[case::end_only(vec![stream_head(), done()])]
#[case::body(json_answer())]
#[case::failure(vec![head(500, "application/json"), ScriptStep::Piece("{}".to_owned())])]
fn begun_stream_cut(#[case] second: Vec<ScriptStep>) {
    let limits = apricotdale_http::Options::default();
    let admission = Box::<CapacityAdmission>::default();
    let retry = Box::new(AlwaysRetry);
    let fixture = Fixture::with_policies(Options::default(), limits, admission, retry);
    fixture.load("engine-1", 1);
    fixture.load("engine-2", 2);
    fixture
        .engine
        .script(vec![stream_head(), event("first"), ScriptStep::Cut]);
    fixture.engine.script(second);
    let mut caller = fixture.caller();
    caller.stream(&[]);
    caller.head();
    let (pieces, end) = caller.pieces();
    assert_eq!(end, Piece::Cut, "{pieces:?}");
    assert!(pieces[0].contains("first"), "{pieces:?}");
    assert!(pieces[1].starts_with("event: error\n"), "{pieces:?}");
    assert_eq!(pieces.len(), 2, "{pieces:?}");
    assert_eq!(fixture.engine.served_count(), 1);
}

/// Guards against a deadline that ends a stream as if it were complete. Once a stream has begun,
/// its deadline no longer applies, and the stream ends as the engine ends it.
#[rstest]
#[case::complete(vec![done()], Piece::End)]
#[case::cut(vec![ScriptStep::Cut], Piece::Cut)]
#[case::without_end(vec![], Piece::Cut)]
fn deadline_within_stream(#[case] last_steps: Vec<ScriptStep>, #[case] expected: Piece) {
    let fixture = Fixture::warm();
    let mut steps = vec![stream_head(), event("a"), ScriptStep::Hold, event("b")];
    steps.extend(last_steps);
    fixture.engine.script(steps);
    let mut caller = fixture.caller();
    caller.stream(&[("X-Request-Timeout-Ms", "1000")]);
    caller.head();
    assert!(matches!(caller.piece(), Piece::Data(text) if text.contains("\"a\"")));
    fixture.engine.wait_held();
    let no_event = fixture
        .engine
        .cancelled
        .1
        .recv_timeout(Duration::from_millis(1_100));
    assert!(no_event.is_err(), "ended by its deadline");
    fixture.engine.release.0.send(()).expect("the engine holds");
    let (pieces, end) = caller.pieces();
    assert!(pieces[0].contains("\"b\""), "{pieces:?}");
    assert_eq!(end, expected, "{pieces:?}");
}

/// Guards against a stream that looks complete to a caller that was too slow for it.
#[test]
fn slow_caller_cut() {
    let limits = apricotdale_http::Options {
        write_timeout: Duration::from_millis(100),
        ..apricotdale_http::Options::default()
    };
    let fixture = Fixture::with(Options::default(), limits);
    fixture.load("engine-1", 1);
    let mut steps = vec![stream_head()];
    let long = "x".repeat(256 * 1024);
    steps.extend((0..100).map(|_| event(&long)));
    steps.push(done());
    fixture.engine.script(steps);
    let mut caller = fixture.caller();
    caller.stream(&[]);
    fixture.engine.wait_cancelled();
    fixture.wait_idle();
    let bytes = caller.read_to_end();
    assert!(bytes.starts_with(b"HTTP/1.1 200"));
    assert!(!bytes.ends_with(LAST_CHUNK));
    let text = String::from_utf8_lossy(&bytes);
    assert!(!text.contains("[DONE]"));
}

/// Guards against a stream that looks complete to a caller that has only closed its sending side:
/// the stream is given up because the caller counts as gone.
#[test]
fn half_closed_caller() {
    let fixture = Fixture::warm();
    let steps = vec![
        stream_head(),
        event("a"),
        ScriptStep::Hold,
        event("b"),
        done(),
    ];
    fixture.engine.script(steps);
    let mut caller = fixture.caller();
    caller.stream(&[]);
    caller.head();
    assert!(matches!(caller.piece(), Piece::Data(text) if text.contains("\"a\"")));
    let held = fixture.engine.wait_held();
    caller.close_sending();
    assert_eq!(fixture.engine.wait_cancelled(), held);
    assert_eq!(caller.pieces(), (Vec::new(), Piece::Cut));
}
