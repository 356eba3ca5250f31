//! Planner that decides on orders to engines and tracks their progress.

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
use apricotdale_placement::ReplicaFactor;

use crate::actions::PlannerAction;
use crate::actions::ResidenceUpdate;
use crate::actions::residence_changes;
use crate::adapter_orders::adapter_order;
use crate::demand::DemandTable;
use crate::demand::ModelDemand;
use crate::demand_detail::EngineKey;
use crate::engine_ledger::EngineLedger;
use crate::engine_ledger::is_load;
use crate::load_crashes::LoadCrashes;
use crate::options::PlannerOptions;
use crate::order_durations::expected_ms;
use crate::order_durations::store_load_ms;
use crate::orders::EngineReport;
use crate::orders::OrderKind;
use crate::orders::OrderOutcome;
use crate::store_load_limit::StoreLoadLimit;
use crate::unload_time::UnloadTime;

/// How long a model is not loaded again after an engine failed to load it.
const FAILED_LOAD_SUSPENSION_MS: u64 = 2_000;

/// Minimum time between two report reads of an engine that are due to VMs which don't know what the
/// engine holds.
const PROBE_INTERVAL_MS: u64 = 600;

/// Planner of orders to the engines of one service, run by the lease holder. A VM that takes the
/// lease starts with a new planner, which reads a report of each engine before the first order to
/// it.
#[derive(Debug)]
pub struct Planner {
    pub(crate) options: PlannerOptions,
    service: GroupName,
    pub(crate) spec: EngineSpec,
    pub(crate) engines: Vec<EngineLedger>,
    /// Models whose loads are suspended after a failure, with the end of the suspension.
    pub(crate) suspended_loads: HashMap<ModelName, u64>,
    /// Times at which loads from the weight store were ordered, within the operators' window.
    pub(crate) store_loads_ms: Vec<u64>,
    /// Limit on concurrent loads from the weight store.
    pub(crate) store_load_limit: StoreLoadLimit,
    /// Whether the last round reached its maximum number of placements, so that more may be
    /// possible.
    pub(crate) has_more_placements: bool,
    /// Change count of the directory at the last synchronisation; none before the first.
    synced_changes: Option<u64>,
    /// Models whose load was in progress on engines that have crashed since the last round.
    crashed_loads: Vec<ModelName>,
    load_crashes: LoadCrashes,
    /// Whether VMs report the requests by engine.
    knows_uses: bool,
    unload_time: UnloadTime,
    /// Factors on the numbers of replicas, by the lateness of the models' answers.
    pub(crate) replica_factors: HashMap<ModelName, ReplicaFactor>,
    pub(crate) next_factors_ms: u64,
}

impl Planner {
    /// Returns a planner for the engines of one service.
    pub fn new(options: PlannerOptions, service: GroupName, spec: EngineSpec) -> Self {
        Self {
            options,
            service,
            spec,
            engines: Vec::new(),
            suspended_loads: HashMap::new(),
            store_loads_ms: Vec::new(),
            store_load_limit: StoreLoadLimit::default(),
            has_more_placements: false,
            synced_changes: None,
            crashed_loads: Vec::new(),
            load_crashes: LoadCrashes::default(),
            knows_uses: false,
            unload_time: UnloadTime::new(options.unload_check_ms),
            replica_factors: HashMap::new(),
            next_factors_ms: 0,
        }
    }

    /// Returns the service whose engines are planned.
    pub fn service(&self) -> &GroupName {
        &self.service
    }

    /// Returns the state of the engines.
    pub fn engines(&self) -> &[EngineLedger] {
        &self.engines
    }

