//! Routing and retry policies: which upstream takes a request, and whether a failed try is
//! repeated.
//!
//! [`routing_policy`] and [`retry_policy`] build a policy by its name. One routing policy serves
//! one group of equal upstreams, because upstreams are judged by comparison with their group. All
//! policies are pure: the time and the events come in, and the only randomness is seeded.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod affinity;
mod budgeted_retry;
mod corrected_load;
mod errors;
mod fixed_retry;
mod group;
mod in_flight;
mod least_reported;
mod load_estimate;
mod options;
mod outcomes;
mod registry;
mod residence;
mod standing;

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
