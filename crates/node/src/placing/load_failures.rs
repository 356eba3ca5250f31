//! Models whose loads fail.

use std::collections::BTreeMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;

/// The pause after the first failed load of a model.
const FIRST_PAUSE_MS: u64 = 500;

/// The longest pause.
const PAUSE_MAX_MS: u64 = 30_000;

/// The most times that the pause is doubled.
const MOST_DOUBLINGS: u32 = 8;

/// Loads of a model that failed in a row after which its waiting requests are refused.
const REFUSED_AFTER: u32 = 2;

/// `LoadFailures` holds back loads of models whose last ones failed.
///
/// An engine that refuses at once would otherwise be asked again at once: the proposals alone used
/// up the log's appends (some 230 a second for one waiting request), everybody else's among them.
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
    /// Takes in a failed load.
    pub fn failed(&mut self, now_ms: u64, model: &ModelName) {
        let count = self.models.get(model).map_or(0, |failure| failure.count) + 1;
        let doubled_ms = FIRST_PAUSE_MS << (count - 1).min(MOST_DOUBLINGS);
        let failure = Failure {
            count,
            until_ms: now_ms + doubled_ms.min(PAUSE_MAX_MS),
        };
        self.models.insert(model.clone(), failure);
    }

    /// Takes in a load that worked.
    pub fn worked(&mut self, model: &ModelName) {
        self.models.remove(model);
    }

    /// Returns whether a load of the model may be proposed now.
    pub fn may_load(&self, now_ms: u64, model: &ModelName) -> bool {
        self.models
            .get(model)
            .is_none_or(|failure| now_ms >= failure.until_ms)
    }

    /// Returns the models whose waiting requests are refused now, and the refusal.
    pub fn given_up(&self, now_ms: u64) -> Vec<(ModelName, Refusal)> {
        let held = self
            .models
            .iter()
            .filter(|(_, failure)| failure.count >= REFUSED_AFTER && now_ms < failure.until_ms);
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
