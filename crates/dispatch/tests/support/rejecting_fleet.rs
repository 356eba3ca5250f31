//! Model of many VMs in front of upstreams that fail if they have to reject too many requests.
//!
//! Each VM has a [`RejectionLimits`], a [`QuotaClient`] and a [`QuotaOwner`] and its own clock.
//! Messages are delayed and lost; VMs restart, pause and are partitioned. Upstreams restart and join,
//! their room shrinks while it is full, they fall silent, and some rejections come late. VMs check
//! upstreams that are silent.

mod checks;
mod upstreams;
mod vms;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::RateLimit;
use apricotdale_dispatch::RejectionLimits;
use apricotdale_dispatch::StatedRejectionLimit;
use apricotdale_quota::AccountId;
use apricotdale_quota::Answer;
use apricotdale_quota::Bounds;
use apricotdale_quota::QuotaClient;
use apricotdale_quota::QuotaOwner;
use apricotdale_quota::Report;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::checks::VmChecks;

/// Time from the arrival of a request to its first byte, and to its end.
const FIRST_BYTE_MS: u64 = 20;
pub const RUN_MS: u64 = 200;

/// Time for which a health check takes room.
const CHECK_MS: u64 = 2;

pub const SLOTS: usize = 24;

/// Share of the slots that VMs fill.
const FILL: f64 = 0.9;

/// Time for which a VM relies on the load in an answer.
const LOAD_VALID_MS: u64 = 100;

/// Time from which the limit binds after it was first stated, as the operators state it.
pub const BINDING_MS: u64 = 3_000;

/// Time for which a request waits for a permit.
const PERMIT_TIMEOUT_MS: u64 = 100;

/// Tolerance of rate limits, none of which is used regularly.
pub const RATE_BOUNDS: Bounds = Bounds {
    window_ms: 4_000,
    over: 0.5,
    slack: 5.0,
    sustained_share: 0.0,
};

const TABLE_INTERVAL_MS: u64 = 1_000;
const START_TIMEOUT_MS: u64 = 300;
const QUESTION_INTERVAL_MS: u64 = 100;
const MAX_DENIED_MS: u64 = 60;
const OWNER_CANDIDATES: usize = 4;

/// Time within which all VMs have the entry of a new upstream.
const LISTING_MS: u64 = 300;

/// Fault that is planted in the model, which a search has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// No fault.
    Nothing,
    /// VMs do not announce what upstreams state.
    NothingTold,
    /// A VM that has started does not wait for what upstreams have stated to others.
    NoWaitAtStart,
    /// The limit of a service ends with the processes of its upstreams.
    NotInherited,
    /// The permit of a rejected request is refunded.
    RejectionsRefunded,
    /// Each VM checks an upstream that it or another VM finds silent, without a permit.
    EachVmChecks,
    /// Checks need no permit.
    ChecksUncounted,
    /// The permit of an abandoned request is refunded though the upstream has sent nothing since.
    AbandonedRefunded,
}

/// Event in the course of a play.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The process of a VM restarts.
    RestartVm { vm: usize },
    /// The processes of all VMs restart.
    RestartAllVms,
    /// A VM stands still.
    PauseVm { vm: usize, for_ms: u64 },
    /// A VM is partitioned from the other VMs.
    PartitionVm { vm: usize, for_ms: u64 },
    /// An upstream fails and is back under its name.
    RestartUpstream { upstream: usize, down_ms: u64 },
    /// An upstream joins the service.
    Join,
    /// The room of an upstream shrinks or grows.
    Room { upstream: usize, slots: usize },
    /// Upstreams state no limit for a time, and then the same one again.
    Unstated { for_ms: u64 },
    /// Rejections of an upstream come late for a time.
    LateRejections { upstream: usize, for_ms: u64 },
    /// An upstream sends nothing for a time, and then handles what has arrived.
    Silence { upstream: usize, for_ms: u64 },
    /// An upstream rejects everything for a time, and asks for rest for as long.
    Rest { upstream: usize, for_ms: u64 },
    /// All upstreams fall silent.
    AllSilent { for_ms: u64 },
    /// The first candidate for the owner of the permits stands still.
    PauseOwner { for_ms: u64 },
}

/// What a play begins with.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub seed: u64,
    pub vms: usize,
    pub upstreams: usize,
    pub per_s: f64,
    /// Rate limit of the upstreams, which all VMs know.
    pub rate_per_s: Option<f64>,
    /// Messages between VMs of which one in as many is lost.
    pub lost_one_in: u32,
    pub planted: Planted,
}

#[derive(Clone, Debug)]
enum Message {
    Report(usize, Report),
    Answer(Answer),
    Rows(Vec<StatedRejectionLimit>),
    RowsRequested(usize),
    Rejected(UpstreamName),
    CheckRequested(usize, UpstreamName),
    Verdict(UpstreamName, bool),
}

