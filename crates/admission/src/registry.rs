//! Construction of policies by name.

use apricotdale_core::policy::AdmissionPolicy;

use crate::earliest_deadline::EarliestDeadline;
use crate::errors::Error;
use crate::errors::Result;
use crate::first_come::FirstCome;
use crate::first_come::Order;
use crate::options::Options;

/// Names that [`admission_policy`] accepts.
pub const ADMISSION_POLICIES: &[&str] = &["earliest_deadline", "first_come", "newest_first"];

/// Returns the admission policy with the given name.
///
/// # Errors
///
/// Returns [`Error::UnknownPolicy`] if the name is not one of [`ADMISSION_POLICIES`].
pub fn admission_policy(name: &str, options: Options) -> Result<Box<dyn AdmissionPolicy>> {
    match name {
        "earliest_deadline" => Ok(Box::new(EarliestDeadline::new(options))),
        "first_come" => Ok(Box::new(FirstCome::new(options, Order::OldestFirst))),
        "newest_first" => Ok(Box::new(FirstCome::new(options, Order::NewestFirst))),
        _ => Err(Error::unknown_policy(name, ADMISSION_POLICIES)),
    }
}
