//! Simulation of many VMs that send to engines of uneven speed and learn of an engine's load and
//! present speed only from their own answers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_routing::CorrectedLoad;
use apricotdale_routing::Options;
use apricotdale_routing::OutlierOptions;
use apricotdale_routing::UpstreamSpeeds;

use super::candidates;

const SLOW_PERIOD_MS: u64 = 600;
const SLOW_SHARE: f64 = 0.15;

/// How many times as long work takes in a slow period.
const SLOW_WORK: f64 = 2.5;

/// Difference from the mean up to which the lease holder does not tell a lasting speed.
const TOLD_DIFFERENCE_PERCENT: u32 = 10;

const ENGINES: usize = 24;
const SLOTS: u32 = 12;
const MODELS: usize = 9;
const REPLICAS: usize = 8;

/// Work until the first answer and until the end at the usual speed. One request in twelve has a
/// long prompt.
const FIRST_MS: f64 = 90.0;
const LONG_FIRST_MS: f64 = 500.0;
const LONG_SHARE: f64 = 1.0 / 12.0;
const REST_MS: f64 = 700.0;

const LENGTH_MS: u64 = 60_000;

/// What the VMs know of the engines' speeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    pub lasting: bool,
    pub present: bool,
}

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct UnevenFleet {
    pub known: Known,
    pub vms: usize,
    /// Arrivals as a share of what the engines can run.
    pub load: f64,
    /// Whether speeds are drawn from 0.5 to 1.3 and engines have slow periods; otherwise all
    /// engines are alike.
    pub uneven: bool,
    pub seed: u64,
}

/// Result of one simulation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Times from the arrival to the first answer, in order.
    pub first_ms: Vec<u64>,
    /// Engine of each request, in order of arrival.
    pub engines: Vec<usize>,
}

impl Answers {
    /// Returns a percentile of the times to the first answer.
    pub fn percentile_ms(&self, percent: usize) -> u64 {
        let index = self.first_ms.len().saturating_sub(1) * percent / 100;
        self.first_ms.get(index).copied().unwrap_or_default()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    First { request: usize },
    End { request: usize },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    vm: usize,
    engine: usize,
    sent_ms: u64,
    first_work_ms: f64,
    rest_work_ms: f64,
    first_ms: u64,
}

#[derive(Clone, Debug)]
struct Engine {
    speed: f64,
    /// Times at which slow periods begin, in order.
    slow_from_ms: Vec<u64>,
    running: u32,
    queue: VecDeque<usize>,
}

impl Engine {
    fn drawn(random: &mut ChaCha8Rng, uneven: bool) -> Self {
        // All draws are made for even fleets too, so that both kinds have the same arrivals.
        let speed = random.random_range(0.5..1.3);
        let mean_gap_ms = SLOW_PERIOD_MS as f64 * (1.0 - SLOW_SHARE) / SLOW_SHARE;
        let mut slow_from_ms = Vec::new();
        let mut at_ms = 0;
        while at_ms < 2 * LENGTH_MS {
            let draw: f64 = random.random_range(f64::EPSILON..1.0);
            at_ms += (-draw.ln() * mean_gap_ms) as u64;
            slow_from_ms.push(at_ms);
            at_ms += SLOW_PERIOD_MS;
        }
        Self {
            speed: if uneven { speed } else { 1.0 },
            slow_from_ms: if uneven { slow_from_ms } else { Vec::new() },
            running: 0,
            queue: VecDeque::new(),
        }
    }

    fn is_slow(&self, now_ms: u64) -> bool {
        self.period(now_ms).0
    }

    /// Returns whether the engine is in a slow period, and when that changes next.
    fn period(&self, now_ms: u64) -> (bool, u64) {
        let begun = self.slow_from_ms.partition_point(|from| *from <= now_ms);
        let last = begun.checked_sub(1).map(|index| self.slow_from_ms[index]);
        let next_ms = self.slow_from_ms.get(begun).copied();
        match last {
            Some(from) if now_ms < from + SLOW_PERIOD_MS => (true, from + SLOW_PERIOD_MS),
            _ => (false, next_ms.unwrap_or(u64::MAX)),
        }
    }

