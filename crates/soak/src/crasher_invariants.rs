//! Invariant of requests, and of parts of prompts, that crash engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::checks::Checker;
use crate::checks::Invariant;
use crate::checks::UNDISTURBED_MS;
use crate::checks::Violation;
use crate::checks::violation;
use crate::plan::CRASH_PARTS;
use crate::record::KILL_ALL;

/// Number of copies of a request that may be lost with engines before VMs must block it.
const LOSSES_BEFORE_BLOCK: usize = 3;

/// Number of engines that may crash under requests with a part before VMs must block it.
const PART_CRASHES_BEFORE_BLOCK: usize = 5;

/// Time after the last of these crashes within which VMs may still send such requests.
const BLOCK_DEADLINE_MS: u64 = 3_000;

/// Number of sends of such requests that are tolerated later.
const MAX_LATE_SENDS: usize = 3;

fn is_part(body: &str) -> bool {
    CRASH_PARTS.contains(&body)
}

impl Checker<'_> {
    pub(crate) fn check_crashers(&self, found: &mut Vec<Violation>) {
        let mut crashes: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        let mut engines: BTreeSet<(&str, &str)> = BTreeSet::new();
        for crash in &self.record.crashes {
            let is_new = engines.insert((&crash.body, &crash.upstream));
            // Copies of a request that were lost with one engine count, and engines of a part.
            if is_new || !is_part(&crash.body) {
                crashes.entry(&crash.body).or_default().push(crash.at_ms);
            }
        }
        let bodies = self.record.crasher_ids.iter();
        let bodies: BTreeMap<&str, &str> = bodies
            .map(|(id, body)| (id.as_str(), body.as_str()))
            .collect();
        for (body, times) in &mut crashes {
            times.sort_unstable();
            let Some(late_ms) = self.block_deadline_ms(body, times) else {
                continue;
            };
            let late = self.record.runs.iter().filter(|run| {
                let vm = self.attempts.get(run.id.as_str()).map(|it| it.vm);
                let undisturbed_from_ms = run.at_ms.saturating_sub(UNDISTURBED_MS);
                bodies.get(run.id.as_str()) == Some(body)
                    && run.at_ms > late_ms
                    && vm.is_some_and(|vm| !self.disturbs_vm(vm, undisturbed_from_ms, run.at_ms))
            });
            let late_sends = late.count();
            if late_sends > MAX_LATE_SENDS {
                let detail = format!(
                    "{body} reached engines {late_sends} times later than {late_ms} ms; {} crashed",
                    times.len()
                );
                found.push(violation(Invariant::StopsCrashers, detail));
            }
        }
    }

    /// Returns when a request must be blocked whose copies crashed engines at these times; none if
    /// too few did. VMs that are all killed before the request had to be blocked know nothing of the
    /// crashes, and count anew.
    fn block_deadline_ms(&self, body: &str, crashes_ms: &[u64]) -> Option<u64> {
        let counted = match is_part(body) {
            true => PART_CRASHES_BEFORE_BLOCK,
            false => LOSSES_BEFORE_BLOCK,
        };
        let mut since_ms = 0;
        loop {
            let mut crashes_ms = crashes_ms.iter().filter(|at_ms| **at_ms >= since_ms);
            let deadline_ms = crashes_ms.nth(counted - 1)? + BLOCK_DEADLINE_MS;
            let killed = self.record.disturbances.iter().find(|it| {
                it.what == KILL_ALL && it.from_ms >= since_ms && it.from_ms < deadline_ms
            });
            match killed {
                Some(killed) => since_ms = killed.until_ms,
                None => return Some(deadline_ms),
            }
        }
    }
}
