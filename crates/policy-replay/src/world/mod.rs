//! Discrete-event simulation in virtual time of the environment in which the policies decide.
//!
//! One instance of each policy decides for all VMs, with the information that one VM would have:
//! load reports are delayed, and a decision is in force only after a round trip to the log. There
//! is no network and no second VM.

mod failures;
mod faults;
mod placement;
mod requests;

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::PlacementAction;

use crate::case::Case;
use crate::case::Fault;
use crate::deployment::Deployment;
use crate::errors::Result;
use crate::fleet::Engine;
use crate::fleet::Phase;
use crate::fleet::Replica;
use crate::measures::Measures;
use crate::policies::Policies;
use crate::policies::PolicySet;
use crate::store::Store;
use crate::trace::Trace;

/// Time from the proposal of a decision until it is in force.
const LOG_ROUND_TRIP_MS: u64 = 30;

/// Interval between two load reports of an engine.
const REPORT_INTERVAL_MS: u64 = 2_000;

/// Delay from the arrival of a request that has to wait until placement plans.
const PLAN_DELAY_MS: u64 = 50;

/// Interval between two plans of placement while a request waits, and while none does.
const BUSY_PLAN_INTERVAL_MS: u64 = 500;
const QUIET_PLAN_INTERVAL_MS: u64 = 5_000;

/// Time after the deadline from which a request without an answer counts as stuck.
const STUCK_AFTER_MS: u64 = 60_000;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Arrival(u64),
    AdmissionTick,
    Plan,
    Report,
    Accept {
        action: PlacementAction,
        expected_replicas: usize,
    },
    StoreStart(usize),
    StoreEnd,
    LoadDone(usize),
    LoadFailed(usize),
    Settled(usize),
    Unloaded(usize),
    FirstToken {
        ticket: u64,
        attempt: u32,
    },
    End {
        ticket: u64,
        attempt: u32,
    },
    Retry(u64),
    Timeout(u64),
    Fault(Fault),
}

#[derive(Debug, PartialEq, Eq)]
struct Scheduled {
    at_ms: u64,
    sequence: u64,
    event: Event,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.sequence).cmp(&(other.at_ms, other.sequence))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Waiting,
    /// Started by admission, in this incarnation of the VM's process.
    Started {
        incarnation: u32,
    },
    Done,
}

/// Simulated request. Its ticket is its index.
#[derive(Clone, Debug)]
struct Request {
    target: usize,
    class: usize,
    caller: u32,
    prefix_hash: u64,
    first_token_ms: u64,
    run_ms: u64,
    at_ms: u64,
    deadline_ms: u64,
    /// Whether the request is one of the trace, not a caller's retry after a refusal.
    is_original: bool,
    state: RequestState,
    tries: u32,
    tried: Vec<UpstreamName>,
    engine: usize,
    started_ms: u64,
    begun_ms: u64,
    answered_ms: Option<u64>,
}

/// Load that was accepted.
#[derive(Clone, Debug)]
struct Load {
    engine: usize,
    model: usize,
    started_ms: u64,
    tier: CacheTier,
    sized_ms: f64,
}

/// Simulation of one run with a deployment, a case and a set of policies.
pub struct World<'a> {
    deployment: &'a Deployment,
    trace: &'a Trace,
    case: Case,
    set: PolicySet,
    policies: Policies,
    incarnation: u32,
    now_ms: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<Scheduled>>,
    requests: Vec<Request>,
    /// Model engines, followed by the instances of the plain service.
    engines: Vec<Engine>,
    loads: Vec<Load>,
    store: Store,
    /// Time of the next scheduled end of a store load; other `StoreEnd` events are obsolete.
    store_end_ms: Option<u64>,
    log_is_up: bool,
    /// Loads that ended while the log was down and are not settled.
    unsettled: Vec<usize>,
    indexes: HashMap<ModelName, usize>,
    /// Time of the next scheduled plan; other `Plan` events are obsolete.
    plan_ms: Option<u64>,
    /// Time of the next tick that admission asked for; other `AdmissionTick` events are obsolete.
    tick_ms: Option<u64>,
    /// Tickets that wait for admission, by target.
    waiting: Vec<BTreeSet<u64>>,
    /// Requests started in this incarnation and not ended, by target.
    started: Vec<u32>,
    /// Requests started in any incarnation and not ended, by target.
    running: Vec<u32>,
    /// Arrival and minimum load time of the requests that found no loaded replica, by target.
    pending_cold_starts: Vec<Vec<(u64, u64)>>,
    /// Capacity last announced to admission for each target.
    announced: Vec<Option<(u32, Option<u64>)>>,
    targets: Vec<ModelName>,
    /// Time of the last change of each engine, and its share of idle memory since then.
    idle_shares: Vec<(u64, f64)>,
    measures: Measures,
}

