//! Simulation of many VMs that send to a group of engines with delayed load reports.

#![allow(dead_code)]

pub mod uneven_fleet;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_routing::Options;
use apricotdale_routing::routing_policy;

/// Time until a refusal or a broken connection reaches the VM.
const FAILURE_MS: u64 = 2;

/// Fault of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Runs take this many times as long.
    Slow(f64),
    /// Every request is refused at once, so that the engine always looks idle.
    Refuses,
    /// This share of the requests is lost while it runs.
    Loses(f64),
}

/// Parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub policy: &'static str,
    pub options: Options,
    pub vms: usize,
    pub engines: usize,
    pub slots: u32,
    pub run_ms: f64,
    /// Arrivals as a share of the capacity of all slots.
    pub load: f64,
    pub report_interval_ms: u64,
    pub report_lag_ms: u64,
    pub zones: usize,
    /// Number of prompt prefixes, or 0 for requests without prompts. Half of the requests use a
    /// tenth of the prefixes.
    pub prefixes: u64,
    /// Number of prefixes that one engine keeps cached.
    pub cached: usize,
    /// Engines that are busy with requests of other systems, and the share of their slots for
    /// these.
    pub background: Vec<(usize, f64)>,
    pub faults: Vec<(usize, Fault)>,
    /// Time at which the faults end.
    pub faults_end_ms: u64,
    pub length_ms: u64,
    pub seed: u64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            policy: "corrected_load",
            options: Options::default(),
            vms: 7,
            engines: 18,
            slots: 8,
            run_ms: 1_000.0,
            load: 0.8,
            report_interval_ms: 1_000,
            report_lag_ms: 2_000,
            zones: 1,
            prefixes: 0,
            cached: 64,
            background: Vec::new(),
            faults: Vec::new(),
            faults_end_ms: u64::MAX,
            length_ms: 120_000,
            seed: 7,
        }
    }
}

/// Result of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub waits_ms: Vec<u64>,
    pub sent: Vec<u32>,
    pub sent_late: Vec<u32>,
    pub failed: u32,
    pub own_zone: u32,
    pub prefix_hits: u32,
    pub longest_queue: usize,
}

impl Results {
    /// Returns a percentile of the waiting times at the engines.
    pub fn wait_ms(&self, percent: usize) -> u64 {
        let index = self.waits_ms.len().saturating_sub(1) * percent / 100;
        self.waits_ms.get(index).copied().unwrap_or(0)
    }

    /// Returns the number of requests sent.
    pub fn requests(&self) -> u32 {
        self.sent.iter().sum()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    End {
        engine: usize,
        request: usize,
    },
    Fail {
        request: usize,
    },
    Report {
        engine: usize,
        running: u32,
        waiting: u32,
        as_of_ms: u64,
    },
    Measure,
    Background {
        engine: usize,
    },
    BackgroundEnd {
        engine: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    vm: usize,
    engine: usize,
    sent_ms: u64,
    run_ms: u64,
    lost: bool,
    prefix: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: u32,
    queue: VecDeque<usize>,
    background: u32,
    cache: VecDeque<u64>,
}

struct Simulation {
    fleet: Fleet,
    random: ChaCha8Rng,
    policies: Vec<Box<dyn RoutingPolicy>>,
    candidates: Vec<Candidate>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    results: Results,
}

/// Runs one simulation.
pub fn simulate(fleet: &Fleet) -> Results {
    let mut simulation = Simulation::new(fleet.clone());
    simulation.events.push(Reverse((0, Event::Arrive)));
    simulation.events.push(Reverse((0, Event::Measure)));
    for (engine, _) in &fleet.background {
        simulation
            .events
            .push(Reverse((0, Event::Background { engine: *engine })));
    }
    while let Some(Reverse((now_ms, event))) = simulation.events.pop() {
        simulation.handle(now_ms, event);
    }
    simulation.results.waits_ms.sort_unstable();
    simulation.results
}

/// Returns the candidates of a group, spread evenly over some availability zones.
pub fn candidates(count: usize, zones: usize) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        upstream: UpstreamName::new(format!("engine-{index}")),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
        zone: ZoneName::new(format!("zone-{}", index % zones)),
    };
    (0..count).map(candidate).collect()
}

impl Engine {
    fn busy_slots(&self) -> u32 {
        self.running + self.background
    }
}

