//! Demand by rank over all VMs, from which the lease holder computes the shares of the ranks.

use std::collections::HashMap;

use apricotdale_admission::RankLoad;
use apricotdale_admission::RankPressure;
use apricotdale_admission::RankShareRow;
use apricotdale_admission::ServiceCapacity;
use apricotdale_admission::VmRankLoad;
use apricotdale_core::names::VmName;
use apricotdale_holder::ServiceUse;

/// Time that a request is assumed to occupy a slot until requests have ended.
const ASSUMED_OCCUPIED_MS: f64 = 500.0;

/// Time for which the last report of a VM is kept to compare the next one with.
const REPORT_RETENTION_MS: u64 = 10_000;

/// Number of recently ended requests over which that time is averaged.
const AVERAGED_REQUESTS: f64 = 500.0;

/// Last report of one process of a VM on one service.
#[derive(Debug)]
struct LastUse {
    incarnation: u64,
    at_ms: u64,
    arrived: HashMap<u8, u32>,
    ended: u32,
    ended_ms: u64,
}

/// Demand for one service.
#[derive(Debug, Default)]
struct ServiceDemand {
    pressure: RankPressure,
    vms: HashMap<VmName, LastUse>,
    /// Mean time that a request occupies a slot; none before the first has ended.
    occupied_ms: Option<f64>,
}

/// Demand by rank over all VMs, by the key of the service.
#[derive(Debug, Default)]
pub(crate) struct RankReports {
    services: HashMap<u32, ServiceDemand>,
}

impl RankReports {
    /// Records what one process of a VM reports on one service.
    pub fn record(&mut self, now_ms: u64, vm: &VmName, incarnation: u64, it: &ServiceUse) {
        let demand = self.services.entry(it.service).or_default();
        let arrived = it.ranks.iter().map(|rank| (rank.rank, rank.arrived));
        let report = LastUse {
            incarnation,
            at_ms: now_ms,
            arrived: arrived.collect(),
            ended: it.ended,
            ended_ms: it.ended_ms,
        };
        let before = demand.vms.insert(vm.clone(), report);
        // What a process has counted before its first report did not arrive at this moment.
        let Some(before) = before.filter(|before| before.incarnation == incarnation) else {
            return;
        };
        let passed_s = now_ms.saturating_sub(before.at_ms).max(1) as f64 / 1_000.0;
        let ranks = it.ranks.iter().map(|rank| {
            let arrived_before = before.arrived.get(&rank.rank).copied().unwrap_or_default();
            let arrived = rank.arrived.saturating_sub(arrived_before);
            RankLoad {
                rank: rank.rank,
                arrivals_per_s: f64::from(arrived) / passed_s,
                waiting: u32::from(rank.waiting),
            }
        });
        let load = VmRankLoad {
            ranks: ranks.collect(),
            in_progress: u32::from(it.in_progress),
        };
        demand.pressure.record(now_ms, vm, load);
        let ended = f64::from(it.ended.saturating_sub(before.ended));
        let ended_ms = it.ended_ms.saturating_sub(before.ended_ms) as f64;
        if ended > 0.0 {
            let weight = (ended / AVERAGED_REQUESTS).min(1.0);
            let mean_ms = demand.occupied_ms.get_or_insert(ended_ms / ended);
            *mean_ms += weight * (ended_ms / ended - *mean_ms);
        }
    }

    /// Returns the shares of the ranks of a service with this number of slots.
    pub fn shares(&mut self, now_ms: u64, service: u32, slots: u32) -> Vec<RankShareRow> {
        let Some(demand) = self.services.get_mut(&service) else {
            return Vec::new();
        };
        let capacity = ServiceCapacity {
            slots,
            occupied_ms: demand.occupied_ms.unwrap_or(ASSUMED_OCCUPIED_MS),
        };
        demand
            .vms
            .retain(|_, report| now_ms < report.at_ms + REPORT_RETENTION_MS);
        let shares = demand.pressure.shares(now_ms, capacity);
        shares.map_or_else(Vec::new, |shares| shares.rows(service))
    }
}
