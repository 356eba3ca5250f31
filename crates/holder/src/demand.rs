//! Demand for models and adapters, summed over all VMs.

use std::collections::HashMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::WantedModel;
use serde::Deserialize;
use serde::Serialize;

use crate::demand_detail::DemandDetail;
use crate::demand_detail::EngineKey;
use crate::demand_detail::ModelKey;
use crate::learned_state::LearnedState;

/// How long a VM's counts of waiting and running requests stay valid unless the VM repeats them.
/// VMs with such requests announce their counts every 200 ms.
const REQUEST_COUNTS_TTL_MS: u64 = 1_000;

/// Time constant of the moving average of arrivals. Demand shifts within about 5 s; with 8 s the
/// rates still favoured the models that used to be active, and the mean score was 0.01 lower.
pub(crate) const RATE_WINDOW_MS: f64 = 4_000.0;

/// Time after which restored rates have decayed to less than a thousandth.
const RESTORED_RATES_TTL_MS: u64 = 30_000;

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
    /// Share of the recent answers that began after their target; 0 if none is known.
    pub late_share: f64,
    /// Most urgent rank of the answered requests; none if none is known.
    pub rank: Option<u8>,
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
    /// Requests in progress by engine and model, as of `detail_at_ms`.
    uses: HashMap<(EngineKey, ModelKey), u32>,
    detail_at_ms: u64,
    /// Answers since the process started, and late ones among them.
    answers: HashMap<ModelKey, (u32, u32)>,
}

/// Moving counts of a model's answers.
#[derive(Clone, Copy, Debug, Default)]
struct RecentAnswers {
    answered: f64,
    late: f64,
    rank: Option<u8>,
    at_ms: u64,
}

/// Demand of all VMs, as announced by each of them.
#[derive(Debug, Default)]
pub struct DemandTable {
    vms: HashMap<(VmName, u64), VmDemand>,
    rates: HashMap<WantedModel, Rate>,
    /// Rates of a former lease holder. They count where VMs have reported less.
    restored: HashMap<WantedModel, Rate>,
    restored_ms: u64,
    answers: HashMap<ModelKey, RecentAnswers>,
    /// Requests in progress over all VMs, by engine and model.
    uses: HashMap<(EngineKey, ModelKey), u32>,
    has_details: bool,
}

