//! Distribution of the class targets of a model's requests.

/// Maximum number of distinct targets.
const MAX_TARGETS: usize = 8;

/// Targets that differ by at most this share count as the same, observed at different times.
const SAME_TARGET_SHARE: f64 = 0.25;

/// Weight of the prior assumption, which is the tightest target of all classes.
const PRIOR_WEIGHT: f64 = 0.5;

/// Factor by which the weights of older targets shrink when a target is added.
const DECAY: f64 = 0.95;

/// Share of the target within which an answer is certainly in time. Between this share and
/// `LATE_SHARE`, the probability of missing the target grows linearly.
const SAFE_SHARE: f64 = 0.25;
/// Share of the target from which on an answer is certainly late.
const LATE_SHARE: f64 = 1.0;

/// Share of the target that the engine needs for the first token.
const FIRST_TOKEN_SHARE: f64 = 0.1;

/// Time from the first demand to the order, plus the time from the end of the load until a request
/// is routed to the engine.
pub(crate) const DECISION_DELAY_MS: f64 = 250.0;

/// Learned distribution of the class targets of a model's requests. The view shows the remaining
/// time only of waiting requests, so only requests that waited are counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetDistribution {
    seen: Vec<(f64, f64)>,
}

impl TargetDistribution {
    /// Records the remaining time of a request that has just started to wait.
    pub(crate) fn record(&mut self, remaining_ms: u64) {
        let remaining_ms = remaining_ms as f64;
        for (_, weight) in &mut self.seen {
            *weight *= DECAY;
        }
        let known = self.seen.iter_mut().find(|(target_ms, _)| {
            (*target_ms - remaining_ms).abs() <= SAME_TARGET_SHARE * *target_ms
        });
        if let Some((target_ms, weight)) = known {
            *target_ms = target_ms.max(remaining_ms);
            *weight += 1.0;
            return;
        }
        if self.seen.len() < MAX_TARGETS {
            self.seen.push((remaining_ms, 1.0));
        }
    }

    /// Returns the probability that a request misses its target if it has to wait for a load.
    pub(crate) fn miss_chance(&self, load_ms: f64, tightest_target_ms: u64) -> f64 {
        let mut missed = PRIOR_WEIGHT * miss_chance_for_target(load_ms, tightest_target_ms as f64);
        let mut all = PRIOR_WEIGHT;
        for (target_ms, weight) in &self.seen {
            missed += weight * miss_chance_for_target(load_ms, *target_ms);
            all += weight;
        }
        missed / all
    }
}

/// Returns the probability that a request with the given target misses it if it has to wait for a
/// load. It is 0 for loads well below the target.
fn miss_chance_for_target(load_ms: f64, target_ms: f64) -> f64 {
    let answer_ms = DECISION_DELAY_MS + load_ms + FIRST_TOKEN_SHARE * target_ms;
    let share = answer_ms / target_ms.max(1.0);
    ((share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE)).clamp(0.0, 1.0)
}
