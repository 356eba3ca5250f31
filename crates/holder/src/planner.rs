//! Decides on orders, and follows them.

use std::collections::HashMap;
use std::collections::HashSet;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::Directory;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::Tier;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_fleet::WantedModel;

use crate::actions::PlannerAction;
use crate::actions::ResidenceNews;
use crate::adapters::adapter_order;
use crate::demand::DemandBook;
use crate::demand::ModelDemand;
use crate::ledger::EngineLedger;
use crate::ledger::is_load;
use crate::load_crashes::LoadCrashes;
use crate::options::PlannerOptions;
use crate::orders::EngineReport;
use crate::orders::OrderKind;
use crate::orders::OrderOutcome;
use crate::store_limit::StoreLimit;

/// How long a model is not loaded again after an engine could not load it.
const HELD_BACK_MS: u64 = 2_000;

/// The time between two looks at an engine because VMs miss what it holds.
const LOOK_EVERY_MS: u64 = 600;

/// `Planner` is what the holder of the lease runs. A VM that takes the lease starts an empty one,
/// which reads a report of every engine before it gives the engine an order.
#[derive(Debug)]
pub struct Planner {
    pub(crate) options: PlannerOptions,
    service: GroupName,
    pub(crate) spec: EngineSpec,
    pub(crate) engines: Vec<EngineLedger>,
    /// Models for which a load failed, with the time until which it is not tried again.
    pub(crate) held_back: HashMap<ModelName, u64>,
    /// When loads from the weight store were ordered, within the operators' window.
    pub(crate) store_loads_ms: Vec<u64>,
    /// How many of them run at once.
    pub(crate) store_limit: StoreLimit,
    /// Whether the last round left placements for the next one.
    pub(crate) is_unfinished: bool,
    /// How many changes of the directory were taken in.
    synced_changes: Option<u64>,
    /// Models whose load was in progress at engines that ended.
    lost_loads: Vec<ModelName>,
    load_crashes: LoadCrashes,
}

impl Planner {
    /// Returns a planner for the engines of one service.
    pub fn new(options: PlannerOptions, service: GroupName, spec: EngineSpec) -> Self {
        Self {
            options,
            service,
            spec,
            engines: Vec::new(),
            held_back: HashMap::new(),
            store_loads_ms: Vec::new(),
            store_limit: StoreLimit::default(),
            is_unfinished: false,
            synced_changes: None,
            lost_loads: Vec::new(),
            load_crashes: LoadCrashes::default(),
        }
    }

    /// Returns the service whose engines it plans for.
    pub fn service(&self) -> &GroupName {
        &self.service
    }

    /// Returns what is known of the engines.
    pub fn engines(&self) -> &[EngineLedger] {
        &self.engines
    }

    /// Takes in the directory, a changed catalogue and which engines can't be reached.
    pub fn sync(&mut self, directory: &Directory, is_unreachable: impl Fn(&UpstreamName) -> bool) {
        // What engines hold is looked through only when the directory has changed: hundreds of
        // engines with dozens of copies each take longer than the rest of a round.
        if self.synced_changes != Some(directory.changes()) {
            self.synced_changes = Some(directory.changes());
            self.sync_engines(directory);
        }
        for engine in &mut self.engines {
            let is_serving = directory
                .upstream(&engine.name)
                .is_some_and(|entry| entry.phase == UpstreamPhase::Serving);
            engine.leaving |= !is_serving;
            engine.unreachable = is_unreachable(&engine.name);
            engine.serving = is_serving && !engine.unreachable;
            if !engine.serving {
                // What it was not told yet is planned anew, here or elsewhere.
                engine.next.clear();
            }
        }
    }

