//! Invariant about engines that fail if they have to reject too many requests.

use crate::checks::Checker;
use crate::checks::Invariant;
use crate::checks::UNDISTURBED_MS;
use crate::checks::Violation;
use crate::checks::violation;

/// Number of failures that are tolerated in one time in which engines state a limit.
const MAX_FAILURES: usize = 2;

/// Failure of an engine under the requests that it had to reject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomFailureSeen {
    /// Name of the engine.
    pub upstream: String,
    /// Time of the failure.
    pub at_ms: u64,
    /// IDs of the requests that it rejected in the second before.
    pub rejected: Vec<String>,
}

impl Checker<'_> {
    pub fn check_room_failures(&self, found: &mut Vec<Violation>) {
        let failures = self.record.room_failures.iter();
        let judged: Vec<&RoomFailureSeen> =
            failures.filter(|it| self.is_judged_failure(it)).collect();
        if judged.len() > MAX_FAILURES {
            let times = judged
                .iter()
                .map(|it| format!("{} at {} ms", it.upstream, it.at_ms));
            let detail = times.collect::<Vec<_>>().join(", ");
            found.push(violation(Invariant::OutlastsRejections, detail));
        }
    }

    /// Returns whether most of the rejected requests came from undisturbed VMs.
    fn is_judged_failure(&self, failure: &RoomFailureSeen) -> bool {
        let from_ms = failure.at_ms.saturating_sub(UNDISTURBED_MS);
        let undisturbed = failure.rejected.iter().filter(|id| {
            let attempt = self.attempts.get(id.as_str());
            attempt.is_some_and(|it| {
                !self.disturbs_vm(it.vm, from_ms, failure.at_ms)
                    && !self.disturbs_links(it.vm, from_ms, failure.at_ms)
            })
        });
        undisturbed.count() * 2 > failure.rejected.len()
    }
}
