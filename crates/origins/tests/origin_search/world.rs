//! Several VMs, engines, callers, and the time.

use std::collections::BTreeMap;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::VmName;
use apricotdale_origins::OriginAnswer;
use apricotdale_origins::OriginQuery;
use apricotdale_origins::StreamOrigin;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::callers::Caller;
use crate::engines::Engines;
use crate::engines::Writer;
use crate::options::Options;
use crate::vm::Vm;

/// Begin of a course.
pub const BEGIN_MS: u64 = 100_000;

/// Time until the end of the course.
const COURSE_MS: u64 = 45_000;

const READ_INTERVAL_MS: u64 = 900;
const SWEEP_INTERVAL_MS: u64 = 250;

/// Time after which a VM that ended is no longer known to the others.
const FORGET_VM_MS: u64 = 3_000;

/// Datagram between VMs.
#[derive(Clone, Debug)]
pub enum Message {
    Told(Vec<StreamOrigin>),
    Query(usize, OriginQuery),
    Answer(OriginAnswer),
}

/// Work of one VM, void if it has restarted since.
#[derive(Clone, Debug)]
pub enum Work {
    Read,
    Sweep,
    Tell,
    Wake(u64),
    SendFailed(u64, u64),
    Head(u64, u64, Writer),
    Piece(u64, u64, Writer),
}

#[derive(Clone, Debug)]
pub enum Event {
    Datagram(usize, Message),
    Vm(usize, u64, Work),
    Attempt(usize),
    Patience(usize, u64),
    StartEngine(InstanceName, SoftwareVersion),
    ChangeEngine(InstanceName, SoftwareVersion),
    LeaveEngine(InstanceName),
    CrashEngine(InstanceName),
    EndProcess(usize),
    RemoveEntry(usize),
    KillVm(usize),
    LeaveVm(usize),
    RestartVm(usize),
    PauseVm(usize, u64),
    CutVm(usize, u64),
}

/// What happened in courses.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Descriptions of broken promises, by the name of the promise.
    pub broken: BTreeMap<&'static str, Vec<String>>,
    /// How often each case was reached.
    pub reached: BTreeMap<&'static str, u64>,
}

impl Stats {
    pub fn reach(&mut self, case: &'static str) {
        *self.reached.entry(case).or_default() += 1;
    }

    pub fn add(&mut self, other: Self) {
        for (promise, texts) in other.broken {
            self.broken.entry(promise).or_default().extend(texts);
        }
        for (case, count) in other.reached {
            *self.reached.entry(case).or_default() += count;
        }
    }

    /// Returns the number of broken promises by name.
    pub fn counts(&self) -> Vec<(&'static str, usize)> {
        let broken = self.broken.iter();
        broken
            .map(|(promise, texts)| (*promise, texts.len()))
            .collect()
    }

    /// Returns some descriptions of a broken promise.
    pub fn examples(&self, promise: &str) -> &[String] {
        let texts = self.broken.get(promise).map_or(&[][..], Vec::as_slice);
        &texts[..texts.len().min(3)]
    }

    pub fn count(&self, case: &str) -> u64 {
        self.reached.get(case).copied().unwrap_or_default()
    }

    pub fn broken(&self, promise: &str) -> usize {
        self.broken.get(promise).map_or(0, Vec::len)
    }

    /// Returns the share of the streams that had to be resumable and were resumed, of those whose
    /// attempt was not broken off.
    pub fn resumed_share(&self) -> f64 {
        let resumed = self.count("resumed") as f64;
        resumed / (resumed + self.broken("lost") as f64).max(1.0)
    }
}

pub struct World {
    pub options: Options,
    pub seed: u64,
    pub random: ChaCha8Rng,
    pub now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    pub next_key: u64,
    pub engines: Engines,
    pub vms: Vec<Vm>,
    pub callers: Vec<Caller>,
    pub services: Vec<GroupName>,
    pub stats: Stats,
}

impl World {
    pub fn new(options: Options, seed: u64) -> Self {
        let mut world = Self {
            options,
            seed,
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: BEGIN_MS,
            events: BTreeMap::new(),
            next_event: 0,
            next_key: 0,
            engines: Engines::default(),
            vms: Vec::new(),
            callers: Vec::new(),
            services: vec![GroupName::from("s0")],
            stats: Stats::default(),
        };
        world.plan();
        world
    }

