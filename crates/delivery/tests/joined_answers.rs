//! What may follow the part of an answer that a caller has been given.

use apricotdale_delivery::Closing;
use apricotdale_delivery::Delivery;
use apricotdale_delivery::Misfit;
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
        last_event: None,
        version_field: Some(VERSION_FIELD),
    }
}

fn head(status: u16, content_type: &str) -> ResponseHead {
    let text = format!("HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n\r\n");
    let parsed = parse_response_head(text.as_bytes(), 1024, false).expect("a head");
    parsed.expect("a whole head").0
}

fn stream_head() -> ResponseHead {
    head(200, "text/event-stream; charset=utf-8")
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn take(delivery: &mut Delivery, text: &str) -> Result<String, Misfit> {
    let mut out = Vec::new();
    let fits = delivery.body(text.as_bytes(), false, &mut out);
    fits.map(|()| String::from_utf8(out).expect("text"))
}

/// Returns the delivery of a stream of which the caller has been given two events.
fn begun(options: Options) -> Delivery {
    let mut delivery = Delivery::new(options);
    delivery.head(stream_head(), Some(7)).expect("it fits");
    take(&mut delivery, &(event(1) + &event(2) + "id: 3\nda")).expect("they fit");
    delivery.begin_run();
    delivery
}

#[test]
fn stream_goes_on() {
    let mut delivery = begun(options());
    assert!(delivery.may_go_on());
    assert_eq!(delivery.last_event(), Some(2));
    assert_eq!(delivery.status(), None);
    delivery.head(stream_head(), Some(7)).expect("it fits");
    let mut out = Vec::new();
    let body = event(3) + &event(4);
    delivery
        .body(body.as_bytes(), false, &mut out)
        .expect("they fit");
    delivery.end(false, &mut out).expect("it is whole");
    let expected = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    assert_eq!(String::from_utf8_lossy(&out), expected);
}

/// Guards against the end of another answer that is told as the end of the stream.
#[rstest]
#[case::own_failure(head(500, "text/event-stream"), None, Misfit::Status)]
#[case::no_content(head(204, "text/event-stream"), None, Misfit::Status)]
#[case::partial(head(206, "text/event-stream"), None, Misfit::Status)]
#[case::json(head(200, "application/json"), None, Misfit::ContentType)]
#[case::other_weights(stream_head(), Some(8), Misfit::Version)]
fn heads_that_do_not_fit(
    #[case] head: ResponseHead,
    #[case] version: Option<u64>,
    #[case] misfit: Misfit,
) {
    let mut delivery = begun(options());
    assert_eq!(delivery.head(head, version), Err(misfit));
    let mut out = Vec::new();
    assert_eq!(delivery.end(false, &mut out), Err(Misfit::Closed));
    assert!(out.is_empty());
}

/// Guards against a second run that does not go on where the first one broke off.
#[rstest]
#[case::gap(event(4), Misfit::Gap)]
#[case::repeated(event(2), Misfit::Repeated)]
#[case::anew(event(1), Misfit::Repeated)]
#[case::unnumbered("data: piece 3\n\n".to_owned(), Misfit::Unnumbered)]
#[case::no_number("id: three\ndata: piece 3\n\n".to_owned(), Misfit::Unnumbered)]
#[case::last_number_counts("id: 3\nid: 4\ndata: piece 3\n\n".to_owned(), Misfit::Gap)]
fn events_that_do_not_fit(#[case] second: String, #[case] misfit: Misfit) {
    let mut delivery = begun(options());
    delivery.head(stream_head(), None).expect("it fits");
    assert_eq!(take(&mut delivery, &second), Err(misfit));
}

/// Guards against a stream that is told as whole though its last run did not show its end.
#[rstest]
#[case::empty("", Misfit::Empty)]
#[case::comments_only(": still here\n\n", Misfit::Empty)]
#[case::unfinished("id: 3\ndata: pie", Misfit::Unfinished)]
#[case::without_blank_line("id: 3\ndata: piece 3\n", Misfit::Unfinished)]
fn ends_that_do_not_fit(#[case] second: &str, #[case] misfit: Misfit) {
    let mut delivery = begun(options());
    delivery.head(stream_head(), None).expect("it fits");
    take(&mut delivery, second).expect("nothing is wrong yet");
    let mut out = Vec::new();
    assert_eq!(delivery.end(false, &mut out), Err(misfit));
    assert!(out.is_empty());
    assert_eq!(delivery.close(Vec::new), Closing::Abort);
}

/// Guards against events behind one that does not fit; those before it are given.
#[test]
fn events_before_a_misfit() {
    let mut delivery = begun(options());
    delivery.head(stream_head(), None).expect("it fits");
    let mut out = Vec::new();
    let text = event(3) + &event(5);
    assert_eq!(
        delivery.body(text.as_bytes(), false, &mut out),
        Err(Misfit::Gap)
    );
    let given = String::from_utf8_lossy(&out);
    assert!(given.contains("piece 3") && !given.contains("piece 5"));
    assert_eq!(delivery.last_event(), Some(3));
}

/// Guards against a caller that resumes and gets events it has, or misses some, also from the
/// second upstream that is asked.
#[rstest]
#[case::gap(6, Misfit::Gap)]
#[case::repeated(4, Misfit::Repeated)]
fn caller_resumes(#[case] first: u64, #[case] misfit: Misfit) {
    let mut delivery = Delivery::new(Options {
        last_event: Some(4),
        ..options()
    });
    for _ in 0..2 {
        assert_eq!(delivery.last_event(), Some(4));
        delivery.head(stream_head(), None).expect("it fits");
        assert_eq!(take(&mut delivery, &event(first)), Err(misfit));
        assert!(!delivery.has_begun());
        assert!(delivery.may_go_on());
        delivery.begin_run();
    }
    delivery.head(stream_head(), None).expect("it fits");
    let given = take(&mut delivery, &event(5)).expect("it fits");
    assert!(given.starts_with("HTTP/1.1 200"));
}

/// Guards against another answer that is told as the rest of a stream that a caller resumes.
#[rstest]
#[case::json(200, "application/json")]
#[case::no_content(204, "text/plain")]
fn caller_resumes_and_gets_no_events(#[case] status: u16, #[case] content_type: &str) {
    let mut delivery = Delivery::new(Options {
        last_event: Some(4),
        ..options()
    });
    let misfit = Err(Misfit::ContentType);
    assert_eq!(delivery.head(head(status, content_type), None), misfit);
    assert!(delivery.may_go_on());
}

/// Guards against a join behind a place that is not known.
#[rstest]
#[case::unnumbered("data: a\n\n")]
#[case::unnumbered_later("id: 1\ndata: a\n\ndata: b\n\n")]
fn unknown_places(#[case] first: &str) {
    let mut delivery = Delivery::new(options());
    delivery.head(stream_head(), None).expect("it fits");
    take(&mut delivery, first).expect("it is the upstream's own");
    assert!(delivery.has_begun());
    assert!(!delivery.may_go_on());
    delivery.begin_run();
    assert_eq!(delivery.head(stream_head(), None), Err(Misfit::Closed));
}

#[test]
fn stream_that_runs_once() {
    let delivery = begun(Options {
        is_resumable: false,
        ..options()
    });
    assert!(!delivery.may_go_on());
}

/// Guards against a large event of which the caller has a part, and gets the whole one again.
#[test]
fn part_of_an_oversize_event() {
    let mut delivery = Delivery::new(options());
    delivery.head(stream_head(), None).expect("it fits");
    let part = format!("id: 1\ndata: {}", "x".repeat(300 * 1024));
    assert!(!take(&mut delivery, &part).expect("it fits").is_empty());
    assert!(!delivery.may_go_on());
    let mut out = Vec::new();
    assert_eq!(delivery.end(false, &mut out), Err(Misfit::Unfinished));
    take(&mut delivery, "\n\n").expect("it is the last of it");
    assert!(delivery.may_go_on());
    assert_eq!(delivery.last_event(), Some(1));
}

/// Guards against weights that change within a stream and are taken for those it began with.
#[rstest]
#[case::as_told(Some(8), Ok(()))]
#[case::as_begun(Some(7), Err(Misfit::Version))]
fn version_changes_within(#[case] next: Option<u64>, #[case] expected: Result<(), Misfit>) {
    let mut delivery = begun(options());
    delivery.head(stream_head(), Some(7)).expect("it fits");
    let event = format!("{VERSION_FIELD}: 8\nid: 3\ndata: c\n\n");
    take(&mut delivery, &event).expect("it fits");
    delivery.begin_run();
    assert_eq!(delivery.head(stream_head(), next), expected);
}

/// Guards against a body that is made of two upstreams' parts.
#[test]
fn large_body_is_not_joined() {
    let text_head = || head(200, "text/plain");
    let mut delivery = Delivery::new(Options::default());
    delivery.head(text_head(), None).expect("it fits");
    let part = "x".repeat(1_100_000);
    assert!(!take(&mut delivery, &part).expect("it fits").is_empty());
    assert!(!delivery.may_go_on());
    delivery.begin_run();
    assert_eq!(delivery.head(text_head(), None), Err(Misfit::Closed));
}

#[test]
fn held_body_is_dropped() {
    let mut delivery = Delivery::new(Options::default());
    delivery
        .head(head(200, "text/plain"), None)
        .expect("it fits");
    assert_eq!(take(&mut delivery, "half an"), Ok(String::new()));
    assert!(!delivery.has_begun());
    delivery.begin_run();
    delivery
        .head(head(201, "text/plain"), None)
        .expect("it fits");
    take(&mut delivery, "whole").expect("it fits");
    let mut out = Vec::new();
    delivery.end(true, &mut out).expect("it is whole");
    let text = String::from_utf8(out).expect("text");
    assert!(text.starts_with("HTTP/1.1 201"), "{text}");
    assert!(text.ends_with("Content-Length: 5\r\nConnection: close\r\n\r\nwhole"));
}

#[test]
fn refusal_before_anything_is_given() {
    let mut delivery = Delivery::new(options());
    delivery.head(stream_head(), None).expect("it fits");
    let refused = || b"refused".to_vec();
    assert_eq!(delivery.close(refused), Closing::Answer(refused()));
}

/// Hands on what an upstream still sends, and returns what the caller is given of it.
fn push_more(delivery: &mut Delivery) -> String {
    let mut out = Vec::new();
    let _ = delivery.body(event(3).as_bytes(), false, &mut out);
    let _ = delivery.end(false, &mut out);
    String::from_utf8(out).expect("text")
}

/// Guards against parts and a second end behind the end of an answer.
#[rstest]
#[case::stream(true)]
#[case::body(false)]
fn nothing_behind_the_end(#[case] is_stream: bool) {
    let mut delivery = Delivery::new(Options {
        is_stream,
        ..options()
    });
    delivery.head(stream_head(), None).expect("it fits");
    take(&mut delivery, &(event(1) + &event(2))).expect("they fit");
    delivery.end(false, &mut Vec::new()).expect("it is whole");
    assert_eq!(push_more(&mut delivery), "");
}

/// Guards against a broken answer that goes on, or is ended as whole after all.
#[rstest]
#[case::begun(true, Closing::Abort)]
#[case::refused(false, Closing::Answer(Vec::new()))]
fn nothing_behind_the_closing(#[case] is_begun: bool, #[case] closing: Closing) {
    let mut delivery = Delivery::new(options());
    delivery.head(stream_head(), None).expect("it fits");
    let first = if is_begun {
        event(1) + &event(2)
    } else {
        String::new()
    };
    take(&mut delivery, &first).expect("they fit");
    assert_eq!(delivery.close(Vec::new), closing);
    assert_eq!(push_more(&mut delivery), "");
}

/// Guards against an answer that is ended as whole, or goes on, behind an event that did not fit.
#[test]
fn nothing_behind_a_misfit() {
    let mut delivery = begun(options());
    delivery.head(stream_head(), None).expect("it fits");
    let mut out = Vec::new();
    let text = event(3) + &event(5);
    let misfit = Err(Misfit::Gap);
    assert_eq!(delivery.body(text.as_bytes(), false, &mut out), misfit);
    out.clear();
    assert_eq!(delivery.body(event(4).as_bytes(), false, &mut out), misfit);
    assert_eq!(delivery.end(false, &mut out), misfit);
    assert!(out.is_empty(), "{}", String::from_utf8_lossy(&out));
    assert!(delivery.may_go_on());
}

/// Guards against a number that comes behind what is held back of its event, or is cut there, and
/// is not looked at.
#[rstest]
#[case::fits("\nid: ", "1\n\n", Ok(Some(1)))]
#[case::gap("\n", "id: 7\n\n", Err(Misfit::Gap))]
#[case::cut("\nid: 1", "2\n\n", Err(Misfit::Gap))]
#[case::second_number("\nid: 1\n", "id: 0\n\n", Err(Misfit::Repeated))]
fn late_number(
    #[case] first: &str,
    #[case] second: &str,
    #[case] expected: Result<Option<u64>, Misfit>,
) {
    let mut delivery = Delivery::new(options());
    delivery.head(stream_head(), None).expect("it fits");
    let part = format!("data: {}{first}", "x".repeat(300 * 1024));
    assert!(!take(&mut delivery, &part).expect("it fits").is_empty());
    assert!(!delivery.may_go_on());
    let fits = take(&mut delivery, second);
    assert_eq!(fits.map(|_| delivery.last_event()), expected);
    assert_eq!(delivery.may_go_on(), expected.is_ok());
}

/// Guards against losing the last byte of a stream whose last line end comes in two reads.
#[test]
fn last_line_end_in_two_pieces() {
    let mut delivery = Delivery::new(options());
    delivery.head(stream_head(), None).expect("it fits");
    take(&mut delivery, "id: 1\r\ndata: a\r\n\r").expect("it fits");
    take(&mut delivery, "\n").expect("it fits");
    let mut out = Vec::new();
    delivery.end(false, &mut out).expect("it is whole");
    assert_eq!(String::from_utf8_lossy(&out), "1\r\n\n\r\n0\r\n\r\n");
}

/// Guards against refusing the events of a stream that may run once and whose caller names a last
/// event: upstreams need not heed it.
#[rstest]
fn caller_resumes_what_runs_once(#[values(1, 5)] first: u64) {
    let mut delivery = Delivery::new(Options {
        is_resumable: false,
        last_event: Some(4),
        ..options()
    });
    assert_eq!(delivery.last_event(), Some(4));
    delivery.head(stream_head(), None).expect("it fits");
    take(&mut delivery, &event(first)).expect("it fits");
    assert!(!delivery.may_go_on());
    let skipped = event(first + 2);
    assert_eq!(take(&mut delivery, &skipped), Err(Misfit::Gap));
}

/// Guards against reading half of a number where part of an oversize event ends within it.
#[test]
fn number_in_two_parts() {
    let mut delivery = Delivery::new(Options {
        last_event: Some(11),
        ..options()
    });
    delivery.head(stream_head(), None).expect("it fits");
    take(&mut delivery, &event(12)).expect("it fits");
    let part = format!("data: {}\nid: 1", "x".repeat(300 * 1024));
    take(&mut delivery, &part).expect("its number has not come");
    take(&mut delivery, "3\n\n").expect("it fits");
    assert!(delivery.may_go_on());
    assert_eq!(delivery.last_event(), Some(13));
}
