//! Engines and requests of the search over silences.

use std::collections::BTreeMap;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::DispatcherOptions;
use apricotdale_dispatch::Job;
use apricotdale_dispatch::LivenessMonitor;
use apricotdale_fleet::Directory;
use apricotdale_fleet::RouteKind;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::SLOTS;
use super::directory;
use super::stream;

pub const ENGINES: usize = 3;
pub const STEP_MS: u64 = 10;
pub const SWEEP_MS: u64 = 250;
pub const END_MS: u64 = 40_000;
pub const SEEDS: u64 = 40;

/// Longest silence of a sound engine, and the shortest time between two.
pub const SOUND_SILENCE_MS: u64 = 1_600;
pub const BETWEEN_SILENCES_MS: u64 = 1_500;

/// Time within which the data of each connection goes on after a silence.
pub const RESUMED_WITHIN_MS: u64 = 300;

/// Time for which a probe of a silent engine is awaited.
pub const PROBE_TIMEOUT_MS: u64 = 150;

/// Retry budget that is soon spent, and the window in which it counts.
pub const FEW_REPEATS: (f64, f64) = (0.05, 6.0);
pub const AMPLE_REPEATS: (f64, f64) = (1.0, 100_000.0);
pub const WINDOW_MS: u64 = 10_000;

/// Fault that is planted between the search and the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    None,
    /// A guess is handled like a lost connection.
    GuessEnds,
    /// Each request may be moved as if it might run again.
    KindIgnored,
    /// No connection is doubted.
    NothingDoubted,
    /// A connection is doubted for its silence alone.
    SilenceSuffices,
    /// Moves are free.
    BudgetIgnored,
    /// Moves are not limited by the attempts of the route.
    AttemptsIgnored,
}

/// Attempt in progress.
pub struct Attempt {
    pub engine: usize,
    pub since_ms: u64,
    /// When its next data comes, unless the connection is dead or the engine silent.
    pub next_ms: u64,
    /// Number of data that are still to come.
    pub left: u32,
    pub is_dead: bool,
    pub has_begun: bool,
}

pub struct Request {
    pub job: Job,
    pub attempt: Option<Attempt>,
    /// Time before which it is not sent again.
    pub pause_until_ms: u64,
    /// Number of times that it was sent.
    pub sends: u32,
    pub has_begun: bool,
}

#[derive(Clone, Copy, Default)]
pub struct Engine {
    pub silent_until_ms: u64,
    pub awake_since_ms: u64,
    pub free_since_ms: u64,
    /// When a probe in progress ends, and whether it is answered.
    pub probe: Option<(u64, bool)>,
}

pub struct Search {
    pub planted: Planted,
    pub is_ample: bool,
    pub dispatcher: Dispatcher,
    /// Decides on moves where a planted fault ignores the budget.
    pub unbounded: Dispatcher,
    pub monitor: LivenessMonitor,
    pub directory: Directory,
    pub engines: [Engine; ENGINES],
    pub requests: BTreeMap<u64, Request>,
    pub arrivals: Vec<u64>,
    pub repeats: Vec<u64>,
    /// Number of requests that left a dead connection because it was doubted.
    pub left_dead: usize,
    pub random: ChaCha8Rng,
    pub now_ms: u64,
    pub violations: Vec<String>,
}

pub fn name(engine: usize) -> UpstreamName {
    UpstreamName::from(format!("e{engine}"))
}

pub fn new_dispatcher(seed: u64, repeats: (f64, f64)) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherOptions {
        repeats_per_request: repeats.0,
        spare_repeats: repeats.1,
        repeats_window_ms: WINDOW_MS,
        ..DispatcherOptions::new(seed, ZoneName::from("a"))
    });
    dispatcher.set_vms(1);
    dispatcher
}

impl Search {
    pub fn new(seed: u64, planted: Planted) -> Self {
        let is_ample = seed.is_multiple_of(2);
        let repeats = match is_ample {
            true => AMPLE_REPEATS,
            false => FEW_REPEATS,
        };
        let names: Vec<String> = (0..ENGINES).map(|it| format!("e{it}")).collect();
        let engines: Vec<(&str, &str, &[&str])> = names
            .iter()
            .map(|name| (name.as_str(), "a", ["m0"].as_slice()))
            .collect();
        Self {
            planted,
            is_ample,
            dispatcher: new_dispatcher(seed, repeats),
            unbounded: new_dispatcher(seed, AMPLE_REPEATS),
            monitor: LivenessMonitor::default(),
            directory: directory(&engines),
            engines: [Engine::default(); ENGINES],
            requests: BTreeMap::new(),
            arrivals: Vec::new(),
            repeats: Vec::new(),
            left_dead: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 1_000,
            violations: Vec::new(),
        }
    }

    pub fn chance(&mut self, permille: u32) -> bool {
        self.random.random_range(0..1_000) < permille
    }

