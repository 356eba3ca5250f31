//! Policies by name.

use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RoutingPolicy;

use crate::errors::Error;
use crate::errors::Result;
use crate::least_reported::LeastReported;
use crate::options::Options;
use crate::options::RetryOptions;
use crate::retry::FixedRetry;

/// The names that [`routing_policy`] knows.
pub const ROUTING_POLICIES: &[&str] = &["least_reported"];

/// The names that [`retry_policy`] knows.
pub const RETRY_POLICIES: &[&str] = &["fixed"];

/// Returns the routing policy of the given name.
///
/// # Errors
///
/// [`Error::UnknownPolicy`] if the name is not one of [`ROUTING_POLICIES`].
pub fn routing_policy(name: &str, _options: Options) -> Result<Box<dyn RoutingPolicy>> {
    match name {
        "least_reported" => Ok(Box::new(LeastReported::default())),
        _ => Err(Error::unknown_policy(name, ROUTING_POLICIES)),
    }
}

/// Returns the retry policy of the given name.
///
/// # Errors
///
/// [`Error::UnknownPolicy`] if the name is not one of [`RETRY_POLICIES`].
pub fn retry_policy(name: &str, options: RetryOptions) -> Result<Box<dyn RetryPolicy>> {
    match name {
        "fixed" => Ok(Box::new(FixedRetry::new(options))),
        _ => Err(Error::unknown_policy(name, RETRY_POLICIES)),
    }
}
