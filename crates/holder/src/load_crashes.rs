//! Detection of models whose load crashes the engine.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;

/// Number of engines that crash one after the other during a load of a model before its loads are
/// suspended.
const CRASHES_TO_SUSPEND: usize = 3;

/// Minimum time between two crashes that count. Engines that crash within this time of each other
/// have another cause in common.
const MIN_CRASH_INTERVAL_MS: u64 = 1_000;

/// How long a crash counts toward the suspension of a model.
const CRASH_RETENTION_MS: u64 = 600_000;

/// Duration of the first suspension of a model's loads. Each further one is four times as long.
const FIRST_SUSPENSION_MS: u64 = 60_000;

/// Upper limit of the duration of a suspension.
const MAX_SUSPENSION_MS: u64 = 3_600_000;

#[derive(Clone, Debug, Default)]
struct CrashHistory {
    at_ms: Vec<u64>,
    suspensions: u32,
}

/// Engines that crashed while loading a model, by model.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadCrashes {
    by_model: HashMap<ModelName, CrashHistory>,
}

impl LoadCrashes {
    /// Records that an engine crashed while loading a model. Returns the duration for which loads
    /// of the model are to be suspended, if the model is the likely cause.
    pub fn record_crash(&mut self, now_ms: u64, model: &ModelName) -> Option<u64> {
        let crashes = self.by_model.entry(model.clone()).or_default();
        crashes
            .at_ms
            .retain(|at_ms| now_ms < at_ms + CRASH_RETENTION_MS);
        let last_ms = crashes.at_ms.last();
        if last_ms.is_some_and(|last_ms| now_ms < last_ms + MIN_CRASH_INTERVAL_MS) {
            return None;
        }
        crashes.at_ms.push(now_ms);
        if crashes.at_ms.len() < CRASHES_TO_SUSPEND {
            return None;
        }
        // After a suspension one further crash suffices.
        crashes.at_ms.remove(0);
        crashes.suspensions += 1;
        let factor = 4_u64.saturating_pow(crashes.suspensions - 1);
        Some(
            FIRST_SUSPENSION_MS
                .saturating_mul(factor)
                .min(MAX_SUSPENSION_MS),
        )
    }

    /// Removes the crashes of a model, since an engine has loaded it.
    pub fn clear(&mut self, model: &ModelName) {
        self.by_model.remove(model);
    }
}
