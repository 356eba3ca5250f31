//! Demand for models and adapters, summed over all VMs.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::WantedModel;
use serde::Deserialize;
use serde::Serialize;

/// How long a VM's counts of waiting and running requests stay valid unless the VM repeats them.
/// VMs with such requests announce their counts every 200 ms.
const REQUEST_COUNTS_TTL_MS: u64 = 1_000;

/// Time constant of the moving average of arrivals. Demand shifts within about 5 s; with 8 s the
/// rates still favoured the models that used to be active, and the mean score was 0.01 lower.
const RATE_WINDOW_MS: f64 = 4_000.0;

/// Demand of one VM for one model, or for one adapter of that model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRow {
    /// Requested model, or the base model of the requested adapter.
    pub model: ModelName,
    /// Requested adapter; none for the model itself.
    pub adapter: Option<ModelName>,
    /// Number of requests that wait because no engine holds the model or adapter.
    pub waiting_for_load: u32,
    /// Number of requests that wait because all engines that hold it are full.
    pub waiting_for_slot: u32,
    /// Number of requests that run on engines.
    pub running: u32,
    /// Number of requests that have arrived since the VM's process started.
    pub arrived: u64,
}

/// Demand for one model or adapter, summed over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Number of requests that wait because no engine holds the model or adapter.
    pub waiting_for_load: u32,
    /// Number of requests that wait because all engines that hold it are full.
    pub waiting_for_slot: u32,
    /// Number of requests that run on engines.
    pub running: u32,
    /// Moving average of arriving requests per second.
    pub requests_per_s: f64,
    /// Time at which a request last arrived.
    pub last_arrival_ms: u64,
}

/// Requests of one process of a VM at one time.
#[derive(Clone, Copy, Debug)]
struct RequestCounts {
    waiting_for_load: u32,
    waiting_for_slot: u32,
    running: u32,
    at_ms: u64,
}

/// Arrival rate of a model or adapter at one time.
#[derive(Clone, Copy, Debug)]
struct Rate {
    requests_per_s: f64,
    at_ms: u64,
    last_arrival_ms: u64,
}

/// Demand announced by one process of a VM.
#[derive(Debug, Default)]
struct VmDemand {
    /// Number of requests for each model or adapter since the process started.
    arrived: HashMap<WantedModel, u64>,
    /// Models and adapters with waiting or running requests. Kept apart from `arrived` because it
    /// stays short, and planning iterates over it tens of times a second.
    active: HashMap<WantedModel, RequestCounts>,
}

/// Demand of all VMs, as announced by each of them.
#[derive(Debug, Default)]
pub struct DemandTable {
    vms: HashMap<(VmName, u64), VmDemand>,
    rates: HashMap<WantedModel, Rate>,
}

impl DemandTable {
    /// Records an announcement of one process of a VM. Models and adapters that `rows` does not
    /// name are unchanged.
    pub fn note(&mut self, now_ms: u64, vm: &VmName, incarnation: u64, rows: Vec<DemandRow>) {
        let vm_demand = self.vms.entry((vm.clone(), incarnation)).or_default();
        for row in rows {
            let wanted = WantedModel {
                model: row.model,
                adapter: row.adapter,
            };
            let before = vm_demand.arrived.insert(wanted.clone(), row.arrived);
            let arrived = row.arrived.saturating_sub(before.unwrap_or_default());
            if arrived > 0 {
                let rate = self.rates.entry(wanted.clone()).or_insert(Rate {
                    requests_per_s: 0.0,
                    at_ms: now_ms,
                    last_arrival_ms: now_ms,
                });
                rate.requests_per_s =
                    decayed_rate(rate, now_ms) + arrived as f64 * 1_000.0 / RATE_WINDOW_MS;
                rate.at_ms = now_ms;
                rate.last_arrival_ms = now_ms;
            }
            if row.waiting_for_load + row.waiting_for_slot + row.running == 0 {
                vm_demand.active.remove(&wanted);
                continue;
            }
            let active = RequestCounts {
                waiting_for_load: row.waiting_for_load,
                waiting_for_slot: row.waiting_for_slot,
                running: row.running,
                at_ms: now_ms,
            };
            vm_demand.active.insert(wanted, active);
        }
        vm_demand
            .active
            .retain(|_, active| now_ms.saturating_sub(active.at_ms) <= REQUEST_COUNTS_TTL_MS);
    }

    /// Returns the demand for each model and adapter that has ever been requested.
    pub fn totals(&self, now_ms: u64) -> HashMap<WantedModel, ModelDemand> {
        let mut totals: HashMap<WantedModel, ModelDemand> =
            HashMap::with_capacity(self.rates.len());
        for (wanted, rate) in &self.rates {
            let demand = ModelDemand {
                requests_per_s: decayed_rate(rate, now_ms),
                last_arrival_ms: rate.last_arrival_ms,
                ..ModelDemand::default()
            };
            totals.insert(wanted.clone(), demand);
        }
        let fresh = self
            .vms
            .values()
            .flat_map(|vm| &vm.active)
            .filter(|(_, active)| now_ms.saturating_sub(active.at_ms) <= REQUEST_COUNTS_TTL_MS);
        for (wanted, active) in fresh {
            let demand = totals.entry(wanted.clone()).or_default();
            demand.waiting_for_load += active.waiting_for_load;
            demand.waiting_for_slot += active.waiting_for_slot;
            demand.running += active.running;
        }
        totals
    }

    /// Removes the counts of a VM that has left the fleet.
    pub fn forget(&mut self, vm: &VmName) {
        self.vms.retain(|(other, _), _| other != vm);
    }
}

fn decayed_rate(rate: &Rate, now_ms: u64) -> f64 {
    rate.requests_per_s * (-(now_ms.saturating_sub(rate.at_ms) as f64) / RATE_WINDOW_MS).exp()
}
