//! Mean run time of the requests of each target.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use parking_lot::Mutex;

/// Each new run time moves the mean by this fraction of its distance from the mean.
const MEAN_WEIGHT_DIVISOR: i64 = 8;

/// Exponential moving mean of the run times of each target.
pub(crate) struct RunTimes {
    initial_ms: u64,
    means_ms: Mutex<HashMap<ModelName, i64>>,
}

impl RunTimes {
    pub(crate) fn new(initial_ms: u64) -> Self {
        Self {
            initial_ms,
            means_ms: Mutex::new(HashMap::new()),
        }
    }

    /// Records the run time of an answered request.
    pub(crate) fn record(&self, target: &ModelName, ran_ms: u64) {
        let ran_ms = i64::try_from(ran_ms).unwrap_or(i64::MAX / MEAN_WEIGHT_DIVISOR);
        let mut means_ms = self.means_ms.lock();
        let mean_ms = means_ms.entry(target.clone()).or_insert(ran_ms);
        *mean_ms += (ran_ms - *mean_ms) / MEAN_WEIGHT_DIVISOR;
    }

    /// Returns the mean run time of the target, or the initial value if none was recorded.
    pub(crate) fn expected_ms(&self, target: &ModelName) -> u64 {
        self.means_ms
            .lock()
            .get(target)
            .and_then(|mean_ms| u64::try_from(*mean_ms).ok())
            .unwrap_or(self.initial_ms)
    }
}
