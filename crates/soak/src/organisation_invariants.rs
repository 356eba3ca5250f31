//! Checks of the invariants about organisations, their keys and limits.

use std::collections::BTreeSet;

use crate::checks::CONFIGURATION_DEADLINE_MS;
use crate::checks::Checker;
use crate::checks::Invariant;
use crate::checks::SCHEDULING_SLACK_MS;
use crate::checks::UNDISTURBED_MS;
use crate::checks::Violation;
use crate::checks::violation;
use crate::keys::LIMIT_WINDOW_MS;
use crate::record::Attempt;
use crate::record::LimitSeen;
use crate::record::Place;
use crate::record::Presented;
use crate::record::ROLLBACK;
use crate::record::Record;

/// Use of an organisation's limit in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowUse {
    /// Name of the organisation.
    pub organisation: String,
    /// Start of the window in milliseconds since the start of the soak.
    pub from_ms: u64,
    /// Number of requests that were sent and reached an upstream within the window.
    pub ran: usize,
    /// Number of requests that the limit allows in the window.
    pub most: usize,
}

/// Returns the window in which the greatest share of a limit was used; none if no organisation with
/// a limit was served.
pub fn fullest_window(record: &Record) -> Option<WindowUse> {
    let windows = Checker::new(record).windows();
    windows
        .into_iter()
        .max_by_key(|window| window.ran * 1_000 / window.most.max(1))
}

