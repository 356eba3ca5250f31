//! Orders to engines, which this VM sends while it holds the order lease.

mod engine_calls;
mod known_speeds;
mod order_lease;
mod rank_reports;

use std::collections::HashMap;
use std::time::Instant;

use apricotdale_admission::RankShareRow;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use apricotdale_fleet::WantedModel;
use apricotdale_holder::DemandDetail;
use apricotdale_holder::DemandRow;
use apricotdale_holder::DemandTable;
use apricotdale_holder::EngineKey;
use apricotdale_holder::LearnedState;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseOptions;
use apricotdale_holder::Planner;
use apricotdale_holder::PlannerAction;
use apricotdale_holder::PlannerOptions;
use apricotdale_holder::ResidenceUpdate;

use self::known_speeds::KnownSpeeds;
use self::rank_reports::RankReports;
use crate::daemon::Daemon;
use crate::messages::ForecastRow;
use crate::settings::Settings;

/// Time limit for an engine's answer to an order.
const ORDER_TIMEOUT_MS: u64 = 700;

/// Time limit for an engine's report.
const REPORT_TIMEOUT_MS: u64 = 500;

/// How long orders continue past the end of the lease while the store is unreachable. The longest
/// store outages in the users' deployments last 9 to 12 s.
const OUTAGE_GRACE_MS: u64 = 12_000;

/// Time limit for a store call that reads or writes the lease.
const LEASE_TIMEOUT_MS: u64 = 700;

/// Longest time between two rounds of planning. Demand that has faded raises no event, so only a
/// periodic round notices it.
const MAX_PLAN_INTERVAL_MS: u64 = 100;

/// Time between two log lines on the state of placement.
const SUMMARY_INTERVAL_MS: u64 = 5_000;

/// Minimum pause after a round of planning, as a multiple of the time that the round took. On a VM
/// with a small share of a core, the lease, callers and other VMs would otherwise wait for one
/// round after the other.
const PLAN_PAUSE_FACTOR: u64 = 2;

/// State of sending orders to engines: the lease, the demand of all VMs and the planners.
#[derive(Debug)]
pub(crate) struct EngineOrders {
    lease: Lease,
    demand: DemandTable,
    speeds: KnownSpeeds,
    rank_reports: RankReports,
    /// One planner for each engine service; empty unless this VM holds the lease.
    planners: HashMap<GroupName, Planner>,
    /// Fencing token of the lease; none unless this VM may send orders.
    fence: Option<u64>,
    next_plan_ms: u64,
    next_summary_ms: u64,
    /// When the next heartbeat with the speeds of engines is due.
    pub(crate) next_speed_rows_ms: u64,
    /// Earliest time of the next round of planning, even if events ask for one sooner.
    no_plan_before_ms: u64,
    /// Whether this VM leaves the lease to others, which reach more engines.
    abstains: bool,
}

