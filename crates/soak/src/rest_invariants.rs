//! Invariant about engines that ask VMs for rest.

use crate::checks::Checker;
use crate::checks::Invariant;
use crate::checks::Violation;
use crate::checks::violation;
use crate::record::RESET;
use crate::record::Record;

/// Time after an answer that asks for rest in which requests that were under way still arrive.
const UNDER_WAY_MS: u64 = 500;

/// Number of requests that may reach the engine from the VM from then until the rest ends.
const MAX_IN_REST: usize = 2;

/// Answer by which an engine asked a VM for rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestSeen {
    /// Request ID.
    pub id: String,
    /// Name of the engine.
    pub upstream: String,
    /// Number of the VM from whose address the request came; none if the address is no VM's.
    pub vm: Option<usize>,
    /// Time of the answer.
    pub at_ms: u64,
    /// Time of rest that it stated.
    pub rest_ms: u64,
}

/// Rests that are judged, and the greatest number of requests that reached an engine in one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FullestRest {
    /// Number of answers that asked an undisturbed VM for rest.
    pub judged: usize,
    /// Greatest number of requests from the VM in the rest of one of them.
    pub most: usize,
}

/// Returns how many requests reached an engine in the rest that it got least of.
pub fn fullest_rest(record: &Record) -> FullestRest {
    let checker = Checker::new(record);
    let rests = record
        .rests
        .iter()
        .filter(|rest| checker.is_judged_rest(rest));
    let counts: Vec<usize> = rests.map(|rest| checker.arrived_in(rest)).collect();
    FullestRest {
        judged: counts.len(),
        most: counts.into_iter().max().unwrap_or_default(),
    }
}

impl RestSeen {
    fn end_ms(&self) -> u64 {
        self.at_ms + self.rest_ms
    }
}

impl Checker<'_> {
    pub fn check_rests(&self, found: &mut Vec<Violation>) {
        let rests = self.record.rests.iter();
        for rest in rests.filter(|rest| self.is_judged_rest(rest)) {
            let arrived = self.arrived_in(rest);
            if arrived > MAX_IN_REST {
                let detail = format!(
                    "{} got {arrived} requests of vm{:?} in the {} ms after {} at {} ms",
                    rest.upstream, rest.vm, rest.rest_ms, rest.id, rest.at_ms
                );
                found.push(violation(Invariant::RestKept, detail));
            }
        }
    }

    /// Returns how many requests of the VM that was asked for rest reached the engine in it.
    fn arrived_in(&self, rest: &RestSeen) -> usize {
        let from_ms = rest.at_ms + UNDER_WAY_MS;
        let arrivals = self.record.arrivals.iter();
        arrivals
            .filter(|it| it.upstream == rest.upstream && it.vm == rest.vm)
            .filter(|it| it.at_ms > from_ms && it.at_ms < rest.end_ms())
            .count()
    }

    /// Returns whether the VM certainly got the answer, and kept what it knew until the rest ended.
    fn is_judged_rest(&self, rest: &RestSeen) -> bool {
        let under_way_until_ms = rest.at_ms + UNDER_WAY_MS;
        let is_reset = self.record.disturbances.iter().any(|it| {
            it.what == RESET && it.from_ms <= under_way_until_ms && it.until_ms >= rest.at_ms
        });
        rest.vm.is_some_and(|vm| {
            !is_reset
                && !self.disturbs_vm(vm, rest.at_ms, rest.end_ms())
                && !self.disturbs_links(vm, rest.at_ms, rest.end_ms())
        })
    }
}
