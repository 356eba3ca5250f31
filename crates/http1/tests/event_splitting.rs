//! Whole events in a stream that arrives in pieces.

use apricotdale_http1::EventSplitter;
use rstest::rstest;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";

#[rstest]
fn events_in_pieces(#[values(1, 2, 5, 100)] piece: usize) {
    let mut splitter = EventSplitter::default();
    let mut out = Vec::new();
    for bytes in STREAM.chunks(piece) {
        out.extend(splitter.push(bytes));
    }
    assert_eq!(out, STREAM);
    assert_eq!(splitter.last_id(), Some(3));
}

/// Symptom: an event comes twice in part. Sequence: an upstream breaks off in the middle of an
/// event, another one goes on with that event from its beginning. Cause: the first part had been
/// passed on.
#[test]
fn unfinished_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    assert_eq!(
        splitter.push(b"id: 1\ndata: a\n\nid: 2\nda"),
        b"id: 1\ndata: a\n\n"
    );
    assert_eq!(splitter.last_id(), Some(1));
    splitter.drop_unfinished();
    assert_eq!(splitter.push(b"id: 2\ndata: b\n\n"), b"id: 2\ndata: b\n\n");
}

#[test]
fn rest_of_a_whole_stream() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\ndata: end");
    assert_eq!(splitter.rest(), b"data: end");
}

#[test]
fn endless_event_is_passed_on() {
    let mut splitter = EventSplitter::default();
    let out = splitter.push(&vec![b'x'; 300 * 1024]);
    assert_eq!(out.len(), 300 * 1024);
    assert!(!splitter.can_resume());
}
