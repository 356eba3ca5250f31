//! Construction of policies by name.

use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RoutingPolicy;

use crate::budgeted_retry::BudgetedRetry;
use crate::corrected_load::CorrectedLoad;
use crate::errors::Error;
use crate::errors::Result;
use crate::fixed_retry::FixedRetry;
use crate::least_reported::LeastReported;
use crate::options::Options;
use crate::options::RetryOptions;

/// Names that [`routing_policy`] accepts.
pub const ROUTING_POLICIES: &[&str] = &["corrected_load", "least_reported"];

/// Names that [`retry_policy`] accepts.
pub const RETRY_POLICIES: &[&str] = &["budgeted", "fixed"];

/// Returns the routing policy with the given name.
///
/// # Errors
///
/// Returns [`Error::UnknownPolicy`] if the name is not one of [`ROUTING_POLICIES`].
pub fn routing_policy(name: &str, options: Options) -> Result<Box<dyn RoutingPolicy>> {
    match name {
        "corrected_load" => Ok(Box::new(CorrectedLoad::new(options))),
        "least_reported" => Ok(Box::new(LeastReported::default())),
        _ => Err(Error::unknown_policy(name, ROUTING_POLICIES)),
    }
}

/// Returns the retry policy with the given name.
///
/// # Errors
///
/// Returns [`Error::UnknownPolicy`] if the name is not one of [`RETRY_POLICIES`].
pub fn retry_policy(name: &str, options: RetryOptions) -> Result<Box<dyn RetryPolicy>> {
    match name {
        "budgeted" => Ok(Box::new(BudgetedRetry::new(options))),
        "fixed" => Ok(Box::new(FixedRetry::new(options))),
        _ => Err(Error::unknown_policy(name, RETRY_POLICIES)),
    }
}
