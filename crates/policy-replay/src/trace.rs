//! Seeded arrival traces.
//!
//! Times count from midnight of the first day. A model is always active, is called by a schedule,
//! or alternates between active and idle phases at the rate of change per hour that the deployment
//! gives. An active phase begins with a burst of requests.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_core::names::ModelName;

use crate::deployment::Deployment;
use crate::draw;

const HOUR_MS: f64 = 3_600_000.0;
const DAY_MS: f64 = 24.0 * HOUR_MS;

/// Hour of the day with the lowest load.
const QUIET_HOUR: f64 = 2.0;

/// Amplitude of the diurnal load, as a share of its mean.
const DIURNAL_SWING: f64 = 0.8;

/// Standard deviation, over models, of the logarithm of the mean time between requests.
const GAP_SPREAD: f64 = 1.2;
const MIN_GAP_MS: f64 = 2_000.0;
const MAX_GAP_MS: f64 = 900_000.0;

/// Time within which all requests of a burst arrive.
const BURST_MS: f64 = 2_000.0;

/// Periods from which those of scheduled calls are drawn.
const PERIODS_MS: [f64; 6] = [
    0.25 * HOUR_MS,
    0.5 * HOUR_MS,
    HOUR_MS,
    2.0 * HOUR_MS,
    6.0 * HOUR_MS,
    DAY_MS,
];

/// Standard deviation of scheduled calls from their times.
const SCHEDULE_JITTER_MS: f64 = 10_000.0;

/// Share of a model's requests that are in its main class; the class of the others is drawn.
const MAIN_CLASS_SHARE: f64 = 0.8;

/// Number of different prompt prefixes sent to one model.
const PREFIXES: u64 = 6;

/// Number of models to which the requests of a load surge go.
const SURGE_MODELS: usize = 10;

/// Pattern by which a model is called.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallPattern {
    /// Active all the time.
    Hot,
    /// Called by a schedule, with a burst at each time.
    Regular {
        /// Time between two scheduled calls.
        period_ms: u64,
    },
    /// Alternates between active and idle phases.
    Alternating,
}

/// Model or adapter of the trace.
#[derive(Clone, Debug)]
pub struct TraceModel {
    /// Name of the model or adapter.
    pub model: ModelName,
    /// Index of the base in the trace if this is an adapter, else none.
    pub base: Option<usize>,
    /// Accelerator memory that the loaded model occupies, in bytes.
    pub bytes: u64,
    /// Pattern by which the model is called.
    pub call_pattern: CallPattern,
    /// Mean time between two requests while the model is active, in milliseconds.
    pub gap_ms: f64,
    /// Index of its main class in the deployment.
    pub main_class: usize,
    /// Whether no host has the checkpoint cached at the start.
    pub remote_only: bool,
}

/// Target of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model or adapter, by its index in the trace.
    Model(usize),
    /// The plain service.
    Service,
}

/// Request of the trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// Time of arrival, in milliseconds since midnight of the first day.
    pub at_ms: u64,
    /// Model or service that the request is sent to.
    pub target: Target,
    /// Index of the request class in the deployment.
    pub class: usize,
    /// Number of the caller.
    pub caller: u32,
    /// Hash of the prompt's prefix; zero for a call to the service.
    pub prefix_hash: u64,
    /// Time to the first token on an empty engine without a cached prefix, in milliseconds.
    pub first_token_ms: u64,
    /// Time to the complete answer on an empty engine, in milliseconds.
    pub run_ms: u64,
}

/// Period in which callers send more work, on top of the usual requests.
#[derive(Clone, Copy, Debug)]
pub struct LoadSurge {
    /// Begin of the period, in milliseconds since midnight of the first day.
    pub from_ms: u64,
    /// End of the period, in milliseconds since midnight of the first day.
    pub to_ms: u64,
    /// Additional work, in milliseconds of run time on empty engines per millisecond.
    pub work_rate: f64,
}

/// Models of a deployment and the requests to them.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Models, followed by the adapters.
    pub models: Vec<TraceModel>,
    /// Requests, ordered by time of arrival.
    pub requests: Vec<TraceRequest>,
}

