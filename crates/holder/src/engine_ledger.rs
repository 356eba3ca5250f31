//! The lease holder's record of one engine.

use std::collections::HashMap;
use std::collections::VecDeque;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::Residence;
use apricotdale_fleet::Tier;

use crate::demand_detail::EngineKey;
use crate::orders::OrderKind;

/// Number of failed report reads in a row after which an engine counts as unreachable. One read may
/// fail because the engine or this VM is busy.
const UNREACHABLE_AFTER_FAILED_REPORTS: u32 = 2;

/// Order that an engine is carrying out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OrderInProgress {
    /// Load or unload that is carried out.
    pub kind: OrderKind,
    /// Source of the weights, for a load of a model.
    pub tier: Tier,
    /// Time at which the engine accepted the order.
    pub accepted_at_ms: u64,
    /// Configured duration of the order.
    pub configured_ms: u64,
    /// Whether the order has taken too long compared to that duration.
    pub overdue: bool,
    /// Number of times that the order counted as done too early.
    pub times_reverted: u32,
    /// Time at which the order is expected to be done.
    pub expected_done_ms: u64,
}

/// Lease holder's record of one engine: what the engine holds, which order it carries out and which
/// orders follow.
#[derive(Clone, Debug)]
pub struct EngineLedger {
    /// Name of the engine.
    pub name: UpstreamName,
    /// Identity of the engine in the details that VMs report.
    pub(crate) key: EngineKey,
    /// Lasting speed in percent of the mean.
    pub(crate) speed_percent: u32,
    /// Times at which the resident models were loaded, as far as this holder has ordered it.
    pub(crate) loaded_ms: HashMap<ModelName, u64>,
    /// Number of requests that ran on the model when its unload was sent.
    pub(crate) unload_runs: u32,
    /// Whether the last order was an unload without running requests.
    pub(crate) follows_unload: bool,
    /// What the engine holds, according to reports and accepted orders.
    pub residence: Residence,
    /// Number of orders that the engine has taken; none until a report has shown it.
    pub(crate) orders_taken: Option<u64>,
    /// Order that the engine is carrying out.
    pub(crate) in_progress: Option<OrderInProgress>,
    /// Planned orders, in sequence.
    pub(crate) next: VecDeque<OrderKind>,
    /// Order that was sent and is not answered yet.
    pub(crate) unanswered: Option<OrderKind>,
    /// Time at which to read the next report; none if no read is due.
    pub(crate) report_due_ms: Option<u64>,
    /// Time at which the report being read was requested; none if no read is in progress.
    pub(crate) report_requested_ms: Option<u64>,
    /// Last known order count, and the latest time at which the count can have reached that value.
    pub(crate) order_count_since: (u64, u64),
    /// Number of conflicts in a row.
    pub(crate) conflicts: u32,
    /// End of the pause in orders after a conflict.
    pub(crate) conflict_pause_until_ms: u64,
    /// Whether that pause was in effect when the current planning round began.
    pub(crate) in_conflict_pause: bool,
    /// Time at which a report was last requested because a VM did not know what the engine holds.
    pub(crate) probed_at_ms: u64,
    /// Adapters that the last report showed as being loaded, with their base models. They occupy
    /// slots and can't be evicted.
    pub(crate) loading_adapters: Vec<(ModelName, ModelName)>,
    /// Whether the engine has seen a higher fencing token, which means that another VM gives
    /// orders.
    pub(crate) superseded: bool,
    /// Number of failed report reads in a row.
    pub(crate) failed_reports: u32,
    /// Whether the engine accepts new requests.
    pub(crate) serving: bool,
    /// Whether requests and calls from this VM show that it can't reach the engine.
    pub(crate) unreachable: bool,
    /// Whether the engine states a rate limit, so that it is neither given more work nor relied on
    /// for its models.
    pub(crate) limited: bool,
    /// Whether the engine has announced that it leaves.
    pub(crate) leaving: bool,
    /// Last load that counted as done without a report; none once a report has confirmed it.
    pub(crate) unconfirmed: Option<OrderInProgress>,
    /// Ratio of the actual to the configured duration of the engine's loads, at least 1.
    pub(crate) load_factor: f64,
    /// Adapters with their base models, least recently used first.
    pub(crate) adapter_uses: Vec<(ModelName, ModelName)>,
}

impl EngineLedger {
    /// Returns the state of an engine of which only the entry in the VM list is known.
    pub fn new(name: UpstreamName, residence: Residence) -> Self {
        Self {
            key: EngineKey::of(&name),
            name,
            speed_percent: 100,
            loaded_ms: HashMap::new(),
            unload_runs: 0,
            follows_unload: false,
            residence,
            orders_taken: None,
            in_progress: None,
            next: VecDeque::new(),
            unanswered: None,
            report_due_ms: Some(0),
            report_requested_ms: None,
            order_count_since: (0, 0),
            conflicts: 0,
            conflict_pause_until_ms: 0,
            in_conflict_pause: false,
            probed_at_ms: 0,
            loading_adapters: Vec::new(),
            superseded: false,
            failed_reports: 0,
            serving: true,
            unreachable: false,
            limited: false,
            leaving: false,
            unconfirmed: None,
            load_factor: 1.0,
            adapter_uses: Vec::new(),
        }
    }

    /// Records when the load of a model has ended.
    pub(crate) fn record_load_end(&mut self, now_ms: u64, kind: &OrderKind) {
        if is_load(kind) {
            let residence = &self.residence;
            self.loaded_ms
                .retain(|model, _| residence.model(model).is_some());
            self.loaded_ms.insert(kind.model().clone(), now_ms);
        }
    }

