//! Invariant that nothing is lost that a VM has read whole.

use crate::checks::CONFIGURATION_DEADLINE_MS;
use crate::checks::Checker;
use crate::checks::Invariant;
use crate::checks::SCHEDULING_SLACK_MS;
use crate::checks::STOP_DEADLINE_MS;
use crate::checks::UNDISTURBED_MS;
use crate::checks::Violation;
use crate::checks::violation;
use crate::record::Attempt;
use crate::record::Ending;
use crate::record::KILL;
use crate::record::KILL_ALL;
use crate::record::PAUSE;
use crate::record::Place;
use crate::record::Run;
use crate::record::TimeoutSeen;

/// Time after it was sent in which a request that reached no upstream may have crossed the close of
/// its connection, so that no VM has read it.
const CROSSED_MS: u64 = 500;

/// Time before a deadline from which it may end a request: VMs end answers early enough for the end
/// to reach the caller in time.
const EARLY_END_MS: u64 = 100;

/// Time after a cut of a VM's paths in which requests that went through other VMs are in progress.
const RELAYED_MS: u64 = 2_000;

impl Checker<'_> {
    pub fn check_lost_requests(&self, found: &mut Vec<Violation>) {
        for attempt in self
            .record
            .attempts
            .iter()
            .chain(&self.record.last_attempts)
        {
            let is_lost = match &attempt.ending {
                Ending::Unanswered => !self.may_be_unread(attempt),
                Ending::Answered { whole: false, .. } => {
                    attempt.left_after_event.is_none() && !self.is_broken_off(attempt)
                }
                Ending::Answered { whole: true, .. } | Ending::Unsent | Ending::Left => false,
            };
            if is_lost && !self.is_vm_ended(attempt) && !self.is_out_of_time(attempt) {
                let detail = format!(
                    "{} at vm{}, sent at {} ms, ended without a complete answer after {} ms, status \
                     {}, {} runs",
                    attempt.id,
                    attempt.vm,
                    attempt.sent_ms,
                    attempt.ended_ms - attempt.sent_ms,
                    attempt.status(),
                    self.run_count(&attempt.id)
                );
                found.push(violation(Invariant::NothingLost, detail));
            }
        }
    }

    /// Returns whether a request may have crossed the close of its connection.
    fn may_be_unread(&self, attempt: &Attempt) -> bool {
        let mut arrivals = self.record.arrivals.iter();
        self.run_count(&attempt.id) == 0
            && !arrivals.any(|it| it.id == attempt.id)
            && attempt.ended_ms <= self.readable_from_ms(attempt) + CROSSED_MS
    }

    /// Returns the time from which the VM may have read a request: when it was sent, or when the
    /// pause of the VM's process ends in which it was.
    fn readable_from_ms(&self, attempt: &Attempt) -> u64 {
        let disturbances = self.record.disturbances.iter();
        let pauses = disturbances.filter(|it| {
            it.place == Place::Vm(attempt.vm)
                && it.what == PAUSE
                && it.from_ms <= attempt.sent_ms
                && it.until_ms > attempt.sent_ms
        });
        let ends_ms = pauses.map(|it| it.until_ms);
        ends_ms.max().unwrap_or(attempt.sent_ms)
    }

    /// Returns whether the VM was killed while the request was in progress, or did not end its stop
    /// in time.
    fn is_vm_ended(&self, attempt: &Attempt) -> bool {
        let is_killed = self.record.disturbances.iter().any(|it| {
            it.place == Place::Vm(attempt.vm)
                && (it.what == KILL || it.what == KILL_ALL)
                && overlaps(attempt, it.from_ms, it.until_ms)
        });
        is_killed
            || self.record.stops.iter().any(|stop| {
                let until_ms = stop.at_ms + STOP_DEADLINE_MS;
                let ended_ms = stop.ended.map_or(u64::MAX, |(at_ms, _)| at_ms);
                stop.vm == attempt.vm
                    && ended_ms > until_ms
                    && overlaps(attempt, until_ms - SCHEDULING_SLACK_MS, ended_ms)
            })
    }

    /// Returns whether the deadline of a request was reached: its caller's, or the timeout of its
    /// route, the longest that the VM surely knew while the request was in progress.
    fn is_out_of_time(&self, attempt: &Attempt) -> bool {
        let timeout_ms = self.timeout_ms(attempt).unwrap_or(u64::MAX);
        let deadline_ms = attempt.sent_ms + attempt.patience_ms.min(timeout_ms);
        attempt.ended_ms + EARLY_END_MS >= deadline_ms
    }

    fn timeout_ms(&self, attempt: &Attempt) -> Option<u64> {
        let timeouts = &self.record.timeouts;
        let next = |index: usize| timeouts.get(index + 1);
        // A VM that reaches the store late may hold any older version.
        let is_disturbed = |from_ms: u64| {
            let from_ms = from_ms.saturating_sub(UNDISTURBED_MS);
            self.disturbs_store(from_ms, attempt.ended_ms)
                || self.disturbs_vm(attempt.vm, from_ms, attempt.ended_ms)
        };
        let is_replaced = |by: &TimeoutSeen| {
            let known_ms = by.acknowledged_ms + CONFIGURATION_DEADLINE_MS + SCHEDULING_SLACK_MS;
            known_ms < attempt.sent_ms && !is_disturbed(by.written_ms)
        };
        let possible = timeouts.iter().enumerate().filter(|(index, it)| {
            it.written_ms <= attempt.ended_ms && !next(*index).is_some_and(is_replaced)
        });
        let shortest_ms = possible.map(|(_, it)| it.timeout_ms).min()?;
        let certain = timeouts.iter().enumerate().filter(|(index, it)| {
            let known_ms = it.acknowledged_ms + CONFIGURATION_DEADLINE_MS + SCHEDULING_SLACK_MS;
            known_ms < attempt.ended_ms
                && !is_disturbed(it.written_ms)
                && next(*index).is_none_or(|next| next.written_ms > known_ms.max(attempt.sent_ms))
        });
        let longest_certain_ms = certain.map(|(_, it)| it.timeout_ms).max();
        Some(longest_certain_ms.map_or(shortest_ms, |it| it.max(shortest_ms)))
    }

    /// Returns whether an upstream or a link to it broke an answer off that had begun.
    fn is_broken_off(&self, attempt: &Attempt) -> bool {
        let is_cut_off = self.record.path_cuts.iter().any(|it| {
            it.vms.contains(&attempt.vm) && overlaps(attempt, it.from_ms, it.until_ms + RELAYED_MS)
        });
        let mut runs = self.record.runs.iter().filter(|run| run.id == attempt.id);
        is_cut_off || runs.any(|run| self.is_run_broken_off(attempt, run))
    }

    fn is_run_broken_off(&self, attempt: &Attempt, run: &Run) -> bool {
        let mut breaks = self.record.link_breaks.iter();
        let mut crashes = self.record.crashes.iter();
        run.fault.is_some()
            || crashes
                .any(|it| it.upstream == run.upstream && overlaps(attempt, it.at_ms, it.at_ms))
            || breaks
                .any(|it| it.upstream == run.upstream && overlaps(attempt, it.from_ms, it.until_ms))
    }
}

fn overlaps(attempt: &Attempt, from_ms: u64, until_ms: u64) -> bool {
    from_ms <= attempt.ended_ms && until_ms >= attempt.sent_ms
}
