//! Queue of loads from the weight store.

use apricotdale_core::policy::FleetView;

use crate::loads_in_progress::LoadsInProgress;

/// Maximum duration of a short load, as a share of the remaining time of the load that ends first.
/// Short loads may exceed the number of loads at full speed: they hardly slow the others down, and
/// would otherwise wait for long.
const SHORT_SHARE: f64 = 0.25;

/// Maximum number of concurrent loads, as a multiple of the number of loads at full speed.
const MAX_OVERSUBSCRIPTION: u32 = 2;

/// Predicts when the store can start another load.
#[derive(Debug)]
pub(crate) struct StoreQueue {
    active: u32,
    full_speed: u32,
    /// Expected remaining times of the loads in progress or queued, in increasing order.
    ends_ms: Vec<f64>,
}

impl StoreQueue {
    /// Returns the queue with the loads in progress. The store's own report lags, so loads that
    /// this VM knows of count even if the store does not report them yet.
    pub(crate) fn new(now_ms: u64, fleet: &FleetView, loads_in_progress: &LoadsInProgress) -> Self {
        let mut ends_ms: Vec<f64> = loads_in_progress
            .store_loads()
            .map(|load| {
                let running_ms = now_ms.saturating_sub(load.since_ms) as f64;
                (load.expected_ms - running_ms).max(0.0)
            })
            .collect();
        ends_ms.sort_by(f64::total_cmp);
        Self {
            active: fleet.store_active_loads.max(ends_ms.len() as u32),
            full_speed: fleet.store_full_speed_loads.max(1),
            ends_ms,
        }
    }

    /// Returns the factor by which a load that starts now is slowed down by those in progress.
    pub(crate) fn contention(&self) -> f64 {
        (f64::from(self.active + 1) / f64::from(self.full_speed)).max(1.0)
    }

    /// Returns how long a load has to wait before it may start. Loads beyond the number at full
    /// speed share the store's bandwidth: each would end later, and none earlier.
    pub(crate) fn wait_ms(&self, uncontended_ms: f64) -> f64 {
        if self.active < self.full_speed {
            return 0.0;
        }
        let shortest_ms = self.ends_ms.first().copied().unwrap_or(f64::INFINITY);
        let is_short = uncontended_ms <= SHORT_SHARE * shortest_ms;
        if is_short && self.active < MAX_OVERSUBSCRIPTION * self.full_speed {
            return 0.0;
        }
        // The loads ahead end one by one; this load starts when enough of them have ended.
        let ahead = (self.active - self.full_speed) as usize;
        let last = self.ends_ms.len().saturating_sub(1);
        self.ends_ms
            .get(ahead.min(last))
            .copied()
            .unwrap_or(uncontended_ms)
    }

    /// Records that a load starts now.
    pub(crate) fn start(&mut self, expected_ms: f64) {
        self.active += 1;
        self.insert_end(expected_ms);
    }

    /// Records that a load is queued, so that later ones wait longer.
    pub(crate) fn defer(&mut self, ready_ms: f64) {
        self.active += 1;
        self.insert_end(ready_ms);
    }

    fn insert_end(&mut self, end_ms: f64) {
        let index = self.ends_ms.partition_point(|other_ms| *other_ms <= end_ms);
        self.ends_ms.insert(index, end_ms);
    }
}