#[derive(Clone, Debug)]
enum Step {
    Arrives {
        vm: usize,
        run: u64,
        key: u64,
        name: UpstreamName,
        sent_ms: u64,
        is_check: bool,
    },
    Answers {
        vm: usize,
        run: u64,
        key: u64,
        name: UpstreamName,
        sent_ms: u64,
        running: usize,
        is_rejection: bool,
        limit: Option<RateLimit>,
    },
    CheckAnswers {
        vm: usize,
        run: u64,
        key: u64,
        is_rejection: bool,
    },
    Ends {
        upstream: usize,
        run: u64,
        is_check: bool,
    },
    Delivers {
        vm: usize,
        run: u64,
        message: Message,
    },
    Lists {
        vm: usize,
        run: u64,
        upstream: usize,
    },
    IsBack {
        upstream: usize,
    },
}

struct Upstream {
    run: u64,
    is_down: bool,
    running: usize,
    slots: usize,
    late_until_ms: u64,
    /// Until when it rejects everything because it has asked for rest.
    rest_until_ms: u64,
    arrived_ms: VecDeque<u64>,
    most_arrived: usize,
    silent_until_ms: u64,
    rejected_ms: VecDeque<u64>,
    most_rejected: usize,
}

impl Upstream {
    fn name(index: usize, run: u64) -> UpstreamName {
        UpstreamName::from(format!("i-{index}@{run}").as_str())
    }
}

struct Vm {
    run: u64,
    clock_offset_ms: u64,
    limits: RejectionLimits,
    client: QuotaClient,
    owner: QuotaOwner,
    listed: BTreeSet<UpstreamName>,
    loads: BTreeMap<UpstreamName, (usize, u64)>,
    own: BTreeMap<UpstreamName, usize>,
    at_risk: BTreeMap<u64, AccountId>,
    pending: Vec<(u64, UpstreamName, u64)>,
    started_ms: u64,
    /// Whether it restarted together with all others, so that nobody could tell it anything.
    started_untold: bool,
    is_told: bool,
    paused_until_ms: u64,
    partitioned_until_ms: u64,
    next_table_ms: u64,
    checks: VmChecks,
}

pub struct Fleet {
    options: Options,
    random: ChaCha8Rng,
    now_ms: u64,
    vms: Vec<Vm>,
    upstreams: Vec<Upstream>,
    steps: BTreeMap<(u64, u64), Step>,
    next_step: u64,
    next_key: u64,
    next_run: u64,
    stated_from_ms: u64,
    /// When the first answer with the limit reached a VM; `None` before.
    first_stated_ms: Option<u64>,
    /// Requests that ran.
    pub ran: usize,
}

fn service() -> GroupName {
    GroupName::from("llm")
}

fn account(name: &UpstreamName) -> AccountId {
    AccountId::of(name.as_str())
}

fn rate_account(name: &UpstreamName) -> AccountId {
    AccountId::of(&format!("rate/{name}"))
}

impl Fleet {
    /// Returns a fleet in which upstreams state the limit from `stated_from_ms` on.
    pub fn new(options: Options, stated_from_ms: u64) -> Self {
        let mut fleet = Self {
            options,
            random: ChaCha8Rng::seed_from_u64(options.seed),
            now_ms: 0,
            vms: Vec::new(),
            upstreams: Vec::new(),
            steps: BTreeMap::new(),
            next_step: 0,
            next_key: 0,
            next_run: 0,
            stated_from_ms,
            first_stated_ms: None,
            ran: 0,
        };
        for _ in 0..options.vms {
            let vm = fleet.start_vm();
            fleet.vms.push(vm);
        }
        for index in 0..options.upstreams {
            fleet.add_upstream();
            for vm in &mut fleet.vms {
                vm.listed.insert(Upstream::name(index, 0));
            }
        }
        for vm in &mut fleet.vms {
            vm.is_told = true;
        }
        for index in 0..options.vms {
            fleet.set_accounts(index);
        }
        fleet
    }

    pub fn apply(&mut self, event: Event) {
        let (now_ms, vms, upstreams) = (self.now_ms, self.vms.len(), self.upstreams.len());
        match event {
            Event::RestartVm { vm } => self.restart_vm(vm % vms),
            Event::RestartAllVms => {
                (0..vms).for_each(|vm| self.restart_vm(vm));
                let started = self.vms.iter_mut();
                started.for_each(|vm| vm.started_untold = true);
                // What was stated before is known to nobody.
                self.first_stated_ms = None;
            }
            Event::PauseVm { vm, for_ms } => self.vms[vm % vms].paused_until_ms = now_ms + for_ms,
            Event::PartitionVm { vm, for_ms } => {
                self.vms[vm % vms].partitioned_until_ms = now_ms + for_ms
            }
            Event::RestartUpstream { upstream, down_ms } => {
                self.fail_upstream(upstream % upstreams, down_ms)
            }
            Event::Join => {
                self.add_upstream();
                self.list(upstreams);
            }
            Event::Room { upstream, slots } => self.upstreams[upstream % upstreams].slots = slots,
            Event::Unstated { for_ms } => {
                self.stated_from_ms = now_ms + for_ms;
                self.first_stated_ms = None;
            }
            Event::LateRejections { upstream, for_ms } => {
                self.upstreams[upstream % upstreams].late_until_ms = now_ms + for_ms
            }
            Event::Silence { upstream, for_ms } => {
                self.upstreams[upstream % upstreams].silent_until_ms = now_ms + for_ms
            }
            Event::Rest { upstream, for_ms } => {
                self.upstreams[upstream % upstreams].rest_until_ms = now_ms + for_ms
            }
            Event::AllSilent { for_ms } => {
                let upstreams = self.upstreams.iter_mut();
                upstreams.for_each(|it| it.silent_until_ms = now_ms + for_ms);
            }
            Event::PauseOwner { for_ms } => self.vms[0].paused_until_ms = now_ms + for_ms,
        }
    }