    /// Returns when work that begins now is done.
    fn done_ms(&self, now_ms: u64, work_ms: f64) -> u64 {
        let mut left_ms = work_ms;
        let mut at_ms = now_ms as f64;
        loop {
            let (is_slow, change_ms) = self.period(at_ms as u64);
            let speed = match is_slow {
                true => self.speed / SLOW_WORK,
                false => self.speed,
            };
            let until_change_ms = change_ms as f64 - at_ms;
            if left_ms <= until_change_ms * speed {
                return (at_ms + left_ms / speed).ceil() as u64;
            }
            left_ms -= until_change_ms * speed;
            at_ms = change_ms as f64;
        }
    }

    fn work_percent(&self, now_ms: u64) -> u32 {
        match self.is_slow(now_ms) {
            true => (SLOW_WORK * 100.0) as u32,
            false => 100,
        }
    }
}

struct Simulation {
    fleet: UnevenFleet,
    random: ChaCha8Rng,
    gap_ms: f64,
    /// Candidates of each model, and the engines that they are.
    models: Vec<(Vec<Candidate>, Vec<usize>)>,
    names: Vec<Candidate>,
    engines: Vec<Engine>,
    policies: Vec<CorrectedLoad>,
    speeds: Vec<UpstreamSpeeds>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    answers: Answers,
}

/// Runs one simulation.
pub fn simulate(fleet: UnevenFleet) -> Answers {
    let mut simulation = Simulation::new(fleet);
    simulation.events.push(Reverse((0, Event::Arrive)));
    while let Some(Reverse((now_ms, event))) = simulation.events.pop() {
        match event {
            Event::Arrive if now_ms < LENGTH_MS => simulation.arrive(now_ms),
            Event::Arrive => {}
            Event::First { request } => simulation.answer(now_ms, request),
            Event::End { request } => simulation.end(now_ms, request),
        }
    }
    simulation.answers.first_ms.sort_unstable();
    simulation.answers
}

/// Returns the routing options with which entry VMs run.
fn options(vm: usize) -> Options {
    Options {
        seed: vm as u64,
        assumed_lag_ms: 50,
        max_lag_ms: 2_000,
        assumed_run_ms: 400,
        weight_half_life_ms: 3_000,
        outliers: OutlierOptions {
            half_life_ms: 4_000,
            min_weight: 5.0,
            ..OutlierOptions::default()
        },
        ..Options::default()
    }
}

impl Simulation {
    fn new(fleet: UnevenFleet) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(fleet.seed);
        let engines: Vec<Engine> = (0..ENGINES)
            .map(|_| Engine::drawn(&mut random, fleet.uneven))
            .collect();
        let names = candidates(ENGINES, 1);
        let model = |random: &mut ChaCha8Rng| {
            let mut indices: Vec<usize> = (0..ENGINES).collect();
            let held: Vec<usize> = (0..REPLICAS)
                .map(|_| indices.swap_remove(random.random_range(0..indices.len())))
                .collect();
            let candidates = held.iter().map(|index| names[*index].clone()).collect();
            (candidates, held)
        };
        let models = (0..MODELS).map(|_| model(&mut random)).collect();
        let mean_speed = engines.iter().map(|engine| engine.speed).sum::<f64>() / ENGINES as f64;
        let available = match fleet.uneven {
            true => 1.0 - SLOW_SHARE + SLOW_SHARE / SLOW_WORK,
            false => 1.0,
        };
        let work_ms = FIRST_MS + LONG_SHARE * (LONG_FIRST_MS - FIRST_MS) + REST_MS;
        let slots = ENGINES as f64 * f64::from(SLOTS);
        let mut simulation = Self {
            gap_ms: work_ms / (slots * mean_speed * available * fleet.load),
            policies: (0..fleet.vms)
                .map(|vm| CorrectedLoad::new(options(vm)))
                .collect(),
            speeds: vec![UpstreamSpeeds::default(); fleet.vms],
            random,
            models,
            names,
            engines,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            answers: Answers::default(),
            fleet,
        };
        simulation.tell_lasting(mean_speed);
        simulation
    }

