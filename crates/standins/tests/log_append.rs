//! Appending to the log and reading from it.

mod support;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use rstest::rstest;
use serde_json::json;

use apricotdale_standins::log::LogStandin;
use apricotdale_standins::log::Options;

use support::Standin;

fn log_with(count: u64) -> Standin {
    let log = support::start(LogStandin::new(Options::default()));
    for number in 0..count {
        let answer = log.post("/streams/control/records", &json!(number));
        assert_eq!(
            (answer.status, answer.body),
            (201, json!({"offset": number}))
        );
    }
    log
}

#[rstest]
#[case::all("from=0&max=100", &[0, 1, 2, 3])]
#[case::middle("from=1&max=2", &[1, 2])]
#[case::at_the_end("from=4&max=100", &[])]
#[case::past_the_end("from=9&max=100", &[])]
fn requested_records(#[case] query: &str, #[case] offsets: &[u64]) {
    let log = log_with(4);
    let answer = log.get(&format!("/streams/control/records?{query}"));
    assert_eq!(answer.status, 200);
    assert_eq!(
        (&answer.body["first"], &answer.body["end"]),
        (&json!(0), &json!(4))
    );
    let records = answer.body["records"].as_array().unwrap();
    let read: Vec<u64> = records
        .iter()
        .map(|record| record["offset"].as_u64().unwrap())
        .collect();
    assert_eq!(read, offsets);
    for record in records {
        let payload = STANDARD
            .decode(record["payload"].as_str().unwrap())
            .unwrap();
        assert_eq!(payload, record["offset"].to_string().into_bytes());
    }
}

#[test]
fn separate_streams() {
    let log = log_with(1);
    assert_eq!(
        log.post("/streams/claims%2F0/records", &json!(1)).body,
        json!({"offset": 0})
    );
    let unknown = log.get("/streams/claims%2F1/records?from=0&max=9");
    assert_eq!(unknown.body, json!({"first": 0, "end": 0, "records": []}));
    assert_eq!(log.effects()["appends"], 2);
}
