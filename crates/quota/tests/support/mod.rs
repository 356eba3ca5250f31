//! Model of many VMs that share limits.
//!
//! Each VM is a [`QuotaClient`]; the first ones are owners too. Datagrams are delayed, lost and
//! duplicated; VMs pause, restart and are partitioned. Admitted units are counted over all VMs in
//! every window.

#![allow(dead_code)]

pub mod rules;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use apricotdale_quota::AccountId;
use apricotdale_quota::Admission;
use apricotdale_quota::Answer;
use apricotdale_quota::QuotaClient;
use apricotdale_quota::QuotaOwner;
use apricotdale_quota::Report;
use apricotdale_quota::WantedUnits;

use rules::Rules;

const OWNER_CANDIDATES: usize = 4;
const STEP_MS: u64 = 5;

/// Maximum time for which a request waits for an answer of the owner.
const PENDING_TIMEOUT_MS: u64 = 250;

/// Time within which all VMs apply a new limit.
const LIMIT_ROLLOUT_MS: u64 = 1_000;

#[derive(Clone, Debug)]
enum Message {
    Report(usize, Report),
    Answer(Answer),
}

/// Event at a moment of the sequence.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Requests arrive at some VMs for a time, with a rate per second, a rank and a size.
    Load {
        from: usize,
        vms: usize,
        per_s: u64,
        rank: u32,
        units: u64,
        for_ms: u64,
    },
    /// A VM's process restarts.
    Restart { vm: usize },
    /// All VMs' processes restart.
    RestartAll,
    /// A VM's process is paused.
    Pause { vm: usize, for_ms: u64 },
    /// A VM is partitioned from all others.
    Partition { vm: usize, for_ms: u64 },
    /// The limit changes to a percentage of the original one.
    Limit { percent: u64 },
}

struct Vm {
    client: QuotaClient,
    owner: QuotaOwner,
    inbox: Vec<(u64, Message)>,
    paused_until_ms: u64,
    partitioned_until_ms: u64,
    limit: (u64, f64),
    pending: Vec<Request>,
    /// Whether it runs a release that knows no ranks.
    is_old: bool,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    from: usize,
    vms: usize,
    per_s: u64,
    rank: u32,
    units: u64,
    until_ms: u64,
}

/// A request that waits for the owner, or whose caller comes back.
#[derive(Clone, Copy, Debug)]
struct Request {
    key: u64,
    rank: u32,
    units: u64,
    /// The same when its caller comes back.
    tag: u32,
    arrived_ms: u64,
    is_return: bool,
}

/// What became of the requests of one rank and size.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub arrived: u64,
    pub admitted: u64,
    /// Requests that were told when to come back, that came, and that were admitted then.
    pub deferred: u64,
    pub returned: u64,
    pub let_in: u64,
}

pub struct Fleet {
    rules: Rules,
    pub now_ms: u64,
    vms: Vec<Vm>,
    state: u64,
    lost_in_256: u64,
    rate: f64,
    next_key: u64,
    loads: Vec<Load>,
    /// Admitted units by time of arrival.
    pub admitted: BTreeMap<u64, u64>,
    /// Limits with the times at which they came into force.
    limits: Vec<(u64, f64)>,
    pub arrived: u64,
    pub refused: u64,
    pub pending: u64,
    incarnations: u64,
    /// Requests by rank and size.
    pub outcomes: BTreeMap<(u32, u64), Outcome>,
    /// Whether callers come back when they are told to.
    pub do_callers_return: bool,
    returns: Vec<(u64, Request)>,
    /// VMs that run a release that knows no ranks.
    pub old_vms: std::ops::Range<usize>,
}

fn account() -> AccountId {
    AccountId::of("north")
}

/// Returns a report as an earlier release sends it, and reads it.
fn without_wants(mut report: Report) -> Report {
    report.extra.wants.clear();
    report
}

impl Fleet {
    pub fn new(rules: Rules, vms: usize, seed: u64, lost_in_256: u64, rate: f64) -> Self {
        let mut fleet = Self {
            rules,
            now_ms: 100_000,
            vms: Vec::new(),
            state: seed | 1,
            lost_in_256,
            rate,
            next_key: 0,
            loads: Vec::new(),
            admitted: BTreeMap::new(),
            limits: vec![(0, rate)],
            arrived: 0,
            refused: 0,
            pending: 0,
            incarnations: 0,
            outcomes: BTreeMap::new(),
            do_callers_return: false,
            returns: Vec::new(),
            old_vms: 0..0,
        };
        for _ in 0..vms {
            let vm = fleet.vm(vms);
            fleet.vms.push(vm);
        }
        fleet
    }