impl EngineOrders {
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let defaults = LeaseOptions::default();
        // An engine that checks fencing tokens rejects the previous holder's orders itself, so a
        // new holder need not wait until none of them can still be in transit.
        let (pause_ms, outage_grace_ms) = match settings.engines_check_fences {
            true => (0, OUTAGE_GRACE_MS),
            false => (settings.order_pause_ms, 0),
        };
        let options = LeaseOptions {
            pause_ms,
            outage_grace_ms,
            ..defaults
        };
        Self {
            lease: Lease::new(options, settings.vm.clone(), incarnation),
            demand: DemandTable::default(),
            speeds: KnownSpeeds::default(),
            rank_reports: RankReports::default(),
            planners: HashMap::new(),
            fence: None,
            next_plan_ms: 0,
            next_summary_ms: 0,
            next_speed_rows_ms: 0,
            no_plan_before_ms: 0,
            abstains: false,
        }
    }

    /// Records the demand that a VM reports. Only the lease holder receives such reports.
    pub fn record_demand(
        &mut self,
        now_ms: u64,
        vm: &VmName,
        incarnation: u64,
        rows: Vec<DemandRow>,
    ) {
        let urgent = rows.iter().any(|row| row.waiting_for_load > 0);
        for row in rows.iter().filter(|row| row.waiting_for_load > 0) {
            let wanted = WantedModel {
                model: row.model.clone(),
                adapter: row.adapter.clone(),
            };
            for planner in self.planners.values_mut() {
                planner.schedule_report_reads(now_ms, &wanted);
            }
        }
        self.demand.note(now_ms, vm, incarnation, rows);
        if urgent {
            self.next_plan_ms = self.next_plan_ms.min(now_ms);
        }
    }

    /// Records the details of the demand that a VM reports.
    pub fn record_detail(
        &mut self,
        now_ms: u64,
        vm: &VmName,
        incarnation: u64,
        detail: &DemandDetail,
    ) {
        self.demand.note_detail(now_ms, vm, incarnation, detail);
        for pace in &detail.paces {
            self.speeds.record(now_ms, pace);
        }
        for service in &detail.services {
            self.rank_reports.record(now_ms, vm, incarnation, service);
        }
    }

    /// Returns the shares of the ranks of a service that has this number of slots.
    pub fn rank_shares(&mut self, now_ms: u64, service: u32, slots: u32) -> Vec<RankShareRow> {
        self.rank_reports.shares(now_ms, service, slots)
    }

    /// Returns an engine's lasting speed in percent of the mean; 100 if it is not known.
    pub fn speed_percent(&self, engine: EngineKey) -> u16 {
        self.speeds.percent(engine)
    }

    /// Returns what this VM has learned from reports, as it is recorded for the next lease holder.
    pub fn learned_state(&self, now_ms: u64, now_unix_ms: u64, era: u64) -> LearnedState {
        let engines = self.planners.values().flat_map(Planner::engines);
        let speeds = engines.map(|it| EngineKey::of(&it.name));
        let speeds = speeds.map(|engine| (engine, self.speed_percent(engine)));
        let speeds = speeds.filter(|(_, percent)| *percent != 100);
        let rates = self.demand.rates(now_ms);
        LearnedState::new(now_unix_ms, era, rates, speeds.collect())
    }

    /// Takes over what a former lease holder has learned. It is a hint, which reports replace.
    pub fn restore(&mut self, now_ms: u64, state: &LearnedState) {
        self.demand.restore(now_ms, state);
        self.speeds.restore(state.speeds());
    }

    /// Returns the residence updates that a VM must have missed, given that it reports these models
    /// as missing.
    pub fn missed_residence_updates(&self, rows: &[DemandRow]) -> Vec<ResidenceUpdate> {
        rows.iter()
            .filter(|row| row.waiting_for_load > 0)
            .flat_map(|row| {
                let wanted = WantedModel {
                    model: row.model.clone(),
                    adapter: row.adapter.clone(),
                };
                let planners = self.planners.values();
                planners.flat_map(move |planner| planner.known_replicas(&wanted))
            })
            .collect()
    }

    /// Records the end of the lease as announced by its holder.
    pub fn record_lease_end(&mut self, now_ms: u64, end: Position) {
        self.lease.note_end(now_ms, end, None);
    }

    /// Records that the holder has released the lease. `quiet_ms` is how long before that it sent
    /// its last order.
    pub fn record_release(&mut self, now_ms: u64, end: Position, quiet_ms: u64) {
        self.lease.note_end(now_ms, end, Some(quiet_ms));
    }

    /// Returns whether another VM's heartbeat belongs to an older lease than the newest known one.
    pub fn is_from_older_lease(&self, lease_end: Position) -> bool {
        self.lease.end().is_some_and(|end| lease_end < end)
    }

    /// Returns whether this VM may send orders.
    pub fn may_send_orders(&self) -> bool {
        self.fence.is_some()
    }

    /// Records the era of the store: how often it has been restored from an older copy.
    pub fn record_era(&mut self, now_ms: u64, era: u64) {
        self.lease.note_era(now_ms, era);
    }

    /// Returns the last known end of the lease; the zero position if none is known.
    pub fn lease_end(&self) -> Position {
        self.lease.end().unwrap_or_default()
    }

    /// Returns the end of the lease if this VM holds it.
    pub fn held_lease_end(&self, now_ms: u64) -> Option<Position> {
        self.lease.end().filter(|_| self.lease.is_held(now_ms))
    }

    /// Returns when the missing models are expected to be loaded.
    pub fn forecasts(&self, now_ms: u64) -> Vec<ForecastRow> {
        self.planners
            .values()
            .flat_map(|planner| planner.forecasts(now_ms, &self.demand))
            .map(|(model, ready_ms)| ForecastRow {
                model,
                ready_in_ms: ready_ms.map(|ready_ms| ready_ms.saturating_sub(now_ms)),
            })
            .collect()
    }

    /// Returns when the lease or the planners next need attention.
    pub fn next_ms(&self) -> u64 {
        let plan_ms = if self.fence.is_some() {
            self.next_plan_ms.max(self.no_plan_before_ms)
        } else {
            u64::MAX
        };
        match self.abstains {
            true => plan_ms,
            false => self.lease.next_ms().min(plan_ms),
        }
    }
}

