//! Estimate of the run times of one class at one target.

/// Number of runs up to which the estimate is a plain mean. After that, it is an exponential moving
/// average with the weight [`Options::run_weight`](crate::Options::run_weight).
const PLAIN_MEAN_RUNS: u32 = 8;

/// Corrects the expected run times by the measured ones.
#[derive(Debug, Default)]
pub(crate) struct RunEstimate {
    runs: u32,
    mean_ms: f64,
    ratio: f64,
    ratio_runs: u32,
}

impl RunEstimate {
    /// Records a run that ended. `expected_ms` is zero if its sender did not expect a time.
    pub(crate) fn record(&mut self, expected_ms: u64, ran_ms: u64, weight: f64) {
        self.runs = self.runs.saturating_add(1);
        let step = step_for(self.runs, weight);
        self.mean_ms += step * (ran_ms as f64 - self.mean_ms);
        if expected_ms == 0 {
            return;
        }
        self.ratio_runs = self.ratio_runs.saturating_add(1);
        let ratio = ran_ms as f64 / expected_ms as f64;
        self.ratio += step_for(self.ratio_runs, weight) * (ratio - self.ratio);
    }

    /// Returns the estimated run time of a request, which is at least one millisecond.
    /// `expected_ms` is the time that its sender expects, or zero if unknown.
    pub(crate) fn work_ms(&self, expected_ms: u64) -> u64 {
        let work_ms = match expected_ms {
            0 => self.mean_ms,
            _ if self.ratio_runs < PLAIN_MEAN_RUNS / 2 => expected_ms as f64,
            _ => expected_ms as f64 * self.ratio,
        };
        (work_ms as u64).max(1)
    }

    /// Returns the mean run time, or zero before the first run.
    pub(crate) fn mean_ms(&self) -> u64 {
        self.mean_ms as u64
    }
}

fn step_for(count: u32, weight: f64) -> f64 {
    weight.max(1.0 / f64::from(count.min(PLAIN_MEAN_RUNS)))
}