impl Simulation {
    fn new(fleet: Fleet) -> Self {
        let policy = |vm: usize| {
            let options = Options {
                seed: vm as u64,
                own_zone: (fleet.zones > 1).then(|| zone_of(vm, fleet.zones)),
                ..fleet.options.clone()
            };
            routing_policy(fleet.policy, options).expect("a known policy")
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(fleet.seed),
            policies: (0..fleet.vms).map(policy).collect(),
            candidates: candidates(fleet.engines, fleet.zones),
            engines: vec![Engine::default(); fleet.engines],
            requests: Vec::new(),
            events: BinaryHeap::new(),
            results: Results {
                sent: vec![0; fleet.engines],
                sent_late: vec![0; fleet.engines],
                ..Results::default()
            },
            fleet,
        }
    }

    fn handle(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Arrive if now_ms < self.fleet.length_ms => self.arrive(now_ms),
            Event::Measure if now_ms < self.fleet.length_ms => self.measure(now_ms),
            Event::Background { engine } if now_ms < self.fleet.length_ms => {
                self.arrive_background(now_ms, engine);
            }
            Event::Arrive | Event::Measure | Event::Background { .. } => {}
            Event::BackgroundEnd { engine } => {
                self.engines[engine].background -= 1;
                self.start_next(now_ms, engine);
            }
            Event::End { engine, request } => self.end(now_ms, engine, request),
            Event::Fail { request } => {
                self.record_end(now_ms, request, UpstreamOutcome::Refused, None)
            }
            Event::Report {
                engine,
                running,
                waiting,
                as_of_ms,
            } => self.report(now_ms, engine, running, waiting, as_of_ms),
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let capacity = self.fleet.engines as f64 * f64::from(self.fleet.slots);
        let per_ms = self.fleet.load * capacity / self.fleet.run_ms;
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        let gap_ms = (-draw.ln() / per_ms).round() as u64;
        self.events.push(Reverse((now_ms + gap_ms, Event::Arrive)));
        let vm = self.random.random_range(0..self.fleet.vms);
        let prefix = self.draw_prefix();
        let route = RouteRequest {
            prefix_hash: prefix,
            tried: Vec::new(),
        };
        let chosen = self.policies[vm].choose(now_ms, &route, &self.candidates);
        self.send(now_ms, vm, chosen.expect("there are candidates"), prefix);
    }

    /// Lets another system's request take a slot at once, even if all slots are taken.
    fn arrive_background(&mut self, now_ms: u64, engine: usize) {
        let background = self.fleet.background.iter();
        let share: f64 = background
            .filter(|(index, _)| *index == engine)
            .map(|(_, s)| s)
            .sum();
        let per_ms = share * f64::from(self.fleet.slots) / self.fleet.run_ms;
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        let gap_ms = (-draw.ln() / per_ms).round() as u64;
        self.events
            .push(Reverse((now_ms + gap_ms, Event::Background { engine })));
        self.engines[engine].background += 1;
        let end_ms = now_ms + self.fleet.run_ms as u64;
        self.events
            .push(Reverse((end_ms, Event::BackgroundEnd { engine })));
    }

    fn draw_prefix(&mut self) -> Option<u64> {
        if self.fleet.prefixes == 0 {
            return None;
        }
        let popular = self.random.random_bool(0.5);
        let range = if popular {
            self.fleet.prefixes.div_ceil(10)
        } else {
            self.fleet.prefixes
        };
        Some(self.random.random_range(0..range))
    }

    fn send(&mut self, now_ms: u64, vm: usize, engine: usize, prefix: Option<u64>) {
        self.results.sent[engine] += 1;
        self.results.sent_late[engine] += u32::from(now_ms >= self.fleet.length_ms / 2);
        let near = self.candidates[engine].zone == zone_of(vm, self.fleet.zones);
        self.results.own_zone += u32::from(near);
        let sent = RoutingEvent::Sent {
            upstream: self.candidates[engine].upstream.clone(),
            prefix_hash: prefix,
        };
        self.policies[vm].learn(now_ms, sent);
        let fault = self.fault(now_ms, engine);
        let request = self.request(now_ms, vm, engine, prefix, fault);
        self.requests.push(request);
        let index = self.requests.len() - 1;
        if fault == Fault::Refuses {
            self.results.failed += 1;
            self.events.push(Reverse((
                now_ms + FAILURE_MS,
                Event::Fail { request: index },
            )));
            return;
        }
        self.engines[engine].queue.push_back(index);
        let queue = self.engines[engine].queue.len();
        self.results.longest_queue = self.results.longest_queue.max(queue);
        self.start_next(now_ms, engine);
    }

