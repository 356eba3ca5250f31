//! Records that have expired.

mod support;

use apricotdale_core::numbers::Offset;
use serde_json::json;

use apricotdale_standins::log::LogStandin;
use apricotdale_standins::log::Options;
use apricotdale_standins::log::Retention;
use apricotdale_standins::log::StreamRecords;

/// Guards against a reader that misses records without notice: it asks for an offset that has
/// expired since its last read. The log must answer that the offset is gone instead of skipping
/// records.
#[test]
fn expired_offset() {
    let log = support::start(LogStandin::new(Options::default()));
    for number in 0..5 {
        log.post("/streams/control/records", &json!(number));
    }
    let trim = json!({"stream": "control", "before": 3});
    assert_eq!(log.post("/standin/trim", &trim).status, 200);
    let gone = log.get("/streams/control/records?from=2");
    assert_eq!((gone.status, gone.body), (410, json!({"first": 3})));
    let kept = log.get("/streams/control/records?from=3").body;
    assert_eq!((&kept["first"], &kept["end"]), (&json!(3), &json!(5)));
    assert_eq!(log.effects()["bytes_kept"], 2);
}

#[test]
fn record_limit() {
    let options = Options {
        retention_records: Some(2),
        ..Options::default()
    };
    let log = support::start(LogStandin::new(options));
    for number in 0..5 {
        assert_eq!(
            log.post("/streams/s/records", &json!(number)).body["offset"],
            number
        );
    }
    assert_eq!(
        log.get("/streams/s/records?from=0").body,
        json!({"first": 3})
    );
}

#[test]
fn record_age() {
    let retention = Retention {
        age_ms: Some(100),
        records: None,
    };
    let mut records = StreamRecords::default();
    for now_ms in [0, 50, 90] {
        records.append(now_ms, vec![1]);
    }
    records.expire(149, retention);
    assert_eq!((records.first(), records.end()), (Offset(1), Offset(3)));
    assert!(records.read(Offset(0), 9).is_none());
    records.expire(1_000, retention);
    assert_eq!(records.first(), records.end());
    assert_eq!(records.append(1_000, vec![1]), Offset(3));
}

#[test]
fn monotonic_times() {
    let mut records = StreamRecords::default();
    for now_ms in [10, 5, 20] {
        records.append(now_ms, Vec::new());
    }
    let times = records.read(Offset(0), 9).unwrap();
    let times: Vec<u64> = times.iter().map(|record| record.appended_ms).collect();
    assert_eq!(times, [10, 10, 20]);
}