impl DemandTable {
    /// Records an announcement of one process of a VM. Models and adapters that `rows` does not
    /// name are unchanged.
    pub fn note(&mut self, now_ms: u64, vm: &VmName, incarnation: u64, rows: Vec<DemandRow>) {
        if now_ms.saturating_sub(self.restored_ms) > RESTORED_RATES_TTL_MS {
            self.restored.clear();
        }
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

    /// Records the details that one process of a VM reports. They replace those of its last report,
    /// except for the counts of answers that it has not repeated.
    pub fn note_detail(
        &mut self,
        now_ms: u64,
        vm: &VmName,
        incarnation: u64,
        detail: &DemandDetail,
    ) {
        self.has_details = true;
        let vm_demand = self.vms.entry((vm.clone(), incarnation)).or_default();
        vm_demand.detail_at_ms = now_ms;
        vm_demand.uses.clear();
        for it in &detail.uses {
            *vm_demand.uses.entry((it.engine, it.model)).or_default() += u32::from(it.requests);
        }
        for row in &detail.answers {
            let before = vm_demand
                .answers
                .insert(row.model, (row.answered, row.late));
            let (answered, late) = before.unwrap_or_default();
            let answered = row.answered.saturating_sub(answered);
            let late = row.late.saturating_sub(late).min(answered);
            let recent = self.answers.entry(row.model).or_default();
            *recent = recent.decayed(now_ms);
            recent.answered += f64::from(answered);
            recent.late += f64::from(late);
            recent.rank = Some(recent.rank.map_or(row.rank, |rank| rank.min(row.rank)));
        }
    }

    /// Adds up the requests in progress of all VMs, which [`Self::requests_at`] and
    /// [`Self::engine_requests`] return from then on.
    pub fn sum_uses(&mut self, now_ms: u64) {
        self.uses.clear();
        for vm in self.vms.values() {
            if now_ms.saturating_sub(vm.detail_at_ms) > REQUEST_COUNTS_TTL_MS {
                continue;
            }
            for (key, requests) in &vm.uses {
                *self.uses.entry(*key).or_default() += requests;
            }
        }
    }

    /// Returns whether VMs report details of their demand.
    pub fn has_details(&self) -> bool {
        self.has_details
    }

    /// Returns the requests in progress for a model at an engine, as last added up.
    pub fn requests_at(&self, engine: EngineKey, model: &ModelName) -> u32 {
        let key = (engine, ModelKey::of(model));
        self.uses.get(&key).copied().unwrap_or_default()
    }

    /// Returns the requests in progress by engine, as last added up.
    pub fn engine_requests(&self) -> HashMap<EngineKey, u32> {
        let mut requests: HashMap<EngineKey, u32> = HashMap::new();
        for ((engine, _), count) in &self.uses {
            *requests.entry(*engine).or_default() += count;
        }
        requests
    }

    /// Takes over the rates that a former lease holder has recorded. They decay as if their
    /// requests had arrived until now, and a model counts with the rate that VMs have reported as
    /// soon as that is higher.
    pub fn restore(&mut self, now_ms: u64, state: &LearnedState) {
        self.restored_ms = now_ms;
        let rates = state.rates().map(|(wanted, requests_per_s)| {
            let rate = Rate {
                requests_per_s,
                at_ms: now_ms,
                last_arrival_ms: now_ms,
            };
            (wanted, rate)
        });
        self.restored = rates.collect();
    }

    /// Returns the requests per second of each model and adapter.
    pub fn rates(&self, now_ms: u64) -> HashMap<WantedModel, f64> {
        let mut rates: HashMap<WantedModel, f64> = HashMap::with_capacity(self.rates.len());
        for (wanted, rate) in self.rates.iter().chain(&self.restored) {
            let requests_per_s = decayed_rate(rate, now_ms);
            match rates.get_mut(wanted) {
                Some(known) => *known = known.max(requests_per_s),
                None => {
                    rates.insert(wanted.clone(), requests_per_s);
                }
            }
        }
        rates
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
        for (wanted, rate) in &self.restored {
            let demand = totals.entry(wanted.clone()).or_default();
            demand.requests_per_s = demand.requests_per_s.max(decayed_rate(rate, now_ms));
            demand.last_arrival_ms = demand.last_arrival_ms.max(rate.last_arrival_ms);
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
        if self.has_details {
            self.add_details(now_ms, &mut totals);
        }
        totals
    }

    fn add_details(&self, now_ms: u64, totals: &mut HashMap<WantedModel, ModelDemand>) {
        for (wanted, demand) in totals {
            let model = ModelKey::of(&wanted.model);
            let recent = self.answers.get(&model).copied().unwrap_or_default();
            let recent = recent.decayed(now_ms);
            demand.late_share = recent.late / recent.answered.max(1.0);
            demand.rank = recent.rank;
        }
    }

    /// Removes the counts of a VM that has left the fleet.
    pub fn forget(&mut self, vm: &VmName) {
        self.vms.retain(|(other, _), _| other != vm);
    }
}

impl RecentAnswers {
    fn decayed(self, now_ms: u64) -> Self {
        let factor = (-(now_ms.saturating_sub(self.at_ms) as f64) / RATE_WINDOW_MS).exp();
        Self {
            answered: self.answered * factor,
            late: self.late * factor,
            rank: self.rank,
            at_ms: now_ms,
        }
    }
}

fn decayed_rate(rate: &Rate, now_ms: u64) -> f64 {
    rate.requests_per_s * (-(now_ms.saturating_sub(rate.at_ms) as f64) / RATE_WINDOW_MS).exp()
}
