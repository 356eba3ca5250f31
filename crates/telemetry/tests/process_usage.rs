//! Metrics of the process itself.

use std::hint;

use apricotdale_telemetry::Metrics;

/// Returns the value of a metric without labels.
fn value(metrics: &Metrics, name: &str) -> f64 {
    let text = metrics.render();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name} ")));
    line.expect("the metric is rendered")
        .parse()
        .expect("the value is a number")
}

#[test]
fn memory_and_threads() {
    let metrics = Metrics::new();
    assert!(value(&metrics, "apricotdale_process_resident_memory_bytes") > 100_000.0);
    assert!(value(&metrics, "apricotdale_process_threads") >= 1.0);
}

#[test]
fn processor_time_grows() {
    let metrics = Metrics::new();
    let name = "apricotdale_process_processor_seconds_total";
    let before = value(&metrics, name);
    let mut work = 0_u64;
    while value(&metrics, name) <= before {
        work = (0..1_000_000).fold(work, |sum, number| hint::black_box(sum ^ number));
    }
}