    /// Returns whether new orders for models can be planned for the engine.
    pub(crate) fn is_idle(&self) -> bool {
        self.takes_orders() && self.next.is_empty()
    }

    /// Returns whether the engine can be sent an order now.
    pub(crate) fn takes_orders(&self) -> bool {
        self.serving
            && !self.superseded
            && !self.in_conflict_pause
            && self.orders_taken.is_some()
            && self.in_progress.is_none()
            && self.unanswered.is_none()
    }

    /// Returns whether the engine is assumed to be running and reachable. A crashed engine carries
    /// out nothing, although it may stay listed for a long time.
    pub(crate) fn is_reachable(&self) -> bool {
        !self.unreachable && self.failed_reports < UNREACHABLE_AFTER_FAILED_REPORTS
    }

    /// Returns whether a load of this model is in progress or planned on the engine.
    pub(crate) fn will_load(&self, model: &ModelName) -> bool {
        self.loading_models().any(|loading| loading == model)
    }

    /// Returns the models whose load is in progress or planned on the engine, possibly with
    /// duplicates.
    pub(crate) fn loading_models(&self) -> impl Iterator<Item = &ModelName> {
        self.orders()
            .filter(|kind| is_load(kind))
            .map(OrderKind::model)
    }

    /// Returns the model whose load the engine has been sent and has not completed.
    pub(crate) fn loading(&self) -> Option<&ModelName> {
        let in_progress = self.in_progress.iter().chain(&self.unconfirmed);
        let kinds = in_progress.map(|order| &order.kind).chain(&self.unanswered);
        let mut loads = kinds.filter(|kind| is_load(kind));
        loads.next().map(OrderKind::model)
    }

    /// Returns the orders that are in progress, unanswered or planned.
    fn orders(&self) -> impl Iterator<Item = &OrderKind> {
        let in_progress = self.in_progress.iter().map(|order| &order.kind);
        in_progress.chain(&self.unanswered).chain(&self.next)
    }

    /// Returns whether an unload of this model is in progress or planned on the engine.
    pub(crate) fn will_unload(&self, model: &ModelName) -> bool {
        self.orders()
            .any(|kind| matches!(kind, OrderKind::UnloadModel(dropped) if dropped == model))
    }

    /// Returns whether a load from the weight store is in progress or planned on the engine.
    pub(crate) fn loads_from_store(&self) -> bool {
        let mut planned = self.next.iter().chain(&self.unanswered);
        self.is_reachable()
            && (self.awaits_report()
                || planned
                    .any(|kind| is_load(kind) && self.residence.tier(kind.model()) == Tier::Store))
    }

    /// Returns the memory that resident models and adapters occupy. Those being unloaded count
    /// until they are gone.
    fn resident_mb(&self, spec: &EngineSpec) -> f64 {
        self.residence
            .models
            .iter()
            .map(|resident| {
                let model = spec.models.get(&resident.model);
                let size_mb = model.map_or(spec.memory_mb, |model| model.size_mb);
                let adapter_mb = model.map_or(0.0, |model| model.adapter_mb);
                size_mb + adapter_mb * resident.adapters.len() as f64
            })
            .sum()
    }

    /// Returns the memory that models and adapters occupy, including loads in progress or planned.
    pub(crate) fn used_mb(&self, spec: &EngineSpec) -> f64 {
        let loading_mb: f64 = self
            .in_progress
            .iter()
            .map(|order| &order.kind)
            .chain(&self.unanswered)
            .chain(&self.next)
            .filter(|kind| is_load(kind) && self.residence.model(kind.model()).is_none())
            .filter_map(|kind| spec.models.get(kind.model()))
            .map(|model| model.size_mb)
            .sum();
        self.resident_mb(spec) + loading_mb
    }

    /// Returns whether a model's weights fit into memory beside the resident models and adapters.
    pub(crate) fn fits(&self, spec: &EngineSpec, model: &ModelName) -> bool {
        let size_mb = spec
            .models
            .get(model)
            .map_or(f64::INFINITY, |model| model.size_mb);
        self.resident_mb(spec) + size_mb <= spec.memory_mb
    }

    /// Returns the memory that is neither occupied nor reserved.
    pub(crate) fn free_mb(&self, spec: &EngineSpec) -> f64 {
        spec.memory_mb - self.used_mb(spec) - self.adapter_reserve_mb(spec)
    }

    /// Returns the memory reserved for adapters of the resident models: the largest adapter size
    /// for each free adapter slot. Without the reserve, a later adapter order would overcommit the
    /// engine, which then crashes.
    fn adapter_reserve_mb(&self, spec: &EngineSpec) -> f64 {
        let largest_mb = self
            .residence
            .models
            .iter()
            .filter_map(|resident| spec.models.get(&resident.model))
            .filter(|model| model.adapters > 0)
            .map(|model| model.adapter_mb)
            .fold(0.0, f64::max);
        let free_slots = (spec.adapter_slots as usize).saturating_sub(self.residence.adapters());
        largest_mb * free_slots as f64
    }

    /// Marks an adapter as the most recently used, for the choice of the adapter to evict.
    pub(crate) fn record_adapter_use(&mut self, model: &ModelName, adapter: &ModelName) {
        let used = (model.clone(), adapter.clone());
        self.adapter_uses.retain(|other| other != &used);
        self.adapter_uses.push(used);
    }
}

pub(crate) fn is_load(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::LoadModel(_))
}
