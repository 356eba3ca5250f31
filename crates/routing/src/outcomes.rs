//! Outcomes of an upstream's requests, weighted by their age.

use apricotdale_core::policy::UpstreamOutcome;

use crate::options::OutlierOptions;

/// Sums over the outcomes of one upstream, whose weight decays exponentially.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcomes {
    at_ms: u64,
    successes: f64,
    failures: f64,
    first_byte_count: f64,
    first_byte_sum_ms: f64,
    consecutive_failures: u32,
}

impl Outcomes {
    /// Records one outcome. Outcomes that the caller caused say nothing about the upstream and must
    /// be left out.
    pub(crate) fn record(
        &mut self,
        now_ms: u64,
        outcome: UpstreamOutcome,
        first_byte_ms: Option<u64>,
        options: &OutlierOptions,
    ) {
        *self = self.decayed(now_ms, options);
        match outcome {
            UpstreamOutcome::Answered => {
                self.successes += 1.0;
                self.consecutive_failures = 0;
            }
            // A refusal may be right, such as for a model that was just unloaded. It weighs less
            // and does not count among the consecutive failures.
            UpstreamOutcome::Refused => self.failures += options.refusal_weight,
            UpstreamOutcome::Unreachable | UpstreamOutcome::Lost => {
                self.failures += 1.0;
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            }
            UpstreamOutcome::Cancelled => {}
        }
        if let Some(first_byte_ms) = first_byte_ms {
            self.first_byte_count += 1.0;
            self.first_byte_sum_ms += first_byte_ms as f64;
        }
    }

    /// Returns the weight of all outcomes.
    pub(crate) fn weight(&self) -> f64 {
        self.successes + self.failures
    }

    /// Returns the weight of the failures.
    pub(crate) fn failures(&self) -> f64 {
        self.failures
    }

    /// Returns the share of failures, or zero without outcomes.
    pub(crate) fn failure_share(&self) -> f64 {
        share(self.failures, self.weight())
    }

    /// Returns the number of failures since the last answer, without refusals.
    pub(crate) fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns the mean time to the first byte, or `None` if there are too few outcomes.
    pub(crate) fn first_byte_ms(&self, options: &OutlierOptions) -> Option<f64> {
        let is_enough = self.first_byte_count >= options.min_weight / 2.0;
        is_enough.then(|| self.first_byte_sum_ms / self.first_byte_count)
    }

    /// Returns the outcomes with their weights at a later time.
    pub(crate) fn decayed(&self, now_ms: u64, options: &OutlierOptions) -> Self {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let factor = 0.5_f64.powf(elapsed_ms / options.half_life_ms.max(1) as f64);
        Self {
            at_ms: self.at_ms.max(now_ms),
            successes: self.successes * factor,
            failures: self.failures * factor,
            first_byte_count: self.first_byte_count * factor,
            first_byte_sum_ms: self.first_byte_sum_ms * factor,
            consecutive_failures: self.consecutive_failures,
        }
    }
}

/// Returns `part / total`, or zero if `total` is zero.
pub(crate) fn share(part: f64, total: f64) -> f64 {
    if total <= f64::EPSILON {
        return 0.0;
    }
    part / total
}
