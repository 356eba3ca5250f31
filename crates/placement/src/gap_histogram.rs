//! The learned distribution of the gaps between uses of one model.

/// Buckets per doubling of the gap.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Number of buckets: from one second to about a day and a half.
const BUCKETS: usize = 34;

/// What is left of the older gaps' weight when a new one is noted.
const DECAY: f64 = 0.97;

/// The weight of the gaps assumed before any was seen, spread over all buckets.
const PRIOR_WEIGHT: f64 = 1.0;

/// `GapHistogram` is the learned distribution of the gaps between uses of one model, with buckets
/// that grow by a constant factor and with older gaps fading.
#[derive(Clone, Debug)]
pub(crate) struct GapHistogram {
    weights: [f64; BUCKETS],
}

/// `KeepCosts` is what keeping and unloading an idle replica cost, in accelerator milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepCosts {
    /// The share of an accelerator that the replica takes.
    pub(crate) share: f64,
    /// What a cold start costs: the accelerator during the load, and the missed targets.
    pub(crate) cold_start_ms: f64,
}

impl Default for GapHistogram {
    fn default() -> Self {
        Self {
            weights: [PRIOR_WEIGHT / BUCKETS as f64; BUCKETS],
        }
    }
}

fn lower_ms(bucket: usize) -> f64 {
    1_000.0 * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
}

fn bucket_of(gap_ms: u64) -> usize {
    let seconds = (gap_ms as f64 / 1_000.0).max(1.0);
    ((seconds.log2() * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

impl GapHistogram {
    /// Notes a gap.
    pub(crate) fn note(&mut self, gap_ms: u64) {
        for weight in &mut self.weights {
            *weight *= DECAY;
        }
        self.weights[bucket_of(gap_ms)] += 1.0;
    }

    /// Returns the weights of the gaps that are still possible after an idle time, with the middle
    /// of each bucket's remaining part.
    fn remaining(&self, idle_ms: f64) -> impl Iterator<Item = (f64, f64, f64)> + '_ {
        (0..BUCKETS).filter_map(move |bucket| {
            let (lower, upper) = (lower_ms(bucket), lower_ms(bucket + 1));
            let from_ms = lower.max(idle_ms);
            let part = (upper - from_ms) / (upper - lower);
            (part > 0.0).then(|| (self.weights[bucket] * part, (from_ms + upper) / 2.0, upper))
        })
    }

    /// Returns the chance that the model is used within a time, after an idle time.
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

    /// Returns until which idle time a replica that has been idle for `idle_ms` should be kept, or
    /// none if unloading it now costs less.
    ///
    /// For each later moment the cost of keeping the replica until then is its idle time, if the
    /// next use comes before, or that and a cold start, if it does not. `gain` is the share by
    /// which keeping must be cheaper than unloading now, so that small changes of the estimate
    /// don't change the decision.
    pub(crate) fn keep_until(&self, idle_ms: u64, costs: KeepCosts, gain: f64) -> Option<u64> {
        let idle_ms = idle_ms as f64;
        let all: f64 = self.remaining(idle_ms).map(|(weight, _, _)| weight).sum();
        if all <= 0.0 {
            return None;
        }
        let mut best = (costs.cold_start_ms * (1.0 - gain), None);
        let mut left = all;
        let mut idle_sum = 0.0;
        for (weight, middle_ms, upper) in self.remaining(idle_ms) {
            left -= weight;
            idle_sum += weight * (middle_ms - idle_ms);
            let kept_ms = (idle_sum + left * (upper - idle_ms)) / all;
            let cost = costs.share * kept_ms + left / all * costs.cold_start_ms;
            if cost < best.0 {
                best = (cost, Some(upper as u64));
            }
        }
        best.1
    }
}
