//! Decisions of one VM on where and when its requests are sent.

use std::collections::HashMap;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_fleet::Directory;
use apricotdale_fleet::Upstream;
use apricotdale_routing::BudgetedRetry;
use apricotdale_routing::CorrectedLoad;
use apricotdale_routing::UpstreamSpeeds;

use crate::availability::Availability;
use crate::eligibility::RoomByVersion;
use crate::eligibility::can_run;
use crate::eligibility::candidate;
use crate::eligibility::holds_model;
use crate::eligibility::may_continue;
use crate::eligibility::without_unusable;
use crate::forecast::Forecasts;
use crate::forecast::LoadForecast;
use crate::job::DispatchDecision;
use crate::job::FailedAttempt;
use crate::job::Job;
use crate::job::RetryAction;
use crate::job::WaitReason;
use crate::job::retry_request;
use crate::options::DispatcherOptions;
use crate::options::retry_options;
use crate::options::routing_options;
use crate::rejection_limits::RejectionLimits;
use crate::silence::SilentConnections;
use crate::stated_limits::StatedLimits;
use crate::upstream_load::LIMITED_FILL;
use crate::upstream_load::LoadSample;
use crate::upstream_load::UpstreamLoad;

/// Decides for one VM to which upstream a request is sent, and when.
pub struct Dispatcher {
    options: DispatcherOptions,
    routing: HashMap<GroupName, CorrectedLoad>,
    retries: BudgetedRetry,
    loads: HashMap<UpstreamName, UpstreamLoad>,
    speeds: UpstreamSpeeds,
    pub(crate) forecasts: Forecasts,
    pub(crate) availability: Availability,
    pub(crate) stated_limits: StatedLimits,
    rejection_limits: RejectionLimits,
    pub(crate) silent_connections: SilentConnections,
}

impl Dispatcher {
    /// Returns a dispatcher without any observations of upstreams.
    pub fn new(options: DispatcherOptions) -> Self {
        let retries = BudgetedRetry::new(retry_options(&options));
        Self {
            stated_limits: StatedLimits::new(options.seed),
            availability: Availability::new(options.seed),
            rejection_limits: RejectionLimits::new(options.seed),
            options,
            routing: HashMap::new(),
            retries,
            loads: HashMap::new(),
            speeds: UpstreamSpeeds::default(),
            forecasts: Forecasts::default(),
            silent_connections: SilentConnections::default(),
        }
    }

    /// Sets the number of VMs among which the retry budget is divided.
    pub fn set_vms(&mut self, vms: u32) {
        if vms != self.options.vms {
            self.options.vms = vms;
            self.retries.set_options(retry_options(&self.options));
        }
    }

    /// Records that a request is about to be sent for the first time, which earns retry budget.
    pub fn arrived(&mut self, now_ms: u64, job: &Job) {
        self.retries.record_first_attempt(now_ms, &job.service);
    }