impl<'a> World<'a> {
    /// Returns a simulation that starts at midnight.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownPolicy`](crate::Error::UnknownPolicy) if a policy is not registered.
    pub fn new(
        deployment: &'a Deployment,
        trace: &'a Trace,
        case: Case,
        set: PolicySet,
    ) -> Result<Self> {
        let policies = set.build()?;
        let mut targets: Vec<ModelName> = trace
            .models
            .iter()
            .map(|model| model.model.clone())
            .collect();
        targets.push(ModelName::new(deployment.service.group.as_str()));
        let engines = engines(deployment, trace, set.seed);
        let mut world = Self {
            deployment,
            trace,
            case,
            policies,
            incarnation: 0,
            now_ms: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            requests: Vec::with_capacity(trace.requests.len()),
            idle_shares: vec![(0, 0.0); engines.len()],
            engines,
            loads: Vec::new(),
            store: Store::new(
                deployment.store.loads_per_s,
                deployment.store.full_speed_loads,
            ),
            store_end_ms: None,
            log_is_up: true,
            unsettled: Vec::new(),
            indexes: targets.iter().cloned().zip(0..).collect(),
            plan_ms: None,
            tick_ms: None,
            waiting: vec![BTreeSet::new(); targets.len()],
            started: vec![0; targets.len()],
            running: vec![0; targets.len()],
            pending_cold_starts: vec![Vec::new(); targets.len()],
            announced: vec![None; targets.len()],
            targets,
            measures: Measures::new(deployment, case.measured_from_ms()),
            set,
        };
        world.prepare();
        Ok(world)
    }

    /// Runs to the end of the case and returns the counters.
    pub fn run(mut self) -> Measures {
        while let Some(Reverse(scheduled)) = self.events.pop() {
            if scheduled.at_ms >= self.case.until_ms() {
                break;
            }
            self.now_ms = scheduled.at_ms;
            self.handle(scheduled.event);
        }
        self.now_ms = self.case.until_ms();
        self.finish();
        self.measures
    }

