//! What the holder knows of one engine.

use std::collections::VecDeque;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::Residence;
use apricotdale_fleet::Tier;

use crate::orders::OrderKind;

/// Reports in a row that could not be had, from which on an engine counts as out of reach. One may
/// be late where the engine or this VM is busy.
const FAILED_REPORTS: u32 = 2;

/// An order that an engine carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InProgress {
    /// What it is.
    pub kind: OrderKind,
    /// Where the weights come from, for a load of a model.
    pub tier: Tier,
    /// When it was accepted.
    pub since_ms: u64,
    /// How long it takes by the configuration.
    pub configured_ms: u64,
    /// Whether it has taken clearly longer.
    pub overdue: bool,
    /// How often it was taken as done too early.
    pub taken_back: u32,
    /// When it is expected to be done.
    pub done_ms: u64,
}

/// `EngineLedger` is what the holder knows of one engine: what it holds, what it was told to do and
/// what it will be told next.
#[derive(Clone, Debug)]
pub struct EngineLedger {
    /// The engine.
    pub name: UpstreamName,
    /// What it holds, as far as reports and accepted orders tell.
    pub residence: Residence,
    /// How many orders it has taken; none until a report told.
    pub(crate) orders_taken: Option<u64>,
    /// The order that it carries out.
    pub(crate) in_progress: Option<InProgress>,
    /// Orders that follow, in order.
    pub(crate) next: VecDeque<OrderKind>,
    /// Whether an order's answer is awaited.
    pub(crate) awaiting: Option<OrderKind>,
    /// When its report is to be read next.
    pub(crate) report_due_ms: Option<u64>,
    /// When the report that is awaited was asked for.
    pub(crate) reading_since_ms: Option<u64>,
    /// How many orders it had taken when that was last learned, and since when it has been so at
    /// the latest.
    pub(crate) count_since: (u64, u64),
    /// Conflicts in a row.
    pub(crate) conflicts: u32,
    /// Until when it is told nothing after a conflict.
    pub(crate) hold_until_ms: u64,
    /// Whether it is told nothing now for that reason.
    pub(crate) on_hold: bool,
    /// When its report was last read because VMs miss what it holds.
    pub(crate) looked_at_ms: u64,
    /// Adapters that were on their way in its last report. They take places and can't give way.
    pub(crate) coming: Vec<(ModelName, ModelName)>,
    /// Whether it has seen a higher fencing token: another VM gives orders.
    pub(crate) outranked: bool,
    /// Consecutive reports that failed.
    pub(crate) failed_reports: u32,
    /// Whether it takes new work.
    pub(crate) serving: bool,
    /// Whether this VM can't reach it now, as far as requests and calls to it tell.
    pub(crate) unreachable: bool,
    /// Whether it said that it leaves.
    pub(crate) leaving: bool,
    /// The load that was last taken as done, until a report confirms it.
    pub(crate) unconfirmed: Option<InProgress>,
    /// How much longer than configured its loads take.
    pub(crate) load_factor: f64,
    /// Adapters in the order of their last use, the latest last.
    pub(crate) adapter_uses: Vec<(ModelName, ModelName)>,
}

impl EngineLedger {
    /// Returns the ledger of an engine of which nothing but its list entry is known.
    pub fn new(name: UpstreamName, residence: Residence) -> Self {
        Self {
            name,
            residence,
            orders_taken: None,
            in_progress: None,
            next: VecDeque::new(),
            awaiting: None,
            report_due_ms: Some(0),
            reading_since_ms: None,
            count_since: (0, 0),
            conflicts: 0,
            hold_until_ms: 0,
            on_hold: false,
            looked_at_ms: 0,
            coming: Vec::new(),
            outranked: false,
            failed_reports: 0,
            serving: true,
            unreachable: false,
            leaving: false,
            unconfirmed: None,
            load_factor: 1.0,
            adapter_uses: Vec::new(),
        }
    }

    /// Returns whether the engine can be told something new about its models.
    pub(crate) fn is_idle(&self) -> bool {
        self.takes_orders() && self.next.is_empty()
    }

    /// Returns whether an order can be given now.
    pub(crate) fn takes_orders(&self) -> bool {
        self.serving
            && !self.outranked
            && !self.on_hold
            && self.orders_taken.is_some()
            && self.in_progress.is_none()
            && self.awaiting.is_none()
    }

