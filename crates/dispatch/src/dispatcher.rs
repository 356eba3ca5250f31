//! The decisions of one VM on its requests.

use std::collections::HashMap;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RetryRequest;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_fleet::Directory;
use apricotdale_fleet::Upstream;
use apricotdale_routing::BudgetedRetry;
use apricotdale_routing::CorrectedLoad;
use apricotdale_routing::Options as RoutingOptions;
use apricotdale_routing::OutlierOptions;
use apricotdale_routing::RetryOptions;

use crate::crowding::Crowding;
use crate::crowding::LoadSample;
use crate::forecast::Forecasts;
use crate::forecast::LoadForecast;
use crate::job::Attempt;
use crate::job::FailedTry;
use crate::job::Job;
use crate::job::Verdict;
use crate::job::WaitReason;
use crate::suspension::Suspensions;

/// VMs among which the repeats are shared before the other VMs are known: more than there are.
const UNKNOWN_VMS: u32 = 100;

/// The part of the spare repeats that the VMs may have saved together.
const SAVED_SHARE: f64 = 0.5;

/// The part of the spare repeats that time alone earns within the operators' window.
const TIMED_SHARE: f64 = 0.4;

/// The part of the allowed repeats of each request that it earns.
const EARNED_SHARE: f64 = 0.95;

/// Saved repeats up to which time alone earns more.
const IDLE_SAVED: f64 = 2.0;

/// `DispatcherOptions` are the dispatcher's limits.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatcherOptions {
    /// The seed of random choices; each VM needs its own.
    pub seed: u64,
    /// This VM's availability zone.
    pub own_zone: ZoneName,
    /// Repeats that all VMs together may add to each request of a service.
    pub repeats_per_request: f64,
    /// Repeats that all VMs together may add beyond that within the window.
    pub spare_repeats: f64,
    /// The operators' window for counting repeats.
    pub repeats_window_ms: u64,
    /// VMs among which the repeats are shared.
    pub vms: u32,
    /// How much of an engine's places requests may take before more wait at the VM. Above one,
    /// requests wait at the engine, where they can't be sent elsewhere any more.
    pub engine_fill: f64,
    /// The same for plain services, whose requests are short.
    pub service_fill: f64,
    /// The time that must be left for a request to be worth sending at all.
    pub least_left_ms: u64,
}

impl DispatcherOptions {
    /// Returns the options of a VM.
    pub fn new(seed: u64, own_zone: ZoneName) -> Self {
        Self {
            seed,
            own_zone,
            repeats_per_request: 0.2,
            spare_repeats: 50.0,
            repeats_window_ms: 10_000,
            vms: UNKNOWN_VMS,
            engine_fill: 1.0,
            service_fill: 1.6,
            least_left_ms: 60,
        }
    }
}

/// `Dispatcher` decides for one VM where requests go.
pub struct Dispatcher {
    options: DispatcherOptions,
    routing: HashMap<GroupName, CorrectedLoad>,
    retries: BudgetedRetry,
    crowding: HashMap<UpstreamName, Crowding>,
    forecasts: Forecasts,
    suspensions: Suspensions,
}

impl Dispatcher {
    /// Returns a dispatcher that knows nothing of the upstreams yet.
    pub fn new(options: DispatcherOptions) -> Self {
        let retries = BudgetedRetry::new(retry_options(&options));
        Self {
            options,
            routing: HashMap::new(),
            retries,
            crowding: HashMap::new(),
            forecasts: Forecasts::default(),
            suspensions: Suspensions::default(),
        }
    }

    /// Takes in how many VMs share the repeats.
    pub fn set_vms(&mut self, vms: u32) {
        if vms != self.options.vms {
            self.options.vms = vms;
            self.retries.set_options(retry_options(&self.options));
        }
    }

    /// Notes that a request asks to be sent for the first time.
    pub fn arrived(&mut self, now_ms: u64, job: &Job) {
        self.retries.first_try(now_ms, &job.service);
    }

    /// Decides what happens with a request now.
    pub fn decide(&mut self, now_ms: u64, directory: &Directory, job: &Job) -> Verdict {
        let left_ms = job.deadline_ms.saturating_sub(now_ms);
        if left_ms < self.options.least_left_ms {
            return Verdict::Refuse(self.late(job));
        }
        let able: Vec<&Upstream> = directory
            .serving(&job.service)
            .filter(|upstream| can_run(upstream, job))
            .collect();
        let reachable: Vec<&Upstream> = able
            .iter()
            .filter(|upstream| !self.suspensions.holds(now_ms, &upstream.name))
            .copied()
            .collect();
        // A plain service without a reachable instance is tried all the same: nobody can bring
        // another one. A model can be loaded elsewhere.
        let able = match reachable.is_empty() && job.wanted.is_none() {
            true => able,
            false => reachable,
        };
        if able.is_empty() {
            return self.without_upstream(now_ms, directory, job);
        }
        let free: Vec<Candidate> = able
            .iter()
            .filter(|upstream| self.has_room(now_ms, directory, upstream))
            .map(|upstream| candidate(upstream))
            .collect();
        if free.is_empty() {
            return Verdict::Wait(WaitReason::Crowded);
        }
        let request = RouteRequest {
            prefix_hash: job.prefix_hash,
            tried: job.tried.clone(),
        };
        let chosen = self.policy(&job.service).choose(now_ms, &request, &free);
        match chosen {
            Some(_) if job.owes_repeat && !self.may_repeat(now_ms, job) => {
                Verdict::Wait(WaitReason::Budget)
            }
            Some(place) => Verdict::Send(free[place].upstream.clone()),
            None => Verdict::Wait(WaitReason::Crowded),
        }
    }

