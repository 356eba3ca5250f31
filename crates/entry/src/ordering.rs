//! Giving orders to engines, while this VM holds the lease for it.

use std::collections::HashMap;
use std::time::Instant;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::WantedModel;
use apricotdale_holder::DemandBook;
use apricotdale_holder::DemandRow;
use apricotdale_holder::EngineReport;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseAnswer;
use apricotdale_holder::LeaseOptions;
use apricotdale_holder::LeaseRecord;
use apricotdale_holder::Order;
use apricotdale_holder::OrderKind;
use apricotdale_holder::OrderOutcome;
use apricotdale_holder::Planner;
use apricotdale_holder::PlannerAction;
use apricotdale_holder::PlannerOptions;
use apricotdale_holder::ResidenceNews;

use crate::calling::CallOutcome;
use crate::calling::CallTag;
use crate::codec::LogRead;
use crate::codec::StoreOutcome;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::messages::ForecastRow;
use crate::messages::PeerMessage;
use crate::outbound::Peer;
use crate::settings::Settings;

/// How long an order's answer is awaited.
const ORDER_TIMEOUT_MS: u64 = 700;

/// How long an engine's report is awaited.
const REPORT_TIMEOUT_MS: u64 = 500;

/// How long orders go on past the lease while the store can't be reached. The longest outages of
/// the store in the users' deployments last 9 to 12 s.
const OUTLAST_MS: u64 = 12_000;

/// How long a call on the lease is awaited.
const LEASE_TIMEOUT_MS: u64 = 700;

/// The longest time between two plans: demand that faded is seen then.
const PLAN_EVERY_MS: u64 = 100;

/// How many times as long as a plan took nothing is planned after it. On a VM with a small part of a core
/// the lease, callers and other VMs would else wait for one plan after the other.
const REST_FOR_PLAN: u64 = 2;

/// `Ordering` is this VM's part in giving orders.
#[derive(Debug)]
pub(crate) struct Ordering {
    lease: Lease,
    demand: DemandBook,
    /// One planner for each service of engines, while this VM gives orders.
    planners: HashMap<GroupName, Planner>,
    fence: Option<u64>,
    next_plan_ms: u64,
    /// Until when nothing is planned, whatever happens.
    rest_until_ms: u64,
}

impl Ordering {
    pub fn new(settings: &Settings, run: u64) -> Self {
        let defaults = LeaseOptions::default();
        // An engine that checks fencing tokens turns the former holder's orders away by itself, so
        // a new holder need not wait until they can no longer be under way.
        let (pause_ms, outlast_ms) = match settings.engines_check_fences {
            true => (0, OUTLAST_MS),
            false => (settings.order_pause_ms, 0),
        };
        let options = LeaseOptions {
            pause_ms,
            outlast_ms,
            ..defaults
        };
        Self {
            lease: Lease::new(options, settings.vm.clone(), run),
            demand: DemandBook::default(),
            planners: HashMap::new(),
            fence: None,
            next_plan_ms: 0,
            rest_until_ms: 0,
        }
    }

    /// Takes in the demand of a VM. Only the holder of the lease gets any.
    pub fn note_demand(&mut self, now_ms: u64, vm: &VmName, run: u64, rows: Vec<DemandRow>) {
        let urgent = rows.iter().any(|row| row.missing > 0);
        for row in rows.iter().filter(|row| row.missing > 0) {
            let wanted = WantedModel {
                model: row.model.clone(),
                adapter: row.adapter.clone(),
            };
            for planner in self.planners.values_mut() {
                planner.look_at(now_ms, &wanted);
            }
        }
        self.demand.note(now_ms, vm, run, rows);
        if urgent {
            self.next_plan_ms = self.next_plan_ms.min(now_ms);
        }
    }

    /// Returns the news that a VM has missed, by what it says is missing.
    pub fn missed_news(&self, rows: &[DemandRow]) -> Vec<ResidenceNews> {
        rows.iter()
            .filter(|row| row.missing > 0)
            .flat_map(|row| {
                let wanted = WantedModel {
                    model: row.model.clone(),
                    adapter: row.adapter.clone(),
                };
                let planners = self.planners.values();
                planners.flat_map(move |planner| planner.known_places(&wanted))
            })
            .collect()
    }

    /// Takes in the lease's end as its holder tells it.
    pub fn note_lease_end(&mut self, now_ms: u64, end: u64) {
        self.lease.note_end(now_ms, end, None);
    }