impl Daemon {
    /// Renews or acquires the lease when due and, while this VM holds it, plans orders.
    pub(crate) fn advance_engine_orders(&mut self) {
        let now_ms = self.now_ms;
        let is_behind = self.paths.is_behind(now_ms);
        if std::mem::replace(&mut self.engine_orders.abstains, is_behind) != is_behind {
            log::info!(is_behind; "other VMs reach more engines");
        }
        if self.planned_stop.has_begun() || is_behind {
            // A renewal may have been in progress when the stop or the cut began.
            self.release_lease();
        } else if now_ms >= self.engine_orders.lease.next_ms() {
            let rank = self.peers.takeover_rank(now_ms);
            self.engine_orders.lease.set_takeover_rank(rank);
            if let Some(action) = self.engine_orders.lease.act(now_ms) {
                self.call_store_for_lease(&action);
            }
        }
        self.update_fence();
        let due_ms = self
            .engine_orders
            .next_plan_ms
            .max(self.engine_orders.no_plan_before_ms);
        if self.engine_orders.fence.is_some() && now_ms >= due_ms {
            self.plan();
        }
    }

    fn plan(&mut self) {
        let now_ms = self.now_ms;
        let begun = Instant::now();
        self.engine_orders.speeds.update(now_ms);
        self.sync_planners();
        self.engine_orders.demand.sum_uses(now_ms);
        let mut actions = Vec::new();
        let mut next_ms = now_ms + MAX_PLAN_INTERVAL_MS;
        for planner in self.engine_orders.planners.values_mut() {
            actions.extend(planner.plan(now_ms, &self.engine_orders.demand));
            if let Some(due_ms) = planner.next_ms() {
                next_ms = next_ms.min(due_ms);
            }
        }
        let took_ms = begun.elapsed().as_millis() as u64;
        self.metrics.planned(took_ms);
        // Reports and finished orders ask for another round immediately; this bounds them.
        self.engine_orders.no_plan_before_ms = now_ms + took_ms + took_ms * PLAN_PAUSE_FACTOR;
        self.engine_orders.next_plan_ms = next_ms.max(now_ms + 1);
        self.update_store_load_gauges();
        if now_ms >= self.engine_orders.next_summary_ms {
            self.engine_orders.next_summary_ms = now_ms + SUMMARY_INTERVAL_MS;
            self.log_placement();
        }
        self.execute_actions(actions);
    }

    /// Logs the state of placement of each service with engines.
    fn log_placement(&self) {
        for planner in self.engine_orders.planners.values() {
            let it = planner.placement_summary(self.now_ms, &self.engine_orders.demand);
            log::info!(
                service = planner.service().to_string(), serving = it.serving, idle = it.idle,
                replicas = it.replicas, surplus = it.surplus, resident = it.resident,
                requested = it.requested, missing = it.missing, wanted_more = it.wanted_more,
                single_copies = it.single_copies, free_gb = it.free_mb / 1_000.0,
                store_loads = it.store_loads, store_loads_allowed = planner.store_loads_allowed();
                "placement of models"
            );
        }
    }

    /// Updates the gauges of loads from the weight store.
    pub(super) fn update_store_load_gauges(&self) {
        let planners = || self.engine_orders.planners.values();
        let loads: usize = planners().map(Planner::store_loads_in_progress).sum();
        let allowed: usize = planners().map(Planner::store_loads_allowed).sum();
        self.metrics.store_loads.set(loads as i64);
        self.metrics.store_loads_allowed.set(allowed as i64);
    }

    fn sync_planners(&mut self) {
        let directory = &self.directory;
        let dispatcher = &self.dispatcher;
        let paths = &self.paths;
        let now_ms = self.now_ms;
        let EngineOrders {
            planners, speeds, ..
        } = &mut self.engine_orders;
        planners.retain(|service, _| directory.service(service).is_some());
        for (name, service) in &directory.configuration().services {
            if let Some(spec) = &service.engine {
                let planner = planners.entry(name.clone()).or_insert_with(|| {
                    Planner::new(PlannerOptions::default(), name.clone(), spec.clone())
                });
                planner.sync(directory, |name| {
                    paths.is_lost(name)
                        || dispatcher.is_unreachable(now_ms, name)
                        || dispatcher.is_resting(now_ms, name)
                });
                let limits = dispatcher.stated_limits();
                planner.set_limited(|name| limits.limit(name).is_some());
                planner.set_speeds(|engine| u32::from(speeds.percent(engine)));
            }
        }
    }

    fn execute_actions(&mut self, actions: Vec<PlannerAction>) {
        let mut updates = Vec::new();
        for action in actions {
            match action {
                PlannerAction::Order {
                    engine,
                    kind,
                    orders_before,
                    tier,
                } => {
                    self.send_order(engine, kind, orders_before, tier);
                }
                PlannerAction::Report { engine } => self.read_report(engine),
                PlannerAction::Announce(update) => updates.push(update),
            }
        }
        if !updates.is_empty() {
            self.peers.queue_residence_updates(self.now_ms, &updates);
            self.apply_residence_updates(updates);
        }
    }
}
