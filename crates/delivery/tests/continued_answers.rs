//! Answers that may continue the part of an answer that a caller has received.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::origin::Origin;
use apricotdale_delivery::AnswerSource;
use apricotdale_delivery::Closing;
use apricotdale_delivery::ContinuationMismatch;
use apricotdale_delivery::Delivery;
use apricotdale_delivery::Options;
use apricotdale_http1::ResponseHead;
use apricotdale_http1::parse_response_head;
use rstest::rstest;

const VERSION_FIELD: &str = "weights";

fn options() -> Options {
    Options {
        is_stream: true,
        is_resumable: true,
        first_event: Some(1),
        version_field: Some(VERSION_FIELD),
        ..Options::default()
    }
}

fn origin(version: Option<&str>, upstream: &str) -> Origin {
    Origin {
        service: GroupName::from("llm"),
        version: version.map(SoftwareVersion::from),
        upstream: Some(UpstreamName::from(upstream)),
    }
}

fn source(weights: Option<u64>) -> AnswerSource {
    AnswerSource {
        origin: origin(Some("v1"), "i-0"),
        weights,
    }
}

fn head(status: u16, content_type: &str) -> ResponseHead {
    let text = format!("HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n\r\n");
    let parsed = parse_response_head(text.as_bytes(), 1024, false).expect("a head");
    parsed.expect("a complete head").0
}