    fn sync_engines(&mut self, directory: &Directory) {
        let spec = directory
            .service(&self.service)
            .and_then(|service| service.engine.as_ref());
        match spec {
            Some(spec) if *spec != self.spec => self.spec = spec.clone(),
            _ => {}
        }
        let gone = self
            .engines
            .extract_if(.., |engine| directory.upstream(&engine.name).is_none());
        let crashed = gone.filter(|engine| !engine.leaving);
        self.lost_loads
            .extend(crashed.filter_map(|engine| engine.loading().cloned()));
        for engine in &mut self.engines {
            // An entry that another VM told names no copies.
            if let Some(entry) = directory
                .upstream(&engine.name)
                .filter(|entry| entry.residence.has_cached_copies())
            {
                engine
                    .residence
                    .in_memory
                    .clone_from(&entry.residence.in_memory);
                engine
                    .residence
                    .on_disk
                    .extend(entry.residence.on_disk.iter().cloned());
            }
        }
        let known: HashSet<UpstreamName> = self.engines.iter().map(|it| it.name.clone()).collect();
        for entry in directory.serving(&self.service) {
            if !known.contains(&entry.name) {
                self.engines.push(EngineLedger::new(
                    entry.name.clone(),
                    entry.residence.clone(),
                ));
            }
        }
    }

    /// Returns what to do now.
    pub fn plan(&mut self, now_ms: u64, demand: &DemandBook) -> Vec<PlannerAction> {
        let totals = demand.totals(now_ms);
        let mut actions = Vec::new();
        for engine in &mut self.engines {
            engine.on_hold = engine.hold_until_ms > now_ms;
        }
        self.hold_back_crashing_loads(now_ms);
        self.finish_orders(now_ms, &mut actions);
        self.read_reports(now_ms, &mut actions);
        self.plan_adapters(&totals, &mut actions);
        self.plan_models(now_ms, &totals);
        self.give_next(now_ms, &mut actions);
        actions
    }

    /// Returns when to plan again though nothing new was learned.
    pub fn next_ms(&self) -> Option<u64> {
        if self.is_unfinished {
            return Some(0);
        }
        let done = self
            .engines
            .iter()
            .filter_map(|engine| engine.in_progress.as_ref());
        let reports = self
            .engines
            .iter()
            .filter(|engine| engine.reading_since_ms.is_none());
        let holds = self.engines.iter().filter(|engine| engine.on_hold);
        done.map(|order| order.done_ms)
            .chain(reports.filter_map(|engine| engine.report_due_ms))
            .chain(holds.map(|engine| engine.hold_until_ms))
            .min()
    }

    /// Returns which engines can run what a VM says is missing: the VM has not heard of it.
    pub fn known_places(&self, wanted: &WantedModel) -> Vec<ResidenceNews> {
        self.engines
            .iter()
            .filter(|engine| engine.serving && engine.residence.serves(wanted))
            .filter(|engine| !engine.will_drop(&wanted.model))
            .map(|engine| ResidenceNews {
                engine: engine.name.clone(),
                model: wanted.model.clone(),
                adapter: wanted.adapter.clone(),
                present: true,
            })
            .collect()
    }

    /// Has the reports read of the engines that hold what a VM says is missing. If the VM can't
    /// reach them, this one probably can't either, and will then load the model elsewhere.
    pub fn look_at(&mut self, now_ms: u64, wanted: &WantedModel) {
        let places = self
            .engines
            .iter_mut()
            .filter(|it| it.residence.serves(wanted));
        for engine in places.filter(|it| it.looked_at_ms + LOOK_EVERY_MS <= now_ms) {
            engine.looked_at_ms = now_ms;
            engine.report_due_ms = Some(engine.report_due_ms.map_or(now_ms, |due| due.min(now_ms)));
        }
    }

    /// Takes in the outcome of an order.
    pub fn order_ended(
        &mut self,
        now_ms: u64,
        name: &UpstreamName,
        outcome: OrderOutcome,
    ) -> Vec<PlannerAction> {
        let options = self.options;
        let spec = &self.spec;
        let Some(engine) = self.engines.iter_mut().find(|engine| &engine.name == name) else {
            return Vec::new();
        };
        let Some(kind) = engine.awaiting.take() else {
            return Vec::new();
        };
        if outcome == OrderOutcome::Refused {
            self.held_back
                .insert(kind.model().clone(), now_ms + HELD_BACK_MS);
        }
        engine
            .note_outcome(now_ms, &options, kind, outcome, |kind, tier| {
                expected_ms(&options, spec, kind, tier)
            })
            .into_iter()
            .collect()
    }