    fn schedule(&mut self, after_ms: u64, step: Step) {
        let at_ms = self.now_ms + after_ms.max(1);
        self.steps.insert((at_ms, self.next_step), step);
        self.next_step += 1;
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_partitioned = |vm: &Vm| vm.partitioned_until_ms > self.now_ms;
        let is_cut = is_partitioned(&self.vms[from]) || is_partitioned(&self.vms[to]);
        let is_lost = self.random.random_ratio(1, self.options.lost_one_in);
        if from != to && (is_cut || is_lost) {
            return;
        }
        let after_ms = match from == to {
            true => 1,
            false => self.random.random_range(1..6),
        };
        let run = self.vms[to].run;
        let step = Step::Delivers {
            vm: to,
            run,
            message,
        };
        self.schedule(after_ms, step);
    }

    fn send_all(&mut self, from: usize, message: &Message) {
        for to in (0..self.vms.len()).filter(|to| *to != from) {
            self.send(from, to, message.clone());
        }
    }

    /// Plays until a time, with a request at each VM in one of `requests_one_in_ms` milliseconds.
    pub fn run_until(&mut self, until_ms: u64, requests_one_in_ms: u32) {
        while self.now_ms < until_ms {
            self.now_ms += 1;
            self.run_steps();
            for vm in 0..self.vms.len() {
                if self.vms[vm].paused_until_ms > self.now_ms {
                    continue;
                }
                self.ask_again(vm);
                self.advance(vm);
                self.advance_checks(vm);
                if self.random.random_ratio(1, requests_one_in_ms) {
                    self.next_key += 1;
                    self.dispatch(vm, self.next_key, self.now_ms);
                }
            }
            self.count_rejections();
        }
    }

    fn run_steps(&mut self) {
        let now_ms = self.now_ms;
        while let Some(entry) = self.steps.first_entry().filter(|it| it.key().0 <= now_ms) {
            let step = entry.remove();
            let at = match &step {
                Step::Answers { vm, .. }
                | Step::CheckAnswers { vm, .. }
                | Step::Delivers { vm, .. }
                | Step::Lists { vm, .. } => Some(*vm),
                _ => None,
            };
            let paused_until_ms = at.map_or(0, |vm| self.vms[vm].paused_until_ms);
            match paused_until_ms > now_ms {
                true => self.schedule(paused_until_ms - now_ms, step),
                false => self.run_step(step),
            }
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Arrives {
                vm,
                run,
                key,
                name,
                sent_ms,
                is_check,
            } => self.arrive(vm, run, key, name, sent_ms, is_check),
            Step::Answers { vm, run, .. } | Step::CheckAnswers { vm, run, .. }
                if self.vms[vm].run != run => {}
            Step::CheckAnswers {
                vm,
                key,
                is_rejection,
                ..
            } => self.end_check(vm, key, Some(true), is_rejection),
            Step::Answers {
                vm,
                key,
                name,
                sent_ms,
                running,
                is_rejection,
                limit,
                ..
            } => self.answer(vm, key, &name, sent_ms, running, is_rejection, limit),
            Step::Ends {
                upstream,
                run,
                is_check,
            } => {
                let upstream = &mut self.upstreams[upstream];
                if upstream.run == run {
                    upstream.running -= 1;
                    self.ran += usize::from(!is_check);
                }
            }
            Step::Delivers { vm, run, message } if self.vms[vm].run == run => {
                self.deliver(vm, message)
            }
            Step::Lists { vm, run, upstream } if self.vms[vm].run == run => {
                let new = self.upstreams[upstream].run;
                for former in 0..new {
                    let former = Upstream::name(upstream, former);
                    self.vms[vm].listed.remove(&former);
                    let clock_ms = self.now_ms + self.vms[vm].clock_offset_ms;
                    self.vms[vm].limits.forget(clock_ms, &former);
                    self.vms[vm].checks.removed(&former);
                }
                self.vms[vm].listed.insert(Upstream::name(upstream, new));
                if self.options.planted == Planted::NotInherited {
                    self.vms[vm].limits = RejectionLimits::new(1);
                }
                self.set_accounts(vm);
            }
            Step::Delivers { .. } | Step::Lists { .. } => {}
            Step::IsBack { upstream } => {
                self.upstreams[upstream].is_down = false;
                self.list(upstream);
            }
        }
    }
}
