//! The plain baseline of routing: the upstream whose last report showed the least load.

use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;

/// `LeastReported` believes the last report of each upstream and sends to the one that showed the
/// fewest requests. Every VM that read the same reports sends to the same upstream until the next
/// report. It is kept for comparison.
#[derive(Debug, Default)]
pub struct LeastReported {
    reported: HashMap<UpstreamName, u32>,
}

impl LeastReported {
    fn load(&self, candidate: &Candidate) -> u32 {
        self.reported
            .get(&candidate.upstream)
            .copied()
            .unwrap_or_default()
    }
}

impl RoutingPolicy for LeastReported {
    fn learn(&mut self, _now_ms: u64, event: RoutingEvent) {
        match event {
            RoutingEvent::Reported { upstream, report } => {
                let load = report.running.saturating_add(report.waiting);
                self.reported.insert(upstream, load);
            }
            RoutingEvent::Removed { upstream } => {
                self.reported.remove(&upstream);
            }
            RoutingEvent::Sent { .. } | RoutingEvent::Ended { .. } => {}
        }
    }

    fn choose(
        &mut self,
        _now_ms: u64,
        request: &RouteRequest,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let untried = |candidate: &Candidate| !request.tried.contains(&candidate.upstream);
        (0..candidates.len())
            .min_by_key(|&index| (!untried(&candidates[index]), self.load(&candidates[index])))
    }
}
