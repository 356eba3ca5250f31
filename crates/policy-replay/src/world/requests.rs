//! Simulation of requests: admission, routing, batches and answers.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::names::CallerName;
use apricotdale_core::names::GroupName;
use apricotdale_core::policy::AdmissionAction;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::Arrival;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_core::policy::Ticket;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::refusal::Refusal;

use crate::deployment::Deployment;
use crate::fleet::Phase;
use crate::trace::Target;
use crate::trace::Trace;
use crate::trace::TraceRequest;
use crate::world::Event;
use crate::world::PLAN_DELAY_MS;
use crate::world::REPORT_INTERVAL_MS;
use crate::world::Request;
use crate::world::RequestState;
use crate::world::World;

/// Retry delay of a refused caller if the refusal names none.
const DEFAULT_RETRY_DELAY_MS: u64 = 5_000;

/// Returns the simulated request for one of the trace.
pub(super) fn from_trace(
    deployment: &Deployment,
    trace: &Trace,
    request: &TraceRequest,
) -> Request {
    let target = match request.target {
        Target::Model(model) => model,
        Target::Service => trace.models.len(),
    };
    Request {
        target,
        class: request.class,
        caller: request.caller,
        prefix_hash: request.prefix_hash,
        first_token_ms: request.first_token_ms,
        run_ms: request.run_ms,
        at_ms: request.at_ms,
        deadline_ms: request.at_ms + deployment.classes[request.class].answer_within_ms,
        is_original: true,
        state: RequestState::Waiting,
        tries: 0,
        tried: Vec::new(),
        engine: 0,
        started_ms: 0,
        begun_ms: 0,
        answered_ms: None,
    }
}