    /// Returns whether it is believed to carry out what it was told. What an engine was about that
    /// has ended is lost, though the engine may be listed for long.
    pub(crate) fn is_reached(&self) -> bool {
        !self.unreachable && self.failed_reports < FAILED_REPORTS
    }

    /// Returns whether a load of this model is in progress or planned here.
    pub(crate) fn will_hold(&self, model: &ModelName) -> bool {
        self.coming_models().any(|coming| coming == model)
    }

    /// Returns the models whose load is in progress or planned here. One may be named more than
    /// once.
    pub(crate) fn coming_models(&self) -> impl Iterator<Item = &ModelName> {
        self.orders()
            .filter(|kind| is_load(kind))
            .map(OrderKind::model)
    }

    /// Returns the model that it was told to load and has not loaded yet.
    pub(crate) fn loading(&self) -> Option<&ModelName> {
        let in_progress = self.in_progress.iter().chain(&self.unconfirmed);
        let kinds = in_progress.map(|order| &order.kind).chain(&self.awaiting);
        let mut loads = kinds.filter(|kind| is_load(kind));
        loads.next().map(OrderKind::model)
    }

    /// Returns the orders that are in progress, awaited or planned.
    fn orders(&self) -> impl Iterator<Item = &OrderKind> {
        let in_progress = self.in_progress.iter().map(|order| &order.kind);
        in_progress.chain(&self.awaiting).chain(&self.next)
    }

    /// Returns whether an unload of this model is in progress or planned here.
    pub(crate) fn will_drop(&self, model: &ModelName) -> bool {
        self.orders()
            .any(|kind| matches!(kind, OrderKind::UnloadModel(dropped) if dropped == model))
    }

    /// Returns whether a load from the weight store is in progress or planned here.
    pub(crate) fn loads_from_store(&self) -> bool {
        let mut planned = self.next.iter().chain(&self.awaiting);
        self.is_reached()
            && (self.awaits_report()
                || planned
                    .any(|kind| is_load(kind) && self.residence.tier(kind.model()) == Tier::Store))
    }

    /// Returns the memory that models and adapters take now. What is being unloaded counts until it
    /// is gone.
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

    /// Returns the memory that models and adapters take, with what is being loaded.
    pub(crate) fn used_mb(&self, spec: &EngineSpec) -> f64 {
        let coming: f64 = self
            .in_progress
            .iter()
            .map(|order| &order.kind)
            .chain(&self.awaiting)
            .chain(&self.next)
            .filter(|kind| is_load(kind) && self.residence.model(kind.model()).is_none())
            .filter_map(|kind| spec.models.get(kind.model()))
            .map(|model| model.size_mb)
            .sum();
        self.resident_mb(spec) + coming
    }

    /// Returns whether a model's weights fit beside what is here now.
    pub(crate) fn fits(&self, spec: &EngineSpec, model: &ModelName) -> bool {
        let size_mb = spec
            .models
            .get(model)
            .map_or(f64::INFINITY, |model| model.size_mb);
        self.resident_mb(spec) + size_mb <= spec.memory_mb
    }

    /// Returns the memory that is neither taken nor promised.
    pub(crate) fn free_mb(&self, spec: &EngineSpec) -> f64 {
        spec.memory_mb - self.used_mb(spec) - self.adapter_reserve_mb(spec)
    }

    /// Memory kept free for adapters of the models here: the largest adapter for each place that is
    /// not taken. Without it a later adapter order would overcommit the engine, which then crashes.
    fn adapter_reserve_mb(&self, spec: &EngineSpec) -> f64 {
        let largest_mb = self
            .residence
            .models
            .iter()
            .filter_map(|resident| spec.models.get(&resident.model))
            .filter(|model| model.adapters > 0)
            .map(|model| model.adapter_mb)
            .fold(0.0, f64::max);
        let places = (spec.adapter_slots as usize).saturating_sub(self.residence.adapters());
        largest_mb * places as f64
    }

    /// Notes that an adapter was used, for choosing which one gives way.
    pub(crate) fn note_adapter_use(&mut self, model: &ModelName, adapter: &ModelName) {
        let used = (model.clone(), adapter.clone());
        self.adapter_uses.retain(|other| other != &used);
        self.adapter_uses.push(used);
    }
}

pub(crate) fn is_load(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::LoadModel(_))
}
