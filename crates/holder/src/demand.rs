//! The demand of all VMs.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::WantedModel;
use serde::Deserialize;
use serde::Serialize;

/// How long what a VM told of its waiting requests is believed without being told again. VMs with
/// waiting requests tell of them every 200 ms.
const WAITING_GOOD_MS: u64 = 1_000;

/// The time over which arrivals are averaged. A shift of the demand takes about 5 s; over 8 s the
/// rates named the models that had been busy, and the mean worth was 0.01 lower.
const RATE_WINDOW_MS: f64 = 4_000.0;

/// `DemandRow` is what one VM tells of one model, or of one adapter of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRow {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<ModelName>,
    /// Requests that wait because no engine holds it.
    pub missing: u32,
    /// Requests that wait because all engines that hold it are full.
    pub crowded: u32,
    /// Requests in progress.
    pub running: u32,
    /// Requests so far, since the VM's process began.
    pub arrived: u64,
}

/// `ModelDemand` is the demand for one model or adapter, over all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Requests that wait because no engine holds it.
    pub missing: u32,
    /// Requests that wait because all engines that hold it are full.
    pub crowded: u32,
    /// Requests in progress.
    pub running: u32,
    /// Requests a second, averaged over seconds.
    pub per_s: f64,
    /// When a request last arrived.
    pub last_ms: u64,
}

/// What one run of a VM told of requests in progress, until it is told again or too old.
#[derive(Clone, Copy, Debug)]
struct Busy {
    missing: u32,
    crowded: u32,
    running: u32,
    at_ms: u64,
}

/// How often a model is asked for, as of a moment.
#[derive(Clone, Copy, Debug)]
struct Rate {
    per_s: f64,
    at_ms: u64,
    last_ms: u64,
}

/// What one run of a VM told.
#[derive(Debug, Default)]
struct VmDemand {
    /// Requests so far.
    arrived: HashMap<WantedModel, u64>,
    /// What requests are in progress for. It is short: what a VM once told is not gone through for
    /// each plan, of which there are tens a second.
    busy: HashMap<WantedModel, Busy>,
}

/// `DemandBook` gathers what the VMs tell.
#[derive(Debug, Default)]
pub struct DemandBook {
    vms: HashMap<(VmName, u64), VmDemand>,
    rates: HashMap<WantedModel, Rate>,
}

impl DemandBook {
    /// Takes in what one run of a VM tells. What it does not name is as it was.
    pub fn note(&mut self, now_ms: u64, vm: &VmName, run: u64, rows: Vec<DemandRow>) {
        let told = self.vms.entry((vm.clone(), run)).or_default();
        for row in rows {
            let wanted = WantedModel {
                model: row.model,
                adapter: row.adapter,
            };
            let before = told.arrived.insert(wanted.clone(), row.arrived);
            let arrived = row.arrived.saturating_sub(before.unwrap_or_default());
            if arrived > 0 {
                let rate = self.rates.entry(wanted.clone()).or_insert(Rate {
                    per_s: 0.0,
                    at_ms: now_ms,
                    last_ms: now_ms,
                });
                rate.per_s = decayed(rate, now_ms) + arrived as f64 * 1_000.0 / RATE_WINDOW_MS;
                rate.at_ms = now_ms;
                rate.last_ms = now_ms;
            }
            if row.missing + row.crowded + row.running == 0 {
                told.busy.remove(&wanted);
                continue;
            }
            let busy = Busy {
                missing: row.missing,
                crowded: row.crowded,
                running: row.running,
                at_ms: now_ms,
            };
            told.busy.insert(wanted, busy);
        }
        told.busy
            .retain(|_, busy| now_ms.saturating_sub(busy.at_ms) <= WAITING_GOOD_MS);
    }

    /// Returns the demand for everything that has been asked for.
    pub fn totals(&self, now_ms: u64) -> HashMap<WantedModel, ModelDemand> {
        let mut totals: HashMap<WantedModel, ModelDemand> =
            HashMap::with_capacity(self.rates.len());
        for (wanted, rate) in &self.rates {
            let demand = ModelDemand {
                per_s: decayed(rate, now_ms),
                last_ms: rate.last_ms,
                ..ModelDemand::default()
            };
            totals.insert(wanted.clone(), demand);
        }
        let fresh = self
            .vms
            .values()
            .flat_map(|vm| &vm.busy)
            .filter(|(_, busy)| now_ms.saturating_sub(busy.at_ms) <= WAITING_GOOD_MS);
        for (wanted, busy) in fresh {
            let demand = totals.entry(wanted.clone()).or_default();
            demand.missing += busy.missing;
            demand.crowded += busy.crowded;
            demand.running += busy.running;
        }
        totals
    }

    /// Forgets a VM that is gone.
    pub fn forget(&mut self, vm: &VmName) {
        self.vms.retain(|(told, _), _| told != vm);
    }
}

fn decayed(rate: &Rate, now_ms: u64) -> f64 {
    rate.per_s * (-(now_ms.saturating_sub(rate.at_ms) as f64) / RATE_WINDOW_MS).exp()
}