impl World<'_> {
    pub(super) fn arrive(&mut self, ticket: u64) {
        let request = &self.requests[ticket as usize];
        let (target, at_ms) = (request.target, request.at_ms);
        if request.is_original && self.measures.counts(at_ms) {
            self.measures.record_arrival(request.class);
        }
        let is_original = request.is_original;
        if target < self.trace.models.len() {
            let model = &self.trace.models[target].model;
            self.policies.placement.arrived(self.now_ms, model);
            if self.serving(target).next().is_none() && is_original {
                let floor_ms = self.floor_ms(target);
                self.pending_cold_starts[target].push((at_ms, floor_ms));
            }
        }
        self.waiting[target].insert(ticket);
        self.admit(ticket);
        if !self.waiting[target].is_empty() {
            self.plan_no_later_than(self.now_ms + PLAN_DELAY_MS);
        }
    }

    pub(super) fn admit(&mut self, ticket: u64) {
        let target = self.requests[ticket as usize].target;
        self.announce_capacity(target);
        let request = &self.requests[ticket as usize];
        let class = &self.deployment.classes[request.class];
        let arrival = Arrival {
            ticket: Ticket(ticket),
            target: self.targets[target].clone(),
            class: class.class.clone(),
            caller: CallerName::from(format!("caller-{}", request.caller)),
            deadline_ms: request.deadline_ms,
            expected_run_ms: class.run_ms,
        };
        self.ask_admission(AdmissionEvent::Arrived(arrival));
    }

    /// Announces to admission how many requests for a target may be in progress: those that are,
    /// and one more for each free slot of an engine that can serve the target.
    pub(super) fn announce_capacity(&mut self, target: usize) {
        let free: u32 = self
            .serving(target)
            .map(|engine| self.engines[engine].free_slots())
            .sum();
        let ready_at_ms = self
            .engines
            .iter()
            .filter_map(|engine| engine.replica(target))
            .filter(|replica| replica.phase == Phase::Loading)
            .map(|replica| replica.ready_at_ms)
            .min();
        let capacity = (self.started[target] + free, ready_at_ms);
        if self.announced[target] == Some(capacity) {
            return;
        }
        self.announced[target] = Some(capacity);
        let (slots, ready_at_ms) = capacity;
        self.ask_admission(AdmissionEvent::Capacity {
            target: self.targets[target].clone(),
            slots,
            ready_at_ms,
        });
    }

    pub(super) fn admission_tick(&mut self) {
        if self.tick_ms != Some(self.now_ms) {
            return;
        }
        self.tick_ms = None;
        self.ask_admission(AdmissionEvent::Tick);
    }

    fn ask_admission(&mut self, event: AdmissionEvent) {
        let actions = self.policies.admission.handle(self.now_ms, event);
        for action in actions {
            match action {
                AdmissionAction::Start(Ticket(ticket)) => self.start(ticket),
                AdmissionAction::Refuse(Ticket(ticket), refusal) => self.refuse(ticket, &refusal),
            }
        }
        let wanted_ms = self.policies.admission.next_tick_ms();
        let Some(wanted_ms) = wanted_ms.map(|at_ms| at_ms.max(self.now_ms + 1)) else {
            return;
        };
        if self.tick_ms.is_none_or(|tick_ms| wanted_ms < tick_ms) {
            self.tick_ms = Some(wanted_ms);
            self.schedule(wanted_ms, Event::AdmissionTick);
        }
    }

    pub(super) fn withdraw(&mut self, ticket: u64) {
        let ticket = Ticket(ticket);
        self.ask_admission(AdmissionEvent::Withdrawn { ticket });
    }

    pub(super) fn refuse(&mut self, ticket: u64, refusal: &Refusal) {
        let request = &mut self.requests[ticket as usize];
        if request.state != RequestState::Waiting {
            return;
        }
        request.state = RequestState::Done;
        let request = request.clone();
        self.waiting[request.target].remove(&ticket);
        if request.is_original && self.measures.counts(request.at_ms) {
            self.measures.record_refusal(refusal.reason.as_str());
        }
        // Every other refused caller retries once.
        if request.is_original && ticket.is_multiple_of(2) {
            self.schedule_caller_retry(
                request,
                refusal.retry_after_ms.unwrap_or(DEFAULT_RETRY_DELAY_MS),
            );
        }
    }

    fn schedule_caller_retry(&mut self, refused: Request, after_ms: u64) {
        let target_ms = refused.deadline_ms - refused.at_ms;
        let at_ms = self.now_ms + after_ms;
        let ticket = self.requests.len() as u64;
        self.requests.push(Request {
            at_ms,
            deadline_ms: at_ms + target_ms,
            is_original: false,
            state: RequestState::Waiting,
            ..refused
        });
        self.schedule(at_ms, Event::Arrival(ticket));
    }

    fn start(&mut self, ticket: u64) {
        let incarnation = self.incarnation;
        let request = &mut self.requests[ticket as usize];
        debug_assert_eq!(request.state, RequestState::Waiting);
        request.state = RequestState::Started { incarnation };
        request.started_ms = self.now_ms;
        let target = request.target;
        self.waiting[target].remove(&ticket);
        self.started[target] += 1;
        self.running[target] += 1;
        let deadline_ms = self.requests[ticket as usize].deadline_ms;
        self.schedule(deadline_ms.max(self.now_ms) + 1, Event::Timeout(ticket));
        self.dispatch(ticket);
    }

    fn group(&self, target: usize) -> &GroupName {
        match target < self.trace.models.len() {
            true => &self.deployment.engines.group,
            false => &self.deployment.service.group,
        }
    }

    fn routing(&mut self, target: usize) -> &mut dyn RoutingPolicy {
        match target < self.trace.models.len() {
            true => self.policies.engines.as_mut(),
            false => self.policies.instances.as_mut(),
        }
    }

    /// Sends a started request to an upstream chosen by routing.
    pub(super) fn dispatch(&mut self, ticket: u64) {
        let request = &self.requests[ticket as usize];
        let target = request.target;
        let route = RouteRequest {
            prefix_hash: Some(request.prefix_hash),
            tried: request.tried.clone(),
        };
        let serving: Vec<usize> = self.serving(target).collect();
        let candidates: Vec<Candidate> = serving
            .iter()
            .map(|engine| self.candidate(*engine))
            .collect();
        let now_ms = self.now_ms;
        let Some(chosen) = self.routing(target).choose(now_ms, &route, &candidates) else {
            self.retry_or_fail(ticket, true);
            return;
        };
        let engine = serving[chosen];
        let upstream = self.engines[engine].name.clone();
        self.routing(target).learn(
            now_ms,
            RoutingEvent::Sent {
                upstream: upstream.clone(),
                prefix_hash: route.prefix_hash,
            },
        );
        let group = self.group(target).clone();
        let request = &mut self.requests[ticket as usize];
        request.tries += 1;
        request.engine = engine;
        let tries = request.tries;
        let is_counted = request.is_original && self.measures.counts(request.at_ms);
        if is_counted {
            self.measures.record_attempt(tries > 1);
        }
        if tries == 1 {
            self.policies.retry.record_first_attempt(now_ms, &group);
        }
        if !self.engines[engine].alive {
            self.learn_outcome(ticket, UpstreamOutcome::Unreachable, None);
            self.retry_or_fail(ticket, true);
            return;
        }
        if let Some(replica) = self.engines[engine].replica_mut(target) {
            replica.requests += 1;
        }
        self.record_idle_memory(engine);
        match self.engines[engine].has_free_slot() {
            true => self.begin(ticket),
            false => self.engines[engine].queue.push_back(ticket),
        }
    }

    fn candidate(&self, engine: usize) -> Candidate {
        let engine_view = &self.engines[engine];
        Candidate {
            upstream: engine_view.name.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + engine as u16)),
            zone: engine_view.zone.clone(),
        }
    }

    /// Puts a request into its engine's batch.
    fn begin(&mut self, ticket: u64) {
        let request = &self.requests[ticket as usize];
        let (first_token_ms, run_ms, attempt) =
            (request.first_token_ms, request.run_ms, request.tries);
        let engine = &mut self.engines[request.engine];
        let share = engine.cache_prefix(request.prefix_hash);
        let first_token_ms = engine.slowed_ms((first_token_ms as f64 * share) as u64);
        let run_ms = engine.slowed_ms(run_ms).max(first_token_ms);
        engine.running.push(ticket);
        let now_ms = self.now_ms;
        self.requests[ticket as usize].begun_ms = now_ms;
        self.schedule(
            now_ms + first_token_ms,
            Event::FirstToken { ticket, attempt },
        );
        self.schedule(now_ms + run_ms, Event::End { ticket, attempt });
    }

    fn is_current(&self, ticket: u64, attempt: u32) -> bool {
        let request = &self.requests[ticket as usize];
        request.tries == attempt && self.engines[request.engine].running.contains(&ticket)
    }

    pub(super) fn first_token(&mut self, ticket: u64, attempt: u32) {
        if !self.is_current(ticket, attempt) {
            return;
        }
        let now_ms = self.now_ms;
        let request = &mut self.requests[ticket as usize];
        request.answered_ms = Some(now_ms);
        if request.is_original && self.measures.counts(request.at_ms) {
            let met = now_ms <= request.deadline_ms;
            self.measures
                .record_first_token(request.class, now_ms - request.at_ms, met);
        }
    }

    pub(super) fn end(&mut self, ticket: u64, attempt: u32) {
        if !self.is_current(ticket, attempt) {
            return;
        }
        let engine = self.requests[ticket as usize].engine;
        self.engines[engine]
            .running
            .retain(|running| *running != ticket);
        let request = &self.requests[ticket as usize];
        let (target, begun_ms) = (request.target, request.begun_ms);
        let answered_ms = request.answered_ms.unwrap_or(self.now_ms);
        let met = answered_ms <= request.deadline_ms;
        if self.measures.counts(request.at_ms) {
            self.measures.record_work(begun_ms, self.now_ms, met);
        }
        self.leave_engine(ticket);
        self.learn_outcome(
            ticket,
            UpstreamOutcome::Answered,
            Some(answered_ms - begun_ms),
        );
        self.finish_request(ticket);
        self.unload_if_done(engine, target);
        self.announce_freed_slot(engine);
    }

    /// Removes a request from its replica, and fills a free slot from the engine's queue.
    pub(super) fn leave_engine(&mut self, ticket: u64) {
        let request = &self.requests[ticket as usize];
        let (engine, target) = (request.engine, request.target);
        if let Some(replica) = self.engines[engine].replica_mut(target) {
            replica.requests = replica.requests.saturating_sub(1);
        }
        self.record_idle_memory(engine);
        if !self.engines[engine].alive || !self.engines[engine].has_free_slot() {
            return;
        }
        if let Some(next) = self.engines[engine].queue.pop_front() {
            self.begin(next);
        }
    }

    pub(super) fn learn_outcome(
        &mut self,
        ticket: u64,
        outcome: UpstreamOutcome,
        first_byte_ms: Option<u64>,
    ) {
        let request = &self.requests[ticket as usize];
        let (target, engine) = (request.target, request.engine);
        let upstream = self.engines[engine].name.clone();
        let now_ms = self.now_ms;
        self.routing(target).learn(
            now_ms,
            RoutingEvent::Ended {
                upstream,
                outcome,
                first_byte_ms,
            },
        );
    }

    /// Ends a request that was started, and reports the end to admission.
    pub(super) fn finish_request(&mut self, ticket: u64) {
        let incarnation = self.incarnation;
        let request = &mut self.requests[ticket as usize];
        let (target, state) = (request.target, request.state);
        let ran_ms = self.now_ms - request.started_ms;
        request.state = RequestState::Done;
        self.running[target] -= 1;
        if state == (RequestState::Started { incarnation }) {
            self.started[target] -= 1;
            // The capacity comes first. Otherwise the end would start a request for a slot that a
            // queued request has taken.
            if !self.waiting[target].is_empty() {
                self.announce_capacity(target);
            }
            let ticket = Ticket(ticket);
            self.ask_admission(AdmissionEvent::Ended { ticket, ran_ms });
        }
    }

    /// Announces a freed slot to admission, first for the target whose request waits longest.
    pub(super) fn announce_freed_slot(&mut self, engine: usize) {
        let mut waiting: Vec<(u64, usize)> = self.engines[engine]
            .replicas
            .iter()
            .filter_map(|replica| {
                let first = self.waiting[replica.model].first()?;
                Some((*first, replica.model))
            })
            .collect();
        waiting.sort_unstable();
        for (_, target) in waiting {
            self.announce_capacity(target);
        }
    }

    pub(super) fn report(&mut self) {
        for engine in 0..self.engines.len() {
            if !self.engines[engine].alive {
                continue;
            }
            self.engines[engine].report();
            let (running, waiting) = self.engines[engine].reported;
            let report = LoadReport {
                as_of_ms: self.now_ms,
                running,
                waiting,
                slots: self.deployment.engines.slots,
                checkpoints: Vec::new(),
            };
            let upstream = self.engines[engine].name.clone();
            let event = RoutingEvent::Reported { upstream, report };
            match engine < self.deployment.engines.count {
                true => self.policies.engines.learn(self.now_ms, event),
                false => self.policies.instances.learn(self.now_ms, event),
            }
        }
        self.schedule(self.now_ms + REPORT_INTERVAL_MS, Event::Report);
    }
}
