//! Daemon of an entry VM: proxies callers' requests to upstreams and, on the VM that holds the
//! order lease, sends load and unload orders to engines.
//!
//! One thread serves callers, upstreams, the platform's store and the other VMs from one readiness
//! loop. No operation in it blocks, and the number of threads does not grow with the number of
//! connections. Decisions are made by other crates: `dispatch` for requests, `holder` for orders to
//! engines. The wire formats are defined by the codecs ([`CallerCodec`], [`StoreCodec`],
//! [`EngineCodec`]), one set for each platform.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod active;
mod answer_buffers;
mod block_store;
mod caller;
mod caller_organisations;
mod calls;
mod clock;
mod codec;
mod configuration_query;
mod connections;
mod crash_watch;
mod daemon;
mod demand_reports;
mod engine_orders;
mod engine_probes;
mod errors;
mod failed_attempts;
mod health_checks;
mod learned_store;
mod lifecycle;
mod limits;
mod log_budget;
mod loop_load;
mod messages;
mod metric_labels;
mod metrics;
mod outbound;
mod peer_connections;
mod peer_exchange;
mod peers;
mod prefix_hash;
mod rank_admission;
mod rejection_permits;
mod relay;
mod request_dispatch;
mod request_ends;
mod request_moves;
mod residence_updates;
mod settings;
mod stated_limit_exchange;
mod store_era;
mod store_pollers;
mod stream;
mod stream_origins;
mod stream_resumption;
mod unanswered;
mod unsettled_permits;
mod upstream_answers;
mod upstream_notices;
mod upstream_paths;
mod upstream_permits;

pub use apricotdale_dispatch::LoadSample;
pub use apricotdale_dispatch::RateLimit;
pub use codec::AnswerFields;
pub use codec::CallerCodec;
pub use codec::Codecs;
pub use codec::DecodeError;
pub use codec::EngineCodec;
pub use codec::ForwardFields;
pub use codec::KeyedPage;
pub use codec::KeyedRecord;
pub use codec::LimitField;
pub use codec::LogRead;
pub use codec::RestField;
pub use codec::StoreCodec;
pub use codec::StoreOutcome;
pub use codec::StreamFormat;
pub use codec::Topic;
pub use daemon::Daemon;
pub use errors::Error;
pub use errors::Result;
pub use lifecycle::start_log;
pub use settings::LogLevel;
pub use settings::Settings;
