//! Prediction of load durations, learned from observed loads.

use std::collections::BTreeMap;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;

const GIGABYTE: f64 = 1e9;

/// Weight of a new observation in the average duration for a model and tier.
const NEW_LOAD_WEIGHT: f64 = 0.3;

/// Weight of a new observation in the slowdown of the store. Higher than for durations, because the
/// policy must react to a slow store at once.
const NEW_SLOWDOWN_WEIGHT: f64 = 0.5;

/// Factor by which the weights of older loads shrink in the regression when a load is added.
const LINE_DECAY: f64 = 0.98;

/// Upper limit of the estimated slowdown of the store.
const MAX_STORE_SLOWDOWN: f64 = 50.0;

/// Predicts the duration of a load from its tier, its size and the state of the store.
#[derive(Clone, Debug)]
pub(crate) struct LoadTimes {
    lines: BTreeMap<CacheTier, Line>,
    known_ms: BTreeMap<(ModelName, CacheTier), f64>,
    store_slowdown: f64,
}

/// Weighted least-squares regression of load duration over size.
#[derive(Clone, Copy, Debug)]
struct Line {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl Line {
    /// Returns a line fitted to two assumed loads, of 1 GB and 20 GB, at the given speed.
    fn assumed(fixed_ms: f64, ms_per_gb: f64) -> Self {
        let mut line = Self {
            weight: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
        };
        for gigabytes in [1.0, 20.0] {
            line.record(gigabytes, fixed_ms + ms_per_gb * gigabytes);
        }
        line
    }

    fn record(&mut self, x: f64, y: f64) {
        for sum in [
            &mut self.weight,
            &mut self.sum_x,
            &mut self.sum_y,
            &mut self.sum_xx,
            &mut self.sum_xy,
        ] {
            *sum *= LINE_DECAY;
        }
        self.weight += 1.0;
        self.sum_x += x;
        self.sum_y += y;
        self.sum_xx += x * x;
        self.sum_xy += x * y;
    }

    fn at(&self, x: f64) -> f64 {
        let mean_x = self.sum_x / self.weight;
        let mean_y = self.sum_y / self.weight;
        let variance = self.sum_xx / self.weight - mean_x * mean_x;
        let covariance = self.sum_xy / self.weight - mean_x * mean_y;
        let slope = if variance > 1e-9 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        (mean_y + slope * (x - mean_x)).max(1.0)
    }
}

impl Default for LoadTimes {
    fn default() -> Self {
        let lines = [
            (CacheTier::Memory, Line::assumed(500.0, 100.0)),
            (CacheTier::Disk, Line::assumed(1_000.0, 500.0)),
            (CacheTier::Remote, Line::assumed(2_000.0, 1_000.0)),
        ];
        Self {
            lines: lines.into_iter().collect(),
            known_ms: BTreeMap::new(),
            store_slowdown: 1.0,
        }
    }
}

impl LoadTimes {
    /// Records the duration of a load. `contention` is the factor by which concurrent loads from the
    /// store slowed each other down.
    pub(crate) fn record(
        &mut self,
        model: &ModelName,
        tier: CacheTier,
        bytes: u64,
        took_ms: u64,
        contention: f64,
    ) {
        let uncontended_ms = match tier {
            CacheTier::Remote => took_ms as f64 / contention.max(1.0),
            CacheTier::Memory | CacheTier::Disk => took_ms as f64,
        };
        if tier == CacheTier::Remote {
            let seen = uncontended_ms / self.line_ms(tier, bytes);
            let store_slowdown =
                self.store_slowdown + NEW_SLOWDOWN_WEIGHT * (seen - self.store_slowdown);
            self.store_slowdown = store_slowdown.clamp(1.0, MAX_STORE_SLOWDOWN);
            // Loads from a slow store say nothing about the usual duration.
            if self.store_slowdown > 1.5 {
                return;
            }
        }
        if let Some(line) = self.lines.get_mut(&tier) {
            line.record(bytes as f64 / GIGABYTE, uncontended_ms);
        }
        let known = self
            .known_ms
            .entry((model.clone(), tier))
            .or_insert(uncontended_ms);
        *known += NEW_LOAD_WEIGHT * (uncontended_ms - *known);
    }

    /// Records that a load from the store has been in progress for `running_ms` without ending.
    pub(crate) fn record_overdue(&mut self, bytes: u64, running_ms: u64, contention: f64) {
        let uncontended_ms = running_ms as f64 / contention.max(1.0);
        let seen = uncontended_ms / self.line_ms(CacheTier::Remote, bytes);
        self.store_slowdown = self.store_slowdown.max(seen.min(MAX_STORE_SLOWDOWN));
    }

    fn line_ms(&self, tier: CacheTier, bytes: u64) -> f64 {
        self.lines
            .get(&tier)
            .map_or(0.0, |line| line.at(bytes as f64 / GIGABYTE))
    }

    /// Returns the expected duration of a load with no other load in progress.
    pub(crate) fn uncontended_ms(&self, model: &ModelName, tier: CacheTier, bytes: u64) -> f64 {
        let known = self.known_ms.get(&(model.clone(), tier));
        let usual_ms = known.copied().unwrap_or_else(|| self.line_ms(tier, bytes));
        match tier {
            CacheTier::Remote => usual_ms * self.store_slowdown,
            CacheTier::Memory | CacheTier::Disk => usual_ms,
        }
    }
}
