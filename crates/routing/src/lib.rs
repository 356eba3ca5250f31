//! Routing and retry policies: choice of the upstream that a request is sent to, and decision on
//! whether a failed attempt is retried.
//!
//! [`routing_policy`] and [`retry_policy`] build a policy by its name. A routing policy serves one
//! group of equal upstreams, because it finds faulty upstreams by comparing them with their group.
//! The policies do no I/O: the time and the events are passed in, and all randomness is seeded.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budgeted_retry;
mod corrected_load;
mod errors;
mod fixed_retry;
mod group;
mod health;
mod in_flight;
mod least_reported;
mod load_estimate;
mod options;
mod outcomes;
mod prefix_history;
mod registry;
mod residence_time;
mod upstream_speeds;

pub use budgeted_retry::BudgetedRetry;
pub use corrected_load::CorrectedLoad;
pub use errors::Error;
pub use errors::Result;
pub use fixed_retry::FixedRetry;
pub use least_reported::LeastReported;
pub use options::Options;
pub use options::OutlierOptions;
pub use options::RetryOptions;
pub use registry::RETRY_POLICIES;
pub use registry::ROUTING_POLICIES;
pub use registry::retry_policy;
pub use registry::routing_policy;
pub use upstream_speeds::UpstreamSpeeds;
