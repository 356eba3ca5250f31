//! Classification of answers as complete, refused, cut or crossed.

use rstest::rstest;

use apricotdale_launcher::answer::AnswerHead;
use apricotdale_launcher::answer::Outcome;
use apricotdale_launcher::answer::StreamParser;

const REFUSAL: &str = r#"{"type":"urn:apricotdale:refusal:upstream_lost","reason":"upstream_lost","ran":"unknown","error":{"code":"upstream_lost"}}"#;

fn head() -> AnswerHead {
    AnswerHead {
        status: 200,
        content_type: String::new(),
        request: "req-7".to_owned(),
    }
}

fn outcome_of_stream(lines: &[&str], error: Option<&str>) -> Outcome {
    let mut parser = StreamParser::new(head());
    for line in lines {
        parser.parse_line(line);
    }
    parser.end(error.map(str::to_owned))
}

fn kind(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Whole { .. } => "whole",
        Outcome::Refused { .. } => "refused",
        Outcome::Cut { .. } => "cut",
        Outcome::Crossed { .. } => "crossed",
        Outcome::NoAnswer(_) => "no answer",
    }
}

#[rstest]
#[case::last_event_came(&[r#"data: {"id":"cmpl-req-7"}"#, "data: [DONE]"], None, "whole")]
#[case::last_event_missing(&[r#"data: {"id":"cmpl-req-7"}"#], None, "cut")]
#[case::connection_lost_after_last_event(
    &[r#"data: {"id":"cmpl-req-7"}"#, "data: [DONE]"], Some("reset"), "cut")]
#[case::foreign_event(
    &[r#"data: {"id":"cmpl-req-7"}"#, r#"data: {"id":"cmpl-req-8"}"#, "data: [DONE]"],
    None, "crossed")]
fn stream_completeness(
    #[case] lines: &[&str],
    #[case] error: Option<&str>,
    #[case] expected: &str,
) {
    assert_eq!(kind(&outcome_of_stream(lines, error)), expected);
}

#[test]
fn cut_stream_refusal() {
    let event = format!("data: {REFUSAL}");
    let lines = [r#"data: {"id":"cmpl-req-7"}"#, "event: error", &event];
    let outcome = outcome_of_stream(&lines, None);
    let refusal = outcome.refusal().expect("the refusal came as an event");
    assert_eq!(
        outcome.to_string(),
        "cut after 1 events, reason upstream_lost, ran unknown"
    );
    assert_eq!(refusal.ran, "unknown");
}

#[rstest]
#[case::own_answer(r#"{"id":"cmpl-req-7"}"#, "whole")]
#[case::answer_without_request_id(r#"{"call":"POST /book"}"#, "whole")]
#[case::answer_of_another_request(r#"{"id":"cmpl-req-8"}"#, "crossed")]
#[case::refusal(REFUSAL, "refused")]
#[case::upstreams_own_error(r#"{"error":{"code":"full"}}"#, "whole")]
fn body_kinds(#[case] body: &str, #[case] expected: &str) {
    assert_eq!(kind(&Outcome::of_body(head(), body)), expected);
}
