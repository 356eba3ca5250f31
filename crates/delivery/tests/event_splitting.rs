//! Splitting of a stream that arrives in pieces into complete events.

use apricotdale_delivery::EventSplitter;
use apricotdale_delivery::Piece;
use rstest::rstest;

const EVENTS: [&str; 5] = [
    "id: 1\ndata: a\n\n",
    "id: 2\r\ndata: b\r\n\r\n",
    ": note\n\n",
    "id: 3\rdata: c\r\r",
    "id: 4\ndata: d\n\n",
];

fn pieces(splitter: &mut EventSplitter) -> Vec<Piece> {
    std::iter::from_fn(|| splitter.next_piece()).collect()
}

fn event(text: &str) -> Piece {
    Piece::Event(text.as_bytes().to_vec())
}

#[rstest]
fn split_events(#[values(1, 2, 3, 5, 100)] size: usize) {
    let stream = EVENTS.concat();
    let mut splitter = EventSplitter::default();
    let mut found = Vec::new();
    for bytes in stream.as_bytes().chunks(size) {
        splitter.push(bytes);
        found.extend(pieces(&mut splitter));
    }
    let bytes: Vec<u8> = found
        .iter()
        .flat_map(|piece| match piece {
            Piece::Event(bytes) => bytes.clone(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(String::from_utf8_lossy(&bytes), stream);
    assert_eq!(found.len(), EVENTS.len());
    assert!(!splitter.is_inside_event());
}

/// Guards against part of an event that the caller receives twice, because an upstream breaks off
/// in its middle and another one sends it from its beginning.
#[test]
fn unfinished_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(pieces(&mut splitter), [event("id: 1\ndata: a\n\n")]);
    assert!(splitter.is_inside_event());
}

/// Guards against counting a line end that arrives in two pieces as two line ends.
#[rstest]
#[case::blank_line("data: a\r\n\r", "\ndata: b\r\n\r\n")]
#[case::first_line("data: a\r", "\n\r\ndata: b\r\n\r\n")]
fn split_line_end(#[case] first: &str, #[case] second: &str) {
    let mut splitter = EventSplitter::default();
    splitter.push(first.as_bytes());
    let mut found = pieces(&mut splitter);
    splitter.push(second.as_bytes());
    found.extend(pieces(&mut splitter));
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(!splitter.is_inside_event());
}

#[test]
fn lone_line_feed() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"data: a\r\n\r");
    assert_eq!(pieces(&mut splitter), [event("data: a\r\n\r")]);
    splitter.push(b"\n");
    assert!(pieces(&mut splitter).is_empty());
    assert!(!splitter.is_inside_event());
}

#[test]
fn oversized_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 300 * 1024]);
    let first = pieces(&mut splitter);
    assert!(matches!(first.as_slice(), [Piece::Beginning(part)] if part.len() == 300 * 1024));
    assert!(splitter.is_inside_event());
    splitter.push(b"more\n");
    assert_eq!(pieces(&mut splitter), [Piece::More(b"more\n".to_vec())]);
    assert!(splitter.is_inside_event(), "the blank line has not come");
    splitter.push(b"\nid: 2\n\n");
    assert_eq!(
        pieces(&mut splitter),
        [Piece::Last(b"\n".to_vec()), event("id: 2\n\n")]
    );
    assert!(!splitter.is_inside_event());
}

/// Guards against an event without end that is buffered beyond the share of its stream.
#[test]
fn limited_event() {
    let mut splitter = EventSplitter::default();
    splitter.limit_buffer(8);
    splitter.push(b"data: 12");
    assert!(pieces(&mut splitter).is_empty());
    splitter.push(b"3");
    assert_eq!(
        pieces(&mut splitter),
        [Piece::Beginning(b"data: 123".to_vec())]
    );
    splitter.push(b"4\n\n");
    assert_eq!(pieces(&mut splitter), [Piece::Last(b"4\n\n".to_vec())]);
}
