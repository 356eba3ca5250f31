//! Models whose load ends the engine that carries it out.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;

/// Engines that must have ended in a load of a model, one after the other.
const CRASHES: usize = 3;

/// Engines that end so close to each other have another cause.
const APART_MS: u64 = 1_000;

/// How long such an end is remembered.
const MEMORY_MS: u64 = 600_000;

/// How long the model is not loaded the first time; four times as long each further time.
const FIRST_HOLD_MS: u64 = 60_000;

/// The longest such time.
const LONGEST_HOLD_MS: u64 = 3_600_000;

#[derive(Clone, Debug, Default)]
struct Crashes {
    at_ms: Vec<u64>,
    holds: u32,
}

/// `LoadCrashes` counts the engines that ended while they loaded a model.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadCrashes {
    by_model: HashMap<ModelName, Crashes>,
}

impl LoadCrashes {
    /// Notes that an engine ended in a load. Returns for how long the model is not loaded any more,
    /// if it is the cause.
    pub fn note(&mut self, now_ms: u64, model: &ModelName) -> Option<u64> {
        let crashes = self.by_model.entry(model.clone()).or_default();
        crashes.at_ms.retain(|at_ms| now_ms < at_ms + MEMORY_MS);
        let last_ms = crashes.at_ms.last();
        if last_ms.is_some_and(|last_ms| now_ms < last_ms + APART_MS) {
            return None;
        }
        crashes.at_ms.push(now_ms);
        if crashes.at_ms.len() < CRASHES {
            return None;
        }
        // One more is enough the next time.
        crashes.at_ms.remove(0);
        crashes.holds += 1;
        let factor = 4_u64.saturating_pow(crashes.holds - 1);
        Some(FIRST_HOLD_MS.saturating_mul(factor).min(LONGEST_HOLD_MS))
    }

    /// Forgets what speaks against a model, since an engine has loaded it.
    pub fn loaded(&mut self, model: &ModelName) {
        self.by_model.remove(model);
    }
}
