//! What each class needs of a target, as measured.

use crate::options::Options;

/// `Need` measures how much work of one class is offered to one target, whether or not it is let
/// in. An arrival counts half after each half-life.
#[derive(Debug, Default)]
pub(crate) struct Need {
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
        self.arrivals = self.arrivals.saturating_add(1);
        let step = options.run_weight.max(1.0 / f64::from(self.arrivals));
        self.horizon_ms += step * (wait_ms as f64 - self.horizon_ms);
    }

    /// Returns the slots that the class needs: what is offered to it in the long run, or what its
    /// waiting work needs to be done within the time that the class can wait.
    pub(crate) fn slots(&self, now_ms: u64, waiting_work_ms: u64, options: &Options) -> f64 {
        let mean_life_ms = options.need_half_life_ms as f64 / std::f64::consts::LN_2;
        let offered = self.faded_ms(now_ms, options) / mean_life_ms.max(1.0);
        offered.max(waiting_work_ms as f64 / self.horizon_ms.max(1.0))
    }

    /// Returns how long a request of the class can usually wait.
    pub(crate) fn horizon_ms(&self) -> u64 {
        self.horizon_ms as u64
    }

    /// Returns whether a request of the class arrived lately.
    pub(crate) fn is_recent(&self, now_ms: u64, options: &Options) -> bool {
        self.arrivals > 0 && now_ms.saturating_sub(self.at_ms) < options.class_memory_ms
    }

    fn faded_ms(&self, now_ms: u64, options: &Options) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.offered_ms * 0.5_f64.powf(elapsed_ms / options.need_half_life_ms.max(1) as f64)
    }
}
