//! Demand and capacity of one service over all VMs, as the lease holder hears of them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use apricotdale_core::names::VmName;

use crate::rank_shares::ALL_PERMILLE;
use crate::rank_shares::RankShare;
use crate::rank_shares::RankShares;
use crate::rank_shares::divide;
use crate::rank_shares::permille;

/// Age above which a VM's report no longer counts.
const REPORT_TTL_MS: u64 = 1_000;

/// Time for which a new holder listens before it computes shares. VMs report every 200 to 700 ms.
const LISTEN_MS: u64 = 1_000;

/// Pressure below which nothing is refused.
const FREE_PRESSURE_PERMILLE: u32 = 900;

/// Time in which the pressure has to stay low before nothing is refused any more. Reports lag by up
/// to this time; without it, a short dip would admit a second of the whole demand.
const PEAK_WINDOW_MS: u64 = 1_000;

/// Time constant of the moving average of arrivals. Shares are divided by the average of each rank
/// and are not averaged themselves: while they changed, less urgent ranks would overtake.
const ARRIVALS_WINDOW_MS: f64 = 1_000.0;

/// Pressure at which as much is admitted as the engines complete. The few waiting requests keep the
/// slots busy.
const TARGET_PRESSURE: f64 = 1.1;

/// Time in which the requests above the target pressure are worked off. Reports lag by up to 1 s and
/// heartbeats come every 400 ms; a correction faster than about three times that lag overshoots.
const CORRECTION_S: f64 = 4.0;

/// Time in which free slots are filled up to the target pressure. It is shorter, since a pressure
/// that falls below [`FREE_PRESSURE_PERMILLE`] admits the whole demand until the next report.
const FILL_S: f64 = 2.0;

/// Lower limit of the admitted part of the capacity while a backlog is worked off. It leaves the
/// most urgent rank four times the floor of the others.
const MIN_BUDGET_FACTOR: f64 = 0.5;

/// Time after its last request for which a rank is remembered.
const RANK_TTL_MS: u64 = 10_000;

/// Demand of one VM for the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmRankLoad {
    /// Demand by rank. The order does not matter.
    pub ranks: Vec<RankLoad>,
    /// Number of this VM's requests that engines are working on.
    pub in_progress: u32,
}

/// Demand of one VM for one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankLoad {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Arriving requests per second, including those that are refused.
    pub arrivals_per_s: f64,
    /// Number of requests that wait.
    pub waiting: u32,
}

/// What the engines of a service can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceCapacity {
    /// Number of slots of the engines that serve now.
    pub slots: u32,
    /// Mean time that a request occupies a slot.
    pub occupied_ms: f64,
}

#[derive(Debug)]
struct VmReport {
    at_ms: u64,
    load: VmRankLoad,
}

/// Smoothed arrivals of one rank.
#[derive(Clone, Copy, Debug)]
struct RankRate {
    arrivals_per_s: f64,
    last_seen_ms: u64,
}

/// Sum of the demand of all VMs for one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankTotal {
    arrivals_per_s: f64,
    waiting: u64,
}

/// Demand for one service over all VMs, from which the lease holder computes the shares of its
/// ranks.
#[derive(Debug, Default)]
pub struct RankPressure {
    reports: HashMap<VmName, VmReport>,
    /// Time since which there has always been a valid report.
    heard_since_ms: Option<u64>,
    rates: BTreeMap<u8, RankRate>,
    rated_ms: Option<u64>,
    /// Pressures within the last [`PEAK_WINDOW_MS`], in falling order, with their times.
    peaks: VecDeque<(u64, u32)>,
    draw: u32,
}

impl RankPressure {
    /// Records the report of a VM, which replaces its last one. A VM without requests also reports.
    pub fn record(&mut self, now_ms: u64, vm: &VmName, load: VmRankLoad) {
        self.remove_expired(now_ms);
        if self.reports.is_empty() {
            self.heard_since_ms = Some(now_ms);
        }
        let report = VmReport {
            at_ms: now_ms,
            load,
        };
        self.reports.insert(vm.clone(), report);
    }

    /// Removes the report of a VM that has left the fleet.
    pub fn forget(&mut self, vm: &VmName) {
        self.reports.remove(vm);
    }

