//! Tells the gateway how many requests this VM may have in progress at each target.

use std::collections::BTreeMap;
use std::sync::Arc;

use apricotdale_admission::share_of_slots;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::serving::Directory;
use apricotdale_gateway::Gateway;
use apricotdale_gateway::service_target;
use apricotdale_membership::View;

use super::fleet::ASSUMED_SLOTS;
use crate::directory::NodeDirectory;
use crate::engine_reports::ReportTable;

/// How many times the slots of a target the shares of all VMs add up to. Demand is never even over
/// the VMs; the engines' own queues take the excess of one VM while another is idle.
const OVERCOMMIT: u32 = 2;

/// Calls at once that one instance of a plain service is trusted with.
const SERVICE_SLOTS: u32 = 64;

/// `CapacityFeed` tells the gateway of changes only.
pub struct CapacityFeed {
    directory: Arc<NodeDirectory>,
    reports: Arc<ReportTable>,
    gateway: Arc<Gateway>,
    told: BTreeMap<ModelName, (u32, Option<u64>)>,
}

impl CapacityFeed {
    /// Returns a feed that has told nothing yet.
    pub fn new(
        directory: Arc<NodeDirectory>,
        reports: Arc<ReportTable>,
        gateway: Arc<Gateway>,
    ) -> Self {
        Self {
            directory,
            reports,
            gateway,
            told: BTreeMap::new(),
        }
    }

    /// Tells the gateway what has changed. `ready_at_ms` gives the time at which a model without
    /// replicas is expected to have one.
    pub fn update(&mut self, view: &View, ready_at_ms: &BTreeMap<ModelName, u64>) {
        for spec in self.directory.models() {
            let slots = self.model_slots(&spec.model, view);
            let ready = ready_at_ms.get(&spec.model).copied().filter(|_| slots == 0);
            self.tell(spec.model, slots, ready);
        }
        for service in self.services() {
            let instances = self.directory.instances(&service).len();
            let total = u32::try_from(instances)
                .unwrap_or(u32::MAX)
                .saturating_mul(SERVICE_SLOTS);
            self.tell(
                service_target(&service),
                own_share(total, &service, view),
                None,
            );
        }
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

    fn model_slots(&self, model: &ModelName, view: &View) -> u32 {
        let replicas = self.directory.replicas(model);
        let slots = replicas.iter().map(|replica| {
            let known = self.reports.report(&replica.upstream);
            known.map_or(ASSUMED_SLOTS, |known| known.report.slots)
        });
        own_share(slots.sum(), model, view)
    }

    fn tell(&mut self, target: ModelName, slots: u32, ready_at_ms: Option<u64>) {
        let capacity = (slots, ready_at_ms);
        if self.told.get(&target) == Some(&capacity) {
            return;
        }
        self.gateway.capacity(target.clone(), slots, ready_at_ms);
        self.told.insert(target, capacity);
    }
}

/// Returns this VM's share of a target's slots. A target that serves at all gives every VM at least
/// one, because a request can't move to another VM.
fn own_share<K: std::hash::Hash + ?Sized>(total: u32, key: &K, view: &View) -> u32 {
    if total == 0 {
        return 0;
    }
    let share = match view.share_rank(key) {
        Some((rank, count)) => share_of_slots(total.saturating_mul(OVERCOMMIT), rank, count),
        None => total,
    };
    share.max(1)
}