    /// Takes in that the holder has given the lease back.
    pub fn note_release(&mut self, now_ms: u64, end: u64, quiet_ms: u64) {
        self.lease.note_end(now_ms, end, Some(quiet_ms));
    }

    /// Returns whether another VM's beat is of an older lease than the newest that is known.
    pub fn is_outdated(&self, lease_end: u64) -> bool {
        self.lease.end().is_some_and(|end| lease_end < end)
    }

    /// Returns whether this VM gives orders.
    pub fn fence_held(&self) -> bool {
        self.fence.is_some()
    }

    /// Returns the lease's end, if this VM holds the lease.
    pub fn held_lease_end(&self, now_ms: u64) -> Option<u64> {
        self.lease.end().filter(|_| self.lease.is_held(now_ms))
    }

    /// Returns when missing models are expected.
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

    /// Returns when something is due.
    pub fn next_ms(&self) -> u64 {
        let plan_ms = if self.fence.is_some() {
            self.next_plan_ms.max(self.rest_until_ms)
        } else {
            u64::MAX
        };
        self.lease.next_ms().min(plan_ms)
    }
}

impl Daemon {
    /// Goes on with the lease and, under it, with orders.
    pub(crate) fn advance_ordering(&mut self) {
        let now_ms = self.now_ms;
        if self.stopping.has_begun() {
            // A renewal may have been under way when the stop began.
            self.release_lease();
        } else if now_ms >= self.ordering.lease.next_ms() {
            let place = self.peers.place(now_ms);
            self.ordering.lease.set_place(place);
            if let Some(action) = self.ordering.lease.act(now_ms) {
                self.call_lease(&action);
            }
        }
        self.note_fence();
        let due_ms = self.ordering.next_plan_ms.max(self.ordering.rest_until_ms);
        if self.ordering.fence.is_some() && now_ms >= due_ms {
            self.plan();
        }
    }

    fn call_lease(&mut self, action: &LeaseAction) {
        match action {
            LeaseAction::Read { from } => {
                let bytes = self.codecs.store.read(Topic::Lease, *from, 0);
                self.call_store(CallTag::LeaseRead, &bytes, LEASE_TIMEOUT_MS);
            }
            LeaseAction::Append { at, record } => {
                let record =
                    postcard::to_stdvec(record).expect("a record of our own can be encoded");
                let bytes = self.codecs.store.append(Topic::Lease, Some(*at), &record);
                self.call_store(CallTag::LeaseAppend, &bytes, LEASE_TIMEOUT_MS);
            }
        }
    }

    /// Takes in the outcome of a call on the lease.
    pub(crate) fn lease_call_ended(&mut self, tag: &CallTag, outcome: CallOutcome) {
        let answer = match (tag, outcome) {
            (_, CallOutcome::NotSent) => LeaseAnswer::NotDone,
            (_, CallOutcome::Unknown) => LeaseAnswer::Unknown,
            (CallTag::LeaseRead, CallOutcome::Answered { status, body }) => {
                self.lease_read(status, &body)
            }
            (_, CallOutcome::Answered { status, body }) => {
                match self.codecs.store.append_answer(status, &body) {
                    Ok(StoreOutcome::Done { offset }) => LeaseAnswer::Appended { offset },
                    Ok(StoreOutcome::EndedElsewhere { end }) => LeaseAnswer::EndedElsewhere { end },
                    Ok(StoreOutcome::NotDone) => LeaseAnswer::NotDone,
                    Err(_) => LeaseAnswer::Unknown,
                }
            }
        };
        if matches!(answer, LeaseAnswer::Appended { .. }) {
            // A VM that has not heard of the last renewal finds it when it tries to take over from
            // a holder that is lost, and waits for a whole lease more.
            self.peers.beat_soon();
        }
        let released = self.ordering.lease.answered(self.now_ms, answer);
        if let Some((lease_end, quiet_ms)) = released {
            log::info!(lease_end, quiet_ms; "lease given back");
            self.peers.send_all(&PeerMessage::Released {
                lease_end,
                quiet_ms,
            });
        }
        self.note_fence();
    }

