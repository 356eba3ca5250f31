//! Shares the slots of models and services among the VMs and passes this VM's share to the gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::Hash;
use std::sync::Arc;

use apricotdale_admission::SlotReport;
use apricotdale_admission::SlotView;
use apricotdale_admission::vm_slots;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::serving::Directory;
use apricotdale_gateway::Gateway;
use apricotdale_gateway::service_target;
use apricotdale_membership::View;

use super::fleet::ASSUMED_SLOTS;
use crate::demand::DemandTable;
use crate::directory::NodeDirectory;
use crate::engine_reports::KnownReport;
use crate::engine_reports::ReportTable;

/// Age up to which a load report is used to find the slots that other VMs leave unused.
const MAX_REPORT_AGE_MS: u64 = 5_000;

/// Concurrent requests assumed to be served by one instance of a plain service.
const SERVICE_SLOTS: u32 = 64;

/// Passes changes of this VM's slots to the gateway.
pub struct CapacityUpdater {
    directory: Arc<NodeDirectory>,
    reports: Arc<ReportTable>,
    demand: Arc<DemandTable>,
    gateway: Arc<Gateway>,
    passed: BTreeMap<ModelName, (u32, Option<u64>)>,
}

impl CapacityUpdater {
    /// Returns an updater that has passed nothing to the gateway yet.
    pub fn new(
        directory: Arc<NodeDirectory>,
        reports: Arc<ReportTable>,
        demand: Arc<DemandTable>,
        gateway: Arc<Gateway>,
    ) -> Self {
        Self {
            directory,
            reports,
            demand,
            gateway,
            passed: BTreeMap::new(),
        }
    }

    /// Passes changes of the slots of `wanted` models, of those passed before, and of all services.
    /// `ready_at_ms` gives the time at which a model without replicas is expected to have one.
    pub fn update(
        &mut self,
        now_ms: u64,
        view: &View,
        wanted: &[ModelName],
        ready_at_ms: &BTreeMap<ModelName, u64>,
    ) {
        let started = self.demand.local_running();
        let known = self.passed.keys().filter(|target| self.is_model(target));
        let models: BTreeSet<ModelName> = wanted.iter().chain(known).cloned().collect();
        for model in models {
            let local_running = started.get(&model).copied().unwrap_or_default();
            let slots = self.model_slots(&model, view, local_running, now_ms);
            let ready = ready_at_ms.get(&model).copied().filter(|_| slots == 0);
            self.pass_if_changed(model, slots, ready);
        }
        for service in self.services() {
            let instances = self.directory.instances(&service).len();
            let total = u32::try_from(instances)
                .unwrap_or(u32::MAX)
                .saturating_mul(SERVICE_SLOTS);
            self.pass_if_changed(
                service_target(&service),
                local_slots(total, None, &service, view),
                None,
            );
        }
    }

    fn is_model(&self, target: &ModelName) -> bool {
        self.directory
            .replayed
            .read(|state| state.config().model(target).is_some())
    }

    fn services(&self) -> Vec<GroupName> {
        self.directory.replayed.read(|state| {
            state
                .config()
                .services()
                .map(|service| service.service)
                .collect()
        })
    }

    fn model_slots(&self, model: &ModelName, view: &View, local_running: u32, now_ms: u64) -> u32 {
        let replicas = self.directory.replicas(model);
        let known: Vec<Option<KnownReport>> = replicas
            .iter()
            .map(|replica| self.reports.report(&replica.upstream))
            .collect();
        let slots = |known: &Option<KnownReport>| {
            known
                .as_ref()
                .map_or(ASSUMED_SLOTS, |known| known.report.slots)
        };
        let total_slots = known.iter().map(slots).sum();
        let fresh: Option<Vec<&KnownReport>> = known
            .iter()
            .map(|known| known.as_ref().filter(|known| is_fresh(known, now_ms)))
            .collect();
        let report = fresh.map(|fresh| SlotReport {
            busy: fresh
                .iter()
                .map(|known| known.report.running + known.report.waiting)
                .sum(),
            own: local_running,
        });
        local_slots(total_slots, report, model, view)
    }

    fn pass_if_changed(&mut self, target: ModelName, slots: u32, ready_at_ms: Option<u64>) {
        let capacity = (slots, ready_at_ms);
        if self.passed.get(&target) == Some(&capacity) {
            return;
        }
        self.gateway
            .set_capacity(target.clone(), slots, ready_at_ms);
        self.passed.insert(target, capacity);
    }
}

/// Returns how many requests this VM may have in progress at a model or service.
fn local_slots<K: Hash + ?Sized>(
    total_slots: u32,
    report: Option<SlotReport>,
    key: &K,
    view: &View,
) -> u32 {
    // A VM that is stopping has no rank any more; it counts as the only one.
    let (vm_rank, vm_count) = view.share_rank(key).unwrap_or((0, 1));
    vm_slots(&SlotView {
        total_slots,
        vm_rank,
        vm_count,
        report,
    })
}

fn is_fresh(known: &KnownReport, now_ms: u64) -> bool {
    now_ms.saturating_sub(known.at_ms) <= MAX_REPORT_AGE_MS
}
