//! Routing policy by the last load reports, as a baseline for comparison.

use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;

/// Routing policy that chooses the upstream with the fewest requests in its last report. All VMs
/// that read the same reports send to the same upstream until the next report. It is a baseline for
/// comparison with [`CorrectedLoad`](crate::CorrectedLoad).
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