    /// Decides whether a request is sent now, waits, or is refused.
    pub fn decide(&mut self, now_ms: u64, directory: &Directory, job: &Job) -> DispatchDecision {
        let left_ms = job.deadline_ms.saturating_sub(now_ms);
        if left_ms < self.options.least_left_ms {
            return DispatchDecision::Refuse(self.deadline_refusal(job));
        }
        let holding: Vec<&Upstream> = directory
            .serving(&job.service)
            .filter(|upstream| holds_model(upstream, job))
            .collect();
        let room = RoomByVersion::new(job, &holding);
        let capable: Vec<&Upstream> = holding
            .into_iter()
            .filter(|upstream| may_continue(upstream, job))
            .collect();
        let awake: Vec<&Upstream> = capable
            .iter()
            .filter(|upstream| !self.availability.is_resting(now_ms, &upstream.name))
            .copied()
            .collect();
        if awake.is_empty() && !capable.is_empty() {
            return self.decide_at_rest(now_ms, job, &capable);
        }
        let capable = awake;
        let reachable: Vec<&Upstream> = capable
            .iter()
            .filter(|upstream| !self.availability.is_suspended(now_ms, &upstream.name))
            .copied()
            .collect();
        // A plain service is tried even if no instance is reachable, because no other instance can
        // be started. A model can be loaded on another engine.
        let capable = match reachable.is_empty() && job.wanted.is_none() {
            true => capable,
            false => reachable,
        };
        if capable.is_empty() {
            return self.decide_without_upstream(now_ms, directory, job);
        }
        let capable = without_unusable(now_ms, job, capable);
        let free = match self.preferred(now_ms, &capable) {
            Some(preferred) => self.free_candidates(now_ms, directory, &room, &preferred),
            None => return self.decide_used_up(now_ms, directory, job, &capable),
        };
        if free.is_empty() {
            return DispatchDecision::Wait(WaitReason::Full);
        }
        let request = RouteRequest {
            prefix_hash: job.prefix_hash,
            tried: job.tried.clone(),
        };
        let policy = policy(&mut self.routing, &self.options, &job.service);
        let chosen = policy.choose_by_speed(now_ms, &request, &free, &self.speeds);
        match chosen {
            Some(_) if job.awaits_retry_budget && !self.spend_retry(now_ms, job) => {
                DispatchDecision::Wait(WaitReason::Budget)
            }
            Some(index) => DispatchDecision::Send(free[index].upstream.clone()),
            None => DispatchDecision::Wait(WaitReason::Full),
        }
    }

