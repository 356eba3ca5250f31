//! Duration of an unload without running requests, as learnt from the orders that follow it.

/// Step by which the estimate grows when an order that follows an unload conflicts with it.
const GROWTH_MS: f64 = 10.0;

/// Step by which it shrinks when the order is accepted. About one order in eleven then conflicts.
const SHRINK_MS: f64 = 1.0;

/// Upper limit of the estimate. An unload that takes longer waits for requests that nobody has reported.
const MAX_MS: f64 = 150.0;

/// Estimate of the time after which an engine takes the next order after an unload. An order that
/// comes too early is refused and costs a call; one that comes late delays the requests that wait for
/// the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnloadTime {
    min_ms: f64,
    estimate_ms: f64,
}

impl UnloadTime {
    /// Returns an estimate that never falls below `min_ms`.
    pub fn new(min_ms: u64) -> Self {
        Self {
            min_ms: min_ms as f64,
            estimate_ms: min_ms as f64,
        }
    }

    /// Returns the estimate.
    pub fn get_ms(self) -> u64 {
        self.estimate_ms as u64
    }

    /// Records whether the first order after an unload without running requests conflicted with it.
    pub fn record(&mut self, has_conflicted: bool) {
        self.estimate_ms = match has_conflicted {
            true => (self.estimate_ms + GROWTH_MS).min(MAX_MS),
            false => (self.estimate_ms - SHRINK_MS).max(self.min_ms),
        };
    }
}
