//! Check of the invariant about rate limits that upstreams state.

use crate::checks::Checker;
use crate::checks::Invariant;
use crate::checks::UNDISTURBED_MS;
use crate::checks::Violation;
use crate::checks::violation;
use crate::record::Record;
use crate::record::StatedLimitSeen;

/// Window in which requests are counted, and what is tolerated in it beyond the limit: a factor in
/// tenths, and a number of requests.
const WINDOW_MS: u64 = 4_000;
const TOLERATED_TENTHS: u64 = 15;
const TOLERATED_REQUESTS: u64 = 5;

/// Time after the first statement from which it binds.
const GRACE_MS: u64 = 3_000;

/// Use of a stated limit in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatedLimitUse {
    /// Name of the upstream.
    pub upstream: String,
    /// Start of the window in milliseconds since the start of the soak.
    pub from_ms: u64,
    /// Number of requests that reached the upstream within the window.
    pub ran: usize,
    /// Number of requests that the limit tolerates in the window.
    pub most: usize,
}

/// Returns the window in which the greatest share of a stated limit was used; none if no upstream
/// with a limit got a request while the limit was binding.
pub fn fullest_stated_window(record: &Record) -> Option<StatedLimitUse> {
    let windows = Checker::new(record).stated_windows();
    windows
        .into_iter()
        .max_by_key(|window| window.ran * 1_000 / window.most.max(1))
}

impl Checker<'_> {
    pub fn check_stated_limits(&self, found: &mut Vec<Violation>) {
        let mut windows = self.stated_windows();
        windows.retain(|window| window.ran > window.most);
        windows.dedup_by(|next, first| next.upstream == first.upstream);
        for StatedLimitUse {
            upstream,
            from_ms,
            ran,
            most,
        } in windows
        {
            let detail =
                format!("{upstream} got {ran} requests of {most} in the window from {from_ms} ms");
            found.push(violation(Invariant::WithinStatedLimits, detail));
        }
    }

    /// Returns the windows that begin with a request while a limit is binding.
    fn stated_windows(&self) -> Vec<StatedLimitUse> {
        let limits = self.record.stated_limits.iter();
        let windows = limits.flat_map(|limit| {
            let times = self.bound_times(limit);
            let tolerated =
                u64::from(limit.milli_per_s) * WINDOW_MS * TOLERATED_TENTHS / 10_000_000;
            let windows = times.iter().enumerate().map(|(first, from_ms)| {
                let in_window = |at_ms: &&u64| **at_ms < from_ms + WINDOW_MS;
                StatedLimitUse {
                    upstream: limit.upstream.clone(),
                    from_ms: *from_ms,
                    ran: times[first..].iter().take_while(in_window).count(),
                    most: (tolerated + TOLERATED_REQUESTS) as usize,
                }
            });
            windows.collect::<Vec<_>>()
        });
        windows.collect()
    }

    /// Returns the times of the requests that count against a limit, in order. A VM that has just
    /// been disturbed may not know the limit.
    fn bound_times(&self, limit: &StatedLimitSeen) -> Vec<u64> {
        let stated_ms = self.record.sends_from_ms(&limit.upstream, limit.from_ms);
        let binding = stated_ms + GRACE_MS..=limit.until_ms;
        let runs = self.record.runs.iter();
        let mut times: Vec<u64> = runs
            .filter(|run| run.upstream == limit.upstream && binding.contains(&run.at_ms))
            .filter(|run| {
                let attempt = self.attempts.get(run.id.as_str());
                let from_ms = run.at_ms.saturating_sub(UNDISTURBED_MS);
                attempt.is_some_and(|it| !self.disturbs_vm(it.vm, from_ms, run.at_ms))
            })
            .map(|run| run.at_ms)
            .collect();
        times.sort_unstable();
        times
    }
}