fn stream_head() -> ResponseHead {
    head(200, "text/event-stream; charset=utf-8")
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn push_body(delivery: &mut Delivery, text: &str) -> Result<String, ContinuationMismatch> {
    let mut out = Vec::new();
    let fits = delivery.body(text.as_bytes(), false, &mut out);
    fits.map(|()| String::from_utf8(out).expect("text"))
}

/// Returns the delivery of a stream of which the caller has received two events.
fn begun_stream(options: Options) -> Delivery {
    let mut delivery = Delivery::new(options);
    delivery
        .head(stream_head(), &source(Some(7)))
        .expect("no mismatch");
    push_body(&mut delivery, &(event(1) + &event(2) + "id: 3\nda")).expect("no mismatch");
    delivery.begin_next_answer();
    delivery
}

#[test]
fn resumed_stream() {
    let mut delivery = begun_stream(options());
    assert!(delivery.may_continue());
    assert_eq!(delivery.last_event(), Some(2));
    assert_eq!(delivery.status(), None);
    delivery
        .head(stream_head(), &source(Some(7)))
        .expect("no mismatch");
    let mut out = Vec::new();
    let body = event(3) + &event(4);
    delivery
        .body(body.as_bytes(), false, &mut out)
        .expect("no mismatch");
    delivery.end(false, &mut out).expect("a complete answer");
    let expected = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    assert_eq!(String::from_utf8_lossy(&out), expected);
}

/// Guards against ending the stream with the end of an answer that does not continue it.
#[rstest]
#[case::failed_run(head(500, "text/event-stream"), None, ContinuationMismatch::Status)]
#[case::no_content(head(204, "text/event-stream"), None, ContinuationMismatch::Status)]
#[case::partial(head(206, "text/event-stream"), None, ContinuationMismatch::Status)]
#[case::json(head(200, "application/json"), None, ContinuationMismatch::ContentType)]
#[case::other_weights(stream_head(), Some(8), ContinuationMismatch::Version)]
fn mismatched_heads(
    #[case] head: ResponseHead,
    #[case] version: Option<u64>,
    #[case] mismatch: ContinuationMismatch,
) {
    let mut delivery = begun_stream(options());
    assert_eq!(delivery.head(head, &source(version)), Err(mismatch));
    let mut out = Vec::new();
    assert_eq!(
        delivery.end(false, &mut out),
        Err(ContinuationMismatch::Closed)
    );
    assert!(out.is_empty());
}

/// Guards against a second answer that does not resume where the first one broke off.
#[rstest]
#[case::gap(event(4), ContinuationMismatch::Gap)]
#[case::repeated(event(2), ContinuationMismatch::Repeated)]
#[case::restarted(event(1), ContinuationMismatch::Repeated)]
#[case::unnumbered("data: piece 3\n\n".to_owned(), ContinuationMismatch::Unnumbered)]
#[case::invalid_id("id: three\ndata: piece 3\n\n".to_owned(), ContinuationMismatch::Unnumbered)]
#[case::last_id_counts("id: 3\nid: 4\ndata: piece 3\n\n".to_owned(), ContinuationMismatch::Gap)]
fn mismatched_events(#[case] second: String, #[case] mismatch: ContinuationMismatch) {
    let mut delivery = begun_stream(options());
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    assert_eq!(push_body(&mut delivery, &second), Err(mismatch));
}

/// Guards against ending a stream as complete though its last answer did not reach the end.
#[rstest]
#[case::empty("", ContinuationMismatch::Empty)]
#[case::comments_only(": still here\n\n", ContinuationMismatch::Empty)]
#[case::unfinished("id: 3\ndata: pie", ContinuationMismatch::Unfinished)]
#[case::without_blank_line("id: 3\ndata: piece 3\n", ContinuationMismatch::Unfinished)]
fn mismatched_ends(#[case] second: &str, #[case] mismatch: ContinuationMismatch) {
    let mut delivery = begun_stream(options());
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    push_body(&mut delivery, second).expect("no mismatch yet");
    let mut out = Vec::new();
    assert_eq!(delivery.end(false, &mut out), Err(mismatch));
    assert!(out.is_empty());
    assert_eq!(delivery.close(Vec::new), Closing::Abort);
}

/// Guards against sending events that follow a mismatch; those before it are sent.
#[test]
fn events_before_mismatch() {
    let mut delivery = begun_stream(options());
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    let mut out = Vec::new();
    let text = event(3) + &event(5);
    assert_eq!(
        delivery.body(text.as_bytes(), false, &mut out),
        Err(ContinuationMismatch::Gap)
    );
    let delivered = String::from_utf8_lossy(&out);
    assert!(delivered.contains("piece 3") && !delivered.contains("piece 5"));
    assert_eq!(delivery.last_event(), Some(3));
}

/// Guards against repeated or missing events for a caller that resumes a stream, also from the
/// second upstream.
#[rstest]
#[case::gap(6, ContinuationMismatch::Gap)]
#[case::repeated(4, ContinuationMismatch::Repeated)]
fn caller_resume(#[case] first: u64, #[case] mismatch: ContinuationMismatch) {
    let mut delivery = Delivery::new(Options {
        last_event: Some(4),
        ..options()
    });
    for _ in 0..2 {
        assert_eq!(delivery.last_event(), Some(4));
        delivery
            .head(stream_head(), &source(None))
            .expect("no mismatch");
        assert_eq!(push_body(&mut delivery, &event(first)), Err(mismatch));
        assert!(!delivery.has_begun());
        assert!(delivery.may_continue());
        delivery.begin_next_answer();
    }
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    let delivered = push_body(&mut delivery, &event(5)).expect("no mismatch");
    assert!(delivered.starts_with("HTTP/1.1 200"));
}

/// Guards against sending another answer as the remainder of a stream that a caller resumes.
#[rstest]
#[case::json(200, "application/json")]
#[case::no_content(204, "text/plain")]
fn resumed_without_events(#[case] status: u16, #[case] content_type: &str) {
    let mut delivery = Delivery::new(Options {
        last_event: Some(4),
        ..options()
    });
    let mismatch = Err(ContinuationMismatch::ContentType);
    assert_eq!(
        delivery.head(head(status, content_type), &source(None)),
        mismatch
    );
    assert!(delivery.may_continue());
}

/// Guards against resuming a stream after an unknown position.
#[rstest]
#[case::unnumbered("data: a\n\n")]
#[case::unnumbered_later("id: 1\ndata: a\n\ndata: b\n\n")]
fn unknown_position(#[case] first: &str) {
    let mut delivery = Delivery::new(options());
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    push_body(&mut delivery, first).expect("the first answer");
    assert!(delivery.has_begun());
    assert!(!delivery.may_continue());
    delivery.begin_next_answer();
    assert_eq!(
        delivery.head(stream_head(), &source(None)),
        Err(ContinuationMismatch::Closed)
    );
}

#[test]
fn unresumable_stream() {
    let delivery = begun_stream(Options {
        is_resumable: false,
        ..options()
    });
    assert!(!delivery.may_continue());
}

/// Guards against sending a large event again of which the caller has received a part.
#[test]
fn partial_oversized_event() {
    let mut delivery = Delivery::new(options());
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    let part = format!("id: 1\ndata: {}", "x".repeat(300 * 1024));
    assert!(
        !push_body(&mut delivery, &part)
            .expect("no mismatch")
            .is_empty()
    );
    assert!(!delivery.may_continue());
    let mut out = Vec::new();
    assert_eq!(
        delivery.end(false, &mut out),
        Err(ContinuationMismatch::Unfinished)
    );
    push_body(&mut delivery, "\n\n").expect("the end of the event");
    assert!(delivery.may_continue());
    assert_eq!(delivery.last_event(), Some(1));
}

/// Guards against ignoring that the version of the weights changes within a stream.
#[rstest]
#[case::as_announced(Some(8), Ok(()))]
#[case::as_begun(Some(7), Err(ContinuationMismatch::Version))]
fn version_change(#[case] next: Option<u64>, #[case] expected: Result<(), ContinuationMismatch>) {
    let mut delivery = begun_stream(options());
    delivery
        .head(stream_head(), &source(Some(7)))
        .expect("no mismatch");
    let event = format!("{VERSION_FIELD}: 8\nid: 3\ndata: c\n\n");
    push_body(&mut delivery, &event).expect("no mismatch");
    delivery.begin_next_answer();
    assert_eq!(delivery.head(stream_head(), &source(next)), expected);
}

/// Guards against a body that consists of two upstreams' parts.
#[test]
fn large_body() {
    let text_head = || head(200, "text/plain");
    let mut delivery = Delivery::new(Options::default());
    delivery
        .head(text_head(), &source(None))
        .expect("no mismatch");
    let part = "x".repeat(1_100_000);
    assert!(
        !push_body(&mut delivery, &part)
            .expect("no mismatch")
            .is_empty()
    );
    assert!(!delivery.may_continue());
    delivery.begin_next_answer();
    assert_eq!(
        delivery.head(text_head(), &source(None)),
        Err(ContinuationMismatch::Closed)
    );
}

#[test]
fn buffered_body_dropped() {
    let mut delivery = Delivery::new(Options::default());
    delivery
        .head(head(200, "text/plain"), &source(None))
        .expect("no mismatch");
    assert_eq!(push_body(&mut delivery, "half an"), Ok(String::new()));
    assert!(!delivery.has_begun());
    delivery.begin_next_answer();
    delivery
        .head(head(201, "text/plain"), &source(None))
        .expect("no mismatch");
    push_body(&mut delivery, "whole").expect("no mismatch");
    let mut out = Vec::new();
    delivery.end(true, &mut out).expect("a complete answer");
    let text = String::from_utf8(out).expect("text");
    assert!(text.starts_with("HTTP/1.1 201"), "{text}");
    assert!(text.ends_with("Content-Length: 5\r\nConnection: close\r\n\r\nwhole"));
}

#[test]
fn refusal_before_delivery() {
    let mut delivery = Delivery::new(options());
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    let refused = || b"refused".to_vec();
    assert_eq!(delivery.close(refused), Closing::Answer(refused()));
}

/// Passes on what an upstream still sends, and returns what the caller receives of it.
fn push_more(delivery: &mut Delivery) -> String {
    let mut out = Vec::new();
    let _ = delivery.body(event(3).as_bytes(), false, &mut out);
    let _ = delivery.end(false, &mut out);
    String::from_utf8(out).expect("text")
}

/// Guards against further parts and a second end after the end of an answer.
#[rstest]
#[case::stream(true)]
#[case::body(false)]
fn nothing_after_end(#[case] is_stream: bool) {
    let mut delivery = Delivery::new(Options {
        is_stream,
        ..options()
    });
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    push_body(&mut delivery, &(event(1) + &event(2))).expect("no mismatch");
    delivery
        .end(false, &mut Vec::new())
        .expect("a complete answer");
    assert_eq!(push_more(&mut delivery), "");
}

/// Guards against continuing an aborted answer, or ending it as complete.
#[rstest]
#[case::begun_stream(true, Closing::Abort)]
#[case::refused(false, Closing::Answer(Vec::new()))]
fn nothing_after_close(#[case] is_begun: bool, #[case] closing: Closing) {
    let mut delivery = Delivery::new(options());
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    let first = if is_begun {
        event(1) + &event(2)
    } else {
        String::new()
    };
    push_body(&mut delivery, &first).expect("no mismatch");
    assert_eq!(delivery.close(Vec::new), closing);
    assert_eq!(push_more(&mut delivery), "");
}

/// Guards against continuing an answer after a mismatch, or ending it as complete.
#[test]
fn nothing_after_mismatch() {
    let mut delivery = begun_stream(options());
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    let mut out = Vec::new();
    let text = event(3) + &event(5);
    let mismatch = Err(ContinuationMismatch::Gap);
    assert_eq!(delivery.body(text.as_bytes(), false, &mut out), mismatch);
    out.clear();
    assert_eq!(
        delivery.body(event(4).as_bytes(), false, &mut out),
        mismatch
    );
    assert_eq!(delivery.end(false, &mut out), mismatch);
    assert!(out.is_empty(), "{}", String::from_utf8_lossy(&out));
    assert!(delivery.may_continue());
}

/// Guards against ignoring an event ID that arrives after the buffered part of its event, or is
/// split there.
#[rstest]
#[case::fits("\nid: ", "1\n\n", Ok(Some(1)))]
#[case::gap("\n", "id: 7\n\n", Err(ContinuationMismatch::Gap))]
#[case::cut("\nid: 1", "2\n\n", Err(ContinuationMismatch::Gap))]
#[case::second_id("\nid: 1\n", "id: 0\n\n", Err(ContinuationMismatch::Repeated))]
fn late_event_id(
    #[case] first: &str,
    #[case] second: &str,
    #[case] expected: Result<Option<u64>, ContinuationMismatch>,
) {
    let mut delivery = Delivery::new(options());
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    let part = format!("data: {}{first}", "x".repeat(300 * 1024));
    assert!(
        !push_body(&mut delivery, &part)
            .expect("no mismatch")
            .is_empty()
    );
    assert!(!delivery.may_continue());
    let fits = push_body(&mut delivery, second);
    assert_eq!(fits.map(|_| delivery.last_event()), expected);
    assert_eq!(delivery.may_continue(), expected.is_ok());
}

/// Guards against losing the last byte of a stream whose last line end arrives in two reads.
#[test]
fn split_last_line_end() {
    let mut delivery = Delivery::new(options());
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    push_body(&mut delivery, "id: 1\r\ndata: a\r\n\r").expect("no mismatch");
    push_body(&mut delivery, "\n").expect("no mismatch");
    let mut out = Vec::new();
    delivery.end(false, &mut out).expect("a complete answer");
    assert_eq!(String::from_utf8_lossy(&out), "1\r\n\n\r\n0\r\n\r\n");
}

/// Guards against refusing the events of a stream that can't be resumed and whose caller names a
/// last event: upstreams may ignore that name.
#[rstest]
fn resumed_once_only(#[values(1, 5)] first: u64) {
    let mut delivery = Delivery::new(Options {
        is_resumable: false,
        last_event: Some(4),
        ..options()
    });
    assert_eq!(delivery.last_event(), Some(4));
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    push_body(&mut delivery, &event(first)).expect("no mismatch");
    assert!(!delivery.may_continue());
    let skipped = event(first + 2);
    assert_eq!(
        push_body(&mut delivery, &skipped),
        Err(ContinuationMismatch::Gap)
    );
}

/// Guards against reading half of an event ID where part of an oversized event ends within it.
#[test]
fn split_event_id() {
    let mut delivery = Delivery::new(Options {
        last_event: Some(11),
        ..options()
    });
    delivery
        .head(stream_head(), &source(None))
        .expect("no mismatch");
    push_body(&mut delivery, &event(12)).expect("no mismatch");
    let part = format!("data: {}\nid: 1", "x".repeat(300 * 1024));
    push_body(&mut delivery, &part).expect("no event ID yet");
    push_body(&mut delivery, "3\n\n").expect("no mismatch");
    assert!(delivery.may_continue());
    assert_eq!(delivery.last_event(), Some(13));
}

/// Guards against a body without end that is buffered beyond the share of its answer.
#[test]
fn limited_body() {
    let mut delivery = Delivery::new(options());
    delivery.limit_buffer(4);
    delivery
        .head(head(200, "application/json"), &source(None))
        .expect("no mismatch");
    assert_eq!(push_body(&mut delivery, "1234"), Ok(String::new()));
    assert!(!delivery.has_begun());
    let part = push_body(&mut delivery, "5").expect("no mismatch");
    assert!(part.ends_with("\r\n\r\n5\r\n12345\r\n"), "{part}");
    let mut out = Vec::new();
    delivery.end(false, &mut out).expect("a complete answer");
    assert_eq!(out, b"0\r\n\r\n");
}
