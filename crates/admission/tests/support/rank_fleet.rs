//! Simulation of the VMs that share the engines of one service, of the lease holder that computes
//! the shares of the ranks, and of the messages between them.

mod arrivals;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::fmt;

use apricotdale_admission::RankAdmission;
use apricotdale_admission::RankLoad;
use apricotdale_admission::RankPressure;
use apricotdale_admission::RankShareRow;
use apricotdale_admission::ServiceCapacity;
use apricotdale_admission::VmRankLoad;
use apricotdale_core::names::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub const STEP_MS: u64 = 20;

/// Length of the intervals in which requests are counted.
pub const BUCKET_MS: u64 = 400;

const SERVICE: u32 = 7;
const HEARTBEAT_MS: u64 = 400;
const ROWS_TTL_MS: u64 = 1_500;

/// Time constant of the rates of arrivals that VMs report.
const VM_RATE_WINDOW_MS: f64 = 1_000.0;

/// Longest time from a request at a VM to a refusal that it contributes to: the delay of the report
/// and its validity, the window of the pressure, the heartbeat's interval, delay and validity.
const PRESSURE_MEMORY_MS: u64 = 6_000;

/// Pressure below which nothing may be refused.
const FREE_PRESSURE: f64 = 0.9;

/// Number of times that a caller asks for the same request.
const MAX_TRIES: u32 = 3;

/// Fault that is planted to show that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// All ranks get the same share.
    RanksIgnored,
    /// Ranks behind one that is refused get nothing.
    FloorMissing,
    /// Shares stay in force although no others come.
    StaleKept,
    /// Shares are sent that admit everything.
    AllAdmitted,
    /// Shares are sent at any pressure.
    FreeRefused,
}

/// Change in the fleet.
#[derive(Clone, Debug)]
pub enum Event {
    /// The offered requests of each rank change, as multiples of the capacity.
    Load(Vec<f64>),
    /// A VM receives no messages for a time.
    Deaf { vm: usize, for_ms: u64 },
    /// A VM starts.
    Start,
    /// Half of the VMs are lost.
    LoseHalf,
    /// The holder is lost, and the next one begins after a time.
    LoseHolder { gap_ms: u64 },
}

/// Fleet and network of one course.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    pub seed: u64,
    pub vms: usize,
    pub slots: u32,
    pub occupied_ms: f64,
    pub lost_percent: u32,
    pub doubled_percent: u32,
    pub late_ms: u64,
    /// Mean time of requests in slots as the holder knows it, as a multiple of the real one.
    pub estimate: f64,
    /// Offered requests of each rank, as multiples of the capacity.
    pub offered: Vec<f64>,
    pub has_retries: bool,
    pub planted: Planted,
}

/// What happened in one interval.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// Offered requests per second of each rank, without retries.
    pub offered_per_s: Vec<f64>,
    /// Requests admitted by VMs that had heard of the holder, by rank.
    pub admitted: Vec<u64>,
    /// Requests refused, by rank.
    pub refused: Vec<u64>,
    /// Arrivals of VMs that had not heard of the holder.
    pub untold: u64,
    /// Admitted requests that came after a more urgent one was refused.
    pub overtaking: u64,
    pub arrivals: Vec<u64>,
    pub retries: Vec<u64>,
    pub admitted_retries: Vec<u64>,
    /// Requests in slots and waiting at the end.
    pub requests: u64,
    /// Shares that the holder announced last.
    pub permilles: Vec<u16>,
    /// Whether a change began in it.
    pub is_change: bool,
    /// Whether the holder ended the refusals in it.
    pub is_release: bool,
}

#[derive(Clone, Debug)]
enum Message {
    Report { vm: usize, load: VmRankLoad },
    Rows { vm: usize, rows: Vec<RankShareRow> },
}

#[derive(Debug)]
struct Vm {
    is_alive: bool,
    deaf_until_ms: u64,
    admission: RankAdmission,
    heard_ms: Option<u64>,
    next_report_ms: u64,
    rates_per_s: Vec<f64>,
    arrived: Vec<u32>,
    waiting: Vec<u32>,
    in_progress: u32,
    /// Numbers of its requests lately, with their times, in falling order.
    peaks: VecDeque<(u64, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    rank: u8,
    number: u64,
    vm: usize,
}

#[derive(Clone, Copy, Debug)]
struct Retry {
    rank: u8,
    id_hash: u64,
    tries: u32,
}

pub struct RankFleet {
    pub options: FleetOptions,
    pub now_ms: u64,
    pub buckets: Vec<Bucket>,
    pub violations: Vec<String>,
    random: ChaCha8Rng,
    vms: Vec<Vm>,
    holder: RankPressure,
    holder_from_ms: u64,
    next_heartbeat_ms: u64,
    was_binding: bool,
    messages: BTreeMap<(u64, u64), Message>,
    waiting: BinaryHeap<Reverse<Request>>,
    running: BinaryHeap<Reverse<(u64, usize)>>,
    retries: BTreeMap<(u64, u64), Retry>,
    next_number: u64,
    most_urgent_refused: Option<u8>,
}

impl fmt::Debug for RankFleet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} at {}", self.options, self.now_ms)
    }
}