/// Returns the trace of a deployment from midnight to `until_ms`, with a load surge if given.
pub fn trace(deployment: &Deployment, seed: u64, until_ms: u64, surge: Option<LoadSurge>) -> Trace {
    let mut source = ChaCha8Rng::seed_from_u64(seed);
    let models = models(deployment, &mut source);
    let mut requests = Vec::new();
    for (index, model) in models.iter().enumerate() {
        // With a random source for each model, a change of one model leaves the requests of the
        // others unchanged.
        let mut model_source = ChaCha8Rng::seed_from_u64(seed ^ ((index as u64 + 1) << 20));
        let times = arrival_times(deployment, model, until_ms as f64, &mut model_source);
        requests.extend(
            times
                .into_iter()
                .map(|at_ms| request(deployment, index, model, at_ms, &mut model_source)),
        );
    }
    requests.extend(service_requests(deployment, seed, until_ms as f64));
    if let Some(surge) = surge {
        requests.extend(surge_requests(deployment, &models, seed, surge));
    }
    requests.retain(|request| request.at_ms < until_ms);
    requests.sort_by_key(|request| request.at_ms);
    Trace { models, requests }
}

fn models(deployment: &Deployment, source: &mut ChaCha8Rng) -> Vec<TraceModel> {
    let table = &deployment.models;
    let plain = (0..table.count).map(|index| (index, None));
    let adapters = (0..table.adapters).map(|index| (index, Some(index % table.adapter_bases)));
    plain
        .chain(adapters)
        .map(|(index, base)| {
            let call_pattern = call_pattern(deployment, source);
            let median_ms = match call_pattern {
                CallPattern::Hot => deployment.activity.hot_gap_median_ms,
                _ => deployment.activity.gap_median_ms,
            };
            let gap_ms = median_ms * (GAP_SPREAD * draw::normal(source)).exp();
            let kind = if base.is_some() { "adapter" } else { "model" };
            TraceModel {
                model: ModelName::from(format!("{kind}-{index:03}")),
                base,
                bytes: match base {
                    Some(_) => table.adapter_bytes,
                    None => table.sizes_bytes[index % table.sizes_bytes.len()],
                },
                call_pattern,
                gap_ms: gap_ms.clamp(MIN_GAP_MS, MAX_GAP_MS),
                main_class: class(deployment, source),
                remote_only: source.random_bool(table.remote_only_share),
            }
        })
        .collect()
}

fn call_pattern(deployment: &Deployment, source: &mut ChaCha8Rng) -> CallPattern {
    let activity = &deployment.activity;
    let drawn: f64 = source.random();
    let period = source.random_range(0..PERIODS_MS.len());
    match drawn {
        _ if drawn < activity.hot_share => CallPattern::Hot,
        _ if drawn < activity.hot_share + activity.regular_share => CallPattern::Regular {
            period_ms: PERIODS_MS[period] as u64,
        },
        _ => CallPattern::Alternating,
    }
}

fn class(deployment: &Deployment, source: &mut ChaCha8Rng) -> usize {
    let total: f64 = deployment.classes.iter().map(|class| class.share).sum();
    let mut remaining = source.random::<f64>() * total;
    for (index, class) in deployment.classes.iter().enumerate() {
        remaining -= class.share;
        if remaining < 0.0 {
            return index;
        }
    }
    deployment.classes.len() - 1
}

/// Returns the factor on the load at a time of day, with a mean of one over the day.
fn diurnal(at_ms: f64) -> f64 {
    let hour = (at_ms / HOUR_MS - QUIET_HOUR) / 24.0;
    1.0 - DIURNAL_SWING * (hour * std::f64::consts::TAU).cos()
}

fn arrival_times(
    deployment: &Deployment,
    model: &TraceModel,
    until_ms: f64,
    source: &mut ChaCha8Rng,
) -> Vec<f64> {
    match model.call_pattern {
        CallPattern::Hot => active_arrivals(model.gap_ms, 0.0, until_ms, source),
        CallPattern::Regular { period_ms } => {
            scheduled(deployment, period_ms as f64, until_ms, source)
        }
        CallPattern::Alternating => alternating(deployment, model, until_ms, source),
    }
}

/// Returns the arrivals at an active model: a Poisson process thinned by the time of day.
fn active_arrivals(gap_ms: f64, from_ms: f64, to_ms: f64, source: &mut ChaCha8Rng) -> Vec<f64> {
    let peak_rate = 1.0 + DIURNAL_SWING;
    let mut times = Vec::new();
    let mut at_ms = from_ms + draw::exponential(source, gap_ms / peak_rate);
    while at_ms < to_ms {
        if source.random::<f64>() * peak_rate < diurnal(at_ms) {
            times.push(at_ms);
        }
        at_ms += draw::exponential(source, gap_ms / peak_rate);
    }
    times
}