impl Checker<'_> {
    pub fn check_keys(&self, found: &mut Vec<Violation>) {
        for attempt in self.attempts.values() {
            let reached_ms = self.first_run(&attempt.id).map(|run| run.at_ms);
            let is_wrong = match attempt.presented {
                Presented::None | Presented::Unknown | Presented::Several => reached_ms.is_some(),
                Presented::Key(key) => {
                    self.runs_without_key(attempt, key, reached_ms)
                        || self.is_refused_with_key(attempt, key)
                }
            };
            if is_wrong {
                let detail = format!(
                    "{} with {:?} at vm{}, sent at {} ms: {}, reached an upstream at {reached_ms:?}",
                    attempt.id,
                    attempt.presented,
                    attempt.vm,
                    attempt.sent_ms,
                    attempt.status()
                );
                found.push(violation(Invariant::ValidKeyRequired, detail));
            }
        }
    }

    /// Returns whether a request ran although every VM had to know that its key was revoked.
    fn runs_without_key(&self, attempt: &Attempt, key: usize, reached_ms: Option<u64>) -> bool {
        match (self.record.keys[key].left_ms, reached_ms) {
            (Some(left_ms), Some(reached_ms)) => {
                attempt.sent_ms > self.in_force_by_ms(Some(attempt.vm), left_ms, reached_ms)
            }
            _ => false,
        }
    }

    /// Returns whether a request got status 401 although its key was in force.
    fn is_refused_with_key(&self, attempt: &Attempt, key: usize) -> bool {
        let key = &self.record.keys[key];
        let is_held = key.leaving_ms.is_none_or(|at_ms| attempt.ended_ms < at_ms);
        let is_known = match key.acknowledged_ms {
            0 => true,
            at_ms => {
                attempt.sent_ms > self.in_force_by_ms(Some(attempt.vm), at_ms, attempt.ended_ms)
            }
        };
        attempt.status() == 401 && is_held && is_known
    }

    pub fn check_organisations(&self, found: &mut Vec<Violation>) {
        for run in &self.record.runs {
            let attempt = self.attempts.get(run.id.as_str());
            let is_forwarded = match attempt.map(|attempt| attempt.presented) {
                Some(Presented::Key(key)) => {
                    run.organisations == [self.record.keys[key].organisation.as_str()]
                }
                _ => true,
            };
            if !is_forwarded || run.shows_key {
                let detail = format!(
                    "{} reached {} for {:?}, key forwarded: {}",
                    run.id, run.upstream, run.organisations, run.shows_key
                );
                found.push(violation(Invariant::OrganisationForwarded, detail));
            }
        }
    }

    pub fn check_limits(&self, found: &mut Vec<Violation>) {
        let mut windows = self.windows();
        windows.retain(|window| window.ran > window.most);
        windows.dedup_by(|next, first| next.organisation == first.organisation);
        for WindowUse {
            organisation,
            from_ms,
            ran,
            most,
        } in windows
        {
            let detail = format!(
                "{organisation} ran {ran} requests of {most} in the window from {from_ms} ms"
            );
            found.push(violation(Invariant::WithinLimits, detail));
        }
    }

    /// Returns the windows that start with a request of an organisation with a limit, by
    /// organisation and time.
    fn windows(&self) -> Vec<WindowUse> {
        let limits = self.record.limits.iter();
        let limited: BTreeSet<&str> = limits.map(|it| it.organisation.as_str()).collect();
        let mut windows = Vec::new();
        for name in limited {
            let mut times: Vec<(u64, u64)> = self
                .attempts
                .values()
                .filter(|attempt| self.is_from(attempt, name))
                .filter_map(|it| Some((it.sent_ms, self.first_run(&it.id)?.at_ms)))
                .collect();
            times.sort_unstable();
            for (first, (from_ms, _)) in times.iter().enumerate() {
                let until_ms = from_ms + LIMIT_WINDOW_MS;
                let later = times[first..].iter();
                let ran = later.filter(|(_, at_ms)| *at_ms <= until_ms).count();
                windows.extend(self.most_in_window(name, *from_ms).map(|most| WindowUse {
                    organisation: name.to_owned(),
                    from_ms: *from_ms,
                    ran,
                    most,
                }));
            }
        }
        windows
    }

    fn is_from(&self, attempt: &Attempt, organisation: &str) -> bool {
        match attempt.presented {
            Presented::Key(key) => self.record.keys[key].organisation == organisation,
            _ => false,
        }
    }

    /// Returns the number of requests that the highest limit in force during a window allows. A
    /// lower limit applies one window after every VM had to know it.
    fn most_in_window(&self, organisation: &str, from_ms: u64) -> Option<usize> {
        let limits = self.record.limits.iter();
        let limits: Vec<&LimitSeen> = limits
            .filter(|it| it.organisation == organisation)
            .collect();
        let until_ms = from_ms + LIMIT_WINDOW_MS;
        let ends = limits.iter().skip(1).map(|next| {
            let in_force_by_ms = self.in_force_by_ms(None, next.acknowledged_ms, until_ms);
            Some(in_force_by_ms + LIMIT_WINDOW_MS)
        });
        let in_force = limits.iter().zip(ends.chain([None]));
        let in_force = in_force.filter(|(limit, end_ms)| {
            limit.written_ms <= until_ms && end_ms.is_none_or(|end_ms| from_ms < end_ms)
        });
        in_force.map(|(limit, _)| limit.most_in_window).max()
    }

    /// Returns when a configuration must be in force at a VM, or at every VM. A disturbance of the
    /// VM or the store before then postpones it, and a rollback of the store that starts by
    /// `until_ms` restarts the time.
    fn in_force_by_ms(&self, vm: Option<usize>, acknowledged_ms: u64, until_ms: u64) -> u64 {
        let disturbances = || self.record.disturbances.iter();
        let start_ms = disturbances()
            .filter(|it| it.what == ROLLBACK && it.from_ms <= until_ms)
            .map(|it| it.until_ms)
            .fold(acknowledged_ms, u64::max);
        let mut delays: Vec<(u64, u64)> = disturbances()
            .filter(|it| match it.place {
                Place::Vm(disturbed) => vm.is_none_or(|vm| vm == disturbed),
                Place::Store => true,
                Place::Upstreams => false,
            })
            .map(|it| (it.from_ms, it.until_ms + UNDISTURBED_MS))
            .filter(|(_, until_ms)| *until_ms >= start_ms)
            .collect();
        delays.sort_unstable();
        let in_force_by_ms = start_ms + CONFIGURATION_DEADLINE_MS + SCHEDULING_SLACK_MS;
        let delays = delays.into_iter();
        delays.fold(
            in_force_by_ms,
            |in_force_by_ms, (from_ms, until_ms)| match from_ms <= in_force_by_ms {
                true => in_force_by_ms.max(until_ms),
                false => in_force_by_ms,
            },
        )
    }

    pub fn check_secrets(&self, found: &mut Vec<Violation>) {
        for line in &self.record.key_lines {
            found.push(violation(Invariant::KeysStaySecret, line.clone()));
        }
    }
}
