//! Learned distribution of the idle gaps between uses of a model.

/// Number of buckets in which the gap doubles.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Number of buckets, which cover gaps from one second to about a day and a half.
const BUCKETS: usize = 34;

/// Factor by which the weights of older gaps shrink when a gap is added.
const DECAY: f64 = 0.97;

/// Total weight of the prior distribution, which is uniform over the buckets.
const PRIOR_WEIGHT: f64 = 1.0;

/// Learned distribution of the idle gaps between uses of a model. The buckets grow by a constant
/// factor, and the weights of older gaps decay.
#[derive(Clone, Debug)]
pub(crate) struct GapHistogram {
    weights: [f64; BUCKETS],
}

/// Costs of keeping and of unloading an idle replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepCosts {
    /// Share of an accelerator's memory that the replica occupies.
    pub(crate) share: f64,
    /// Cost of a cold start in accelerator milliseconds: the accelerator time of the load, and the
    /// missed targets.
    pub(crate) cold_start_cost_ms: f64,
}

impl Default for GapHistogram {
    fn default() -> Self {
        Self {
            weights: [PRIOR_WEIGHT / BUCKETS as f64; BUCKETS],
        }
    }
}

fn bucket_start_ms(bucket: usize) -> f64 {
    1_000.0 * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
}

fn bucket_of(gap_ms: u64) -> usize {
    let seconds = (gap_ms as f64 / 1_000.0).max(1.0);
    ((seconds.log2() * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

impl GapHistogram {
    /// Adds a gap.
    pub(crate) fn record(&mut self, gap_ms: u64) {
        for weight in &mut self.weights {
            *weight *= DECAY;
        }
        self.weights[bucket_of(gap_ms)] += 1.0;
    }

    /// Returns the parts of the buckets that are still possible after an idle time, each as its
    /// weight, its middle and its upper end.
    fn remaining(&self, idle_ms: f64) -> impl Iterator<Item = (f64, f64, f64)> + '_ {
        (0..BUCKETS).filter_map(move |bucket| {
            let (lower, upper) = (bucket_start_ms(bucket), bucket_start_ms(bucket + 1));
            let from_ms = lower.max(idle_ms);
            let part = (upper - from_ms) / (upper - lower);
            (part > 0.0).then(|| (self.weights[bucket] * part, (from_ms + upper) / 2.0, upper))
        })
    }

    /// Returns the probability that the model is used within `within_ms` after it has been idle for
    /// `idle_ms`.
    pub(crate) fn chance_within(&self, idle_ms: u64, within_ms: u64) -> f64 {
        let end_ms = (idle_ms + within_ms) as f64;
        let (mut soon, mut all) = (0.0, 0.0);
        for (weight, middle_ms, _) in self.remaining(idle_ms as f64) {
            all += weight;
            if middle_ms <= end_ms {
                soon += weight;
            }
        }
        if all <= 0.0 { 0.0 } else { soon / all }
    }

    /// Returns the idle time up to which a replica that has been idle for `idle_ms` should be kept,
    /// or none if unloading it now costs less.
    ///
    /// Keeping the replica until some later time costs the accelerator time until then. If the next
    /// use comes before, the cost ends there; if not, a cold start is added. `gain` is the share by
    /// which keeping must be cheaper than unloading now, so that small changes of the estimates
    /// don't change the decision.
    pub(crate) fn keep_until(&self, idle_ms: u64, costs: KeepCosts, gain: f64) -> Option<u64> {
        let idle_ms = idle_ms as f64;
        let all: f64 = self.remaining(idle_ms).map(|(weight, _, _)| weight).sum();
        if all <= 0.0 {
            return None;
        }
        let mut best = (costs.cold_start_cost_ms * (1.0 - gain), None);
        let mut left = all;
        let mut idle_sum = 0.0;
        for (weight, middle_ms, upper) in self.remaining(idle_ms) {
            left -= weight;
            idle_sum += weight * (middle_ms - idle_ms);
            let kept_ms = (idle_sum + left * (upper - idle_ms)) / all;
            let cost = costs.share * kept_ms + left / all * costs.cold_start_cost_ms;
            if cost < best.0 {
                best = (cost, Some(upper as u64));
            }
        }
        best.1
    }
}