fn scheduled(
    deployment: &Deployment,
    period_ms: f64,
    until_ms: f64,
    source: &mut ChaCha8Rng,
) -> Vec<f64> {
    let phase_ms = source.random::<f64>() * period_ms;
    let size = source.random_range(1..=deployment.activity.max_burst);
    let mut times = Vec::new();
    let mut at_ms = phase_ms;
    while at_ms < until_ms {
        let start_ms = (at_ms + SCHEDULE_JITTER_MS * draw::normal(source)).max(0.0);
        times.extend((0..size).map(|_| start_ms + source.random::<f64>() * BURST_MS));
        at_ms += period_ms;
    }
    times
}

fn alternating(
    deployment: &Deployment,
    model: &TraceModel,
    until_ms: f64,
    source: &mut ChaCha8Rng,
) -> Vec<f64> {
    let activity = &deployment.activity;
    // In the steady state, half of the changes begin an active phase and half end one.
    let changes_per_hour = activity.change_share_per_hour / 2.0;
    let active_ms = activity.active_share / changes_per_hour * HOUR_MS;
    let idle_ms = (1.0 - activity.active_share) / changes_per_hour * HOUR_MS;
    let peak_rate = 1.0 + DIURNAL_SWING;
    let mut times = Vec::new();
    let mut at_ms = 0.0;
    let mut is_active = source.random_bool(activity.active_share);
    while at_ms < until_ms {
        if is_active {
            let end_ms = at_ms + draw::exponential(source, active_ms);
            let size = source.random_range(1..=activity.max_burst);
            times.extend((0..size).map(|_| at_ms + source.random::<f64>() * BURST_MS));
            times.extend(active_arrivals(
                model.gap_ms,
                at_ms,
                end_ms.min(until_ms),
                source,
            ));
            at_ms = end_ms;
            is_active = false;
            continue;
        }
        at_ms += draw::exponential(source, idle_ms / peak_rate);
        is_active = source.random::<f64>() * peak_rate < diurnal(at_ms);
    }
    times
}

fn request(
    deployment: &Deployment,
    index: usize,
    model: &TraceModel,
    at_ms: f64,
    source: &mut ChaCha8Rng,
) -> TraceRequest {
    let class = if source.random_bool(MAIN_CLASS_SHARE) {
        model.main_class
    } else {
        class(deployment, source)
    };
    let table = &deployment.classes[class];
    TraceRequest {
        at_ms: at_ms as u64,
        target: Target::Model(index),
        class,
        caller: source.random_range(0..deployment.activity.callers),
        prefix_hash: ((index as u64) << 8) | source.random_range(0..PREFIXES),
        first_token_ms: draw::log_normal(source, table.first_token_ms),
        run_ms: draw::log_normal(source, table.run_ms),
    }
}

fn service_requests(deployment: &Deployment, seed: u64, until_ms: f64) -> Vec<TraceRequest> {
    let mut source = ChaCha8Rng::seed_from_u64(seed ^ 0x5e71);
    let gap_ms = 1_000.0 / deployment.service.requests_per_s;
    active_arrivals(gap_ms, 0.0, until_ms, &mut source)
        .into_iter()
        .map(|at_ms| {
            let run_ms = draw::log_normal(&mut source, deployment.service.run_ms);
            TraceRequest {
                at_ms: at_ms as u64,
                target: Target::Service,
                class: 0,
                caller: source.random_range(0..deployment.activity.callers),
                prefix_hash: 0,
                first_token_ms: run_ms,
                run_ms,
            }
        })
        .collect()
}

fn surge_requests(
    deployment: &Deployment,
    models: &[TraceModel],
    seed: u64,
    surge: LoadSurge,
) -> Vec<TraceRequest> {
    let mut source = ChaCha8Rng::seed_from_u64(seed ^ 0xc20d);
    let share: f64 = deployment.classes.iter().map(|class| class.share).sum();
    let work_ms: f64 = deployment
        .classes
        .iter()
        .map(|class| class.share / share * class.run_ms as f64)
        .sum();
    let gap_ms = work_ms / surge.work_rate;
    let mut requests = Vec::new();
    let mut at_ms = surge.from_ms as f64;
    while at_ms < surge.to_ms as f64 {
        let called = source.random_range(0..SURGE_MODELS.min(models.len()));
        let mut surge_request = request(deployment, called, &models[called], at_ms, &mut source);
        surge_request.class = class(deployment, &mut source);
        let table = &deployment.classes[surge_request.class];
        surge_request.first_token_ms = draw::log_normal(&mut source, table.first_token_ms);
        surge_request.run_ms = draw::log_normal(&mut source, table.run_ms);
        requests.push(surge_request);
        at_ms += draw::exponential(&mut source, gap_ms);
    }
    requests
}