    /// Plays a course to its end and returns what happened.
    pub fn play(options: Options, seed: u64) -> Stats {
        let mut world = Self::new(options, seed);
        while let Some(((at_ms, _), event)) = world.events.pop_first() {
            if at_ms > BEGIN_MS + COURSE_MS {
                break;
            }
            world.now_ms = at_ms;
            world.handle(event);
        }
        world.stats
    }

    pub fn at(&mut self, at_ms: u64, event: Event) {
        self.events.insert((at_ms, self.next_event), event);
        self.next_event += 1;
    }

    pub fn work_in(&mut self, vm: usize, delay_ms: u64, work: Work) {
        let start = self.vms[vm].start;
        self.at(self.now_ms + delay_ms, Event::Vm(vm, start, work));
    }

    pub fn chance(&mut self, share: f64) -> bool {
        self.random.random_bool(share)
    }

    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        self.random.random_range(from..=to)
    }

    pub fn trace(&mut self, caller: usize, text: String) {
        let at_ms = self.now_ms - BEGIN_MS;
        self.callers[caller].trail.push(format!("{at_ms}: {text}"));
    }

    pub fn fail(&mut self, promise: &'static str, text: String) {
        let text = format!("seed {} at {}: {text}", self.seed, self.now_ms - BEGIN_MS);
        self.stats.broken.entry(promise).or_default().push(text);
    }

    pub fn begin_work(&mut self, vm: usize) {
        let read_ms = self.between(0, READ_INTERVAL_MS);
        self.work_in(vm, read_ms, Work::Read);
        let sweep_ms = self.between(0, SWEEP_INTERVAL_MS);
        self.work_in(vm, sweep_ms, Work::Sweep);
    }

    pub fn start_engine(&mut self, instance: &InstanceName, version: &SoftwareVersion) {
        let is_unknown = self.options.has_unknown_versions && self.chance(0.3);
        let service = self.services[0].clone();
        self.engines
            .start(self.now_ms, &service, instance, version, !is_unknown);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Vm(vm, start, work) => self.handle_work(vm, start, work),
            Event::Datagram(to, message) => {
                let Vm {
                    is_alive,
                    is_old,
                    paused_until_ms,
                    ..
                } = self.vms[to];
                match is_alive && !is_old {
                    true if self.now_ms < paused_until_ms => {
                        self.at(paused_until_ms, Event::Datagram(to, message));
                    }
                    true => self.receive(to, message),
                    false => {}
                }
            }
            Event::Attempt(caller) => self.begin_attempt(caller),
            Event::Patience(caller, attempt) => self.check_patience(caller, attempt),
            Event::StartEngine(instance, version) => {
                self.start_engine(&instance, &version);
            }
            Event::ChangeEngine(instance, version) => {
                let number = self.engines.current.get(&instance).copied();
                let is_listed = |number: usize| self.engines.processes[number].has_listed_version;
                if number.is_some_and(is_listed) {
                    self.engines.change(self.now_ms, &instance, &version);
                    self.stats.reach("entry_changed");
                }
            }
            Event::LeaveEngine(instance) => {
                if let Some(number) = self.engines.current.get(&instance).copied() {
                    self.engines.processes[number].is_leaving = true;
                    self.engines.write_entry(&instance);
                    let end_ms = self.now_ms + self.between(1_000, 10_000);
                    self.at(end_ms, Event::EndProcess(number));
                }
            }
            Event::CrashEngine(instance) => {
                if let Some(number) = self.engines.end(&instance) {
                    self.at(self.now_ms + 3_000, Event::RemoveEntry(number));
                }
            }
            Event::EndProcess(number) => {
                let instance = self.engines.processes[number].instance.clone();
                if self.engines.current.get(&instance) == Some(&number) {
                    self.engines.end(&instance);
                    self.engines.remove_entry(number);
                }
            }
            Event::RemoveEntry(number) => self.engines.remove_entry(number),
            Event::KillVm(vm) => self.kill_vm(vm),
            Event::LeaveVm(vm) => {
                self.vms[vm].is_leaving = true;
                let end_ms = self.now_ms + self.between(500, 4_000);
                self.at(end_ms, Event::KillVm(vm));
            }
            Event::RestartVm(vm) if !self.vms[vm].is_alive => {
                self.vms[vm].restart(self.now_ms);
                self.begin_work(vm);
            }
            Event::RestartVm(_) => {}
            Event::PauseVm(vm, until_ms) => {
                let until_ms = until_ms.max(self.vms[vm].paused_until_ms);
                self.vms[vm].paused_until_ms = until_ms;
                self.vms[vm].versions.record_gap();
            }
            Event::CutVm(vm, until_ms) => {
                self.vms[vm].cut_from_ms = self.now_ms;
                self.vms[vm].cut_until_ms = until_ms;
            }
        }
    }

    fn kill_vm(&mut self, vm: usize) {
        if !self.vms[vm].is_alive {
            return;
        }
        let active = std::mem::take(&mut self.vms[vm].active);
        self.vms[vm].kill(self.now_ms);
        for request in active.into_values() {
            self.break_connection(request.caller, request.attempt);
        }
        self.stats.reach("vm_killed");
    }

    fn handle_work(&mut self, vm: usize, start: u64, work: Work) {
        let state = &self.vms[vm];
        if !state.is_alive || state.start != start {
            return;
        }
        if self.now_ms < state.paused_until_ms {
            // Datagrams that arrived meanwhile are read before timers are handled.
            let at_ms = state.paused_until_ms + 1;
            self.at(at_ms, Event::Vm(vm, start, work));
            return;
        }
        match work {
            Work::Read => {
                let has_old = self.vms.iter().any(|vm| vm.is_old && vm.is_alive);
                let is_copy = has_old && self.chance(0.5);
                let list = &self.engines.list;
                self.vms[vm].apply_list(self.now_ms, list, is_copy);
                self.accept_again();
                let delay_ms = match self.options.has_vm_troubles && self.chance(0.1) {
                    true => self.between(READ_INTERVAL_MS, 5_000),
                    false => self.between(READ_INTERVAL_MS, 2 * READ_INTERVAL_MS),
                };
                self.work_in(vm, delay_ms, Work::Read);
            }
            Work::Sweep => {
                self.vms[vm].known = self.known_vms(vm);
                self.vms[vm].sweep(self.now_ms);
                self.work_in(vm, SWEEP_INTERVAL_MS, Work::Sweep);
            }
            Work::Tell => {
                for (to, origins) in std::mem::take(&mut self.vms[vm].untold) {
                    self.send_datagram(vm, &to, Message::Told(origins));
                }
            }
            Work::Wake(key) => self.dispatch(vm, key),
            Work::SendFailed(key, step) => self.handle_failed_send(vm, key, step),
            Work::Head(key, step, writer) => self.handle_head(vm, key, step, writer),
            Work::Piece(key, step, writer) => self.handle_piece(vm, key, step, writer),
        }
    }

    /// Lets processes accept requests whose entries all VMs have read.
    fn accept_again(&mut self) {
        for process in &mut self.engines.processes {
            let is_read = |since_ms: u64| {
                let mut vms = self.vms.iter().filter(|vm| vm.is_alive);
                vms.all(|vm| vm.read_ms.is_none_or(|read_ms| read_ms >= since_ms))
            };
            if process.rejects_since_ms.is_some_and(is_read) {
                process.rejects_since_ms = None;
            }
        }
    }

    pub fn known_vms(&self, own: usize) -> Vec<VmName> {
        let now_ms = self.now_ms;
        let is_forgotten = |vm: &Vm| {
            (vm.cut_from_ms + FORGET_VM_MS..vm.cut_until_ms).contains(&now_ms)
                || !vm.is_alive && now_ms >= vm.ended_ms + FORGET_VM_MS
        };
        let is_new = |vm: &Vm| vm.is_alive && now_ms < vm.started_ms + 500;
        let others = self.vms.iter().enumerate().filter(|(vm, _)| *vm != own);
        let known = others.filter(|(_, vm)| {
            let is_cut = is_forgotten(&self.vms[own]);
            !is_cut && !is_forgotten(vm) && !is_new(vm)
        });
        known.map(|(_, vm)| vm.name.clone()).collect()
    }

    pub fn send_datagram(&mut self, from: usize, to: &VmName, message: Message) {
        let Some(to) = self.vms.iter().position(|vm| vm.name == *to) else {
            return;
        };
        let is_cut = |vm: usize| self.now_ms < self.vms[vm].cut_until_ms;
        if is_cut(from) || is_cut(to) {
            self.stats.reach("datagram_cut");
            return;
        }
        let copies = match self.between(0, 99) {
            0..15 if self.options.has_bad_network => 0,
            15..30 if self.options.has_bad_network => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay_ms = match self.options.has_bad_network && self.chance(0.1) {
                true => self.between(30, 1_500),
                false => self.between(1, 3),
            };
            self.at(self.now_ms + delay_ms, Event::Datagram(to, message.clone()));
        }
        if copies == 0 {
            self.stats.reach("datagram_lost");
        }
    }
}
