//! Placement policies by name.

use apricotdale_core::policy::PlacementPolicy;

use crate::fixed_timeout::FixedTimeout;
use crate::learned_placement::LearnedPlacement;
use crate::options::Options;

/// Names of the policies that [`placement_policy`] returns.
pub const PLACEMENT_POLICIES: &[&str] = &["fixed_timeout", "learned"];

/// Returns a new policy with the given name, or none if there is no such policy.
pub fn placement_policy(name: &str, options: Options) -> Option<Box<dyn PlacementPolicy>> {
    match name {
        "fixed_timeout" => Some(Box::new(FixedTimeout::new(options))),
        "learned" => Some(Box::new(LearnedPlacement::new(options))),
        _ => None,
    }
}
