//! Reads that wait for a record.

mod support;

use std::thread;
use std::thread::JoinHandle;

use serde_json::json;

use apricotdale_standins::log::LogStandin;
use apricotdale_standins::log::Options;

use support::Answer;
use support::Standin;

/// Starts a read with a timeout of one hour, and returns once the log holds it.
fn wait_for_record(log: &'static Standin) -> JoinHandle<Answer> {
    let path = "/streams/control/records?from=0&max=9&wait_ms=3600000";
    let reader = thread::spawn(|| log.get(path));
    support::wait_until(|| log.effects()["reads"] == 1);
    reader
}

fn leaked_log() -> &'static Standin {
    let log = support::start(LogStandin::new(Options::default()));
    Box::leak(Box::new(log))
}

#[test]
fn append_ends_wait() {
    let log = leaked_log();
    let reader = wait_for_record(log);
    log.post("/streams/other/records", &json!(1));
    log.post("/streams/control/records", &json!(2));
    let answer = reader.join().unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body["records"].as_array().unwrap().len(), 1);
}

/// Guards against a reader that takes an outage for a stream without new records: the log goes down
/// while the reader waits, which must end the wait with status 503.
#[test]
fn outage_ends_wait() {
    let log = leaked_log();
    let reader = wait_for_record(log);
    log.fault(&json!({"mode": "down"}));
    assert_eq!(reader.join().unwrap().status, 503);
}
