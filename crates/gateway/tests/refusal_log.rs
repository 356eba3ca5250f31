//! Each refusal is one log line, with its reason and whether the request ran.

mod support;

use std::collections::HashMap;
use std::sync::Mutex;

use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use support::Fixture;

type Fields = HashMap<String, String>;

static LINES: Mutex<Vec<Fields>> = Mutex::new(Vec::new());

/// Logger that keeps the fields of each line with the message "refused".
struct RefusalLines;

struct Visitor(Fields);

impl<'kvs> VisitSource<'kvs> for Visitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl Log for RefusalLines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut visitor = Visitor(Fields::new());
        record.key_values().visit(&mut visitor).expect("fields");
        if record.args().to_string() == "refused" {
            LINES.lock().expect("no panic").push(visitor.0);
        }
    }

    fn flush(&self) {}
}

#[test]
fn refusal_log_line() {
    log::set_logger(&RefusalLines).expect("the only logger");
    log::set_max_level(LevelFilter::Info);
    let fixture = Fixture::warm();
    let body = r#"{"model":"nobody"}"#;
    let headers = [("X-Request-Id", "order-77")];
    let answer = fixture
        .caller()
        .call("POST", "/v1/completions", &headers, body);
    let lines = LINES.lock().expect("no panic").clone();
    assert_eq!(lines.len(), 1, "{lines:?}");
    let expected = [
        (
            "request_id",
            answer.header("x-request-id").expect("an identity"),
        ),
        ("correlation_id", "order-77"),
        ("class", "quick"),
        ("reason", "unknown_model"),
        ("ran", "not_run"),
        ("detail", "no model nobody is configured"),
    ];
    for (field, value) in expected {
        assert_eq!(
            lines[0].get(field).map(String::as_str),
            Some(value),
            "{field}"
        );
    }
}
