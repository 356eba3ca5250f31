//! Random search over rests that engines ask for: with answers in flight, longer and shorter
//! statements, probes, suspensions, restarts and several VMs.

mod support;

use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_dispatch::DispatchDecision;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::DispatcherOptions;
use apricotdale_dispatch::Job;
use apricotdale_fleet::Directory;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use support::directory;
use support::entry;
use support::stream;

const VMS: usize = 3;
const ENGINES: usize = 3;
const STEP_MS: u64 = 5;
const END_MS: u64 = 12_000;
const SEEDS: u64 = 60;

/// Requests that a VM begins in each step, at most.
const MAX_NEW: usize = 2;

/// Time after the first request that follows a rest in which at most two more may be sent for each
/// that was accepted, and the number of accepted requests from which there is no bound.
const RETURN_MS: u64 = 100;
const RETURNED: usize = 7;

/// Fault that is planted between the search and the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    None,
    /// An answer or a probe ends the rest.
    AnswerLifts,
    /// A later statement that ends earlier takes the place of the one before.
    ShorterShortens,
    /// All requests are sent again as soon as the rest has ended.
    ReleasedAtOnce,
}

/// Request in progress, whose answer is read at `read_ms`.
struct Exchange {
    vm: usize,
    incarnation: UpstreamName,
    job: Job,
    sent_ms: u64,
    read_ms: u64,
    /// Rest that its rejection asks for; none if it is accepted.
    rest_ms: Option<u64>,
}

/// What a VM must observe about an incarnation.
#[derive(Clone, Copy, Debug, Default)]
struct Bound {
    until_ms: u64,
    /// When the first request after the rest was sent, and how many were within the return time.
    returned_ms: Option<u64>,
    sent: usize,
    accepted: usize,
}

struct Search {
    planted: Planted,
    vms: Vec<Dispatcher>,
    directory: Directory,
    restarts: [u64; ENGINES],
    /// Time until which an engine rejects, and what it asks for.
    rejects: [(u64, u64); ENGINES],
    exchanges: Vec<Exchange>,
    bounds: HashMap<(usize, UpstreamName), Bound>,
    random: ChaCha8Rng,
    now_ms: u64,
    violations: Vec<String>,
}

fn name(engine: usize, restarts: u64) -> UpstreamName {
    UpstreamName::from(format!("e{engine}-{restarts}"))
}

impl Search {
    fn new(seed: u64, planted: Planted) -> Self {
        let mut directory = directory(&[]);
        for engine in 0..ENGINES {
            directory.record_entry(entry(name(engine, 0).as_str(), "llm", "a", &["m0"]));
        }
        let vm = |vm: usize| {
            let seed = seed * 31 + vm as u64;
            Dispatcher::new(DispatcherOptions::new(seed, ZoneName::from("a")))
        };
        Self {
            planted,
            vms: (0..VMS).map(vm).collect(),
            directory,
            restarts: [0; ENGINES],
            rejects: [(0, 0); ENGINES],
            exchanges: Vec::new(),
            bounds: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 1_000,
            violations: Vec::new(),
        }
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.random.random_range(0..1_000) < permille
    }

    fn disturb(&mut self) {
        for engine in 0..ENGINES {
            if self.chance(8) {
                let for_ms = self.random.random_range(20..400);
                let rest_ms = self.random.random_range(50..2_500);
                self.rejects[engine] = (self.now_ms + for_ms, rest_ms);
            }
            if self.chance(1) {
                self.restart(engine);
            }
            let incarnation = name(engine, self.restarts[engine]);
            for vm in 0..VMS {
                if self.chance(4) {
                    let until_ms = self.now_ms + 200;
                    self.vms[vm].suspend(self.now_ms, &incarnation, until_ms);
                }
                if self.chance(20) {
                    self.vms[vm].resume(&incarnation);
                    self.plant_lift(vm, &incarnation);
                }
            }
        }
    }

    fn restart(&mut self, engine: usize) {
        let former = name(engine, self.restarts[engine]);
        self.restarts[engine] += 1;
        let next = name(engine, self.restarts[engine]);
        self.directory.record_gone(&former);
        self.directory
            .record_entry(entry(next.as_str(), "llm", "a", &["m0"]));
        for vm in &mut self.vms {
            vm.removed(self.now_ms, &former);
        }
        self.exchanges.retain(|it| it.incarnation != former);
    }

    fn plant_lift(&mut self, vm: usize, incarnation: &UpstreamName) {
        if self.planted == Planted::AnswerLifts {
            self.vms[vm].removed(self.now_ms, incarnation);
        }
    }

    fn plant_release(&mut self) {
        for ((vm, incarnation), bound) in &self.bounds {
            let has_just_ended = bound.until_ms <= self.now_ms && bound.returned_ms.is_none();
            let is_resting = self.vms[*vm].is_resting(self.now_ms, incarnation);
            if self.planted == Planted::ReleasedAtOnce && has_just_ended && !is_resting {
                self.vms[*vm].removed(self.now_ms, incarnation);
            }
        }
    }

