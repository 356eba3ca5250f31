//! The placement policies by name.

use apricotdale_core::policy::PlacementPolicy;

use crate::fixed_timeout::FixedTimeout;
use crate::learned::LearnedPlacement;
use crate::options::Options;

/// Lists the names that [`placement_policy`] knows.
pub const PLACEMENT_POLICIES: &[&str] = &["fixed_timeout", "learned"];

/// Returns a new policy of the given name, or none if there is no such policy.
pub fn placement_policy(name: &str, options: Options) -> Option<Box<dyn PlacementPolicy>> {
    match name {
        "fixed_timeout" => Some(Box::new(FixedTimeout::new(options))),
        "learned" => Some(Box::new(LearnedPlacement::new(options))),
        _ => None,
    }
}
