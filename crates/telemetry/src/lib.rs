//! Structured logs and metrics of a daemon.
//!
//! Log lines are JSON objects ([`init_logs`]). [`Metrics`] counts and measures, and renders the
//! OpenMetrics text format. No label holds the name of a caller, a request or a model, so the
//! number of series is bounded by the configuration.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod errors;
mod json_log;
mod known_names;
mod labels;
mod line_writer;
mod metrics;
mod node_metrics;
mod process_metrics;
mod serving_metrics;

pub use errors::Error;
pub use errors::Result;
pub use json_log::JsonLogger;
pub use json_log::LogOptions;
pub use json_log::init_logs;
pub use json_log::open_log;
pub use labels::AppendOutcome;
pub use labels::OrderKind;
pub use labels::OrderOutcome;
pub use labels::ReplicaGauge;
pub use labels::StreamKind;
pub use line_writer::LineWriter;
pub use log::LevelFilter;
pub use metrics::Metrics;
pub use node_metrics::NodeMetrics;
