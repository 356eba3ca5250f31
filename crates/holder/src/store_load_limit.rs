//! Adaptive limit on concurrent loads from the weight store.

/// Maximum number of concurrent loads, to which the limit may grow.
const MAX_LOADS: usize = 4;

/// Initial limit. On a store whose bandwidth suffices for a single load, four concurrent loads had
/// not ended after 33 s, while each takes 13 s alone.
const INITIAL_LOADS: usize = 2;

/// Initial limit where VMs report the requests by engine. Wide fleets cold-start many models, and a load
/// at half of the speed of the store is of use to nobody; the second one waits at most for the first.
const INITIAL_SHARED_LOADS: usize = 1;

/// Share by which a load may exceed its configured duration before the store counts as overloaded.
const OVERDUE_SHARE: f64 = 0.25;

/// Limit on concurrent loads that approaches the number to which the weight store gives full speed.
/// It grows by one when a load ends in time with the limit reached, and is halved when a load is
/// overdue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreLoadLimit {
    loads: usize,
}

impl Default for StoreLoadLimit {
    fn default() -> Self {
        Self {
            loads: INITIAL_LOADS,
        }
    }
}

impl StoreLoadLimit {
    /// Lowers the limit to that of a fleet whose VMs report the requests by engine.
    pub fn start_shared(&mut self) {
        self.loads = self.loads.min(INITIAL_SHARED_LOADS);
    }

    /// Returns the maximum number of concurrent loads.
    pub fn loads(self) -> usize {
        self.loads
    }

    /// Adjusts the limit after a load has ended. `at_once` is the number of concurrent loads before
    /// it ended.
    pub fn record_ended_load(&mut self, took_ms: u64, configured_ms: u64, at_once: usize) {
        if is_overdue(took_ms, configured_ms) {
            return;
        }
        if at_once >= self.loads {
            self.loads = (self.loads + 1).min(MAX_LOADS);
        }
    }

    /// Adjusts the limit after a load in progress has become overdue.
    pub fn record_overdue_load(&mut self) {
        self.loads = (self.loads / 2).max(1);
    }
}

/// Returns whether a load has taken too long compared to its configured duration.
pub(crate) fn is_overdue(took_ms: u64, configured_ms: u64) -> bool {
    took_ms as f64 > configured_ms as f64 * (1.0 + OVERDUE_SHARE)
}
