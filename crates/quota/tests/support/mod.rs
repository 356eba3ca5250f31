//! Model of many VMs that share limits.
//!
//! Each VM is a [`QuotaClient`]; the first ones are owners too. Datagrams are delayed, lost and
//! duplicated; VMs pause, restart and are partitioned. Admitted units are counted over all VMs in
//! every window.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use apricotdale_organisations::Limit;
use apricotdale_quota::AccountId;
use apricotdale_quota::Admission;
use apricotdale_quota::Answer;
use apricotdale_quota::Bounds;
use apricotdale_quota::QuotaClient;
use apricotdale_quota::QuotaOwner;
use apricotdale_quota::Report;

const OWNER_CANDIDATES: usize = 4;
const STEP_MS: u64 = 5;

/// Maximum time for which a request waits for an answer of the owner.
const PENDING_TIMEOUT_MS: u64 = 250;

/// Time within which all VMs apply a new limit.
const LIMIT_ROLLOUT_MS: u64 = 1_000;

/// Limits of organisations, counted in tokens, with a burst of one second.
pub const TOKENS: Rules = Rules {
    bounds: Bounds {
        window_ms: 8_000,
        over: 0.1,
        slack: 110_000.0,
        sustained_share: 0.5,
    },
    burst_s: 1.0,
};

/// Limits that upstreams state, counted in requests, without a burst.
pub const UPSTREAM_REQUESTS: Rules = Rules {
    bounds: Bounds {
        window_ms: 4_000,
        over: 0.5,
        slack: 5.0,
        sustained_share: 0.0,
    },
    burst_s: 0.0,
};

/// How limits are counted and enforced.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    bounds: Bounds,
    /// Burst of each limit, as the time in which its rate yields as much.
    burst_s: f64,
}

impl Rules {
    fn limit(&self, rate: f64) -> Limit {
        Limit {
            rate_per_s: rate,
            burst: rate * self.burst_s,
        }
    }
}

#[derive(Clone, Debug)]
enum Message {
    Report(usize, Report),
    Answer(Answer),
}

/// Event at a moment of the sequence.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Requests arrive at some VMs for a time, with a rate per second and a size.
    Load {
        from: usize,
        vms: usize,
        per_s: u64,
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
    pending: Vec<(u64, u64, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    from: usize,
    vms: usize,
    per_s: u64,
    units: u64,
    until_ms: u64,
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
}

fn account() -> AccountId {
    AccountId::of("north")
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
                units,
                for_ms,
            } => self.loads.push(Load {
                from,
                vms,
                per_s,
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
                self.arrive(vm, load.units);
            }
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
                    let answer = vm.owner.handle(now_ms, &report);
                    answers.extend(answer.map(|answer| (from, answer)));
                }
                Message::Answer(answer) => {
                    vm.client.handle(now_ms, &answer);
                }
            }
        }
        for (to, answer) in answers {
            self.send(index, to, &Message::Answer(answer));
        }
    }

    fn retry_pending(&mut self, index: usize) {
        let now_ms = self.now_ms;
        for (key, units, arrived_ms) in std::mem::take(&mut self.vms[index].pending) {
            let vm = &mut self.vms[index];
            match vm.client.admit(now_ms, account(), key, units) {
                Admission::Admitted => self.count(arrived_ms, units),
                Admission::Pending if now_ms < arrived_ms + PENDING_TIMEOUT_MS => {
                    vm.pending.push((key, units, arrived_ms));
                }
                Admission::Pending => {
                    vm.client.withdraw(account(), key);
                    self.refused += units;
                }
                Admission::Refused { .. } => self.refused += units,
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
        self.send(index, to, &Message::Report(index, report));
    }

    fn arrive(&mut self, vm: usize, units: u64) {
        if self.vms[vm].paused_until_ms > self.now_ms {
            return;
        }
        self.arrived += units;
        self.next_key += 1;
        let key = self.next_key;
        match self.vms[vm]
            .client
            .admit(self.now_ms, account(), key, units)
        {
            Admission::Admitted => self.count(self.now_ms, units),
            Admission::Pending => {
                self.pending += units;
                self.vms[vm].pending.push((key, units, self.now_ms));
            }
            Admission::Refused { .. } => self.refused += units,
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
