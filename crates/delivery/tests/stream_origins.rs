//! Origins of streams: which process may continue what another one began.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::origin::Origin;
use apricotdale_delivery::AnswerSource;
use apricotdale_delivery::ContinuationMismatch;
use apricotdale_delivery::Delivery;
use apricotdale_delivery::Options;
use apricotdale_http1::ResponseHead;
use apricotdale_http1::parse_response_head;
use rstest::rstest;

const EVENT_STREAM: &str = "text/event-stream";

fn origin(version: Option<&str>, upstream: Option<&str>) -> Origin {
    Origin {
        service: GroupName::from("llm"),
        version: version.map(SoftwareVersion::from),
        upstream: upstream.map(UpstreamName::from),
    }
}

fn source(origin: &Origin) -> AnswerSource {
    AnswerSource {
        origin: origin.clone(),
        weights: None,
    }
}

fn options() -> Options {
    Options {
        is_stream: true,
        is_resumable: true,
        first_event: Some(1),
        ..Options::default()
    }
}

fn head(status: u16, content_type: &str) -> ResponseHead {
    let text = format!("HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\n\r\n");
    let parsed = parse_response_head(text.as_bytes(), 1024, false).expect("a head");
    parsed.expect("a complete head").0
}

fn push_head(delivery: &mut Delivery, origin: &Origin) -> Result<(), ContinuationMismatch> {
    delivery.head(head(200, EVENT_STREAM), &source(origin))
}

fn push_body(delivery: &mut Delivery, text: &str) -> Result<(), ContinuationMismatch> {
    delivery.body(text.as_bytes(), false, &mut Vec::new())
}

/// Returns the delivery of a stream of which the caller has one event of this origin, and whose
/// answer broke off.
fn begun_stream(origin: &Origin) -> Delivery {
    let mut delivery = Delivery::new(options());
    push_head(&mut delivery, origin).expect("no mismatch");
    push_body(&mut delivery, "id: 1\ndata: a\n\n").expect("no mismatch");
    delivery.begin_next_answer();
    delivery
}

#[rstest]
#[case::same_version((Some("v1"), Some("i-0")), (Some("v1"), Some("i-1")), true)]
#[case::other_version((Some("v1"), Some("i-0")), (Some("v2"), Some("i-0")), false)]
#[case::same_process((None, Some("i-0")), (None, Some("i-0")), true)]
#[case::known_since((None, Some("i-0")), (Some("v1"), Some("i-0")), true)]
#[case::both_unknown((None, Some("i-0")), (None, Some("i-1")), false)]
#[case::unknown_after_known((Some("v1"), None), (None, Some("i-0")), false)]
#[case::nothing_known((None, None), (None, None), false)]
fn accepted_origins(
    #[case] begun: (Option<&str>, Option<&str>),
    #[case] next: (Option<&str>, Option<&str>),
    #[case] accepts: bool,
) {
    let (begun, next) = (origin(begun.0, begun.1), origin(next.0, next.1));
    assert_eq!(begun.accepts(&next), accepts);
    let mut delivery = begun_stream(&begun);
    let expected = match accepts {
        true => Ok(()),
        false => Err(ContinuationMismatch::Software),
    };
    assert_eq!(push_head(&mut delivery, &next), expected);
    let of_other_service = Origin {
        service: GroupName::from("embeddings"),
        ..next
    };
    assert!(!begun.accepts(&of_other_service));
}

#[rstest]
#[case::same(Some("v1"), Some("v1"), Some("v1"))]
#[case::known_since(None, Some("v1"), Some("v1"))]
#[case::copy_without_version(Some("v1"), None, Some("v1"))]
fn corrected_version(
    #[case] before: Option<&str>,
    #[case] now: Option<&str>,
    #[case] expected: Option<&str>,
) {
    let sent = origin(before, Some("i-0"));
    let now = origin(now, Some("i-0"));
    assert_eq!(sent.corrected(Some(&now)), origin(expected, Some("i-0")));
    assert_eq!(sent.corrected(None), sent);
}

/// Guards against a stream that goes on at the process which began it though this may have written
/// as another version since: the entry changed while the answer was under way.
#[test]
fn changed_in_place() {
    let sent = origin(Some("v1"), Some("i-0"));
    let now = origin(Some("v2"), Some("i-0"));
    let corrected = sent.corrected(Some(&now));
    for next in [&sent, &now, &corrected] {
        assert!(!corrected.accepts(next), "{next:?}");
        let mut delivery = begun_stream(&corrected);
        let mismatch = Err(ContinuationMismatch::Software);
        assert_eq!(push_head(&mut delivery, next), mismatch);
    }
    assert!(!sent.accepts(&corrected));
}

/// Guards against tying a request to a version before its caller has anything of it.
#[test]
fn retry_before_first_event() {
    let mut delivery = Delivery::new(options());
    push_head(&mut delivery, &origin(Some("v1"), Some("i-0"))).expect("no mismatch");
    push_body(&mut delivery, "id: 1\nda").expect("no mismatch");
    assert_eq!(delivery.origin(), None);
    delivery.begin_next_answer();
    let other = origin(Some("v2"), Some("i-1"));
    push_head(&mut delivery, &other).expect("no mismatch");
    assert_eq!(delivery.origin(), None);
    push_body(&mut delivery, "id: 1\ndata: a\n\n").expect("no mismatch");
    assert_eq!(delivery.origin(), Some(&other));
}

/// Guards against an origin that changes with the answers which continue the stream: that of the
/// first event stays.
#[test]
fn first_event_settles() {
    let first = origin(Some("v1"), Some("i-0"));
    let mut delivery = begun_stream(&first);
    push_head(&mut delivery, &origin(Some("v1"), Some("i-1"))).expect("no mismatch");
    push_body(&mut delivery, "id: 2\ndata: b\n\n").expect("no mismatch");
    assert_eq!(delivery.origin(), Some(&first));
    delivery.begin_next_answer();
    assert_eq!(delivery.origin(), Some(&first));
    let other = push_head(&mut delivery, &origin(Some("v2"), Some("i-2")));
    assert_eq!(other, Err(ContinuationMismatch::Software));
}

/// Guards against events of another version behind those that the caller has from an earlier
/// answer, also after a first upstream that failed.
#[test]
fn origin_of_earlier_answer() {
    let mut delivery = Delivery::new(Options {
        last_event: Some(1),
        ..options()
    });
    let begun = origin(Some("v1"), None);
    delivery.set_origin(begun.clone());
    assert_eq!(delivery.last_event(), Some(1));
    for _ in 0..2 {
        let other = push_head(&mut delivery, &origin(Some("v2"), Some("i-0")));
        assert_eq!(other, Err(ContinuationMismatch::Software));
        delivery.begin_next_answer();
        assert_eq!(delivery.origin(), Some(&begun));
    }
    push_head(&mut delivery, &origin(Some("v1"), Some("i-1"))).expect("no mismatch");
    push_body(&mut delivery, "id: 2\ndata: b\n\n").expect("no mismatch");
    assert_eq!(delivery.origin(), Some(&begun));
}

/// Guards against refusing the failure of an upstream of another version, which is no event, as a
/// part of the stream.
#[test]
fn failure_of_other_version() {
    let mut delivery = Delivery::new(options());
    delivery.set_origin(origin(Some("v1"), None));
    let other = source(&origin(Some("v2"), Some("i-0")));
    let failed = delivery.head(head(503, "application/json"), &other);
    assert_eq!(failed, Ok(()));
    assert_eq!(delivery.status(), Some(503));
}
