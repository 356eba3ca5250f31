//! Invariants about what engines state about themselves in their answers.

use crate::checks::Checker;
use crate::checks::DRAIN_DEADLINE_MS;
use crate::checks::Invariant;
use crate::checks::SCHEDULING_SLACK_MS;
use crate::checks::Violation;
use crate::checks::violation;
use crate::record::ArrivalSeen;
use crate::record::Ending;
use crate::record::Record;
use crate::record::Run;
use crate::record::StatedLeaveSeen;
use crate::record::UPSTREAM_LINK;

/// Returns how many VMs passed on that an engine leaves and stayed undisturbed until the promise
/// binds, each counted once for each engine: those at which it could have been violated.
pub fn judged_leaves(record: &Record) -> usize {
    let checker = Checker::new(record);
    let leaves = record.stated_leaves.iter();
    leaves.map(|leave| checker.judged_vms(leave)).sum()
}

/// Answer that a VM passed on, and that stated that the engine leaves.
struct Told {
    vm: usize,
    at_ms: u64,
}

impl Told {
    /// Returns the time from which the VM may send the engine nothing more.
    fn binds_from_ms(&self) -> u64 {
        self.at_ms + DRAIN_DEADLINE_MS + SCHEDULING_SLACK_MS
    }
}

impl Checker<'_> {
    pub fn check_stated_leaves(&self, found: &mut Vec<Violation>) {
        for leave in &self.record.stated_leaves {
            let told = self.told(leave);
            let arrivals = self.record.arrivals.iter();
            let arrivals =
                arrivals.filter(|it| it.upstream == leave.upstream && !it.is_misdirected);
            for arrival in arrivals {
                let Some(told) = told.iter().find(|told| self.is_late(arrival, told)) else {
                    continue;
                };
                let detail = format!(
                    "{} reached {} from vm{} {} ms after an answer that stated its departure",
                    arrival.id,
                    arrival.upstream,
                    told.vm,
                    arrival.at_ms - told.at_ms
                );
                found.push(violation(Invariant::DrainedAsStated, detail));
            }
        }
    }

    fn judged_vms(&self, leave: &StatedLeaveSeen) -> usize {
        let mut vms: Vec<usize> = self
            .told(leave)
            .iter()
            .filter(|told| !self.disturbs_vm(told.vm, told.at_ms, told.binds_from_ms()))
            .map(|told| told.vm)
            .collect();
        vms.sort_unstable();
        vms.dedup();
        vms.len()
    }

    /// Returns the answers of an engine with the statement that VMs passed on. Each counts from the
    /// time when its request reached the engine, which is earlier, or from the end of the silence
    /// in which it did.
    fn told(&self, leave: &StatedLeaveSeen) -> Vec<Told> {
        let runs = self.record.runs.iter();
        let runs = runs.filter(|run| run.upstream == leave.upstream && run.at_ms > leave.from_ms);
        runs.filter_map(|run| {
            let vm = self.passed_on_by(run)?;
            Some(Told {
                vm,
                at_ms: self.record.sends_from_ms(&run.upstream, run.at_ms),
            })
        })
        .collect()
    }

    /// Returns the VM that passed on the answer of a run; none if it is not certain that one did.
    fn passed_on_by(&self, run: &Run) -> Option<usize> {
        let attempt = self.attempts.get(run.id.as_str())?;
        let is_only_run = self.run_count(&run.id) == 1 && run.fault.is_none();
        let is_answered = matches!(
            attempt.ending,
            Ending::Answered {
                status: 200,
                signed: true,
                ..
            }
        );
        let is_delayed = self.disturbs_links(attempt.vm, run.at_ms, attempt.ended_ms);
        (is_only_run && is_answered && !is_delayed).then_some(attempt.vm)
    }

    fn is_late(&self, arrival: &ArrivalSeen, told: &Told) -> bool {
        // A request that was sent in time may have been held back on its way.
        let is_held_back = self.attempts.get(arrival.id.as_str()).is_some_and(|it| {
            it.sent_ms <= told.binds_from_ms()
                && self.disturbs_links(told.vm, it.sent_ms, arrival.at_ms)
        });
        arrival.vm == Some(told.vm)
            && arrival.at_ms > told.binds_from_ms()
            && !is_held_back
            && !self.disturbs_vm(told.vm, told.at_ms, arrival.at_ms)
    }

    /// Returns whether links of a VM to upstreams may have held bytes back at some time.
    pub fn disturbs_links(&self, vm: usize, from_ms: u64, until_ms: u64) -> bool {
        let overlaps = |begin_ms, end_ms| begin_ms <= until_ms && end_ms >= from_ms;
        let mut disturbances = self.record.disturbances.iter();
        let mut cuts = self.record.path_cuts.iter();
        disturbances.any(|it| it.what == UPSTREAM_LINK && overlaps(it.from_ms, it.until_ms))
            || cuts.any(|it| it.vms.contains(&vm) && overlaps(it.from_ms, it.until_ms))
    }
}