    fn request(
        &mut self,
        now_ms: u64,
        vm: usize,
        engine: usize,
        prefix: Option<u64>,
        fault: Fault,
    ) -> Request {
        let factor: f64 = self.random.random_range(0.5..1.5);
        let (slowness, lost) = match fault {
            Fault::Slow(slowness) => (slowness, false),
            Fault::Loses(share) => (1.0, self.random.random_bool(share)),
            Fault::None | Fault::Refuses => (1.0, false),
        };
        Request {
            vm,
            engine,
            sent_ms: now_ms,
            run_ms: (self.fleet.run_ms * factor * slowness) as u64,
            lost,
            prefix,
        }
    }

    fn fault(&self, now_ms: u64, engine: usize) -> Fault {
        let faults = self.fleet.faults.iter();
        let mut of_engine = faults.filter(|(index, _)| *index == engine);
        let active = now_ms < self.fleet.faults_end_ms;
        of_engine
            .next()
            .filter(|_| active)
            .map_or(Fault::None, |(_, fault)| *fault)
    }

    fn start_next(&mut self, now_ms: u64, engine: usize) {
        while self.engines[engine].busy_slots() < self.fleet.slots {
            let Some(request) = self.engines[engine].queue.pop_front() else {
                return;
            };
            self.engines[engine].running += 1;
            let started = self.requests[request];
            self.results.waits_ms.push(now_ms - started.sent_ms);
            let cached = started
                .prefix
                .is_some_and(|prefix| self.touch_cache(engine, prefix));
            self.results.prefix_hits += u32::from(cached);
            let run_ms = if cached {
                started.run_ms / 2
            } else {
                started.run_ms
            };
            self.events.push(Reverse((
                now_ms + run_ms.max(1),
                Event::End { engine, request },
            )));
        }
    }

    fn touch_cache(&mut self, engine: usize, prefix: u64) -> bool {
        let cache = &mut self.engines[engine].cache;
        let index = cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = index {
            cache.remove(index);
        }
        cache.push_back(prefix);
        if cache.len() > self.fleet.cached {
            cache.pop_front();
        }
        index.is_some()
    }

    fn end(&mut self, now_ms: u64, engine: usize, request: usize) {
        self.engines[engine].running -= 1;
        let ended = self.requests[request];
        self.results.failed += u32::from(ended.lost);
        let outcome = match ended.lost {
            true => UpstreamOutcome::Lost,
            false => UpstreamOutcome::Answered,
        };
        let first_byte_ms = (!ended.lost).then(|| now_ms - ended.sent_ms);
        self.record_end(now_ms, request, outcome, first_byte_ms);
        self.start_next(now_ms, engine);
    }

    fn record_end(
        &mut self,
        now_ms: u64,
        request: usize,
        outcome: UpstreamOutcome,
        first_byte_ms: Option<u64>,
    ) {
        let Request { vm, engine, .. } = self.requests[request];
        let ended = RoutingEvent::Ended {
            upstream: self.candidates[engine].upstream.clone(),
            outcome,
            first_byte_ms,
        };
        self.policies[vm].learn(now_ms, ended);
    }

    fn measure(&mut self, now_ms: u64) {
        for (index, engine) in self.engines.iter().enumerate() {
            let report = Event::Report {
                engine: index,
                running: engine.busy_slots(),
                waiting: engine.queue.len() as u32,
                as_of_ms: now_ms,
            };
            let read_ms = now_ms + self.fleet.report_lag_ms;
            self.events.push(Reverse((read_ms, report)));
        }
        let next_ms = now_ms + self.fleet.report_interval_ms;
        self.events.push(Reverse((next_ms, Event::Measure)));
    }

    fn report(&mut self, now_ms: u64, engine: usize, running: u32, waiting: u32, as_of_ms: u64) {
        for policy in &mut self.policies {
            let report = LoadReport {
                as_of_ms,
                running,
                waiting,
                slots: self.fleet.slots,
                checkpoints: Vec::new(),
            };
            let upstream = self.candidates[engine].upstream.clone();
            policy.learn(now_ms, RoutingEvent::Reported { upstream, report });
        }
    }
}

fn zone_of(vm: usize, zones: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", vm % zones))
}