    fn lease_read(&self, status: u16, body: &[u8]) -> LeaseAnswer {
        match self.codecs.store.read_answer(status, body) {
            Ok(LogRead::Records { end, records }) => {
                let newest = records
                    .last()
                    .and_then(|record| postcard::from_bytes::<LeaseRecord>(record).ok());
                LeaseAnswer::Read { end, newest }
            }
            Ok(LogRead::Expired { first }) => LeaseAnswer::Read {
                end: first,
                newest: None,
            },
            Err(_) => LeaseAnswer::NotDone,
        }
    }

    /// Begins or ends giving orders as the lease says.
    fn note_fence(&mut self) {
        let fence = self.ordering.lease.fence(self.now_ms);
        if fence == self.ordering.fence {
            return;
        }
        match fence {
            Some(fence) => {
                self.metrics.takeover();
                log::info!(fence, lease_end = self.ordering.lease.end(); "this VM gives orders");
                // What other VMs told names no copies of weights, by which loads are planned.
                self.feeds.lead(self.now_ms);
            }
            None => log::info!("this VM gives no more orders"),
        }
        self.ordering.fence = fence;
        self.ordering.planners.clear();
        self.ordering.next_plan_ms = self.now_ms;
    }

    /// Gives the lease back at a planned stop.
    pub(crate) fn release_lease(&mut self) {
        if let Some(action) = self.ordering.lease.release(self.now_ms) {
            self.call_lease(&action);
        }
        self.note_fence();
    }

    fn plan(&mut self) {
        let now_ms = self.now_ms;
        let begun = Instant::now();
        self.sync_planners();
        let mut actions = Vec::new();
        let mut next_ms = now_ms + PLAN_EVERY_MS;
        for planner in self.ordering.planners.values_mut() {
            actions.extend(planner.plan(now_ms, &self.ordering.demand));
            if let Some(due_ms) = planner.next_ms() {
                next_ms = next_ms.min(due_ms);
            }
        }
        let took_ms = begun.elapsed().as_millis() as u64;
        self.metrics.planned(took_ms);
        // Reports and orders that end ask for a plan at once.
        self.ordering.rest_until_ms = now_ms + took_ms + took_ms * REST_FOR_PLAN;
        self.ordering.next_plan_ms = next_ms.max(now_ms + 1);
        self.carry_out(actions);
    }

