//! VMs, engines and callers on a simulated clock.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::names::UpstreamName;
use apricotdale_quarantine::CrashWatch;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::LostRequest;
use apricotdale_quarantine::Permit;
use apricotdale_quarantine::RequestFeatures;

use crate::courses::Event;
use crate::messages::Link;
use crate::messages::Message;
use crate::policies::Policy;
use crate::policies::caller;
use crate::policies::crasher;
use crate::policies::incarnation_of;
use crate::policies::request;

/// Run time of a crashing request until it crashes its engine.
pub const RUN_MS: u64 = 60;

/// Run time of any other request.
pub const ANSWER_MS: u64 = 200;

/// Time from an engine's end until a VM learns of it.
pub const CONFIRM_MS: u64 = 5;

/// Time before a VM is killed, for which it may not have reported its lost requests.
pub const REPORT_MS: u64 = 1_500;

/// Time for which a caller waits for an answer, and how many times it retries.
pub const CALLER_TIMEOUT_MS: u64 = 9_000;

pub const MAX_RETRIES: u32 = 4;

/// Time after the loss of a request's third copy in which its sends are not counted as late.
pub const WINDOW_MS: u64 = 3_000;

pub const STEP_MS: u64 = 5;

pub const MODELS: usize = 3;

pub struct Vm {
    pub watch: CrashWatch,
    pub paused_until_ms: u64,
    pub inbox: Vec<(u64, Message)>,
    /// Time since which it has run without a disturbance.
    pub undisturbed_since_ms: u64,
}

/// Caller's request, at a VM or on its way there.
#[derive(Clone, Debug)]
pub struct RequestCopy {
    pub vm: usize,
    pub fingerprint: Fingerprint,
    pub features: RequestFeatures,
    /// Crashing part of its prompt.
    pub bad_part: Option<u8>,
    pub model: usize,
    pub crashes: bool,
    pub from_ms: u64,
    pub retries: u32,
}

/// Harmless request with prompt parts.
pub struct SoundArrival {
    pub at_ms: u64,
    /// When it was first sent to an engine.
    pub sent_ms: Option<u64>,
    /// Whether it has parts besides the one that all requests share.
    pub has_other_parts: bool,
}

pub struct Running {
    pub copy: RequestCopy,
    pub engine: UpstreamName,
    pub ends_ms: u64,
    pub trial: Option<u64>,
}

pub struct Engine {
    pub name: UpstreamName,
    pub ready_ms: u64,
}

pub struct Fleet {
    pub now_ms: u64,
    pub vms: Vec<Vm>,
    pub link: Link,
    pub engines_started: u32,
    /// Engines of each model.
    pub models: Vec<Vec<Engine>>,
    pub load_ms: u64,
    /// Number of times that a caller retries.
    pub retries: u32,
    pub waiting: Vec<RequestCopy>,
    pub running: Vec<Running>,
    /// Requests lost with an engine, and the time of its end.
    pub ends: Vec<(u64, UpstreamName, Vec<RequestCopy>)>,
    /// Sends that reached engines: when, and whether from a VM without a recent disturbance.
    pub sends: BTreeMap<Fingerprint, Vec<(u64, bool)>>,
    /// Times at which copies were lost with their engines, and the VMs that had sent them.
    pub ended: BTreeMap<Fingerprint, Vec<(u64, usize)>>,
    /// Sends of requests with a crashing part, as in `sends`.
    pub part_sends: BTreeMap<u8, Vec<(u64, bool)>>,
    /// Times at which engines crashed under a part.
    pub part_crashes: BTreeMap<u8, Vec<u64>>,
    /// Harmless requests with prompt parts.
    pub sound: BTreeMap<Fingerprint, SoundArrival>,
    /// Harmless requests that were lost with engines.
    pub harmless_lost: BTreeSet<Fingerprint>,
    /// Harmless requests that were blocked.
    pub harmless_blocked: BTreeSet<Fingerprint>,
    /// Total time for which harmless requests waited for a permit.
    pub waited_ms: u64,
    pub policy: Policy,
}

