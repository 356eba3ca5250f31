//! Limits of the table of stream origins.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::origin::Origin;
use apricotdale_origins::OriginTable;
use apricotdale_origins::StreamId;
use apricotdale_origins::StreamOrigin;
use apricotdale_origins::TableOptions;

const NOW_MS: u64 = 1_000;
const MAX_STREAMS: usize = 4;

fn table() -> OriginTable {
    OriginTable::new(TableOptions {
        lifetime_ms: 10_000,
        max_streams: MAX_STREAMS,
    })
}

fn id(number: usize) -> StreamId {
    StreamId::new(&RequestId::from(format!("r-{number}")), Some("o"))
}

fn stated(number: usize) -> StreamOrigin {
    StreamOrigin {
        stream: id(number),
        origin: Origin {
            service: GroupName::from("llm"),
            version: Some(SoftwareVersion::from("v1")),
            upstream: None,
        },
    }
}

#[test]
fn oldest_dropped() {
    let mut table = table();
    for number in 0..MAX_STREAMS + 2 {
        table.record(NOW_MS + number as u64, stated(number));
        assert!(table.len() <= MAX_STREAMS);
    }
    let now_ms = NOW_MS + 100;
    assert!(table.get(now_ms, id(0)).is_none() && table.get(now_ms, id(1)).is_none());
    assert!((2..MAX_STREAMS + 2).all(|number| table.get(now_ms, id(number)).is_some()));
    assert_eq!(table.dropped(), 2);
}

/// Guards against dropping a stream with the first of two statements of the same millisecond.
#[test]
fn statements_at_once() {
    let mut table = table();
    for _ in 0..100 {
        table.record(NOW_MS, stated(0));
    }
    for number in 1..MAX_STREAMS {
        table.record(NOW_MS, stated(number));
    }
    assert!((0..MAX_STREAMS).all(|number| table.get(NOW_MS, id(number)).is_some()));
    assert_eq!((table.len(), table.dropped()), (MAX_STREAMS, 0));
}

/// Guards against a table whose memory grows with every repetition of a statement: the records are
/// bounded, and the stream that is not repeated is dropped in the end.
#[test]
fn repeated_statements() {
    let mut table = table();
    table.record(NOW_MS, stated(0));
    for repetition in 0..1_000 {
        table.record(NOW_MS + repetition, stated(1));
    }
    let now_ms = NOW_MS + 1_000;
    assert!(table.get(now_ms, id(1)).is_some());
    assert!(table.get(now_ms, id(0)).is_none());
    assert_eq!((table.len(), table.dropped()), (1, 1));
}

/// Guards against dropping a stream with the record that a later one has renewed.
#[test]
fn renewed_stream_kept() {
    let mut table = table();
    table.record(NOW_MS, stated(0));
    table.record(NOW_MS + 6_000, stated(0));
    table.record(NOW_MS + 12_000, stated(1));
    assert!(table.get(NOW_MS + 12_000, id(0)).is_some());
    table.record(NOW_MS + 17_000, stated(2));
    assert!(table.get(NOW_MS + 17_000, id(0)).is_none());
    assert_eq!((table.len(), table.dropped()), (2, 0));
}
