//! Routing and retry policies: which upstream takes a request, and whether a failed try is
//! repeated.
//!
//! [`routing_policy`] and [`retry_policy`] build a policy by its name. One routing policy serves
//! one group of equal upstreams, because upstreams are judged by comparison with their group. All
//! policies are pure: the time and the events come in, and the only randomness is seeded.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod errors;
mod least_reported;
mod options;
mod registry;
mod retry;

pub use errors::Error;
pub use errors::Result;
pub use least_reported::LeastReported;
pub use options::Options;
pub use options::RetryOptions;
pub use registry::RETRY_POLICIES;
pub use registry::ROUTING_POLICIES;
pub use registry::retry_policy;
pub use registry::routing_policy;
pub use retry::FixedRetry;
