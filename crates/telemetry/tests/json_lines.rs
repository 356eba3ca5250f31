//! Format of log lines.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use apricotdale_telemetry::JsonLogger;
use apricotdale_telemetry::LevelFilter;
use apricotdale_telemetry::LogOptions;
use log::Level;
use log::Log;
use log::Record;
use log::kv::ToValue;
use log::kv::Value;
use rstest::rstest;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Logs one record and returns the lines that were written, at most one.
fn lines(level: Level, message: &str, keys: &[(&str, Value<'_>)]) -> Vec<serde_json::Value> {
    let written = SharedBuffer::default();
    let mut options = LogOptions::new("entry-1".into(), "hall-a".into());
    options.level = LevelFilter::Info;
    let logger = JsonLogger::new(options, Box::new(written.clone())).unwrap();
    logger.log(
        &Record::builder()
            .level(level)
            .target("apricotdale_gateway")
            .args(format_args!("{message}"))
            .key_values(&keys)
            .build(),
    );
    Log::flush(&logger);
    let bytes = written.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

#[test]
fn own_fields() {
    let keys = [
        ("request_id", "entry-1.42".to_value()),
        ("reason", "overloaded".to_value()),
    ];
    let lines = lines(Level::Warn, "refused", &keys);
    let line = &lines[0];
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["vm"], "entry-1");
    assert_eq!(line["availability_zone"], "hall-a");
    assert_eq!(line["request_id"], "entry-1.42");
    assert_eq!(line["reason"], "overloaded");
    assert_eq!(line["message"], "refused");
    assert_eq!(line["module"], "apricotdale_gateway");
    let time = line["time"].as_str().unwrap();
    assert!(time.ends_with('Z') && time.contains('T'), "{time}");
}

#[rstest]
#[case::number(7_u64.to_value(), serde_json::json!(7))]
#[case::negative((-7_i64).to_value(), serde_json::json!(-7))]
#[case::flag(true.to_value(), serde_json::json!(true))]
#[case::fraction(0.5_f64.to_value(), serde_json::json!(0.5))]
#[case::not_a_number(f64::NAN.to_value(), serde_json::json!("NaN"))]
#[case::text("a\n\"b\"".to_value(), serde_json::json!("a\n\"b\""))]
fn value_types(#[case] value: Value<'_>, #[case] expected: serde_json::Value) {
    let lines = lines(Level::Info, "loaded", &[("took", value)]);
    assert_eq!(lines[0]["fields"]["took"], expected);
}

/// Guards against log lines that a caller can forge: text with a newline must not make a second
/// line, and a key named like a field of the line must not overwrite that field.
#[test]
fn forged_line_and_field() {
    let message = "bad header\n{\"level\":\"ERROR\",\"vm\":\"entry-9\"}";
    let lines = lines(Level::Info, message, &[("vm", "entry-9".to_value())]);
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["vm"], "entry-1");
    assert_eq!(lines[0]["fields"]["vm"], "entry-9");
    assert_eq!(lines[0]["message"], message);
}

#[test]
fn level_filter() {
    assert!(lines(Level::Debug, "detail", &[]).is_empty());
}