    /// Synchronises the engines and the catalogue with the directory, and updates which engines are
    /// reachable.
    pub fn sync(&mut self, directory: &Directory, is_unreachable: impl Fn(&UpstreamName) -> bool) {
        // Models and copies are compared only if the directory has changed: hundreds of engines
        // with dozens of copies each take longer than everything else in a round.
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
                // Planned orders that were not sent are planned again, on this engine or another.
                engine.next.clear();
            }
        }
    }

    /// Updates which engines state a rate limit. Their models are loaded elsewhere if requested, and
    /// nothing more is loaded on them.
    pub fn set_limited(&mut self, is_limited: impl Fn(&UpstreamName) -> bool) {
        for engine in &mut self.engines {
            engine.limited = is_limited(&engine.name);
        }
    }

    /// Updates the lasting speeds of the engines, in percent of the mean.
    pub fn set_speeds(&mut self, speed_percent: impl Fn(EngineKey) -> u32) {
        for engine in &mut self.engines {
            engine.speed_percent = speed_percent(engine.key).max(1);
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
        self.crashed_loads
            .extend(crashed.filter_map(|engine| engine.loading().cloned()));
        for engine in &mut self.engines {
            // Entries announced by other VMs don't contain the cached weights.
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

    /// Runs a planning round and returns the actions to carry out now.
    pub fn plan(&mut self, now_ms: u64, demand: &DemandTable) -> Vec<PlannerAction> {
        let totals = demand.totals(now_ms);
        if demand.has_details() && !self.knows_uses {
            self.knows_uses = true;
            self.store_load_limit.start_shared();
        }
        let mut actions = Vec::new();
        for engine in &mut self.engines {
            engine.in_conflict_pause = engine.conflict_pause_until_ms > now_ms;
        }
        self.suspend_crashing_loads(now_ms);
        self.complete_due_orders(now_ms, &mut actions);
        self.request_due_reports(now_ms, &mut actions);
        self.order_adapters(&totals, &mut actions);
        self.plan_model_loads(now_ms, demand, &totals);
        self.send_next_orders(now_ms, demand, &mut actions);
        actions
    }

    /// Returns when to plan again if nothing happens before; none if there is no reason to.
    pub fn next_ms(&self) -> Option<u64> {
        if self.has_more_placements {
            return Some(0);
        }
        let done = self
            .engines
            .iter()
            .filter_map(|engine| engine.in_progress.as_ref());
        let reports = self
            .engines
            .iter()
            .filter(|engine| engine.report_requested_ms.is_none());
        let holds = self
            .engines
            .iter()
            .filter(|engine| engine.in_conflict_pause);
        done.map(|order| order.expected_done_ms)
            .chain(reports.filter_map(|engine| engine.report_due_ms))
            .chain(holds.map(|engine| engine.conflict_pause_until_ms))
            .min()
    }

    /// Returns the replicas of a model or adapter that a VM reports as missing, since that VM may
    /// not have received the updates about them.
    pub fn known_replicas(&self, wanted: &WantedModel) -> Vec<ResidenceUpdate> {
        self.engines
            .iter()
            .filter(|engine| engine.serving && !engine.limited && engine.residence.serves(wanted))
            .filter(|engine| !engine.will_unload(&wanted.model))
            .map(|engine| ResidenceUpdate {
                engine: engine.name.clone(),
                model: wanted.model.clone(),
                adapter: wanted.adapter.clone(),
                present: true,
            })
            .collect()
    }

    /// Schedules report reads of the engines that hold what a VM reports as missing. If the VM
    /// can't reach them, this one probably can't either, and will then load the model elsewhere.
    pub fn schedule_report_reads(&mut self, now_ms: u64, wanted: &WantedModel) {
        let places = self
            .engines
            .iter_mut()
            .filter(|it| !it.limited && it.residence.serves(wanted));
        for engine in places.filter(|it| it.probed_at_ms + PROBE_INTERVAL_MS <= now_ms) {
            engine.probed_at_ms = now_ms;
            engine.report_due_ms = Some(engine.report_due_ms.map_or(now_ms, |due| due.min(now_ms)));
        }
    }

    /// Handles the outcome of an order. Returns the actions to carry out.
    pub fn order_ended(
        &mut self,
        now_ms: u64,
        name: &UpstreamName,
        outcome: OrderOutcome,
    ) -> Vec<PlannerAction> {
        let mut options = self.options;
        if self.knows_uses {
            options.unload_check_ms = self.unload_time.get_ms();
        }
        let spec = &self.spec;
        let Some(engine) = self.engines.iter_mut().find(|engine| &engine.name == name) else {
            return Vec::new();
        };
        let Some(kind) = engine.unanswered.take() else {
            return Vec::new();
        };
        if std::mem::take(&mut engine.follows_unload) && kind.is_model_order() {
            match outcome {
                OrderOutcome::Accepted => self.unload_time.record(false),
                OrderOutcome::Conflict => self.unload_time.record(true),
                _ => {}
            }
        }
        let is_unload = matches!(kind, OrderKind::UnloadModel(_));
        engine.follows_unload =
            is_unload && outcome == OrderOutcome::Accepted && engine.unload_runs == 0;
        if outcome == OrderOutcome::Refused {
            self.suspended_loads
                .insert(kind.model().clone(), now_ms + FAILED_LOAD_SUSPENSION_MS);
        }
        engine
            .apply_outcome(now_ms, &options, kind, outcome, |kind, tier| {
                expected_ms(&options, spec, kind, tier)
            })
            .into_iter()
            .collect()
    }

    /// Handles a report; none means that reading the report failed. Returns the actions to carry
    /// out.
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
            engine.apply_report(now_ms, &options, report, |model| store_load_ms(spec, model));
        let actions = match effect.update {
            // This update is the only difference.
            Some(update) => vec![update],
            None => residence_changes(&engine.name, &before, &engine.residence.models),
        };
        if let Some(failed) = effect.failed {
            self.suspended_loads
                .insert(failed, now_ms + FAILED_LOAD_SUSPENSION_MS);
        }
        if let Some(ended) = &effect.ended {
            engine.record_load_end(now_ms, &ended.kind);
            self.load_crashes.clear(ended.kind.model());
        }
        if let Some(ended) = effect.ended.filter(|it| it.tier == Tier::Store) {
            let at_once = self.store_loads_in_progress() + 1;
            let took_ms = now_ms.saturating_sub(ended.accepted_at_ms);
            self.store_load_limit
                .record_ended_load(took_ms, ended.configured_ms, at_once);
        }
        actions
    }

    /// Handles an engine's rejection of a request because it does not hold the model. Returns the
    /// actions to carry out.
    pub fn record_rejection(
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
            .filter_map(|engine| engine.record_rejection(now_ms, &load, store_load_ms))
            .collect()
    }

    /// Returns the maximum number of concurrent loads from the weight store.
    pub fn store_loads_allowed(&self) -> usize {
        self.store_load_limit.loads()
    }

    /// Returns the number of loads from the weight store in progress on reachable engines.
    pub fn store_loads_in_progress(&self) -> usize {
        let reached = self.engines.iter().filter(|it| it.is_reachable());
        reached.filter(|it| it.awaits_report()).count()
    }

    /// Completes orders whose expected duration has passed. Adapters and loads from cached weights
    /// count as done then, because a request sent too early is merely rejected; a report confirms
    /// it later.
    fn complete_due_orders(&mut self, now_ms: u64, actions: &mut Vec<PlannerAction>) {
        for engine in &mut self.engines {
            if engine.awaits_report() {
                engine.probe_store_load_if_due(now_ms, &self.options, &mut self.store_load_limit);
                continue;
            }
            let Some(order) = engine
                .in_progress
                .take_if(|order| order.expected_done_ms <= now_ms)
            else {
                continue;
            };
            actions.push(engine.record_done(&order.kind));
            engine.record_load_end(now_ms, &order.kind);
            if order.kind.is_model_order() {
                engine.report_due_ms = Some(now_ms + self.options.report_lag_ms);
                engine.record_unconfirmed(order);
            }
        }
    }

    /// Suspends loads of models whose load has crashed several engines one after the other.
    fn suspend_crashing_loads(&mut self, now_ms: u64) {
        for model in std::mem::take(&mut self.crashed_loads) {
            if let Some(suspension_ms) = self.load_crashes.record_crash(now_ms, &model) {
                self.suspended_loads.insert(model, now_ms + suspension_ms);
            }
        }
    }

    fn request_due_reports(&mut self, now_ms: u64, actions: &mut Vec<PlannerAction>) {
        for engine in &mut self.engines {
            let due = engine
                .report_due_ms
                .is_some_and(|due_at_ms| due_at_ms <= now_ms);
            if due && engine.report_requested_ms.is_none() && engine.unanswered.is_none() {
                engine.report_requested_ms = Some(now_ms);
                engine.report_due_ms = None;
                actions.push(PlannerAction::Report {
                    engine: engine.name.clone(),
                });
            }
        }
    }

    fn order_adapters(
        &mut self,
        totals: &HashMap<WantedModel, ModelDemand>,
        actions: &mut Vec<PlannerAction>,
    ) {
        for (wanted, demand) in totals {
            let Some(adapter) = &wanted.adapter else {
                continue;
            };
            if demand.running + demand.waiting_for_load > 0 {
                for engine in self
                    .engines
                    .iter_mut()
                    .filter(|it| it.residence.serves(wanted))
                {
                    engine.record_adapter_use(&wanted.model, adapter);
                }
            }
            if demand.waiting_for_load == 0 {
                continue;
            }
            let order = adapter_order(&self.spec, &self.engines, totals, &wanted.model, adapter);
            if let Some((index, kind)) = order {
                send_order(&mut self.engines[index], kind, actions);
            }
        }
    }

    fn send_next_orders(
        &mut self,
        now_ms: u64,
        demand: &DemandTable,
        actions: &mut Vec<PlannerAction>,
    ) {
        for engine in &mut self.engines {
            if !engine.takes_orders() {
                continue;
            }
            match engine.next.pop_front() {
                // The engine's state may have changed since the steps were planned, because an
                // order whose answer was lost may have been carried out late. An engine that is
                // ordered to load more than fits crashes, so the steps are planned again.
                Some(OrderKind::LoadModel(model)) if !engine.fits(&self.spec, &model) => {
                    engine.next.clear();
                }
                Some(kind) => {
                    if is_load(&kind) && engine.residence.tier(kind.model()) == Tier::Store {
                        self.store_loads_ms.push(now_ms);
                    }
                    engine.unload_runs = demand.requests_at(engine.key, kind.model());
                    send_order(engine, kind, actions);
                }
                None => engine.follows_unload = false,
            }
        }
    }
}

fn send_order(engine: &mut EngineLedger, kind: OrderKind, actions: &mut Vec<PlannerAction>) {
    let Some(orders_before) = engine.orders_taken else {
        return;
    };
    if let OrderKind::UnloadModel(model) = &kind {
        // The engine rejects requests for the model from now on.
        actions.push(PlannerAction::Announce(ResidenceUpdate {
            engine: engine.name.clone(),
            model: model.clone(),
            adapter: None,
            present: false,
        }));
    }
    engine.unanswered = Some(kind.clone());
    actions.push(PlannerAction::Order {
        engine: engine.name.clone(),
        tier: is_load(&kind).then(|| engine.residence.tier(kind.model())),
        kind,
        orders_before,
    });
}
