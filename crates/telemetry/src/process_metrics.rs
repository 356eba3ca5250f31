//! Resource usage of the daemon's process, read whenever the metrics are rendered.

use std::fmt;

use procfs::WithCurrentSystemInfo;
use procfs::process::Process;
use procfs::process::Stat;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;

/// Collector of the processor time, resident memory and threads of this process.
#[derive(Debug)]
pub(crate) struct ProcessMetrics;

impl Collector for ProcessMetrics {
    fn encode(&self, encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        // Without `/proc/self/stat` only these metrics are left out; the others are still rendered.
        match Process::myself().and_then(|process| process.stat()) {
            Ok(stat) => encode_stat(&stat, encoder),
            Err(_) => Ok(()),
        }
    }
}

fn encode_stat(stat: &Stat, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
    let ticks = (stat.utime + stat.stime) as f64;
    let processor = ConstCounter::new(ticks / procfs::ticks_per_second() as f64);
    let memory = ConstGauge::new(i64::try_from(stat.rss_bytes().get()).unwrap_or(i64::MAX));
    let threads = ConstGauge::new(stat.num_threads);
    processor.encode(encoder.encode_descriptor(
        "process_processor",
        "Processor time that the process has used",
        Some(&Unit::Seconds),
        processor.metric_type(),
    )?)?;
    memory.encode(encoder.encode_descriptor(
        "process_resident_memory",
        "Resident memory of the process",
        Some(&Unit::Bytes),
        memory.metric_type(),
    )?)?;
    threads.encode(encoder.encode_descriptor(
        "process_threads",
        "Threads of the process",
        None,
        threads.metric_type(),
    )?)
}