impl Fleet {
    pub fn new(policy: Policy, vms: usize, seed: u64, lost_in_256: u64, engines: &[usize]) -> Self {
        let vm = |run: usize| Vm {
            watch: CrashWatch::new(incarnation_of(run), policy.options()),
            paused_until_ms: 0,
            inbox: Vec::new(),
            undisturbed_since_ms: 0,
        };
        let mut fleet = Self {
            now_ms: 100_000,
            vms: (0..vms).map(vm).collect(),
            link: Link {
                state: seed | 1,
                lost_in_256,
            },
            engines_started: 0,
            models: Vec::new(),
            load_ms: 0,
            retries: MAX_RETRIES,
            waiting: Vec::new(),
            running: Vec::new(),
            ends: Vec::new(),
            sends: BTreeMap::new(),
            ended: BTreeMap::new(),
            part_sends: BTreeMap::new(),
            part_crashes: BTreeMap::new(),
            sound: BTreeMap::new(),
            harmless_lost: BTreeSet::new(),
            harmless_blocked: BTreeSet::new(),
            waited_ms: 0,
            policy,
        };
        for count in engines {
            let engines = (0..*count).map(|_| fleet.engine(0)).collect();
            fleet.models.push(engines);
        }
        fleet
    }

    pub fn engine(&mut self, ready_ms: u64) -> Engine {
        self.engines_started += 1;
        Engine {
            name: UpstreamName::from(format!("i-{}", self.engines_started)),
            ready_ms,
        }
    }

    pub fn arrive(&mut self, vm: usize, fingerprint: Fingerprint, model: usize, crashes: bool) {
        self.arrive_with_parts(vm, fingerprint.into(), model, crashes, None);
    }

    pub fn arrive_with_parts(
        &mut self,
        vm: usize,
        features: RequestFeatures,
        model: usize,
        crashes: bool,
        bad_part: Option<u8>,
    ) {
        self.waiting.push(RequestCopy {
            vm: vm % self.vms.len(),
            fingerprint: features.request,
            features,
            bad_part,
            model,
            crashes,
            from_ms: self.now_ms,
            retries: 0,
        });
    }