    /// Takes in a report, or that none could be had.
    pub fn report_ended(
        &mut self,
        now_ms: u64,
        name: &UpstreamName,
        report: Option<EngineReport>,
    ) -> Vec<PlannerAction> {
        let options = self.options;
        let spec = &self.spec;
        let Some(engine) = self.engines.iter_mut().find(|engine| &engine.name == name) else {
            return Vec::new();
        };
        let before = engine.residence.models.clone();
        let effect =
            engine.note_report(now_ms, &options, report, |model| store_load_ms(spec, model));
        let actions = match effect.told {
            // It tells the only difference.
            Some(told) => vec![told],
            None => differences(&engine.name, &before, &engine.residence.models),
        };
        if let Some(failed) = effect.failed {
            self.held_back.insert(failed, now_ms + HELD_BACK_MS);
        }
        if let Some(ended) = &effect.ended {
            self.load_crashes.loaded(ended.kind.model());
        }
        if let Some(ended) = effect.ended.filter(|it| it.tier == Tier::Store) {
            let at_once = self.store_loads_in_progress() + 1;
            let took_ms = now_ms.saturating_sub(ended.since_ms);
            self.store_limit
                .note_ended(took_ms, ended.configured_ms, at_once);
        }
        actions
    }

    /// Takes in that an engine turned a request away because it does not hold the model.
    pub fn note_turned_away(
        &mut self,
        now_ms: u64,
        name: &UpstreamName,
        model: &ModelName,
    ) -> Vec<PlannerAction> {
        let load = OrderKind::LoadModel(model.clone());
        let store_load_ms = store_load_ms(&self.spec, model);
        self.engines
            .iter_mut()
            .filter(|engine| &engine.name == name)
            .filter_map(|engine| engine.note_turned_away(now_ms, &load, store_load_ms))
            .collect()
    }

    /// Returns how many loads from the weight store may run at once.
    pub fn store_loads_allowed(&self) -> usize {
        self.store_limit.loads()
    }

    /// Returns how many loads from the weight store are in progress at engines in reach.
    pub fn store_loads_in_progress(&self) -> usize {
        let reached = self.engines.iter().filter(|it| it.is_reached());
        reached.filter(|it| it.awaits_report()).count()
    }

    /// Orders whose time is over: an adapter and a load are taken as done, and so told, because a
    /// request that comes too early is only turned away; a report confirms it later.
    fn finish_orders(&mut self, now_ms: u64, actions: &mut Vec<PlannerAction>) {
        for engine in &mut self.engines {
            if engine.awaits_report() {
                engine.look_for_end_if_due(now_ms, &self.options, &mut self.store_limit);
                continue;
            }
            let Some(order) = engine.in_progress.take_if(|order| order.done_ms <= now_ms) else {
                continue;
            };
            actions.push(engine.note_done(&order.kind));
            if order.kind.is_of_model() {
                engine.report_due_ms = Some(now_ms + self.options.report_lag_ms);
                engine.note_unconfirmed(order);
            }
        }
    }

    /// Loads a model no more for a time under whose load engines end, one after the other.
    fn hold_back_crashing_loads(&mut self, now_ms: u64) {
        for model in std::mem::take(&mut self.lost_loads) {
            if let Some(hold_ms) = self.load_crashes.note(now_ms, &model) {
                self.held_back.insert(model, now_ms + hold_ms);
            }
        }
    }

    fn read_reports(&mut self, now_ms: u64, actions: &mut Vec<PlannerAction>) {
        for engine in &mut self.engines {
            let due = engine.report_due_ms.is_some_and(|due_ms| due_ms <= now_ms);
            if due && engine.reading_since_ms.is_none() && engine.awaiting.is_none() {
                engine.reading_since_ms = Some(now_ms);
                engine.report_due_ms = None;
                actions.push(PlannerAction::Report {
                    engine: engine.name.clone(),
                });
            }
        }
    }

