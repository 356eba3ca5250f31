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

#[derive(Clone, Debug)]
struct Told {
    row: DemandRow,
    at_ms: u64,
}

/// `DemandBook` gathers what the VMs tell.
#[derive(Debug, Default)]
pub struct DemandBook {
    told: HashMap<(VmName, u64), HashMap<WantedModel, Told>>,
    rates: HashMap<WantedModel, (f64, u64, u64)>,
}

impl DemandBook {
    /// Takes in what one run of a VM tells.
    pub fn note(&mut self, now_ms: u64, vm: &VmName, run: u64, rows: Vec<DemandRow>) {
        let told = self.told.entry((vm.clone(), run)).or_default();
        for row in rows {
            let wanted = WantedModel {
                model: row.model.clone(),
                adapter: row.adapter.clone(),
            };
            let before = told.get(&wanted).map_or(0, |told| told.row.arrived);
            let arrived = row.arrived.saturating_sub(before);
            if arrived > 0 {
                let (per_s, at_ms, last_ms) = self
                    .rates
                    .entry(wanted.clone())
                    .or_insert((0.0, now_ms, now_ms));
                *per_s =
                    decayed(*per_s, *at_ms, now_ms) + arrived as f64 * 1_000.0 / RATE_WINDOW_MS;
                *at_ms = now_ms;
                *last_ms = now_ms;
            }
            told.insert(wanted, Told { row, at_ms: now_ms });
        }
    }

    /// Returns the demand for everything that has been asked for.
    pub fn totals(&self, now_ms: u64) -> HashMap<WantedModel, ModelDemand> {
        let mut totals: HashMap<WantedModel, ModelDemand> = HashMap::new();
        for (wanted, (per_s, at_ms, last_ms)) in &self.rates {
            let demand = totals.entry(wanted.clone()).or_default();
            demand.per_s = decayed(*per_s, *at_ms, now_ms);
            demand.last_ms = *last_ms;
        }
        let fresh = self
            .told
            .values()
            .flat_map(HashMap::iter)
            .filter(|(_, told)| now_ms.saturating_sub(told.at_ms) <= WAITING_GOOD_MS);
        for (wanted, told) in fresh {
            let demand = totals.entry(wanted.clone()).or_default();
            demand.missing += told.row.missing;
            demand.crowded += told.row.crowded;
            demand.running += told.row.running;
        }
        totals
    }

    /// Forgets a VM that is gone.
    pub fn forget(&mut self, vm: &VmName) {
        self.told.retain(|(told, _), _| told != vm);
    }
}

fn decayed(per_s: f64, at_ms: u64, now_ms: u64) -> f64 {
    per_s * (-(now_ms.saturating_sub(at_ms) as f64) / RATE_WINDOW_MS).exp()
}