    /// Takes a repeat from the budget for a request that has not run, if there is one.
    fn may_repeat(&mut self, now_ms: u64, job: &Job) -> bool {
        let request = repeat_of(now_ms, job, true, false);
        let decision = self.retries.decide(now_ms, &request);
        matches!(decision, RetryDecision::RetryAfterMs(_))
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, now_ms: u64, job: &Job, upstream: &UpstreamName) {
        self.crowding.entry(upstream.clone()).or_default().sent();
        let event = RoutingEvent::Sent {
            upstream: upstream.clone(),
            prefix_hash: job.prefix_hash,
        };
        self.policy(&job.service).learn(now_ms, event);
    }

    /// Notes that a sent request ended.
    pub fn ended(
        &mut self,
        now_ms: u64,
        service: &GroupName,
        upstream: &UpstreamName,
        outcome: UpstreamOutcome,
        first_byte_ms: Option<u64>,
    ) {
        if let Some(crowding) = self.crowding.get_mut(upstream) {
            crowding.ended();
        }
        if outcome == UpstreamOutcome::Answered {
            self.suspensions.forget(upstream);
        }
        let event = RoutingEvent::Ended {
            upstream: upstream.clone(),
            outcome,
            first_byte_ms,
        };
        self.policy(service).learn(now_ms, event);
    }