    fn plan_adapters(
        &mut self,
        totals: &HashMap<WantedModel, ModelDemand>,
        actions: &mut Vec<PlannerAction>,
    ) {
        for (wanted, demand) in totals {
            let Some(adapter) = &wanted.adapter else {
                continue;
            };
            if demand.running + demand.missing > 0 {
                for engine in self
                    .engines
                    .iter_mut()
                    .filter(|it| it.residence.serves(wanted))
                {
                    engine.note_adapter_use(&wanted.model, adapter);
                }
            }
            if demand.missing == 0 {
                continue;
            }
            let order = adapter_order(&self.spec, &self.engines, totals, &wanted.model, adapter);
            if let Some((index, kind)) = order {
                give(&mut self.engines[index], kind, actions);
            }
        }
    }

    fn give_next(&mut self, now_ms: u64, actions: &mut Vec<PlannerAction>) {
        for engine in &mut self.engines {
            if !engine.takes_orders() {
                continue;
            }
            match engine.next.pop_front() {
                // What is there may have changed since the steps were planned: an order whose
                // answer was lost may have been carried out late. An engine that is told to load
                // more than it can hold crashes, so the steps are planned anew.
                Some(OrderKind::LoadModel(model)) if !engine.fits(&self.spec, &model) => {
                    engine.next.clear();
                }
                Some(kind) => {
                    if is_load(&kind) && engine.residence.tier(kind.model()) == Tier::Store {
                        self.store_loads_ms.push(now_ms);
                    }
                    give(engine, kind, actions);
                }
                None => {}
            }
        }
    }
}

fn store_load_ms(spec: &EngineSpec, model: &ModelName) -> u64 {
    spec.models
        .get(model)
        .map_or(0, |model| model.store_load_ms)
}

fn give(engine: &mut EngineLedger, kind: OrderKind, actions: &mut Vec<PlannerAction>) {
    let Some(orders_before) = engine.orders_taken else {
        return;
    };
    if let OrderKind::UnloadModel(model) = &kind {
        // Requests that are sent there from now on would be turned away.
        actions.push(PlannerAction::Tell(ResidenceNews {
            engine: engine.name.clone(),
            model: model.clone(),
            adapter: None,
            present: false,
        }));
    }
    engine.awaiting = Some(kind.clone());
    actions.push(PlannerAction::Order {
        engine: engine.name.clone(),
        kind,
        orders_before,
    });
}

/// Returns the news by which one residence becomes another.
fn differences(
    engine: &UpstreamName,
    before: &[apricotdale_fleet::ResidentModel],
    after: &[apricotdale_fleet::ResidentModel],
) -> Vec<PlannerAction> {
    let news = |model: &ModelName, present| {
        PlannerAction::Tell(ResidenceNews {
            engine: engine.clone(),
            model: model.clone(),
            adapter: None,
            present,
        })
    };
    let has = |list: &[apricotdale_fleet::ResidentModel], model: &ModelName| {
        list.iter().any(|resident| &resident.model == model)
    };
    let gone = before
        .iter()
        .filter(|it| !has(after, &it.model))
        .map(|it| news(&it.model, false));
    let came = after
        .iter()
        .filter(|it| !has(before, &it.model))
        .map(|it| news(&it.model, true));
    gone.chain(came).collect()
}

/// Returns how long an order takes by the configuration.
pub(crate) fn expected_ms(
    options: &PlannerOptions,
    spec: &EngineSpec,
    kind: &OrderKind,
    tier: Tier,
) -> u64 {
    let load_ms = |model: &ModelName| {
        spec.models
            .get(model)
            .map_or(options.report_every_ms, |model| match tier {
                Tier::Memory => model.memory_load_ms,
                Tier::Disk => model.disk_load_ms,
                Tier::Store => model.store_load_ms,
            })
    };
    match kind {
        OrderKind::LoadModel(model) => load_ms(model) + 10,
        OrderKind::UnloadModel(_) => options.unload_check_ms,
        OrderKind::LoadAdapter { .. } | OrderKind::UnloadAdapter { .. } => options.adapter_ms,
    }
}
