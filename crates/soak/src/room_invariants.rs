//! Invariant about upstreams that fail if they have to reject too many requests.

use std::collections::BTreeMap;

use crate::checks::Checker;
use crate::checks::Invariant;
use crate::checks::UNDISTURBED_MS;
use crate::checks::Violation;
use crate::checks::violation;

/// Number of failures that are tolerated in one time in which the upstreams of a service state a limit.
const MAX_FAILURES: usize = 2;

/// Request or health check that an upstream rejected for want of room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectionSeen {
    /// ID of the request; empty for a health check.
    pub id: String,
    /// VM that sent it; none if it came from none.
    pub vm: Option<usize>,
}

/// Failure of an upstream under what it had to reject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomFailureSeen {
    /// Service of the upstream.
    pub service: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Time of the failure.
    pub at_ms: u64,
    /// What it rejected in the second before.
    pub rejected: Vec<RejectionSeen>,
}

impl Checker<'_> {
    pub fn check_room_failures(&self, found: &mut Vec<Violation>) {
        let failures = self.record.room_failures.iter();
        let mut judged: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for failure in failures.filter(|it| self.is_judged_failure(it)) {
            let of_service = judged.entry(&failure.service).or_default();
            let checks = failure.rejected.iter().filter(|it| it.id.is_empty());
            of_service.push(format!(
                "{} at {} ms ({} of {} health checks)",
                failure.upstream,
                failure.at_ms,
                checks.count(),
                failure.rejected.len()
            ));
        }
        for failures in judged.into_values().filter(|it| it.len() > MAX_FAILURES) {
            let detail = failures.join(", ");
            found.push(violation(Invariant::OutlastsRejections, detail));
        }
    }

    /// Returns whether most of what was rejected came from undisturbed VMs.
    fn is_judged_failure(&self, failure: &RoomFailureSeen) -> bool {
        let from_ms = failure.at_ms.saturating_sub(UNDISTURBED_MS);
        let undisturbed = failure.rejected.iter().filter(|rejected| {
            let attempt = self.attempts.get(rejected.id.as_str());
            let vm = attempt.map(|it| it.vm).or(rejected.vm);
            vm.is_some_and(|vm| {
                !self.disturbs_vm(vm, from_ms, failure.at_ms)
                    && !self.disturbs_links(vm, from_ms, failure.at_ms)
            })
        });
        undisturbed.count() * 2 > failure.rejected.len()
    }
}