impl RankFleet {
    pub fn new(options: FleetOptions) -> Self {
        let mut fleet = Self {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            now_ms: 0,
            buckets: Vec::new(),
            violations: Vec::new(),
            vms: Vec::new(),
            holder: RankPressure::default(),
            holder_from_ms: 0,
            next_heartbeat_ms: 0,
            was_binding: false,
            messages: BTreeMap::new(),
            waiting: BinaryHeap::new(),
            running: BinaryHeap::new(),
            retries: BTreeMap::new(),
            next_number: 0,
            most_urgent_refused: None,
            options,
        };
        (0..fleet.options.vms).for_each(|_| fleet.start_vm());
        fleet
    }

    /// Returns the requests per second that the engines complete.
    pub fn capacity_per_s(&self) -> f64 {
        f64::from(self.options.slots) * 1_000.0 / self.options.occupied_ms
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            if self.now_ms.is_multiple_of(BUCKET_MS) {
                self.begin_bucket();
            }
            self.deliver();
            self.end_runs();
            self.arrive();
            self.begin_runs();
            self.report();
            self.send_heartbeat();
            self.now_ms += STEP_MS;
        }
    }

    pub fn apply(&mut self, event: &Event) {
        // One VM that does not hear or that starts changes little for all others.
        let is_change = !matches!(event, Event::Deaf { .. } | Event::Start);
        if let Some(bucket) = self.buckets.last_mut() {
            bucket.is_change |= is_change;
        }
        match event {
            Event::Load(offered) => self.options.offered.clone_from(offered),
            Event::Deaf { vm, for_ms } => {
                let index = vm % self.vms.len();
                self.vms[index].deaf_until_ms = self.now_ms + for_ms;
            }
            Event::Start => self.start_vm(),
            Event::LoseHalf => self.lose_half(),
            Event::LoseHolder { gap_ms } => {
                self.holder = RankPressure::default();
                self.holder_from_ms = self.now_ms + gap_ms;
            }
        }
    }

    fn start_vm(&mut self) {
        let ranks = self.options.offered.len();
        let next_report_ms = self.now_ms + self.random.random_range(0..700);
        self.vms.push(Vm {
            is_alive: true,
            deaf_until_ms: 0,
            admission: RankAdmission::default(),
            heard_ms: None,
            next_report_ms,
            rates_per_s: vec![0.0; ranks],
            arrived: vec![0; ranks],
            waiting: vec![0; ranks],
            in_progress: 0,
            peaks: VecDeque::new(),
        });
    }

    /// The requests of the lost VMs that wait are gone, those in slots run to their end.
    fn lose_half(&mut self) {
        let alive: Vec<usize> = (0..self.vms.len())
            .filter(|vm| self.vms[*vm].is_alive)
            .collect();
        for vm in alive.iter().skip(1).step_by(2) {
            self.vms[*vm].is_alive = false;
        }
        let vms = &self.vms;
        self.waiting.retain(|Reverse(it)| vms[it.vm].is_alive);
    }

    fn begin_bucket(&mut self) {
        let ranks = self.options.offered.len();
        let capacity_per_s = self.capacity_per_s();
        let offered = self.options.offered.iter();
        let permilles = self.buckets.last().map(|last| last.permilles.clone());
        self.buckets.push(Bucket {
            offered_per_s: offered.map(|part| part * capacity_per_s).collect(),
            admitted: vec![0; ranks],
            refused: vec![0; ranks],
            arrivals: vec![0; ranks],
            retries: vec![0; ranks],
            admitted_retries: vec![0; ranks],
            permilles: permilles.unwrap_or_else(|| vec![1_000; ranks]),
            ..Bucket::default()
        });
        self.most_urgent_refused = None;
    }

    fn bucket(&mut self) -> &mut Bucket {
        self.buckets.last_mut().expect("a bucket")
    }

    fn send(&mut self, message: Message) {
        let copies = match self.chance(self.options.doubled_percent) {
            true => 2,
            false => 1,
        };
        for _ in 0..copies {
            if self.chance(self.options.lost_percent) {
                continue;
            }
            let delay_ms = self.random.random_range(0..=self.options.late_ms);
            self.next_number += 1;
            let at = (self.now_ms + delay_ms, self.next_number);
            self.messages.insert(at, message.clone());
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > now_ms {
                return;
            }
            match entry.remove() {
                Message::Report { vm, load } if now_ms >= self.holder_from_ms => {
                    self.holder.record(now_ms, &vm_name(vm), load);
                }
                Message::Report { .. } => {}
                Message::Rows { vm, rows } => {
                    let vm = &mut self.vms[vm];
                    if vm.is_alive && vm.deaf_until_ms <= now_ms {
                        vm.admission.record(now_ms, rows);
                        vm.heard_ms = Some(now_ms);
                    }
                }
            }
        }
    }

    fn end_runs(&mut self) {
        while let Some(Reverse((end_ms, vm))) = self.running.peek().copied() {
            if end_ms > self.now_ms {
                return;
            }
            self.running.pop();
            self.vms[vm].in_progress -= 1;
        }
    }

    fn begin_runs(&mut self) {
        while self.running.len() < self.options.slots as usize {
            let Some(Reverse(request)) = self.waiting.pop() else {
                break;
            };
            let factor = self.random.random_range(0.5..1.5);
            let run_ms = (self.options.occupied_ms * factor) as u64;
            self.running
                .push(Reverse((self.now_ms + run_ms, request.vm)));
            let vm = &mut self.vms[request.vm];
            vm.waiting[usize::from(request.rank)] -= 1;
            vm.in_progress += 1;
        }
        let requests = (self.running.len() + self.waiting.len()) as u64;
        self.bucket().requests = requests;
        let now_ms = self.now_ms;
        for vm in &mut self.vms {
            let requests = match vm.is_alive {
                true => vm.in_progress + vm.waiting.iter().sum::<u32>(),
                false => 0,
            };
            while vm.peaks.back().is_some_and(|(_, it)| *it <= requests) {
                vm.peaks.pop_back();
            }
            vm.peaks.push_back((now_ms, requests));
            while vm
                .peaks
                .front()
                .is_some_and(|(at_ms, _)| at_ms + PRESSURE_MEMORY_MS < now_ms)
            {
                vm.peaks.pop_front();
            }
        }
    }

    pub fn violate(&mut self, what: &str) {
        if self.violations.len() < 8 {
            self.violations.push(format!("at {}: {what}", self.now_ms));
        }
    }

    fn report(&mut self) {
        let weight = 1.0 - (-(STEP_MS as f64) / VM_RATE_WINDOW_MS).exp();
        for index in 0..self.vms.len() {
            let pause_ms = self.random.random_range(200..700);
            let vm = &mut self.vms[index];
            if !vm.is_alive {
                continue;
            }
            for (rate, arrived) in vm.rates_per_s.iter_mut().zip(&mut vm.arrived) {
                let now_per_s = f64::from(std::mem::take(arrived)) * 1_000.0 / STEP_MS as f64;
                *rate += weight * (now_per_s - *rate);
            }
            if vm.next_report_ms > self.now_ms {
                continue;
            }
            vm.next_report_ms = self.now_ms + pause_ms;
            let rank = |rank: usize| RankLoad {
                rank: rank as u8,
                arrivals_per_s: vm.rates_per_s[rank],
                waiting: vm.waiting[rank],
            };
            let load = VmRankLoad {
                ranks: (0..vm.waiting.len()).map(rank).collect(),
                in_progress: vm.in_progress,
            };
            self.send(Message::Report { vm: index, load });
        }
    }

    fn send_heartbeat(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.next_heartbeat_ms || now_ms < self.holder_from_ms {
            return;
        }
        self.next_heartbeat_ms = now_ms + HEARTBEAT_MS;
        let capacity = ServiceCapacity {
            slots: self.options.slots,
            occupied_ms: self.options.occupied_ms * self.options.estimate,
        };
        let Some(mut shares) = self.holder.shares(now_ms, capacity) else {
            return;
        };
        let is_binding = shares.is_binding();
        let was_binding = std::mem::replace(&mut self.was_binding, is_binding);
        self.bucket().is_release |= was_binding && !is_binding;
        let mean = shares
            .ranks
            .iter()
            .map(|it| u32::from(it.permille))
            .sum::<u32>()
            / (shares.ranks.len() as u32).max(1);
        let mut is_behind = false;
        for share in &mut shares.ranks {
            match self.options.planted {
                Planted::RanksIgnored => share.permille = mean as u16,
                Planted::FloorMissing if is_behind => share.permille = 0,
                Planted::AllAdmitted => share.permille = 1_000,
                Planted::FreeRefused if !is_binding => share.permille = 900,
                _ => {}
            }
            is_behind |= share.permille < 1_000;
            let bucket = self.buckets.last_mut().expect("a bucket");
            bucket.permilles[usize::from(share.rank)] = share.permille;
        }
        let rows = shares.rows(SERVICE);
        for vm in 0..self.vms.len() {
            let rows = rows.clone();
            self.send(Message::Rows { vm, rows });
        }
    }
}

fn vm_name(vm: usize) -> VmName {
    VmName::from(format!("vm-{vm}").as_str())
}