    /// Returns the upstreams among which one is chosen, by the rate limits that they state; `None` if
    /// all are limited and used up. Limited upstreams follow the others, except one whose limit is due
    /// for a check.
    fn preferred<'a>(
        &self,
        now_ms: u64,
        capable: &[&'a Upstream],
    ) -> Option<Vec<Vec<&'a Upstream>>> {
        let limits = &self.stated_limits;
        if !limits.is_any() {
            return Some(vec![capable.to_vec()]);
        }
        let (limited, open): (Vec<&Upstream>, Vec<&Upstream>) = capable
            .iter()
            .partition(|upstream| limits.limit(&upstream.name).is_some());
        let available: Vec<&Upstream> = limited
            .into_iter()
            .filter(|upstream| !limits.is_used_up(now_ms, &upstream.name))
            .collect();
        if open.is_empty() && available.is_empty() {
            return None;
        }
        let due = available
            .iter()
            .filter(|upstream| limits.is_check_due(now_ms, &upstream.name))
            .take(1)
            .copied()
            .collect();
        Some(vec![due, open, available])
    }

    /// Returns the candidates of the first group in which an upstream has room.
    fn free_candidates(
        &self,
        now_ms: u64,
        directory: &Directory,
        room: &RoomByVersion<'_>,
        groups: &[Vec<&Upstream>],
    ) -> Vec<Candidate> {
        let free = groups.iter().map(|group| {
            let free = group
                .iter()
                .filter(|upstream| self.has_room(now_ms, directory, upstream, room));
            free.map(|upstream| candidate(upstream)).collect()
        });
        free.into_iter()
            .find(|free: &Vec<Candidate>| !free.is_empty())
            .unwrap_or_default()
    }

    /// Spends a retry from the budget for a request that has not run. Returns `false` if none is
    /// left.
    pub(crate) fn spend_retry(&mut self, now_ms: u64, job: &Job) -> bool {
        let request = retry_request(now_ms, job, true, false);
        let decision = self.retries.decide(now_ms, &request);
        matches!(decision, RetryDecision::RetryAfterMs(_))
    }

    /// Records that a request was sent to an upstream.
    pub fn sent(&mut self, now_ms: u64, job: &Job, upstream: &UpstreamName) {
        self.loads.entry(upstream.clone()).or_default().sent();
        self.availability.sent(now_ms, upstream);
        let event = RoutingEvent::Sent {
            upstream: upstream.clone(),
            prefix_hash: job.prefix_hash,
        };
        self.policy(&job.service).learn(now_ms, event);
    }

    /// Records that a sent request ended. `first_byte_ms` is the time from the send to the first
    /// byte of the answer, if one came.
    pub fn ended(
        &mut self,
        now_ms: u64,
        service: &GroupName,
        upstream: &UpstreamName,
        outcome: UpstreamOutcome,
        first_byte_ms: Option<u64>,
    ) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.ended();
        }
        if outcome == UpstreamOutcome::Answered {
            self.availability.resume(upstream);
        }
        let event = RoutingEvent::Ended {
            upstream: upstream.clone(),
            outcome,
            first_byte_ms,
        };
        self.policy(service).learn(now_ms, event);
    }

    /// Records the load that an upstream states in an answer.
    pub fn reported(
        &mut self,
        now_ms: u64,
        service: &GroupName,
        upstream: &UpstreamName,
        sample: LoadSample,
    ) {
        self.loads
            .entry(upstream.clone())
            .or_default()
            .reported(now_ms, sample);
        self.speeds
            .record_work(now_ms, upstream, sample.work_percent);
        let report = LoadReport {
            as_of_ms: now_ms,
            running: sample.running,
            waiting: sample.waiting,
            slots: sample.slots,
            checkpoints: Vec::new(),
        };
        let event = RoutingEvent::Reported {
            upstream: upstream.clone(),
            report,
        };
        self.policy(service).learn(now_ms, event);
    }

    /// Records the lasting speed of an upstream, in percent of the mean, as the lease holder has
    /// learned it from the streams of all VMs. It holds until another one is recorded or the
    /// upstream is removed; 100 ends it.
    pub fn record_speed(&mut self, upstream: &UpstreamName, speed_percent: u32) {
        self.speeds.record_lasting(upstream, speed_percent);
    }

    /// Records that an upstream has left the fleet, and drops its state.
    pub fn removed(&mut self, now_ms: u64, upstream: &UpstreamName) {
        self.loads.remove(upstream);
        self.speeds.forget(upstream);
        self.availability.forget(upstream);
        self.stated_limits.forget(upstream);
        self.rejection_limits.forget(now_ms, upstream);
        self.forgive(now_ms, upstream);
    }

    /// Records that an upstream refused a connection and suspends it for a while. Returns whether
    /// it was not suspended before.
    pub fn record_unreachable(&mut self, now_ms: u64, upstream: &UpstreamName) -> bool {
        self.availability.record_unreachable(now_ms, upstream)
    }

    /// Suspends an upstream until a time. Returns whether it was not suspended before.
    pub fn suspend(&mut self, now_ms: u64, upstream: &UpstreamName, until_ms: u64) -> bool {
        self.availability.suspend_until(now_ms, upstream, until_ms)
    }

    /// Ends the suspension of an upstream. A rest that it has asked for goes on.
    pub fn resume(&mut self, upstream: &UpstreamName) {
        self.availability.resume(upstream);
    }

    /// Drops what is held against an upstream, because its failures were those of this VM's path.
    pub fn forgive(&mut self, now_ms: u64, upstream: &UpstreamName) {
        for policy in self.routing.values_mut() {
            policy.learn(
                now_ms,
                RoutingEvent::Removed {
                    upstream: upstream.clone(),
                },
            );
        }
    }

    /// Returns the upstreams that could run a request, whether or not they are reached and free.
    pub fn capable<'a>(
        &self,
        directory: &'a Directory,
        job: &'a Job,
    ) -> impl Iterator<Item = &'a Upstream> {
        let serving = directory.serving(&job.service);
        serving.filter(|upstream| can_run(upstream, job))
    }

    /// Returns whether this VM sends an upstream nothing now because it is suspended.
    pub fn is_unreachable(&self, now_ms: u64, upstream: &UpstreamName) -> bool {
        self.availability.is_suspended(now_ms, upstream)
    }

    /// Returns the rate limits that upstreams state.
    pub fn stated_limits(&self) -> &StatedLimits {
        &self.stated_limits
    }

    /// Returns the rate limits that upstreams state, for recording.
    pub fn stated_limits_mut(&mut self) -> &mut StatedLimits {
        &mut self.stated_limits
    }

    /// Returns the limits on rejections that upstreams state.
    pub fn rejection_limits(&self) -> &RejectionLimits {
        &self.rejection_limits
    }

    /// Returns the limits on rejections that upstreams state, for recording.
    pub fn rejection_limits_mut(&mut self) -> &mut RejectionLimits {
        &mut self.rejection_limits
    }

    /// Records when a model that no engine holds is expected to be loaded.
    pub fn record_forecast(&mut self, now_ms: u64, model: ModelName, forecast: LoadForecast) {
        self.forecasts.record(now_ms, model, forecast);
    }

    /// Returns in how many milliseconds the model that a request misses is expected to be loaded,
    /// or `None` if the request needs no model or no forecast is known.
    pub fn forecast_in_ms(&self, now_ms: u64, job: &Job) -> Option<u64> {
        let wanted = job.wanted.as_ref()?;
        let forecast = self.forecasts.get(now_ms, &wanted.model)?;
        forecast
            .ready_ms
            .map(|ready_ms| ready_ms.saturating_sub(now_ms))
    }

    /// Returns how many of this VM's requests are in progress at an upstream.
    pub fn local_requests(&self, upstream: &UpstreamName) -> u32 {
        self.loads
            .get(upstream)
            .map_or(0, UpstreamLoad::local_requests)
    }

    /// Decides whether a request is sent again after a failed send.
    pub fn after_failure(
        &mut self,
        now_ms: u64,
        job: &Job,
        failed: FailedAttempt,
        answer_begun: bool,
    ) -> RetryAction {
        if !failed.is_not_run() && job.runs >= job.attempts {
            return RetryAction::GiveUp;
        }
        let certainly_not_run = failed.is_not_run() && job.runs == 0;
        let begun = answer_begun && !job.kind.is_repeatable();
        let request = retry_request(now_ms, job, certainly_not_run, begun);
        match self.retries.decide(now_ms, &request) {
            RetryDecision::RetryAfterMs(pause_ms) => RetryAction::AfterMs(pause_ms),
            // Waiting costs nothing: nothing was lost in this attempt, and the request may be sent
            // once budget is earned.
            RetryDecision::BudgetSpent if failed.is_not_run() => RetryAction::OnceBudgetAllows,
            _ => RetryAction::GiveUp,
        }
    }

    /// Returns whether an upstream has as many requests as it can run at once, or more.
    pub(crate) fn is_full(
        &self,
        now_ms: u64,
        directory: &Directory,
        upstream: &UpstreamName,
    ) -> bool {
        let requests = self.loads.get(upstream).map_or(0, |it| it.requests(now_ms));
        let known = directory.upstream(upstream);
        known.is_some_and(|known| requests >= known.slots.max(1))
    }

    fn has_room(
        &self,
        now_ms: u64,
        directory: &Directory,
        upstream: &Upstream,
        room: &RoomByVersion<'_>,
    ) -> bool {
        let requests = self
            .loads
            .get(&upstream.name)
            .map_or(0, |it| it.requests(now_ms));
        let service = directory.service(&upstream.service);
        if self.rejection_limits.is_held_back(now_ms, &upstream.name)
            || !self.availability.may_send(now_ms, &upstream.name)
        {
            return false;
        }
        let fill = match service.is_some_and(|service| service.engine.is_some()) {
            true => self.options.engine_fill,
            false => self.options.service_fill,
        };
        let slots = f64::from(upstream.slots.max(1));
        let max_requests = match self
            .rejection_limits
            .limit(&upstream.service, &upstream.name)
        {
            Some(_) => slots * fill.min(LIMITED_FILL),
            None => room.max_requests(upstream, slots * fill),
        };
        f64::from(requests) < max_requests
    }

    fn policy(&mut self, service: &GroupName) -> &mut CorrectedLoad {
        policy(&mut self.routing, &self.options, service)
    }
}

fn policy<'a>(
    routing: &'a mut HashMap<GroupName, CorrectedLoad>,
    options: &DispatcherOptions,
    service: &GroupName,
) -> &'a mut CorrectedLoad {
    routing
        .entry(service.clone())
        .or_insert_with(|| CorrectedLoad::new(routing_options(options)))
}
