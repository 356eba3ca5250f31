//! Construction of the policies that the settings name.

use std::sync::Arc;

use apricotdale_admission::admission_policy;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::PlacementPolicy;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_placement::placement_policy;
use apricotdale_routing::RetryOptions;
use apricotdale_routing::retry_policy;
use apricotdale_routing::routing_policy;
use apricotdale_settings::Settings;

use crate::errors::Error;
use crate::errors::Result;
use crate::grouped_routing::GroupedRouting;
use crate::membership_view::SharedMembership;

/// Time after which a load proposal that replay has not shown counts as lost. The placement loop
/// itself makes no further proposal for a model while one is pending.
const PROPOSAL_TIMEOUT_MS: u64 = 1_000;

/// Returns the routing policy, which has one instance for each group.
pub fn routing(
    settings: &Settings,
    seed: u64,
    membership: Arc<SharedMembership>,
) -> Result<Box<dyn RoutingPolicy>> {
    let options = apricotdale_routing::Options {
        seed,
        own_zone: Some(settings.vm.zone.clone()),
        ..Default::default()
    };
    let name = settings.policies.routing.clone();
    routing_policy(&name, options.clone()).map_err(Error::unknown_policy)?;
    let group_of = move |upstream: &UpstreamName| -> Option<GroupName> {
        let view = membership.view();
        view.upstreams
            .get(upstream)
            .map(|view| view.entry.group.clone())
    };
    let new_policy = move || {
        routing_policy(&name, options.clone()).expect("the name of the policy was checked above")
    };
    Ok(Box::new(GroupedRouting::new(
        Box::new(group_of),
        Box::new(new_policy),
    )))
}

/// Returns the retry policy of the settings.
pub fn retry(settings: &Settings, seed: u64) -> Result<Box<dyn RetryPolicy>> {
    let options = RetryOptions {
        seed,
        ..Default::default()
    };
    retry_policy(&settings.policies.retry, options).map_err(Error::unknown_policy)
}

/// Returns the admission policy of the settings.
pub fn admission(settings: &Settings) -> Result<Box<dyn AdmissionPolicy>> {
    let options = apricotdale_admission::Options::default();
    admission_policy(&settings.policies.admission, options).map_err(Error::unknown_policy)
}

/// Returns the placement policy of the settings.
pub fn placement(settings: &Settings) -> Result<Box<dyn PlacementPolicy>> {
    let options = apricotdale_placement::Options {
        proposal_timeout_ms: PROPOSAL_TIMEOUT_MS,
        ..Default::default()
    };
    let name = &settings.policies.placement;
    placement_policy(name, options).ok_or_else(|| Error::unknown_policy(name))
}