    pub fn apply(&mut self, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::Crashers {
                which,
                vm,
                copies,
                bystanders,
            } => {
                let model = usize::from(which) % MODELS;
                for number in 0..usize::from(copies) {
                    self.arrive(vm + number / 4, crasher(which), model, true);
                }
                for number in 0..usize::from(bystanders) {
                    let name = format!("beside-{now_ms}-{number}");
                    self.arrive(vm + number, request(&name), model, false);
                }
            }
            Event::Popular { model, vm, copies } => {
                let fingerprint = request(&format!("popular-{model}"));
                for number in 0..usize::from(copies) {
                    self.arrive(vm + number, fingerprint, model, false);
                }
            }
            Event::Loss { vm, requests } => {
                let engine = self.engine(0).name;
                let lost = (0..requests).map(|it| RequestCopy {
                    vm,
                    fingerprint: request(&format!("lost-{}-{it}", self.engines_started)),
                    features: request(&format!("lost-{}-{it}", self.engines_started)).into(),
                    bad_part: None,
                    model: 0,
                    crashes: false,
                    from_ms: now_ms,
                    retries: MAX_RETRIES,
                });
                self.ends.push((now_ms, engine, lost.collect()));
            }
            Event::BadPart { which, vm, model } => self.arrive_with_bad_part(which, vm, model),
            Event::SharedPartCrashers { which, vm, copies } => {
                for number in 0..usize::from(copies) {
                    self.arrive_with_shared_part(which, vm + number);
                }
            }
            Event::SoundParts {
                kind,
                vm,
                model,
                copies,
            } => {
                for number in 0..usize::from(copies) {
                    self.arrive_with_sound_parts(kind, vm + number, model);
                }
            }
            // The other VMs keep what they received; what only the last VM holds is lost with it.
            Event::Restart if self.vms.len() == 1 => {}
            Event::Restart => self.restart(self.vms.len() - 1),
            Event::Pause { vm, for_ms } => {
                self.vms[vm].paused_until_ms = now_ms + for_ms;
                self.vms[vm].undisturbed_since_ms = now_ms + for_ms;
            }
        }
    }

    pub fn restart(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        for (.., lost) in &mut self.ends {
            lost.retain(|copy| copy.vm != vm);
        }
        self.waiting.retain(|copy| copy.vm != vm);
        self.running.retain(|it| it.copy.vm != vm);
        for ended in self.ended.values_mut() {
            ended.retain(|(at_ms, of)| *of != vm || at_ms + REPORT_MS <= now_ms);
        }
        let mut watch = CrashWatch::new(incarnation_of(vm), self.policy.options());
        // What the lease holder has stored.
        for row in self.vms[0].watch.cases(now_ms) {
            watch.record_reports(now_ms, &row.reports(0));
        }
        // What the lease holder and the other VMs send to a VM that says hello.
        for row in self.vms[0].watch.blocks(now_ms) {
            watch.record_block(now_ms, &row);
        }
        watch.record_probations(now_ms, &self.vms[0].watch.probations(now_ms));
        for other in self.vms.iter().take(vm) {
            watch.record_reports(now_ms, &other.watch.local_reports(now_ms));
        }
        self.vms[vm] = Vm {
            watch,
            paused_until_ms: 0,
            inbox: Vec::new(),
            undisturbed_since_ms: now_ms,
        };
    }

    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.step();
        }
    }

    pub fn is_paused(&self, vm: usize) -> bool {
        self.vms[vm].paused_until_ms > self.now_ms
    }

    pub fn step(&mut self) {
        self.end_runs();
        self.confirm_ends();
        for index in 0..self.vms.len() {
            if !self.is_paused(index) {
                self.handle_messages(index);
                self.perform_due(index);
            }
        }
        self.send_waiting();
    }

    /// Ends the engines under crashing requests, and answers the other requests.
    pub fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        let crashing = |it: &&Running| it.copy.crashes && it.ends_ms <= now_ms;
        let crashed: Vec<UpstreamName> = self
            .running
            .iter()
            .filter(crashing)
            .map(|it| it.engine.clone())
            .collect();
        for engine in crashed {
            let lost = self.running.extract_if(.., |it| it.engine == engine);
            let lost: Vec<Running> = lost.collect();
            if lost.is_empty() {
                continue;
            }
            let parts: BTreeSet<u8> = lost
                .iter()
                .filter(|it| it.copy.crashes && it.ends_ms <= now_ms)
                .filter_map(|it| it.copy.bad_part)
                .collect();
            for part in parts {
                self.part_crashes.entry(part).or_default().push(now_ms);
            }
            for run in &lost {
                if !run.copy.crashes {
                    self.harmless_lost.insert(run.copy.fingerprint);
                }
                let ended = self.ended.entry(run.copy.fingerprint).or_default();
                ended.push((now_ms, run.copy.vm));
            }
            self.record_losses(&engine, lost);
            let replacement = self.engine(now_ms + self.load_ms);
            for engines in &mut self.models {
                if let Some(it) = engines.iter_mut().find(|it| it.name == engine) {
                    *it = replacement;
                    break;
                }
            }
        }
        let answered = self.running.extract_if(.., |it| it.ends_ms <= now_ms);
        for run in answered.collect::<Vec<_>>() {
            let watch = &mut self.vms[run.copy.vm].watch;
            if let Some(number) = run.trial {
                watch.record_trial_end(now_ms, number, false);
            }
            let cleared = watch.record_answered(now_ms, &run.copy.features);
            for feature in cleared.announced {
                self.send_all(run.copy.vm, &Message::Cleared(feature));
            }
            if !cleared.reported.is_empty() {
                for judge in 0..self.judges() {
                    self.send(judge, &Message::Answered(cleared.reported.clone()));
                }
            }
        }
    }

    pub fn record_losses(&mut self, engine: &UpstreamName, lost: Vec<Running>) {
        let now_ms = self.now_ms;
        for run in &lost {
            let watch = &mut self.vms[run.copy.vm].watch;
            let request = LostRequest {
                features: run.copy.features.clone(),
                caller: caller(),
                is_trial: run.trial.is_some(),
            };
            watch.record_lost(now_ms, engine, true, request);
            if let Some(number) = run.trial {
                watch.record_trial_end(now_ms, number, true);
            }
        }
        let copies: Vec<RequestCopy> = lost.iter().map(|run| run.copy.clone()).collect();
        for copy in copies.iter().filter(|copy| copy.retries < self.retries) {
            let vm = self.link.draw() as usize % self.vms.len();
            self.waiting.push(RequestCopy {
                vm,
                from_ms: now_ms,
                retries: copy.retries + 1,
                ..copy.clone()
            });
        }
        self.ends.push((now_ms, engine.clone(), copies));
    }

    pub fn confirm_ends(&mut self) {
        let now_ms = self.now_ms;
        let ended = self
            .ends
            .extract_if(.., |(at_ms, ..)| *at_ms + CONFIRM_MS <= now_ms);
        for (_, engine, lost) in ended.collect::<Vec<_>>() {
            for copy in lost {
                let watch = &mut self.vms[copy.vm].watch;
                // An engine that ended by itself was not recorded when its requests were lost.
                if !copy.crashes && copy.retries == MAX_RETRIES {
                    let request = LostRequest {
                        features: copy.features.clone(),
                        caller: caller(),
                        is_trial: false,
                    };
                    watch.record_lost(now_ms, &engine, true, request);
                }
                watch.record_ended(now_ms, &engine);
            }
        }
    }

    /// Sends the waiting requests that have an engine and a permit.
    pub fn send_waiting(&mut self) {
        let now_ms = self.now_ms;
        for copy in std::mem::take(&mut self.waiting) {
            if self.is_paused(copy.vm) {
                self.waiting.push(copy);
                continue;
            }
            let watch = &mut self.vms[copy.vm].watch;
            let is_blocked = watch.block(now_ms, &copy.features).is_some();
            if is_blocked || now_ms >= copy.from_ms + CALLER_TIMEOUT_MS {
                if is_blocked && !copy.crashes {
                    self.harmless_blocked.insert(copy.fingerprint);
                }
                continue;
            }
            let engines = self.models[copy.model].iter();
            let ready: Vec<&Engine> = engines.filter(|it| it.ready_ms <= now_ms).collect();
            if ready.is_empty() || watch.must_wait(now_ms, &copy.features) {
                if !ready.is_empty() && !copy.crashes {
                    self.waited_ms += STEP_MS;
                }
                self.waiting.push(copy);
                continue;
            }
            let engine = &ready[self.link.draw() as usize % ready.len()].name;
            let left_ms = copy.from_ms + CALLER_TIMEOUT_MS - now_ms;
            match watch.permit(now_ms, &copy.features, engine, left_ms) {
                Permit::Free => self.run(copy, engine.clone(), None),
                Permit::Trial { upstream, number } => self.run(copy, upstream, Some(number)),
                Permit::Wait => self.waiting.push(copy),
            }
        }
    }

    pub fn run(&mut self, copy: RequestCopy, engine: UpstreamName, trial: Option<u64>) {
        let now_ms = self.now_ms;
        let is_there = self.models.iter().flatten().any(|it| it.name == engine);
        if !is_there {
            if let Some(number) = trial {
                let watch = &mut self.vms[copy.vm].watch;
                watch.record_trial_end(now_ms, number, false);
            }
            self.waiting.push(copy);
            return;
        }
        let is_undisturbed = self.vms[copy.vm].undisturbed_since_ms + WINDOW_MS <= now_ms;
        let sends = self.sends.entry(copy.fingerprint).or_default();
        sends.push((now_ms, is_undisturbed));
        if let Some(part) = copy.bad_part.filter(|_| copy.crashes) {
            let sends = self.part_sends.entry(part).or_default();
            sends.push((now_ms, is_undisturbed));
        }
        if let Some(arrival) = self.sound.get_mut(&copy.fingerprint) {
            arrival.sent_ms.get_or_insert(now_ms);
        }
        let run_ms = if copy.crashes { RUN_MS } else { ANSWER_MS };
        self.running.push(Running {
            copy,
            engine,
            ends_ms: now_ms + run_ms,
            trial,
        });
    }

    /// Returns how many times a crashing request was sent too late after the loss of its third
    /// copy.
    pub fn late_sends(&self, which: u8) -> usize {
        let third_ms = self.ended.get(&crasher(which)).and_then(|it| it.get(2));
        let third_ms = third_ms.map(|(at_ms, _)| at_ms);
        let sends = self.sends.get(&crasher(which));
        let (Some(third_ms), Some(sends)) = (third_ms, sends) else {
            return 0;
        };
        let late = sends
            .iter()
            .filter(|(at_ms, is_undisturbed)| *at_ms > third_ms + WINDOW_MS && *is_undisturbed);
        late.count()
    }
}