    /// Returns the shares of the ranks; none if no VM or no capacity is known, or if the VMs have
    /// been heard for less than a second.
    pub fn shares(&mut self, now_ms: u64, capacity: ServiceCapacity) -> Option<RankShares> {
        self.remove_expired(now_ms);
        let heard_ms = now_ms.saturating_sub(self.heard_since_ms?);
        let totals = self.totals();
        self.update_rates(now_ms, &totals);
        let is_known = capacity.slots > 0 && capacity.occupied_ms > 0.0;
        if !is_known || heard_ms < LISTEN_MS {
            return None;
        }
        self.draw = self.draw.wrapping_add(1);
        let capacity_per_s = f64::from(capacity.slots) * 1_000.0 / capacity.occupied_ms;
        let waiting: u64 = totals.values().map(|total| total.waiting).sum();
        let loads = self.reports.values().map(|report| &report.load);
        let in_progress: u64 = loads.map(|load| u64::from(load.in_progress)).sum();
        let requests = (waiting + in_progress) as f64;
        let pressure = requests / f64::from(capacity.slots);
        let pressure_permille = self.peak(now_ms, (pressure * 1_000.0) as u32);

        let offered: Vec<f64> = self.rates.values().map(|it| it.arrivals_per_s).collect();
        let is_free = pressure_permille < FREE_PRESSURE_PERMILLE || offered.len() < 2;
        let room = TARGET_PRESSURE * f64::from(capacity.slots) - requests;
        let correction_s = if room > 0.0 { FILL_S } else { CORRECTION_S };
        let budget_per_s = capacity_per_s + room / correction_s;
        let budget_per_s = budget_per_s.max(MIN_BUDGET_FACTOR * capacity_per_s);
        let admitted = match is_free {
            true => offered.clone(),
            false => divide(capacity_per_s, budget_per_s, &offered),
        };
        let mut ahead = 0;
        let ranks = self.rates.iter().zip(admitted);
        let ranks = ranks.map(|((&rank, rate), admitted_per_s)| {
            ahead += totals.get(&rank).map_or(0, |total| total.waiting);
            RankShare {
                rank,
                permille: match is_free {
                    true => ALL_PERMILLE,
                    false => permille(admitted_per_s, rate.arrivals_per_s),
                },
                backlog_ms: (ahead as f64 * 1_000.0 / capacity_per_s) as u32,
            }
        });
        Some(RankShares {
            pressure_permille,
            ranks: ranks.collect(),
            draw: self.draw,
        })
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.reports
            .retain(|_, report| now_ms.saturating_sub(report.at_ms) <= REPORT_TTL_MS);
        if self.reports.is_empty() {
            self.heard_since_ms = None;
        }
    }

    fn totals(&self) -> BTreeMap<u8, RankTotal> {
        let mut totals: BTreeMap<u8, RankTotal> = BTreeMap::new();
        for load in self.reports.values().flat_map(|it| &it.load.ranks) {
            let total = totals.entry(load.rank).or_default();
            total.waiting += u64::from(load.waiting);
            // A rate that is not a number comes from a faulty sender.
            let is_rate = load.arrivals_per_s.is_finite() && load.arrivals_per_s > 0.0;
            total.arrivals_per_s += if is_rate { load.arrivals_per_s } else { 0.0 };
        }
        totals
    }

    fn update_rates(&mut self, now_ms: u64, totals: &BTreeMap<u8, RankTotal>) {
        let last_ms = self.rated_ms.replace(now_ms).unwrap_or(now_ms);
        let weight = 1.0 - (-(now_ms.saturating_sub(last_ms) as f64) / ARRIVALS_WINDOW_MS).exp();
        for (&rank, total) in totals {
            if total.waiting == 0 && total.arrivals_per_s == 0.0 {
                continue;
            }
            let first = RankRate {
                arrivals_per_s: total.arrivals_per_s,
                last_seen_ms: now_ms,
            };
            self.rates.entry(rank).or_insert(first).last_seen_ms = now_ms;
        }
        self.rates
            .retain(|_, rate| now_ms.saturating_sub(rate.last_seen_ms) <= RANK_TTL_MS);
        for (rank, rate) in &mut self.rates {
            let current = totals.get(rank).map_or(0.0, |total| total.arrivals_per_s);
            rate.arrivals_per_s += weight * (current - rate.arrivals_per_s);
        }
    }

    /// Returns the highest pressure within the last [`PEAK_WINDOW_MS`].
    fn peak(&mut self, now_ms: u64, pressure_permille: u32) -> u32 {
        while self
            .peaks
            .front()
            .is_some_and(|(at_ms, _)| now_ms.saturating_sub(*at_ms) > PEAK_WINDOW_MS)
        {
            self.peaks.pop_front();
        }
        while self
            .peaks
            .back()
            .is_some_and(|(_, lower)| *lower <= pressure_permille)
        {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now_ms, pressure_permille));
        self.peaks
            .front()
            .map_or(pressure_permille, |(_, peak)| *peak)
    }
}
