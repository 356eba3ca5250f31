//! Detection of models that are used at regular times.

use std::collections::VecDeque;

/// Minimum idle time before an arrival for it to count as the start of a new use.
const MIN_IDLE_MS: u64 = 60_000;

/// Number of starts that are remembered.
const MAX_REMEMBERED_STARTS: usize = 6;

/// Number of equal periods from which on uses count as regular.
const MIN_EQUAL_PERIODS: usize = 4;
/// Number of equal long periods from which on uses count as regular. A wrong prediction of these
/// costs only one load in hours.
const MIN_EQUAL_LONG_PERIODS: usize = 2;
/// Minimum length of a long period.
const MIN_LONG_PERIOD_MS: u64 = 3 * 3_600_000;

/// Maximum deviation of equal periods from their median, as a share of the median.
const PERIOD_TOLERANCE: f64 = 0.05;
/// Lower bound of the maximum deviation.
const MIN_TOLERANCE_MS: f64 = 30_000.0;

/// Extension of the predicted interval beyond the observed deviation, at both ends.
const SLACK_MS: u64 = 5_000;

/// Detects whether a model is used at regular times, and predicts the next use.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeriodDetector {
    use_starts_ms: VecDeque<u64>,
    next: Option<ExpectedUse>,
}

/// Predicted interval for the start of the next use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExpectedUse {
    /// Earliest time of the start.
    pub(crate) from_ms: u64,
    /// Latest time of the start.
    pub(crate) to_ms: u64,
}

impl PeriodDetector {
    /// Records a use after an idle time, which is none for the first use.
    pub(crate) fn record_use(&mut self, now_ms: u64, idle_ms: Option<u64>) {
        if idle_ms.is_some_and(|idle_ms| idle_ms < MIN_IDLE_MS) {
            return;
        }
        self.use_starts_ms.push_back(now_ms);
        if self.use_starts_ms.len() > MAX_REMEMBERED_STARTS {
            self.use_starts_ms.pop_front();
        }
        self.next = self.predict();
    }

    /// Returns the prediction for the next use; none if uses are not regular or the predicted
    /// interval has passed.
    pub(crate) fn next(&self, now_ms: u64) -> Option<ExpectedUse> {
        self.next.filter(|next| now_ms <= next.to_ms)
    }

    fn predict(&self) -> Option<ExpectedUse> {
        let last_ms = *self.use_starts_ms.back()?;
        let times = self
            .use_starts_ms
            .iter()
            .zip(self.use_starts_ms.iter().skip(1));
        let periods: Vec<u64> = times.map(|(earlier, later)| later - earlier).collect();
        let last_period_ms = *periods.last()?;
        let needed = match last_period_ms {
            _ if last_period_ms >= MIN_LONG_PERIOD_MS => MIN_EQUAL_LONG_PERIODS,
            _ => MIN_EQUAL_PERIODS,
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
        let tolerance_ms = (median_ms as f64 * PERIOD_TOLERANCE).max(MIN_TOLERANCE_MS);
        if spread_ms as f64 > tolerance_ms {
            return None;
        }
        let slack_ms = spread_ms + SLACK_MS;
        Some(ExpectedUse {
            from_ms: (last_ms + median_ms).saturating_sub(slack_ms),
            to_ms: last_ms + median_ms + slack_ms,
        })
    }
}
