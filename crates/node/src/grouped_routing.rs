//! One routing policy for each group of upstreams.

use std::collections::BTreeMap;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;

/// Returns the group of an upstream, or none if the upstream is unknown.
pub type GroupOf = Box<dyn Fn(&UpstreamName) -> Option<GroupName> + Send>;

/// Returns a new policy for one group.
pub type NewPolicy = Box<dyn Fn() -> Box<dyn RoutingPolicy> + Send>;

/// Routing with a policy for each group. A policy compares an upstream with the others of its
/// group: beside plain services, a model engine would always look like a slow outlier.
pub struct GroupedRouting {
    group_of: GroupOf,
    new_policy: NewPolicy,
    policies: BTreeMap<GroupName, Box<dyn RoutingPolicy>>,
    known: BTreeMap<UpstreamName, GroupName>,
}

impl GroupedRouting {
    /// Returns routing without any group yet.
    pub fn new(group_of: GroupOf, new_policy: NewPolicy) -> Self {
        Self {
            group_of,
            new_policy,
            policies: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    fn policy(&mut self, upstream: &UpstreamName) -> Option<&mut Box<dyn RoutingPolicy>> {
        let group = match (self.group_of)(upstream) {
            Some(group) => group,
            None => self.known.get(upstream)?.clone(),
        };
        self.known.insert(upstream.clone(), group.clone());
        Some(self.policies.entry(group).or_insert_with(&self.new_policy))
    }
}

impl RoutingPolicy for GroupedRouting {
    fn learn(&mut self, now_ms: u64, event: RoutingEvent) {
        let upstream = match &event {
            RoutingEvent::Sent { upstream, .. }
            | RoutingEvent::Ended { upstream, .. }
            | RoutingEvent::Reported { upstream, .. }
            | RoutingEvent::Removed { upstream } => upstream.clone(),
        };
        if let Some(policy) = self.policy(&upstream) {
            policy.learn(now_ms, event);
        }
    }

    fn choose(
        &mut self,
        now_ms: u64,
        request: &RouteRequest,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let first = candidates.first()?;
        self.policy(&first.upstream)?
            .choose(now_ms, request, candidates)
    }
}
