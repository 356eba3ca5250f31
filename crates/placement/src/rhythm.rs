//! Models that are called at regular times.

use std::collections::VecDeque;

/// An arrival after an idle time of this length wakes the model up.
const WAKE_GAP_MS: u64 = 60_000;

/// Wakes that are remembered.
const REMEMBERED_WAKES: usize = 6;

/// Equal periods that make a rhythm, and how many do where the period is long. A wrong guess of a
/// long period costs one load in hours.
const EQUAL_PERIODS: usize = 4;
const EQUAL_LONG_PERIODS: usize = 2;
const LONG_PERIOD_MS: u64 = 3 * 3_600_000;

/// How far a period may be from the median to count as equal.
const PERIOD_TOLERANCE: f64 = 0.05;
const LEAST_TOLERANCE_MS: f64 = 30_000.0;

/// Room around the expected time on top of what was seen.
const SLACK_MS: u64 = 5_000;

/// `Rhythm` finds out whether a model wakes up at regular times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rhythm {
    wakes_ms: VecDeque<u64>,
    next: Option<NextWake>,
}

/// `NextWake` is when a model with a rhythm is expected to wake up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NextWake {
    /// The earliest time.
    pub(crate) from_ms: u64,
    /// The latest time.
    pub(crate) to_ms: u64,
}

impl Rhythm {
    /// Notes a use after an idle time.
    pub(crate) fn used(&mut self, now_ms: u64, idle_ms: Option<u64>) {
        if idle_ms.is_some_and(|idle_ms| idle_ms < WAKE_GAP_MS) {
            return;
        }
        self.wakes_ms.push_back(now_ms);
        if self.wakes_ms.len() > REMEMBERED_WAKES {
            self.wakes_ms.pop_front();
        }
        self.next = self.predict();
    }

    /// Returns when the next wake is expected, or none without a rhythm or if it is overdue.
    pub(crate) fn next(&self, now_ms: u64) -> Option<NextWake> {
        self.next.filter(|next| now_ms <= next.to_ms)
    }

    fn predict(&self) -> Option<NextWake> {
        let last_ms = *self.wakes_ms.back()?;
        let times = self.wakes_ms.iter().zip(self.wakes_ms.iter().skip(1));
        let periods: Vec<u64> = times.map(|(earlier, later)| later - earlier).collect();
        let last_period_ms = *periods.last()?;
        let needed = match last_period_ms {
            _ if last_period_ms >= LONG_PERIOD_MS => EQUAL_LONG_PERIODS,
            _ => EQUAL_PERIODS,
        };
        if periods.len() < needed {
            return None;
        }
        let mut recent = periods[periods.len() - needed..].to_vec();
        recent.sort_unstable();
        let median_ms = recent[recent.len() / 2];
        let spread_ms = recent
            .iter()
            .map(|period| period.abs_diff(median_ms))
            .max()
            .unwrap_or(0);
        let tolerance_ms = (median_ms as f64 * PERIOD_TOLERANCE).max(LEAST_TOLERANCE_MS);
        if spread_ms as f64 > tolerance_ms {
            return None;
        }
        let slack_ms = spread_ms + SLACK_MS;
        Some(NextWake {
            from_ms: (last_ms + median_ms).saturating_sub(slack_ms),
            to_ms: last_ms + median_ms + slack_ms,
        })
    }
}