    fn sync_planners(&mut self) {
        let directory = &self.directory;
        let dispatcher = &self.dispatcher;
        let now_ms = self.now_ms;
        let planners = &mut self.ordering.planners;
        planners.retain(|service, _| directory.service(service).is_some());
        for (name, service) in &directory.configuration().services {
            if let Some(spec) = &service.engine {
                planners
                    .entry(name.clone())
                    .or_insert_with(|| {
                        Planner::new(PlannerOptions::default(), name.clone(), spec.clone())
                    })
                    .sync(directory, |name| dispatcher.is_unreachable(now_ms, name));
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<PlannerAction>) {
        let mut news = Vec::new();
        for action in actions {
            match action {
                PlannerAction::Order {
                    engine,
                    kind,
                    orders_before,
                } => {
                    self.give_order(engine, kind, orders_before);
                }
                PlannerAction::Report { engine } => self.read_report(engine),
                PlannerAction::Tell(told) => news.push(told),
            }
        }
        if !news.is_empty() {
            self.peers.tell_news(self.now_ms, &news);
            self.take_news(news);
        }
    }

    fn give_order(&mut self, engine: UpstreamName, kind: OrderKind, orders_before: u64) {
        let fence = self.ordering.lease.fence(self.now_ms);
        let upstream = self.directory.upstream(&engine);
        let (Some(fence), Some(upstream)) = (fence, upstream) else {
            self.planner_told(&engine, OrderOutcome::NotSent);
            return;
        };
        let address = upstream.address;
        let instance = upstream.instance.clone();
        self.ordering.lease.note_order(self.now_ms);
        log::info!(
            engine = engine.to_string(), order = kind.as_str(), model = kind.model().to_string(),
            fence, orders_before;
            "order given"
        );
        let order = Order {
            engine: engine.clone(),
            instance,
            address,
            kind: kind.clone(),
            holder: self.settings.vm.clone(),
            fence,
            orders_before,
        };
        let bytes = self.codecs.engines.order(&order);
        let peer = Peer::Upstream(engine.clone());
        self.call(
            peer,
            address,
            CallTag::Order(engine, kind),
            &bytes,
            ORDER_TIMEOUT_MS,
        );
    }

    fn read_report(&mut self, engine: UpstreamName) {
        let Some(upstream) = self.directory.upstream(&engine) else {
            self.report_ended(&engine, CallOutcome::NotSent);
            return;
        };
        let address = upstream.address;
        let bytes = self.codecs.engines.report(&upstream.instance);
        let peer = Peer::Upstream(engine.clone());
        self.call(
            peer,
            address,
            CallTag::Report(engine),
            &bytes,
            REPORT_TIMEOUT_MS,
        );
    }

    /// Takes in the outcome of an order.
    pub(crate) fn order_ended(
        &mut self,
        engine: &UpstreamName,
        kind: &OrderKind,
        outcome: CallOutcome,
    ) {
        let outcome = match outcome {
            CallOutcome::Answered { status, body } => {
                self.codecs.engines.order_answer(kind, status, &body)
            }
            CallOutcome::NotSent => OrderOutcome::NotSent,
            CallOutcome::Unknown => OrderOutcome::Unknown,
        };
        self.metrics.order(kind.as_str(), outcome.as_str());
        log::info!(
            engine = engine.to_string(), order = kind.as_str(), outcome = outcome.as_str();
            "order ended"
        );
        self.planner_told(engine, outcome);
        if outcome == OrderOutcome::StaleFence {
            self.ordering.lease.note_outranked(self.now_ms);
            self.note_fence();
        }
    }

    fn planner_told(&mut self, engine: &UpstreamName, outcome: OrderOutcome) {
        let now_ms = self.now_ms;
        let mut actions = Vec::new();
        for planner in self.ordering.planners.values_mut() {
            actions.extend(planner.order_ended(now_ms, engine, outcome));
        }
        self.ordering.next_plan_ms = now_ms;
        self.carry_out(actions);
    }

    /// Takes in that an engine turned a request away because it does not hold a model.
    pub(crate) fn engine_lacks(&mut self, engine: &UpstreamName, model: &ModelName) {
        let now_ms = self.now_ms;
        let mut actions = Vec::new();
        for planner in self.ordering.planners.values_mut() {
            actions.extend(planner.note_turned_away(now_ms, engine, model));
        }
        if !actions.is_empty() {
            log::info!(
                engine = engine.to_string(), model = model.to_string();
                "load not done when expected"
            );
            self.ordering.next_plan_ms = now_ms;
            self.carry_out(actions);
        }
    }

    /// Returns whether a report comes from another run of the engine than the one that was asked.
    fn is_of_other_run(&self, engine: &UpstreamName, report: &EngineReport) -> bool {
        self.directory
            .upstream(engine)
            .is_some_and(|known| known.born_ms > 0 && report.born_ms > known.born_ms)
    }

    /// Takes in that an engine has started again, as its report tells before the list does. What
    /// was known of its former run would give wrong orders: it holds nothing of it.
    fn engine_restarted(&mut self, former: &UpstreamName, report: EngineReport) {
        let Some(instance) = self
            .directory
            .upstream(former)
            .map(|it| it.instance.clone())
        else {
            return;
        };
        self.directory.read_up_to(0);
        let change = self
            .directory
            .note_restart(former, report.born_ms, report.residence);
        if matches!(change, DirectoryChange::Restarted { .. }) {
            if let Some(run) = self.directory.run_of(&instance).cloned() {
                self.feeds.note_came(run);
            }
            self.upstream_left(former, "restarted");
            self.tell_list_read();
            self.ordering.next_plan_ms = self.now_ms;
        }
    }

    /// Takes in an engine's report.
    pub(crate) fn report_ended(&mut self, engine: &UpstreamName, outcome: CallOutcome) {
        let now_ms = self.now_ms;
        let report = match outcome {
            CallOutcome::Answered { status, body } => {
                match self.codecs.engines.report_answer(status, &body) {
                    Ok(report) if self.is_of_other_run(engine, &report) => {
                        self.engine_restarted(engine, report);
                        return;
                    }
                    Ok(report) => Some(report),
                    Err(error) => {
                        log::warn!(
                            engine = engine.to_string(), reason = error.detail;
                            "report not understood"
                        );
                        None
                    }
                }
            }
            _ => None,
        };
        let mut actions = Vec::new();
        for planner in self.ordering.planners.values_mut() {
            actions.extend(planner.report_ended(now_ms, engine, report.clone()));
        }
        self.ordering.next_plan_ms = now_ms;
        self.carry_out(actions);
    }
}