    /// Notes what an upstream says of its load.
    pub fn reported(
        &mut self,
        now_ms: u64,
        service: &GroupName,
        upstream: &UpstreamName,
        sample: LoadSample,
    ) {
        self.crowding
            .entry(upstream.clone())
            .or_default()
            .reported(now_ms, sample);
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

    /// Notes that an upstream is gone.
    pub fn removed(&mut self, now_ms: u64, upstream: &UpstreamName) {
        self.crowding.remove(upstream);
        self.suspensions.forget(upstream);
        for policy in self.routing.values_mut() {
            policy.learn(
                now_ms,
                RoutingEvent::Removed {
                    upstream: upstream.clone(),
                },
            );
        }
    }

    /// Notes that an upstream could not be reached. Returns whether that is news.
    pub fn note_unreachable(&mut self, now_ms: u64, upstream: &UpstreamName) -> bool {
        self.suspensions.note_unreachable(now_ms, upstream)
    }

    /// Returns whether an upstream can't be reached now, as far as this VM knows.
    pub fn is_unreachable(&self, now_ms: u64, upstream: &UpstreamName) -> bool {
        self.suspensions.holds(now_ms, upstream)
    }

    /// Notes when a missing model will be there.
    pub fn note_forecast(&mut self, now_ms: u64, model: ModelName, forecast: LoadForecast) {
        self.forecasts.note(now_ms, model, forecast);
    }

    /// Returns in how many milliseconds a request's missing model is expected, if that is known.
    pub fn forecast_in_ms(&self, now_ms: u64, job: &Job) -> Option<u64> {
        let wanted = job.wanted.as_ref()?;
        let forecast = self.forecasts.get(now_ms, &wanted.model)?;
        forecast
            .ready_ms
            .map(|ready_ms| ready_ms.saturating_sub(now_ms))
    }

    /// Returns this VM's own requests at an upstream.
    pub fn own_requests(&self, upstream: &UpstreamName) -> u32 {
        self.crowding.get(upstream).map_or(0, Crowding::own)
    }

    /// Decides whether a request is sent again after a failed send.
    pub fn after_failure(
        &mut self,
        now_ms: u64,
        job: &Job,
        failed: FailedTry,
        answer_begun: bool,
    ) -> Attempt {
        if !failed.is_not_run() && job.runs >= job.attempts {
            return Attempt::GiveUp;
        }
        let certainly_not_run = failed.is_not_run() && job.runs == 0;
        let begun = answer_begun && !job.kind.is_repeatable();
        let request = repeat_of(now_ms, job, certainly_not_run, begun);
        match self.retries.decide(now_ms, &request) {
            RetryDecision::RetryAfterMs(pause_ms) => Attempt::AgainAfterMs(pause_ms),
            // Nothing is lost by waiting: the request has not run and is not given up.
            RetryDecision::BudgetSpent if certainly_not_run => Attempt::OnceAllowed,
            _ => Attempt::GiveUp,
        }
    }

    fn without_upstream(&self, now_ms: u64, directory: &Directory, job: &Job) -> Verdict {
        let Some(wanted) = &job.wanted else {
            return Verdict::Wait(WaitReason::Crowded);
        };
        let known = directory
            .service(&job.service)
            .and_then(|service| service.engine.as_ref())
            .is_some_and(|engine| engine.models.contains_key(&wanted.model));
        if !known {
            let detail = format!("no model {} is configured", wanted.model);
            let mut refusal = Refusal::not_run(RefusalReason::NoCapacity, detail);
            refusal.retry_after_ms = None;
            return Verdict::Refuse(refusal);
        }
        let start_by_ms = job.deadline_ms.saturating_sub(job.expected_run_ms);
        match self
            .forecasts
            .get(now_ms, &wanted.model)
            .and_then(|forecast| forecast.ready_ms)
        {
            Some(ready_ms) if ready_ms > start_by_ms => Verdict::Refuse(self.too_late(job)),
            _ if now_ms > start_by_ms => Verdict::Refuse(self.too_late(job)),
            _ => Verdict::Wait(WaitReason::Missing),
        }
    }

    fn has_room(&self, now_ms: u64, directory: &Directory, upstream: &Upstream) -> bool {
        let requests = self
            .crowding
            .get(&upstream.name)
            .map_or(0, |it| it.requests(now_ms));
        let service = directory.service(&upstream.service);
        let fill = match service.is_some_and(|service| service.engine.is_some()) {
            true => self.options.engine_fill,
            false => self.options.service_fill,
        };
        f64::from(requests) < f64::from(upstream.slots.max(1)) * fill
    }

    fn policy(&mut self, service: &GroupName) -> &mut CorrectedLoad {
        let options = &self.options;
        self.routing
            .entry(service.clone())
            .or_insert_with(|| CorrectedLoad::new(routing_options(options)))
    }

    fn too_late(&self, job: &Job) -> Refusal {
        let model = job
            .wanted
            .as_ref()
            .map_or("", |wanted| wanted.model.as_str());
        let detail = format!("{model} can't be loaded in time");
        Refusal::not_run(RefusalReason::DeadlineTooShort, detail)
    }

    fn late(&self, job: &Job) -> Refusal {
        let detail = "no upstream was free in time".to_owned();
        let mut refusal = Refusal::not_run(RefusalReason::DeadlineTooShort, detail);
        if job.runs > 0 {
            refusal.ran = Ran::Unknown;
        }
        refusal
    }
}

/// Returns this VM's part of the repeats. The VMs do not count together, so the parts must add up
/// to less than the operators allow, whichever VMs need them: with the parts of nine VMs, 71 VMs
/// broke the operators' bound while engines turned many requests away.
fn retry_options(options: &DispatcherOptions) -> RetryOptions {
    let vms = f64::from(options.vms.max(1));
    let window_s = options.repeats_window_ms as f64 / 1_000.0;
    let max_saved = (options.spare_repeats * SAVED_SHARE / vms).max(1.0);
    RetryOptions {
        seed: options.seed,
        max_tries: 6,
        base_pause_ms: 8,
        max_pause_ms: 100,
        min_left_ms: options.least_left_ms,
        earned_per_first_try: options.repeats_per_request * EARNED_SHARE,
        max_saved,
        earned_per_s: options.spare_repeats * TIMED_SHARE / vms / window_s,
        idle_saved: max_saved.min(IDLE_SAVED),
    }
}

/// Deployments change within seconds here, so outcomes weigh for seconds and ejections are short.
fn routing_options(options: &DispatcherOptions) -> RoutingOptions {
    RoutingOptions {
        seed: options.seed,
        own_zone: Some(options.own_zone.clone()),
        assumed_lag_ms: 50,
        max_lag_ms: 2_000,
        assumed_run_ms: 400,
        weight_half_life_ms: 3_000,
        outliers: OutlierOptions {
            half_life_ms: 4_000,
            min_weight: 5.0,
            ejection_ms: 1_500,
            max_ejection_ms: 8_000,
            probe_interval_ms: 500,
            probe_timeout_ms: 2_000,
            probes_to_return: 2,
            ramp_ms: 1_500,
            forgive_after_ms: 10_000,
            ..OutlierOptions::default()
        },
        ..RoutingOptions::default()
    }
}

/// Returns what the retry policy is asked for a request that failed.
fn repeat_of(now_ms: u64, job: &Job, certainly_not_run: bool, answer_begun: bool) -> RetryRequest {
    RetryRequest {
        group: job.service.clone(),
        idempotent: job.kind.is_repeatable(),
        certainly_not_run,
        answer_begun,
        tries: job.tried.len() as u32,
        left_ms: job.deadline_ms.saturating_sub(now_ms),
    }
}

fn can_run(upstream: &Upstream, job: &Job) -> bool {
    match &job.wanted {
        Some(wanted) => upstream.residence.serves(wanted),
        None => true,
    }
}

fn candidate(upstream: &Upstream) -> Candidate {
    Candidate {
        upstream: upstream.name.clone(),
        address: upstream.address,
        zone: upstream.zone.clone(),
    }
}
