//! Demand for each model: requests waiting and running at this VM, and reports of other VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use parking_lot::Mutex;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::peer::ModelDemand;
use apricotdale_core::policy::Ticket;
use apricotdale_core::serving::DemandEvent;
use apricotdale_core::serving::DemandSink;

/// Time for which another VM's report counts when no newer one comes.
const REPORT_TTL_MS: u64 = 1_500;

/// Time for which a model counts as used at this VM after its last request.
const RECENT_USE_MS: u64 = 30_000;

/// Demand for one model over all VMs, as far as it was reported to this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TotalDemand {
    /// Requests that wait for a replica, at any VM.
    pub waiting: u32,
    /// Requests that wait for a replica at this VM.
    pub waiting_locally: u32,
    /// Requests in progress, at any VM.
    pub running: u32,
    /// Shortest remaining time of a waiting request, in milliseconds; absent if none waits.
    pub tightest_ms: Option<u64>,
    /// Arrival of the oldest request that waits at this VM, on the monotonic clock.
    pub waiting_since_ms: Option<u64>,
}

#[derive(Debug)]
struct LocalRequest {
    model: ModelName,
    deadline_ms: u64,
    arrived_ms: u64,
    started: bool,
}

#[derive(Debug, Default)]
struct Tables {
    requests: BTreeMap<Ticket, LocalRequest>,
    arrived: BTreeMap<ModelName, u32>,
    remote: BTreeMap<(VmName, ModelName), (u64, ModelDemand)>,
    /// Models that had demand in the last report.
    reported: BTreeSet<ModelName>,
    last_arrival_ms: BTreeMap<ModelName, u64>,
    remote_arrivals: Vec<ModelName>,
    missing: Vec<(ModelName, UpstreamName)>,
}

/// Table of the demand for each model.
#[derive(Debug, Default)]
pub struct DemandTable {
    tables: Mutex<Tables>,
}

impl DemandTable {
    /// Returns a table without entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records another VM's report. A line without demand removes the earlier one; if it were kept,
    /// the model would be planned for as a wanted one.
    pub fn record_remote(&self, now_ms: u64, vm: &VmName, models: Vec<ModelDemand>) {
        let mut tables = self.tables.lock();
        for demand in models {
            for _ in 0..demand.arrived {
                tables.remote_arrivals.push(demand.model.clone());
            }
            let key = (vm.clone(), demand.model.clone());
            match demand.waiting + demand.running {
                0 => tables.remote.remove(&key),
                _ => tables.remote.insert(key, (now_ms, demand)),
            };
        }
    }

    /// Returns this VM's demand, one line for each model that has any, had any at the last call, or
    /// had arrivals since.
    pub fn take_report(&self, now_ms: u64) -> Vec<ModelDemand> {
        let mut tables = self.tables.lock();
        let mut report: BTreeMap<ModelName, ModelDemand> = BTreeMap::new();
        for (model, arrived) in std::mem::take(&mut tables.arrived) {
            line(&mut report, &model).arrived = arrived;
        }
        for request in tables.requests.values() {
            let line = line(&mut report, &request.model);
            if request.started {
                line.running += 1;
                continue;
            }
            line.waiting += 1;
            let left_ms = request.deadline_ms.saturating_sub(now_ms);
            line.tightest_ms = Some(line.tightest_ms.map_or(left_ms, |left| left.min(left_ms)));
        }
        // The end of a demand is reported too. Otherwise the VM that decides would count the demand
        // until the report expires, and load a model that no request waits for.
        for model in std::mem::take(&mut tables.reported) {
            line(&mut report, &model);
        }
        let lines_with_demand = report
            .values()
            .filter(|line| line.waiting + line.running > 0);
        tables.reported = lines_with_demand.map(|line| line.model.clone()).collect();
        report.into_values().collect()
    }

    /// Returns the arrivals that other VMs have reported since the last call.
    pub fn take_remote_arrivals(&self) -> Vec<ModelName> {
        std::mem::take(&mut self.tables.lock().remote_arrivals)
    }

    /// Returns the requests that this VM has in progress, by model.
    pub fn local_running(&self) -> BTreeMap<ModelName, u32> {
        let mut started = BTreeMap::new();
        let tables = self.tables.lock();
        for request in tables.requests.values().filter(|request| request.started) {
            *started.entry(request.model.clone()).or_default() += 1;
        }
        started
    }

