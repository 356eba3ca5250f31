//! Backoff for models whose loads fail.

use std::collections::BTreeMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;

/// Backoff after the first failed load of a model.
const FIRST_BACKOFF_MS: u64 = 500;

/// Upper bound of the backoff.
const MAX_BACKOFF_MS: u64 = 30_000;

/// Upper bound of the number of doublings, which keeps the shift from overflowing.
const MAX_DOUBLINGS: u32 = 8;

/// Consecutive failed loads of a model after which its waiting requests are refused.
const REFUSED_AFTER_FAILURES: u32 = 2;

/// Delays loads of models whose last loads failed, with exponential backoff.
///
/// Without it, an engine that refuses at once is sent the next order at once: for one waiting
/// request this took some 230 proposals a second, which used up the log's appends for all VMs.
#[derive(Debug, Default)]
pub struct LoadFailures {
    models: BTreeMap<ModelName, Failure>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    until_ms: u64,
}

impl LoadFailures {
    /// Records a failed load and extends the model's backoff.
    pub fn record_failure(&mut self, now_ms: u64, model: &ModelName) {
        let count = self.models.get(model).map_or(0, |failure| failure.count) + 1;
        let doubled_ms = FIRST_BACKOFF_MS << (count - 1).min(MAX_DOUBLINGS);
        let failure = Failure {
            count,
            until_ms: now_ms + doubled_ms.min(MAX_BACKOFF_MS),
        };
        self.models.insert(model.clone(), failure);
    }

    /// Records a successful load and clears the model's backoff.
    pub fn record_success(&mut self, model: &ModelName) {
        self.models.remove(model);
    }

    /// Returns whether a load of the model may be proposed now.
    pub fn may_load(&self, now_ms: u64, model: &ModelName) -> bool {
        self.models
            .get(model)
            .is_none_or(|failure| now_ms >= failure.until_ms)
    }

    /// Returns the models whose waiting requests have to be refused now, each with its refusal.
    pub fn refusals(&self, now_ms: u64) -> Vec<(ModelName, Refusal)> {
        let held = self.models.iter().filter(|(_, failure)| {
            failure.count >= REFUSED_AFTER_FAILURES && now_ms < failure.until_ms
        });
        held.map(|(model, failure)| {
            let detail = format!("the last {} loads of the model failed", failure.count);
            let refusal = Refusal::not_run(RefusalReason::LoadFailed, detail);
            (
                model.clone(),
                refusal.retry_after(failure.until_ms - now_ms),
            )
        })
        .collect()
    }
}
