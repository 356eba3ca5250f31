//! Invariant of VMs that are cut off from all upstreams while other VMs reach them.

use crate::checks::Checker;
use crate::checks::Invariant;
use crate::checks::Violation;
use crate::checks::violation;
use crate::record::Attempt;
use crate::record::PATHS_CUT;
use crate::record::PathCutSeen;
use crate::record::Record;

/// Time from the begin of a cut from which the VM must serve.
const GRACE_MS: u64 = 3_000;

/// Time before a request in which no other fault may have been in effect for it to count.
const UNDISTURBED_MS: u64 = 3_000;

/// Number of requests from which a cut is judged, and the share of them in percent that is served.
const MIN_JUDGED: usize = 12;
const MIN_SERVED_PERCENT: usize = 66;

/// Returns how many requests at VMs that were cut off count for the promise, and how many of them
/// were served.
pub fn served_through_others(record: &Record) -> (usize, usize) {
    let checker = Checker::new(record);
    let judged = record.path_cuts.iter().flat_map(|cut| checker.judged(cut));
    let judged: Vec<&Attempt> = judged.collect();
    (judged.len(), served(&judged))
}

fn served(judged: &[&Attempt]) -> usize {
    let served = judged.iter().filter(|it| (200..500).contains(&it.status()));
    served.count()
}

impl<'a> Checker<'a> {
    pub(crate) fn check_path_cuts(&self, found: &mut Vec<Violation>) {
        for cut in &self.record.path_cuts {
            let judged = self.judged(cut);
            let served = served(&judged);
            if judged.len() >= MIN_JUDGED && served * 100 < judged.len() * MIN_SERVED_PERCENT {
                let detail = format!(
                    "VMs {:?}, cut off from {} to {} ms, served {served} of {}",
                    cut.vms,
                    cut.from_ms,
                    cut.until_ms,
                    judged.len()
                );
                found.push(violation(Invariant::ServesThroughOthers, detail));
            }
        }
    }

    /// Returns the requests at VMs that were cut off by this cut alone while others were not.
    fn judged(&self, cut: &PathCutSeen) -> Vec<&'a Attempt> {
        if cut.vms.len() >= cut.of_vms {
            return Vec::new();
        }
        let attempts = self.record.attempts.iter();
        attempts
            .filter(|it| cut.vms.contains(&it.vm))
            .filter(|it| it.sent_ms >= cut.from_ms + GRACE_MS && it.ended_ms < cut.until_ms)
            .filter(|it| !self.is_disturbed_otherwise(cut, it))
            .collect()
    }

    fn is_disturbed_otherwise(&self, cut: &PathCutSeen, attempt: &Attempt) -> bool {
        let from_ms = attempt.sent_ms.saturating_sub(UNDISTURBED_MS);
        let mut disturbances = self.record.disturbances.iter();
        disturbances.any(|it| {
            let is_this = it.what == PATHS_CUT && it.from_ms.abs_diff(cut.from_ms) < 50;
            !is_this && it.from_ms <= attempt.ended_ms && it.until_ms >= from_ms
        })
    }
}