    /// Returns the models for which a request arrived at this VM in the last 30 seconds.
    pub fn recent(&self, now_ms: u64) -> BTreeSet<ModelName> {
        let mut tables = self.tables.lock();
        tables
            .last_arrival_ms
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < RECENT_USE_MS);
        tables.last_arrival_ms.keys().cloned().collect()
    }

    /// Returns the replicas that engines have reported as not loaded since the last call.
    pub fn take_missing_replicas(&self) -> Vec<(ModelName, UpstreamName)> {
        std::mem::take(&mut self.tables.lock().missing)
    }

    /// Returns the demand over all VMs, one entry for each model.
    pub fn totals(&self, now_ms: u64) -> BTreeMap<ModelName, TotalDemand> {
        let mut tables = self.tables.lock();
        tables
            .remote
            .retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < REPORT_TTL_MS);
        let mut totals: BTreeMap<ModelName, TotalDemand> = BTreeMap::new();
        for request in tables.requests.values() {
            let total = totals.entry(request.model.clone()).or_default();
            if request.started {
                total.running += 1;
                continue;
            }
            total.waiting += 1;
            total.waiting_locally += 1;
            tighten(total, Some(request.deadline_ms.saturating_sub(now_ms)));
            let since_ms = total.waiting_since_ms.unwrap_or(request.arrived_ms);
            total.waiting_since_ms = Some(since_ms.min(request.arrived_ms));
        }
        for (at_ms, demand) in tables.remote.values() {
            let total = totals.entry(demand.model.clone()).or_default();
            total.waiting += demand.waiting;
            total.running += demand.running;
            let age_ms = now_ms.saturating_sub(*at_ms);
            tighten(
                total,
                demand
                    .tightest_ms
                    .map(|left_ms| left_ms.saturating_sub(age_ms)),
            );
        }
        totals
    }
}

fn line<'a>(
    report: &'a mut BTreeMap<ModelName, ModelDemand>,
    model: &ModelName,
) -> &'a mut ModelDemand {
    report.entry(model.clone()).or_insert_with(|| ModelDemand {
        model: model.clone(),
        arrived: 0,
        waiting: 0,
        running: 0,
        tightest_ms: None,
    })
}

fn tighten(total: &mut TotalDemand, left_ms: Option<u64>) {
    total.tightest_ms = match (total.tightest_ms, left_ms) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    };
}

/// Called with the time, on the monotonic clock, and the model of each request that arrives.
pub type ArrivalHandler = Box<dyn Fn(u64, &ModelName) + Send + Sync>;

/// Records the gateway's demand events in a [`DemandTable`] and wakes the placement loop.
pub struct DemandRecorder {
    /// Table that the events are recorded in.
    pub table: Arc<DemandTable>,
    /// Called when a model may need a load: at each arrival, and when an engine lacks a model.
    pub wake: Box<dyn Fn() + Send + Sync>,
    /// Called at each arrival, before it is recorded.
    pub arrived: ArrivalHandler,
}

impl DemandSink for DemandRecorder {
    fn note(&self, now_ms: u64, event: DemandEvent) {
        match event {
            DemandEvent::Arrived {
                ticket,
                model,
                deadline_ms,
            } => {
                (self.arrived)(now_ms, &model);
                let mut tables = self.table.tables.lock();
                *tables.arrived.entry(model.clone()).or_default() += 1;
                tables.last_arrival_ms.insert(model.clone(), now_ms);
                let request = LocalRequest {
                    model,
                    deadline_ms,
                    arrived_ms: now_ms,
                    started: false,
                };
                tables.requests.insert(ticket, request);
                drop(tables);
                (self.wake)();
            }
            DemandEvent::Started { ticket } => {
                if let Some(request) = self.table.tables.lock().requests.get_mut(&ticket) {
                    request.started = true;
                }
            }
            DemandEvent::Ended { ticket } => {
                self.table.tables.lock().requests.remove(&ticket);
            }
            DemandEvent::Missing { model, upstream } => {
                self.table.tables.lock().missing.push((model, upstream));
                (self.wake)();
            }
        }
    }
}
