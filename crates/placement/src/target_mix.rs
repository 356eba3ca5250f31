//! Which class targets the requests of one model have.

/// Targets told apart.
const MOST_TARGETS: usize = 8;

/// Two targets closer than this share are the same one, read at slightly different times.
const SAME_TARGET_SHARE: f64 = 0.25;

/// The weight with which the tightest target is assumed before any was seen.
const PRIOR_WEIGHT: f64 = 0.5;

/// What is left of the older targets' weight when a new one is noted.
const DECAY: f64 = 0.95;

/// The share of the target by which an answer is certainly in time, and at which it is late.
/// In between it depends on what the prediction leaves out.
const SAFE_SHARE: f64 = 0.25;
const LATE_SHARE: f64 = 1.0;

/// The part of the target that is left to the engine for the first token.
const FIRST_TOKEN_SHARE: f64 = 0.1;

/// From demand to the order and from the loaded model to the routed request.
pub(crate) const DECISION_MS: f64 = 250.0;

/// `TargetMix` is the learned mix of the class targets of one model's requests. The view gives the
/// time left of waiting requests only, so it learns from requests that waited.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetMix {
    seen: Vec<(f64, f64)>,
}

impl TargetMix {
    /// Notes the time left of a request that has just begun to wait.
    pub(crate) fn note(&mut self, left_ms: u64) {
        let left_ms = left_ms as f64;
        for (_, weight) in &mut self.seen {
            *weight *= DECAY;
        }
        let known = self
            .seen
            .iter_mut()
            .find(|(target_ms, _)| (*target_ms - left_ms).abs() <= SAME_TARGET_SHARE * *target_ms);
        if let Some((target_ms, weight)) = known {
            *target_ms = target_ms.max(left_ms);
            *weight += 1.0;
            return;
        }
        if self.seen.len() < MOST_TARGETS {
            self.seen.push((left_ms, 1.0));
        }
    }

    /// Returns the chance that a request misses its target if it has to wait for a load.
    pub(crate) fn miss_chance(&self, load_ms: f64, tightest_target_ms: u64) -> f64 {
        let mut missed = PRIOR_WEIGHT * miss(load_ms, tightest_target_ms as f64);
        let mut all = PRIOR_WEIGHT;
        for (target_ms, weight) in &self.seen {
            missed += weight * miss(load_ms, *target_ms);
            all += weight;
        }
        missed / all
    }
}

/// Returns how certainly a request misses its target if it has to wait for a load: a load well
/// below the target hurts nobody.
fn miss(load_ms: f64, target_ms: f64) -> f64 {
    let answer_ms = DECISION_MS + load_ms + FIRST_TOKEN_SHARE * target_ms;
    let share = answer_ms / target_ms.max(1.0);
    ((share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE)).clamp(0.0, 1.0)
}