    fn tell_lasting(&mut self, mean_speed: f64) {
        if !self.fleet.known.lasting {
            return;
        }
        for (engine, candidate) in self.engines.iter().zip(&self.names) {
            let percent = (100.0 * engine.speed / mean_speed).round() as u32;
            if percent.abs_diff(100) <= TOLD_DIFFERENCE_PERCENT {
                continue;
            }
            for speeds in &mut self.speeds {
                speeds.record_lasting(&candidate.upstream, percent);
            }
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        let gap_ms = (-draw.ln() * self.gap_ms).round() as u64;
        self.events.push(Reverse((now_ms + gap_ms, Event::Arrive)));
        let vm = self.random.random_range(0..self.fleet.vms);
        let model = self.random.random_range(0..MODELS);
        let factor: f64 = self.random.random_range(0.5..1.5);
        let first_work_ms = match self.random.random_bool(LONG_SHARE) {
            true => LONG_FIRST_MS,
            false => FIRST_MS,
        };
        let (candidates, held) = &self.models[model];
        let chosen = self.policies[vm].choose_by_speed(
            now_ms,
            &RouteRequest::default(),
            candidates,
            &self.speeds[vm],
        );
        let engine = held[chosen.expect("there are candidates")];
        let sent = RoutingEvent::Sent {
            upstream: self.names[engine].upstream.clone(),
            prefix_hash: None,
        };
        self.policies[vm].learn(now_ms, sent);
        self.answers.engines.push(engine);
        self.requests.push(Request {
            vm,
            engine,
            sent_ms: now_ms,
            first_work_ms,
            rest_work_ms: REST_MS * factor,
            first_ms: 0,
        });
        let request = self.requests.len() - 1;
        self.engines[engine].queue.push_back(request);
        self.start_next(now_ms, engine);
    }

    fn start_next(&mut self, now_ms: u64, index: usize) {
        let engine = &mut self.engines[index];
        if engine.running >= SLOTS {
            return;
        }
        let Some(request) = engine.queue.pop_front() else {
            return;
        };
        engine.running += 1;
        let first_ms = engine.done_ms(now_ms, self.requests[request].first_work_ms);
        self.events
            .push(Reverse((first_ms, Event::First { request })));
    }

    fn answer(&mut self, now_ms: u64, index: usize) {
        let request = &mut self.requests[index];
        request.first_ms = now_ms - request.sent_ms;
        let request = *request;
        self.answers.first_ms.push(request.first_ms);
        let engine = &self.engines[request.engine];
        let upstream = self.names[request.engine].upstream.clone();
        if self.fleet.known.present {
            let work_percent = engine.work_percent(now_ms);
            self.speeds[request.vm].record_work(now_ms, &upstream, work_percent);
        }
        let report = LoadReport {
            as_of_ms: now_ms,
            running: engine.running,
            waiting: engine.queue.len() as u32,
            slots: SLOTS,
            checkpoints: Vec::new(),
        };
        let end_ms = engine.done_ms(now_ms, request.rest_work_ms);
        self.policies[request.vm].learn(now_ms, RoutingEvent::Reported { upstream, report });
        self.events
            .push(Reverse((end_ms, Event::End { request: index })));
    }

    fn end(&mut self, now_ms: u64, index: usize) {
        let request = self.requests[index];
        let ended = RoutingEvent::Ended {
            upstream: self.names[request.engine].upstream.clone(),
            outcome: UpstreamOutcome::Answered,
            first_byte_ms: Some(request.first_ms),
        };
        self.policies[request.vm].learn(now_ms, ended);
        self.engines[request.engine].running -= 1;
        self.start_next(now_ms, request.engine);
    }
}
