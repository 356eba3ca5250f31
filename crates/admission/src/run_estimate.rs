//! How long the requests of one class run at one target.

/// Runs after which the estimate follows `Options::run_weight`. Earlier runs weigh as in a plain
/// mean.
const FIRST_RUNS: u32 = 8;

/// `RunEstimate` corrects the expected run times by what was measured.
#[derive(Debug, Default)]
pub(crate) struct RunEstimate {
    runs: u32,
    mean_ms: f64,
    ratio: f64,
    rated: u32,
}

impl RunEstimate {
    /// Takes in a run that ended.
    pub(crate) fn learn(&mut self, expected_ms: u64, ran_ms: u64, weight: f64) {
        self.runs = self.runs.saturating_add(1);
        let step = step_of(self.runs, weight);
        self.mean_ms += step * (ran_ms as f64 - self.mean_ms);
        if expected_ms == 0 {
            return;
        }
        self.rated = self.rated.saturating_add(1);
        let ratio = ran_ms as f64 / expected_ms as f64;
        self.ratio += step_of(self.rated, weight) * (ratio - self.ratio);
    }

    /// Returns how long a request will probably run, given what its sender expects: zero if that
    /// is not known.
    pub(crate) fn work_ms(&self, expected_ms: u64) -> u64 {
        let work_ms = match expected_ms {
            0 => self.mean_ms,
            _ if self.rated < FIRST_RUNS / 2 => expected_ms as f64,
            _ => expected_ms as f64 * self.ratio,
        };
        (work_ms as u64).max(1)
    }

    /// Returns the mean run time, or zero before the first run.
    pub(crate) fn mean_ms(&self) -> u64 {
        self.mean_ms as u64
    }
}

fn step_of(count: u32, weight: f64) -> f64 {
    weight.max(1.0 / f64::from(count.min(FIRST_RUNS)))
}