    fn send_new(&mut self, vm: usize) {
        for _ in 0..self.random.random_range(0..=MAX_NEW) {
            let mut job = stream("m0", true);
            job.arrived_ms = self.now_ms;
            job.deadline_ms = self.now_ms + self.random.random_range(600..4_000);
            match self.vms[vm].decide(self.now_ms, &self.directory, &job) {
                DispatchDecision::Send(upstream) => self.send(vm, job, &upstream),
                DispatchDecision::Wait(_) => {}
                DispatchDecision::Refuse(refusal) => self.check_refusal(vm, &refusal.detail),
            }
        }
    }

    /// No request is refused while an engine for it is not at rest.
    fn check_refusal(&mut self, vm: usize, detail: &str) {
        let dispatcher = &self.vms[vm];
        let mut incarnations = (0..ENGINES).map(|it| name(it, self.restarts[it]));
        if !incarnations.all(|it| dispatcher.is_resting(self.now_ms, &it)) {
            self.violations.push(format!("refused: {detail}"));
        }
    }

    fn send(&mut self, vm: usize, job: Job, upstream: &UpstreamName) {
        let now_ms = self.now_ms;
        if let Some(bound) = self.bounds.get_mut(&(vm, upstream.clone())) {
            if now_ms < bound.until_ms {
                self.violations.push(format!("{now_ms}: sent in a rest"));
            }
            let returned_ms = *bound.returned_ms.get_or_insert(now_ms);
            bound.sent += 1;
            let is_returning = now_ms < returned_ms + RETURN_MS && bound.accepted < RETURNED;
            if is_returning && bound.sent > 1 + 2 * bound.accepted {
                self.violations.push(format!("{now_ms}: sent together"));
            }
        }
        let engine = (0..ENGINES).find(|it| name(*it, self.restarts[*it]) == *upstream);
        let engine = engine.expect("a present incarnation");
        self.vms[vm].sent(now_ms, &job, upstream);
        let (rejects_until_ms, rest_ms) = self.rejects[engine];
        let is_rejected = now_ms < rejects_until_ms;
        let takes_ms = match is_rejected {
            true => self.random.random_range(5..60),
            false => self.random.random_range(10..400),
        };
        // Each statement has another length.
        let rest_ms = rest_ms * self.random.random_range(10..=100) / 100;
        self.exchanges.push(Exchange {
            vm,
            incarnation: upstream.clone(),
            job,
            sent_ms: now_ms,
            read_ms: now_ms + takes_ms,
            rest_ms: is_rejected.then_some(rest_ms),
        });
    }

    fn read_answers(&mut self) {
        let now_ms = self.now_ms;
        let (read, later) = std::mem::take(&mut self.exchanges)
            .into_iter()
            .partition(|it| it.read_ms <= now_ms);
        self.exchanges = later;
        let read: Vec<Exchange> = read;
        for exchange in read {
            self.read_answer(&exchange);
        }
    }

    fn read_answer(&mut self, exchange: &Exchange) {
        let now_ms = self.now_ms;
        let key = (exchange.vm, exchange.incarnation.clone());
        let vm = &mut self.vms[exchange.vm];
        let outcome = match exchange.rest_ms {
            Some(rest_ms) => {
                let until_ms = now_ms + rest_ms;
                let bound = self.bounds.entry(key).or_default();
                if self.planted == Planted::ShorterShortens && until_ms < bound.until_ms {
                    vm.removed(now_ms, &exchange.incarnation);
                }
                vm.record_rest(now_ms, &exchange.incarnation, rest_ms);
                if until_ms > bound.until_ms {
                    *bound = Bound {
                        until_ms,
                        ..Bound::default()
                    };
                }
                UpstreamOutcome::Refused
            }
            None => {
                vm.accepted(&exchange.incarnation, exchange.sent_ms);
                if let Some(bound) = self.bounds.get_mut(&key)
                    && exchange.sent_ms >= bound.until_ms
                {
                    bound.accepted += 1;
                }
                UpstreamOutcome::Answered
            }
        };
        let service = &exchange.job.service;
        vm.ended(now_ms, service, &exchange.incarnation, outcome, Some(5));
        if outcome == UpstreamOutcome::Answered {
            self.plant_lift(exchange.vm, &exchange.incarnation);
        }
    }

    fn run(mut self) -> Vec<String> {
        while self.now_ms < END_MS {
            self.now_ms += STEP_MS;
            self.disturb();
            self.read_answers();
            self.plant_release();
            for vm in 0..VMS {
                self.send_new(vm);
            }
        }
        self.violations
    }
}

fn violations(planted: Planted) -> Vec<String> {
    let runs = (0..SEEDS).map(|seed| Search::new(seed, planted).run());
    runs.flatten().collect()
}

/// Guards against requests in a rest, requests that return together, and refusals while an engine
/// is awake.
#[test]
fn rests_kept() {
    let found = violations(Planted::None);
    assert!(found.is_empty(), "{} such as {}", found.len(), found[0]);
}

/// Guards against a search that finds nothing.
#[rstest]
#[case::answer_lifts(Planted::AnswerLifts, "sent in a rest")]
#[case::shorter_shortens(Planted::ShorterShortens, "sent in a rest")]
#[case::released_at_once(Planted::ReleasedAtOnce, "sent together")]
fn planted_fault_found(#[case] planted: Planted, #[case] text: &str) {
    let found = violations(planted);
    assert!(found.iter().any(|it| it.contains(text)), "{found:?}");
}