    fn vm(&mut self, vms: usize) -> Vm {
        self.incarnations += 1;
        let incarnation = self.incarnations.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut client = QuotaClient::new(incarnation, self.rules.bounds);
        let mut owner = QuotaOwner::new(incarnation, self.rules.bounds);
        client.set_vms(vms);
        owner.set_vms(vms);
        let limits = [(account(), self.rules.limit(self.rate))];
        client.set_limits(self.now_ms, limits);
        owner.set_limits(self.now_ms, limits);
        Vm {
            client,
            owner,
            inbox: Vec::new(),
            paused_until_ms: 0,
            partitioned_until_ms: 0,
            limit: (0, self.rate),
            pending: Vec::new(),
            is_old: false,
        }
    }

    fn random(&mut self) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state >> 16
    }

    pub fn apply(&mut self, event: Event) {
        let (now_ms, vms) = (self.now_ms, self.vms.len());
        match event {
            Event::Load {
                from,
                vms,
                per_s,
                rank,
                units,
                for_ms,
            } => self.loads.push(Load {
                from,
                vms,
                per_s,
                rank,
                units,
                until_ms: now_ms + for_ms,
            }),
            Event::Restart { vm } => self.vms[vm % vms] = self.vm(vms),
            Event::RestartAll => {
                for index in 0..vms {
                    self.vms[index] = self.vm(vms);
                }
            }
            Event::Pause { vm, for_ms } => self.vms[vm % vms].paused_until_ms = now_ms + for_ms,
            Event::Partition { vm, for_ms } => {
                self.vms[vm % vms].partitioned_until_ms = now_ms + for_ms
            }
            Event::Limit { percent } => {
                self.rate = self.limits[0].1 * percent as f64 / 100.0;
                self.limits.push((now_ms, self.rate));
                for index in 0..vms {
                    let delay_ms = self.random() % LIMIT_ROLLOUT_MS;
                    self.vms[index].limit = (now_ms + delay_ms, self.rate);
                }
            }
        }
    }

    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.vms.len() {
            self.vms[index].is_old = self.old_vms.contains(&index);
            if self.vms[index].paused_until_ms <= now_ms {
                self.apply_limit(index);
                self.handle_messages(index);
                self.retry_pending(index);
                self.report(index);
            }
        }
        self.loads.retain(|load| now_ms < load.until_ms);
        for load in self.loads.clone() {
            let rounds_up = self.random() % 1_000_000 < load.per_s * STEP_MS * 1_000 % 1_000_000;
            let count = load.per_s * STEP_MS / 1_000 + u64::from(rounds_up);
            for _ in 0..count {
                let vm = (load.from + self.random() as usize % load.vms) % self.vms.len();
                self.arrive(vm, load.rank, load.units, None);
            }
        }
        let returns = self.returns.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        for (_, request) in returns.collect::<Vec<_>>() {
            let vm = self.random() as usize % self.vms.len();
            self.arrive(vm, request.rank, request.units, Some(request));
        }
    }

    fn apply_limit(&mut self, index: usize) {
        let (now_ms, rules) = (self.now_ms, self.rules);
        let vm = &mut self.vms[index];
        if vm.limit.0 > 0 && vm.limit.0 <= now_ms {
            let limits = [(account(), rules.limit(vm.limit.1))];
            vm.client.set_limits(now_ms, limits);
            vm.owner.set_limits(now_ms, limits);
            vm.limit.0 = 0;
        }
    }

    fn handle_messages(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        let arrived = vm.inbox.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        let mut answers = Vec::new();
        for (_, message) in arrived.collect::<Vec<_>>() {
            match message {
                Message::Report(from, report) => {
                    let report = match vm.is_old {
                        true => without_wants(report),
                        false => report,
                    };
                    let answer = vm.owner.handle(now_ms, &report);
                    answers.extend(answer.map(|answer| (from, answer)));
                }
                Message::Answer(mut answer) => {
                    if vm.is_old {
                        answer.turns.clear();
                    }
                    vm.client.handle(now_ms, &answer);
                }
            }
        }
        let is_old = self.vms[index].is_old;
        for (to, mut answer) in answers {
            if is_old {
                answer.turns.clear();
            }
            self.send(index, to, &Message::Answer(answer));
        }
    }

    fn retry_pending(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let mut pending = std::mem::take(&mut self.vms[index].pending);
        pending.sort_by_key(|it| (it.rank, it.key));
        for request in pending {
            self.decide(
                index,
                request,
                now_ms < request.arrived_ms + PENDING_TIMEOUT_MS,
            );
        }
    }

    /// Decides on a request, which may wait for the owner or not any longer.
    fn decide(&mut self, index: usize, request: Request, may_wait: bool) {
        let now_ms = self.now_ms;
        let Request {
            key,
            rank,
            units,
            tag,
            ..
        } = request;
        let vm = &mut self.vms[index];
        let outcome = self.outcomes.entry((rank, units)).or_default();
        let admission = match vm.is_old {
            true => vm.client.admit(now_ms, account(), key, units),
            false => {
                let wanted = WantedUnits { rank, units, tag };
                vm.client.admit_by_rank(now_ms, account(), key, wanted)
            }
        };
        match admission {
            Admission::Admitted => {
                outcome.admitted += 1;
                outcome.let_in += u64::from(request.is_return);
                self.count(request.arrived_ms, units);
            }
            Admission::Pending if may_wait => vm.pending.push(request),
            Admission::Pending => {
                vm.client.withdraw(account(), key);
                self.refused += units;
            }
            Admission::Refused { .. } => self.refused += units,
            Admission::Deferred { retry_after_ms } => {
                outcome.deferred += 1;
                self.refused += units;
                if self.do_callers_return && !request.is_return {
                    self.returns.push((now_ms + retry_after_ms, request));
                }
            }
        }
    }

    fn report(&mut self, index: usize) {
        let candidates = self.vms.len().min(OWNER_CANDIDATES);
        let client = &mut self.vms[index].client;
        let Some(report) = client.due_report(self.now_ms, candidates) else {
            return;
        };
        let to = client.owner_rank();
        let report = match self.vms[index].is_old {
            true => without_wants(report),
            false => report,
        };
        self.send(index, to, &Message::Report(index, report));
    }

    fn arrive(&mut self, vm: usize, rank: u32, units: u64, former: Option<Request>) {
        if self.vms[vm].paused_until_ms > self.now_ms {
            return;
        }
        self.next_key += 1;
        let outcome = self.outcomes.entry((rank, units)).or_default();
        match former.is_some() {
            true => outcome.returned += 1,
            false => {
                self.arrived += units;
                outcome.arrived += 1;
            }
        }
        let request = Request {
            key: self.next_key,
            rank,
            units,
            tag: former.map_or(self.next_key as u32, |it| it.tag),
            arrived_ms: self.now_ms,
            is_return: former.is_some(),
        };
        let before = self.vms[vm].pending.len();
        self.decide(vm, request, true);
        if self.vms[vm].pending.len() > before {
            self.pending += units;
        }
    }

    fn count(&mut self, at_ms: u64, units: u64) {
        *self.admitted.entry(at_ms).or_default() += units;
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let is_partitioned = |vm: &Vm| vm.partitioned_until_ms > self.now_ms;
        if from != to && (is_partitioned(&self.vms[from]) || is_partitioned(&self.vms[to])) {
            return;
        }
        let random = self.random();
        let delays: Vec<u64> = match random % 256 {
            _ if from == to => vec![0],
            lost if lost < self.lost_in_256 => Vec::new(),
            250.. => vec![1 + random / 256 % 20, 1 + random / 65_536 % 200],
            _ => vec![1 + random / 256 % 20],
        };
        for delay_ms in delays {
            let at_ms = self.now_ms + delay_ms;
            self.vms[to].inbox.push((at_ms, message.clone()));
        }
    }

    /// Returns the maximum of the units admitted in a window, as a share of what the limit allows.
    pub fn worst_window(&self) -> f64 {
        let window_ms = self.rules.bounds.window_ms;
        let mut window: VecDeque<(u64, u64)> = VecDeque::new();
        let (mut sum, mut worst) = (0, 0.0_f64);
        for (at_ms, units) in &self.admitted {
            window.push_back((*at_ms, *units));
            sum += units;
            while window
                .front()
                .is_some_and(|(begun_ms, _)| begun_ms + window_ms <= *at_ms)
            {
                sum -= window.pop_front().map_or(0, |(_, units)| units);
            }
            let begun_ms = at_ms.saturating_sub(window_ms);
            worst = worst.max(sum as f64 / self.allowed(begun_ms, *at_ms));
        }
        worst
    }

    /// Returns how many units may be admitted in a window. A lower limit is binding one window
    /// after all VMs have applied it.
    fn allowed(&self, from_ms: u64, until_ms: u64) -> f64 {
        let ends = self.limits.iter().skip(1).map(|(at_ms, _)| *at_ms);
        let spans = self.limits.iter().zip(ends.chain([u64::MAX]));
        let Rules { bounds, burst_s } = self.rules;
        let window_ms = bounds.window_ms;
        let binds_ms = |end_ms: u64| end_ms.saturating_add(LIMIT_ROLLOUT_MS + window_ms);
        let in_force =
            spans.filter(|((at_ms, _), end_ms)| *at_ms <= until_ms && binds_ms(*end_ms) >= from_ms);
        let rate = in_force.map(|((_, rate), _)| *rate).fold(0.0, f64::max);
        let base = rate * window_ms as f64 / 1_000.0 + rate * burst_s;
        base * (1.0 + bounds.over) + bounds.slack
    }
}