    pub fn violate(&mut self, text: &str) {
        self.violations.push(format!("{}: {text}", self.now_ms));
    }

    pub fn in_progress(&self, engine: usize) -> u32 {
        let attempts = self.requests.values().filter_map(|it| it.attempt.as_ref());
        attempts.filter(|it| it.engine == engine).count() as u32
    }

    pub fn disturb(&mut self) {
        let now_ms = self.now_ms;
        for engine in 0..ENGINES {
            let state = self.engines[engine];
            let may_begin = now_ms >= state.silent_until_ms + BETWEEN_SILENCES_MS;
            if may_begin && self.chance(2) {
                let for_ms = match self.chance(500) {
                    true => SOUND_SILENCE_MS,
                    false => self.random.random_range(200..SOUND_SILENCE_MS),
                };
                self.engines[engine].silent_until_ms = now_ms + for_ms;
            }
            let is_full = self.in_progress(engine) >= SLOTS;
            let state = &mut self.engines[engine];
            if now_ms < state.silent_until_ms {
                state.awake_since_ms = now_ms;
            }
            if is_full {
                state.free_since_ms = now_ms;
            }
        }
    }

    pub fn arrive(&mut self, key: u64) {
        if !self.chance(50) {
            return;
        }
        let now_ms = self.now_ms;
        let mut job = stream("m0", true);
        job.kind = match self.random.random_range(0..4) {
            0 => RouteKind::Idempotent,
            1 => RouteKind::NonIdempotent,
            2 => RouteKind::Stream { resumable: false },
            _ => RouteKind::Stream { resumable: true },
        };
        job.arrived_ms = now_ms;
        job.deadline_ms = now_ms + self.random.random_range(4_000..20_000);
        job.attempts = self.random.random_range(1..=3);
        self.dispatcher.arrived(now_ms, &job);
        self.arrivals.push(now_ms);
        let request = Request {
            job,
            attempt: None,
            pause_until_ms: 0,
            sends: 0,
            has_begun: false,
        };
        self.requests.insert(key, request);
    }

    pub fn end_attempt(&mut self, key: u64, outcome: UpstreamOutcome) {
        let now_ms = self.now_ms;
        let request = self.requests.get_mut(&key).expect("a request");
        if let Some(attempt) = request.attempt.take() {
            let upstream = name(attempt.engine);
            let service = &request.job.service;
            self.dispatcher
                .ended(now_ms, service, &upstream, outcome, None);
            self.monitor.ended(&upstream);
        }
    }

    pub fn receive(&mut self) {
        let now_ms = self.now_ms;
        for key in self.requests.keys().copied().collect::<Vec<u64>>() {
            let gap_ms = self.random.random_range(20..60);
            let dies = self.chance(2);
            let resumes_in_ms = self.random.random_range(0..RESUMED_WITHIN_MS);
            let request = self.requests.get_mut(&key).expect("a request");
            let Some(attempt) = &mut request.attempt else {
                continue;
            };
            let silent_until_ms = self.engines[attempt.engine].silent_until_ms;
            if attempt.next_ms < silent_until_ms {
                attempt.next_ms = silent_until_ms + resumes_in_ms;
            }
            if attempt.is_dead || now_ms < attempt.next_ms {
                continue;
            }
            let waited_ms = now_ms - attempt.since_ms;
            let upstream = name(attempt.engine);
            self.dispatcher
                .record_wait(now_ms, &request.job, request.has_begun, waited_ms);
            self.monitor.heard(now_ms, &upstream);
            attempt.since_ms = now_ms;
            attempt.next_ms = now_ms + gap_ms;
            attempt.left -= 1;
            attempt.has_begun = true;
            attempt.is_dead = dies;
            request.has_begun = true;
            if attempt.left == 0 {
                self.end_attempt(key, UpstreamOutcome::Answered);
                self.requests.remove(&key);
            }
        }
    }

    pub fn probe(&mut self) {
        let now_ms = self.now_ms;
        for engine in 0..ENGINES {
            let Some((at_ms, is_answered)) = self.engines[engine].probe else {
                continue;
            };
            if at_ms <= now_ms {
                self.engines[engine].probe = None;
                if is_answered {
                    self.monitor.heard(now_ms, &name(engine));
                }
                self.monitor
                    .record_probe(now_ms, &name(engine), is_answered);
            }
        }
        for due in self.monitor.due(now_ms) {
            let engine = (0..ENGINES).find(|it| name(*it) == due);
            let state = &mut self.engines[engine.expect("a present engine")];
            let is_answered = state.silent_until_ms <= now_ms;
            let takes_ms = match is_answered {
                true => STEP_MS,
                false => PROBE_TIMEOUT_MS,
            };
            state.probe = Some((now_ms + takes_ms, is_answered));
        }
    }
}
