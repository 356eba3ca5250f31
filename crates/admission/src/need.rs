//! Measured need of each class at a target.

use crate::options::Options;

/// Shortest time over which arrivals are averaged, so that the first arrival of a class does not
/// count as a high rate.
const MIN_OBSERVED_MS: u64 = 5_000;

/// Work before the start of the last waiting request of a class, and the remaining time until that
/// start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backlog {
    /// Sum of the run times of the requests before it.
    pub(crate) work_ms: u64,
    /// Remaining time until its latest start.
    pub(crate) left_ms: u64,
}

impl Backlog {
    /// Returns the time that `rate` slots need for the work beyond the capacity, of which the share
    /// `fill` may be filled, or `None` if there is no such work.
    pub(crate) fn excess_ms(&self, rate: f64, fill: f64) -> Option<u64> {
        let needed_ms = self.work_ms as f64 / rate.max(f64::EPSILON);
        let excess_ms = needed_ms - self.left_ms as f64 * fill;
        (excess_ms > 0.0).then(|| excess_ms.ceil() as u64)
    }
}

/// Measures the work of one class that arrives for one target, whether or not it is admitted. The
/// weight of an arrival decays exponentially.
#[derive(Debug, Default)]
pub(crate) struct Need {
    first_ms: u64,
    at_ms: u64,
    offered_ms: f64,
    horizon_ms: f64,
    arrivals: u32,
}

impl Need {
    /// Records an arrival with its work and the time that it can wait.
    pub(crate) fn arrived(&mut self, now_ms: u64, work_ms: u64, wait_ms: u64, options: &Options) {
        self.offered_ms = self.decayed_ms(now_ms, options) + work_ms as f64;
        self.at_ms = now_ms;
        if self.arrivals == 0 {
            self.first_ms = now_ms;
        }
        self.arrivals = self.arrivals.saturating_add(1);
        let step = options.run_weight.max(1.0 / f64::from(self.arrivals));
        self.horizon_ms += step * (wait_ms as f64 - self.horizon_ms);
    }

    /// Returns the number of slots that the class needs: for its mean arriving work, or for its
    /// backlog within the remaining time, whichever is larger.
    pub(crate) fn slots(&self, now_ms: u64, backlog: Backlog, options: &Options) -> f64 {
        let offered = self.decayed_ms(now_ms, options) / self.observed_ms(now_ms, options);
        offered.max(backlog.work_ms as f64 / backlog.left_ms.max(1) as f64)
    }

    /// Returns the mean time that a request of the class can wait.
    pub(crate) fn horizon_ms(&self) -> u64 {
        self.horizon_ms as u64
    }

    /// Returns whether a request of the class arrived within [`Options::class_ttl_ms`].
    pub(crate) fn is_recent(&self, now_ms: u64, options: &Options) -> bool {
        self.arrivals > 0 && now_ms.saturating_sub(self.at_ms) < options.class_ttl_ms
    }

    /// Returns the time over which the arrivals are averaged. It is shorter for a class that was
    /// first seen a short time ago, whose need would otherwise be underestimated for a mean
    /// lifetime.
    fn observed_ms(&self, now_ms: u64, options: &Options) -> f64 {
        let half_life_ms = options.need_half_life_ms.max(1) as f64;
        let mean_life_ms = half_life_ms / std::f64::consts::LN_2;
        let age_ms = now_ms.saturating_sub(self.first_ms).max(MIN_OBSERVED_MS) as f64;
        mean_life_ms * (1.0 - 0.5_f64.powf(age_ms / half_life_ms))
    }

    fn decayed_ms(&self, now_ms: u64, options: &Options) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.offered_ms * 0.5_f64.powf(elapsed_ms / options.need_half_life_ms.max(1) as f64)
    }
}