    fn prepare(&mut self) {
        if let Some(surge) = self.case.surge(self.deployment) {
            let table = &self.deployment.engines;
            let slots = table.count as u64 * u64::from(table.slots);
            self.measures
                .start_goodput_window(surge.from_ms, surge.to_ms, slots);
        }
        for request in &self.trace.requests {
            let ticket = self.requests.len() as u64;
            self.requests
                .push(requests::from_trace(self.deployment, self.trace, request));
            self.schedule(request.at_ms, Event::Arrival(ticket));
        }
        for (at_ms, fault) in self.case.faults() {
            self.schedule(at_ms, Event::Fault(fault));
        }
        self.schedule(0, Event::Report);
        self.plan_no_later_than(0);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(ticket) => self.arrive(ticket),
            Event::AdmissionTick => self.admission_tick(),
            Event::Plan => self.plan(),
            Event::Report => self.report(),
            Event::Accept {
                action,
                expected_replicas,
            } => self.accept(&action, expected_replicas),
            Event::StoreStart(load) => self.store_start(load),
            Event::StoreEnd => self.store_end(),
            Event::LoadDone(load) => self.load_done(load),
            Event::LoadFailed(load) => self.load_failed(load),
            Event::Settled(load) => self.settled(load),
            Event::Unloaded(load) => self.unloaded(load),
            Event::FirstToken { ticket, attempt } => self.first_token(ticket, attempt),
            Event::End { ticket, attempt } => self.end(ticket, attempt),
            Event::Retry(ticket) => self.retry(ticket),
            Event::Timeout(ticket) => self.time_out(ticket),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Scheduled {
            at_ms,
            sequence: self.sequence,
            event,
        }));
    }

    /// Schedules a plan of placement at the given time, unless one is scheduled earlier.
    fn plan_no_later_than(&mut self, at_ms: u64) {
        if self.plan_ms.is_some_and(|planned_ms| planned_ms <= at_ms) {
            return;
        }
        self.plan_ms = Some(at_ms);
        self.schedule(at_ms, Event::Plan);
    }

    /// Records the idle memory of an engine up to now, after its replicas or requests changed.
    fn record_idle_memory(&mut self, engine: usize) {
        let (since_ms, share) = self.idle_shares[engine];
        self.measures.record_idle(since_ms, self.now_ms, share);
        self.idle_shares[engine] = (self.now_ms, self.engines[engine].idle_share());
    }

    fn finish(&mut self) {
        for engine in 0..self.engines.len() {
            self.record_idle_memory(engine);
        }
        for target in 0..self.targets.len() {
            self.record_cold_starts(target);
        }
        self.count_stuck();
    }

    /// Counts the requests that neither admission nor an engine has ended long after the deadline.
    fn count_stuck(&mut self) {
        let until_ms = self.now_ms.saturating_sub(STUCK_AFTER_MS);
        let is_stuck = |request: &&Request| {
            request.state != RequestState::Done
                && request.answered_ms.is_none()
                && request.deadline_ms < until_ms
        };
        let stuck = self.requests.iter().filter(is_stuck).count();
        for _ in 0..stuck {
            self.measures.record_stuck();
        }
    }

    /// Records the cold starts that waited for a replica of a target.
    fn record_cold_starts(&mut self, target: usize) {
        for (arrived_ms, floor_ms) in std::mem::take(&mut self.pending_cold_starts[target]) {
            if self.measures.counts(arrived_ms) {
                self.measures
                    .record_cold_start(self.now_ms - arrived_ms, floor_ms);
            }
        }
    }

    fn serving(&self, target: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.engines.len()).filter(move |engine| self.engines[*engine].serves(target))
    }
}

/// Returns the engines, with checkpoints on random hosts, and the instances of the plain service.
fn engines(deployment: &Deployment, trace: &Trace, seed: u64) -> Vec<Engine> {
    let mut source = ChaCha8Rng::seed_from_u64(seed ^ 0xcac4e);
    let table = &deployment.engines;
    let mut engines: Vec<Engine> = (0..table.count)
        .map(|index| {
            let name = UpstreamName::from(format!("{}-{index:02}", table.group));
            let zone = deployment.zones[index % deployment.zones.len()].clone();
            Engine::new(name, zone, table)
        })
        .collect();
    for (index, model) in trace
        .models
        .iter()
        .enumerate()
        .filter(|(_, model)| !model.remote_only)
    {
        let host = source.random_range(0..table.count);
        engines[host].cache.put_on_disk(index, model.bytes);
    }
    let service = trace.models.len();
    let mut batch = table.clone();
    batch.slots = deployment.service.slots;
    engines.extend((0..deployment.service.instances).map(|index| {
        let name = UpstreamName::from(format!("{}-{index:02}", deployment.service.group));
        let zone = deployment.zones[index % deployment.zones.len()].clone();
        let mut instance = Engine::new(name, zone, &batch);
        instance.replicas.push(service_replica(service));
        instance
    }));
    engines
}

/// Returns a loaded replica that represents an instance of the plain service.
fn service_replica(service: usize) -> Replica {
    Replica {
        model: service,
        base: None,
        bytes: 0,
        phase: Phase::Loaded,
        load: usize::MAX,
        since_ms: 0,
        ready_at_ms: 0,
        requests: 0,
    }
}
