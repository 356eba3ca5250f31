//! The order of loads under the weight store's limit.

use apricotdale_core::policy::FleetView;

use crate::flights::Flights;

/// A load whose time is at most this share of the shortest of those in progress may go beyond the
/// number of loads at full speed: it slows them by little and would wait for long.
const SHORT_SHARE: f64 = 0.25;

/// Loads at once, as a multiple of those at full speed, beyond which nothing is started.
const MOST_CROWDING: u32 = 2;

/// `StoreQueue` tells when the store can take one more load.
#[derive(Debug)]
pub(crate) struct StoreQueue {
    active: u32,
    full_speed: u32,
    /// When the loads in progress are expected to end, from now, earliest first.
    ends_ms: Vec<f64>,
}

impl StoreQueue {
    /// Returns the queue as it stands. The store's own report lags, so loads that this VM knows of
    /// count even if the store does not show them yet.
    pub(crate) fn new(now_ms: u64, fleet: &FleetView, flights: &Flights) -> Self {
        let mut ends_ms: Vec<f64> = flights
            .remote()
            .map(|flight| {
                let running_ms = now_ms.saturating_sub(flight.since_ms) as f64;
                (flight.expected_ms - running_ms).max(0.0)
            })
            .collect();
        ends_ms.sort_by(f64::total_cmp);
        Self {
            active: fleet.store_active_loads.max(ends_ms.len() as u32),
            full_speed: fleet.store_full_speed_loads.max(1),
            ends_ms,
        }
    }

    /// Returns how much slower a load is that starts now, with those in progress.
    pub(crate) fn crowding(&self) -> f64 {
        (f64::from(self.active + 1) / f64::from(self.full_speed)).max(1.0)
    }

    /// Returns how long a load has to wait before it may start. Loads beyond the number at full
    /// speed only share the store's speed: each would end later, and none earlier.
    pub(crate) fn wait_ms(&self, alone_ms: f64) -> f64 {
        if self.active < self.full_speed {
            return 0.0;
        }
        let shortest_ms = self.ends_ms.first().copied().unwrap_or(f64::INFINITY);
        let is_short = alone_ms <= SHORT_SHARE * shortest_ms;
        if is_short && self.active < MOST_CROWDING * self.full_speed {
            return 0.0;
        }
        // The loads ahead end one by one; this one starts when enough of them have.
        let ahead = (self.active - self.full_speed) as usize;
        let last = self.ends_ms.len().saturating_sub(1);
        self.ends_ms
            .get(ahead.min(last))
            .copied()
            .unwrap_or(alone_ms)
    }

    /// Notes that a load starts now.
    pub(crate) fn start(&mut self, expected_ms: f64) {
        self.active += 1;
        self.wait_for(expected_ms);
    }

    /// Notes that a load will start when it is its turn, so that those after it wait longer.
    pub(crate) fn defer(&mut self, ready_ms: f64) {
        self.active += 1;
        self.wait_for(ready_ms);
    }

    fn wait_for(&mut self, end_ms: f64) {
        let place = self.ends_ms.partition_point(|other_ms| *other_ms <= end_ms);
        self.ends_ms.insert(place, end_ms);
    }
}
