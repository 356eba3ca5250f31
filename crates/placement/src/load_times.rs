//! How long a load takes, learned from the loads that were seen.

use std::collections::BTreeMap;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;

const GIGABYTE: f64 = 1e9;

/// How much a new load counts in a learned time.
const NEW_WEIGHT: f64 = 0.3;

/// How much a new load from the store counts in how slow the store is. More than in the times,
/// because a store that slows down hurts at once.
const NEW_SLOWNESS_WEIGHT: f64 = 0.5;

/// What is left of older loads in the line fitted over sizes.
const LINE_DECAY: f64 = 0.98;

/// A store this many times slower than learned is taken for slow, not for badly learned.
const MOST_SLOWNESS: f64 = 50.0;

/// `LoadTimes` predicts how long a load takes from its tier, its size and the store's state.
#[derive(Clone, Debug)]
pub(crate) struct LoadTimes {
    lines: BTreeMap<CacheTier, Line>,
    known_ms: BTreeMap<(ModelName, CacheTier), f64>,
    slowness: f64,
}

/// `Line` is a weighted least-squares line of load time over size.
#[derive(Clone, Copy, Debug)]
struct Line {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl Line {
    /// Returns a line that has seen two loads, of one and of twenty gigabytes, at the given speed.
    fn assumed(fixed_ms: f64, ms_per_gb: f64) -> Self {
        let mut line = Self {
            weight: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
        };
        for gigabytes in [1.0, 20.0] {
            line.note(gigabytes, fixed_ms + ms_per_gb * gigabytes);
        }
        line
    }

    fn note(&mut self, x: f64, y: f64) {
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
            slowness: 1.0,
        }
    }
}

impl LoadTimes {
    /// Notes how long a load took. `crowding` is by how much the store's loads slowed each other.
    pub(crate) fn note(
        &mut self,
        model: &ModelName,
        tier: CacheTier,
        bytes: u64,
        took_ms: u64,
        crowding: f64,
    ) {
        let alone_ms = match tier {
            CacheTier::Remote => took_ms as f64 / crowding.max(1.0),
            CacheTier::Memory | CacheTier::Disk => took_ms as f64,
        };
        if tier == CacheTier::Remote {
            let seen = alone_ms / self.line_ms(tier, bytes);
            let slowness = self.slowness + NEW_SLOWNESS_WEIGHT * (seen - self.slowness);
            self.slowness = slowness.clamp(1.0, MOST_SLOWNESS);
            // A slow store says nothing of how long loads take otherwise.
            if self.slowness > 1.5 {
                return;
            }
        }
        if let Some(line) = self.lines.get_mut(&tier) {
            line.note(bytes as f64 / GIGABYTE, alone_ms);
        }
        let known = self
            .known_ms
            .entry((model.clone(), tier))
            .or_insert(alone_ms);
        *known += NEW_WEIGHT * (alone_ms - *known);
    }

    /// Notes that a load from the store has been running for a time without an end.
    pub(crate) fn note_overdue(&mut self, bytes: u64, running_ms: u64, crowding: f64) {
        let alone_ms = running_ms as f64 / crowding.max(1.0);
        let seen = alone_ms / self.line_ms(CacheTier::Remote, bytes);
        self.slowness = self.slowness.max(seen.min(MOST_SLOWNESS));
    }

    fn line_ms(&self, tier: CacheTier, bytes: u64) -> f64 {
        self.lines
            .get(&tier)
            .map_or(0.0, |line| line.at(bytes as f64 / GIGABYTE))
    }

    /// Returns how long a load would take with no other load in progress.
    pub(crate) fn alone_ms(&self, model: &ModelName, tier: CacheTier, bytes: u64) -> f64 {
        let known = self.known_ms.get(&(model.clone(), tier));
        let usual_ms = known.copied().unwrap_or_else(|| self.line_ms(tier, bytes));
        match tier {
            CacheTier::Remote => usual_ms * self.slowness,
            CacheTier::Memory | CacheTier::Disk => usual_ms,
        }
    }
}
