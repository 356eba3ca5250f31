//! What each class needs of a target, as measured.

use crate::options::Options;

/// The shortest time over which arrivals are taken to have come, so that the first one of a class
/// does not make a rate of its own.
const MIN_OBSERVED_MS: u64 = 5_000;

/// `Backlog` is the work that must be done before the last waiting request of a class starts, and
/// the time left until that has to happen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backlog {
    /// The work.
    pub(crate) work_ms: u64,
    /// The time left.
    pub(crate) left_ms: u64,
}

impl Backlog {
    /// Returns how long the work beyond a capacity takes: `rate` slots over the time left, of which
    /// the part `fill` may be filled. Returns none if there is no such work.
    pub(crate) fn excess_ms(&self, rate: f64, fill: f64) -> Option<u64> {
        let needed_ms = self.work_ms as f64 / rate.max(f64::EPSILON);
        let excess_ms = needed_ms - self.left_ms as f64 * fill;
        (excess_ms > 0.0).then(|| excess_ms.ceil() as u64)
    }
}

/// `Need` measures how much work of one class is offered to one target, whether or not it is let
/// in. An arrival counts half after each half-life.
#[derive(Debug, Default)]
pub(crate) struct Need {
    first_ms: u64,
    at_ms: u64,
    offered_ms: f64,
    horizon_ms: f64,
    arrivals: u32,
}

impl Need {
    /// Takes in an arrival with its work and the time it can wait.
    pub(crate) fn arrived(&mut self, now_ms: u64, work_ms: u64, wait_ms: u64, options: &Options) {
        self.offered_ms = self.faded_ms(now_ms, options) + work_ms as f64;
        self.at_ms = now_ms;
        if self.arrivals == 0 {
            self.first_ms = now_ms;
        }
        self.arrivals = self.arrivals.saturating_add(1);
        let step = options.run_weight.max(1.0 / f64::from(self.arrivals));
        self.horizon_ms += step * (wait_ms as f64 - self.horizon_ms);
    }

    /// Returns the slots that the class needs: what is offered to it in the long run, or what it
    /// takes to work off a backlog in the time that the backlog has left.
    pub(crate) fn slots(&self, now_ms: u64, backlog: Backlog, options: &Options) -> f64 {
        let offered = self.faded_ms(now_ms, options) / self.observed_ms(now_ms, options);
        offered.max(backlog.work_ms as f64 / backlog.left_ms.max(1) as f64)
    }

    /// Returns how long a request of the class can usually wait.
    pub(crate) fn horizon_ms(&self) -> u64 {
        self.horizon_ms as u64
    }

    /// Returns whether a request of the class arrived lately.
    pub(crate) fn is_recent(&self, now_ms: u64, options: &Options) -> bool {
        self.arrivals > 0 && now_ms.saturating_sub(self.at_ms) < options.class_memory_ms
    }

    /// Returns the time over which the arrivals count. A class that has been seen for a short time
    /// only would otherwise seem to need little, until a whole mean life has passed.
    fn observed_ms(&self, now_ms: u64, options: &Options) -> f64 {
        let half_life_ms = options.need_half_life_ms.max(1) as f64;
        let mean_life_ms = half_life_ms / std::f64::consts::LN_2;
        let age_ms = now_ms.saturating_sub(self.first_ms).max(MIN_OBSERVED_MS) as f64;
        mean_life_ms * (1.0 - 0.5_f64.powf(age_ms / half_life_ms))
    }

    fn faded_ms(&self, now_ms: u64, options: &Options) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.offered_ms * 0.5_f64.powf(elapsed_ms / options.need_half_life_ms.max(1) as f64)
    }
}
