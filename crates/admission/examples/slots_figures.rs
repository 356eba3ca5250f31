//! Prints the figures on slots over many VMs of docs/design/admission.md: several VMs that send to
//! one engine with delayed load reports, with different rules for the number of slots of a VM.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use apricotdale_admission::Options;
use apricotdale_admission::SlotReport;
use apricotdale_admission::SlotView;
use apricotdale_admission::admission_policy;
use apricotdale_admission::share_of_slots;
use apricotdale_admission::vm_slots;
use apricotdale_core::policy::AdmissionAction;
use apricotdale_core::policy::AdmissionEvent;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Ticket;

#[path = "../tests/support/mod.rs"]
mod support;

use support::arrival;
use support::capacity;

const TARGET_MS: u64 = 1_300;
const RUN_MS: u64 = 500;
const REPORT_INTERVAL_MS: u64 = 1_000;
const REPORT_LAG_MS: u64 = 2_000;
const WARM_AT_MS: u64 = 5_000;

type SlotRule = fn(&SlotView) -> u32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End { vm: usize, ticket: u64 },
    Report { busy: u32 },
    Measure,
    Tick { vm: usize },
    Arrive { vm: usize, ticket: u64 },
}

/// Simulation of some VMs that send to one engine.
struct SlotSimulation {
    rule: SlotRule,
    slots: u32,
    policies: Vec<Box<dyn AdmissionPolicy>>,
    in_progress: Vec<u32>,
    running: u32,
    queue: VecDeque<(usize, u64)>,
    deadline_ms: BTreeMap<u64, u64>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    in_time: u32,
    late: u32,
    refused: u32,
    longest_queue: usize,
}

fn main() {
    let rules: [(&str, SlotRule); 4] = [
        ("share, at least one", |view| share_only(view).max(1)),
        ("share of twice the slots, at least one", |view| {
            doubled(view).max(1)
        }),
        ("share and half of the unused", vm_slots),
        ("all slots", |view| view.total_slots),
    ];
    for (vms, slots) in [(7, 8), (9, 32), (410, 32)] {
        for (title, bursts) in bursts(vms, slots) {
            for (name, rule) in rules {
                let mut simulation = SlotSimulation::new(vms, slots, rule);
                simulation.run(&bursts);
                println!(
                    "{vms} VMs, {slots} slots | {title} | {name} | {} in time, {} late, {} \
                     refused | longest queue at the engine {}",
                    simulation.in_time,
                    simulation.late,
                    simulation.refused,
                    simulation.longest_queue
                );
            }
        }
    }
}

fn share_only(view: &SlotView) -> u32 {
    share_of_slots(view.total_slots, view.vm_rank, view.vm_count)
}

fn doubled(view: &SlotView) -> u32 {
    share_of_slots(2 * view.total_slots, view.vm_rank, view.vm_count)
}

/// Requests that arrive at one VM at one time.
#[derive(Clone, Copy)]
struct Burst {
    at_ms: u64,
    vm: usize,
    requests: usize,
}

fn bursts(vms: usize, slots: u32) -> [(&'static str, Vec<Burst>); 5] {
    [
        (
            "16 requests at one VM",
            vec![Burst {
                at_ms: 10_000,
                vm: 0,
                requests: 16,
            }],
        ),
        (
            "one request at each VM once it is loaded",
            everywhere(vms, WARM_AT_MS, 1),
        ),
        ("four requests at each VM later", everywhere(vms, 10_000, 4)),
        (
            "steady, 0.6 of the capacity",
            steady(vms, 0.6 * f64::from(slots)),
        ),
        (
            "steady, twice the capacity",
            steady(vms, 2.0 * f64::from(slots)),
        ),
    ]
}

fn everywhere(vms: usize, at_ms: u64, requests: usize) -> Vec<Burst> {
    (0..vms)
        .map(|vm| Burst {
            at_ms,
            vm,
            requests,
        })
        .collect()
}

/// Returns single requests for twenty seconds, which keep some slots busy on average.
fn steady(vms: usize, busy_slots: f64) -> Vec<Burst> {
    let gap_ms = RUN_MS as f64 / busy_slots;
    let count = (20_000.0 / gap_ms) as usize;
    let burst = |number: usize| Burst {
        at_ms: 10_000 + (number as f64 * gap_ms) as u64,
        vm: number * 31 % vms,
        requests: 1,
    };
    (0..count).map(burst).collect()
}

impl SlotSimulation {
    fn new(vms: usize, slots: u32, rule: SlotRule) -> Self {
        let policy = || admission_policy("earliest_deadline", Options::default());
        Self {
            rule,
            slots,
            policies: (0..vms)
                .map(|_| policy().expect("a known policy"))
                .collect(),
            in_progress: vec![0; vms],
            running: 0,
            queue: VecDeque::new(),
            deadline_ms: BTreeMap::new(),
            events: BinaryHeap::new(),
            in_time: 0,
            late: 0,
            refused: 0,
            longest_queue: 0,
        }
    }

    fn run(&mut self, bursts: &[Burst]) {
        let mut ticket = 0;
        for Burst {
            at_ms,
            vm,
            requests,
        } in bursts.iter().copied()
        {
            for _ in 0..requests {
                self.events
                    .push(Reverse((at_ms, Event::Arrive { vm, ticket })));
                ticket += 1;
            }
        }
        self.set_slots(WARM_AT_MS, None);
        self.events.push(Reverse((WARM_AT_MS, Event::Measure)));
        while let Some(Reverse((now_ms, event))) = self.events.pop() {
            self.handle(now_ms, event);
        }
    }

    fn handle(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Arrive { vm, ticket } => {
                self.deadline_ms.insert(ticket, now_ms + TARGET_MS);
                let arrival = arrival(ticket, now_ms + TARGET_MS, RUN_MS);
                self.decide(now_ms, vm, AdmissionEvent::Arrived(arrival));
            }
            Event::Tick { vm } => self.decide(now_ms, vm, AdmissionEvent::Tick),
            Event::End { vm, ticket } => self.end(now_ms, vm, ticket),
            Event::Measure if now_ms < 60_000 => {
                let busy = self.running + self.queue.len() as u32;
                let read_ms = now_ms + REPORT_LAG_MS;
                self.events.push(Reverse((read_ms, Event::Report { busy })));
                self.events
                    .push(Reverse((now_ms + REPORT_INTERVAL_MS, Event::Measure)));
            }
            Event::Measure => {}
            Event::Report { busy } => self.set_slots(now_ms, Some(busy)),
        }
    }

    fn set_slots(&mut self, now_ms: u64, busy: Option<u32>) {
        for vm in 0..self.policies.len() {
            let own = self.in_progress[vm];
            let view = SlotView {
                total_slots: self.slots,
                vm_rank: vm as u32,
                vm_count: self.policies.len() as u32,
                report: busy.map(|busy| SlotReport {
                    busy,
                    own: own.min(busy),
                }),
            };
            self.decide(now_ms, vm, capacity((self.rule)(&view), None));
        }
    }

    fn decide(&mut self, now_ms: u64, vm: usize, event: AdmissionEvent) {
        for action in self.policies[vm].handle(now_ms, event) {
            match action {
                AdmissionAction::Start(Ticket(ticket)) => {
                    self.in_progress[vm] += 1;
                    self.queue.push_back((vm, ticket));
                }
                AdmissionAction::Refuse(..) => self.refused += 1,
            }
        }
        if let Some(tick_ms) = self.policies[vm].next_tick_ms() {
            self.events
                .push(Reverse((tick_ms.max(now_ms + 1), Event::Tick { vm })));
        }
        self.start_next(now_ms);
    }

    fn start_next(&mut self, now_ms: u64) {
        while self.running < self.slots {
            let Some((vm, ticket)) = self.queue.pop_front() else {
                break;
            };
            self.running += 1;
            match now_ms <= self.deadline_ms[&ticket] {
                true => self.in_time += 1,
                false => self.late += 1,
            }
            self.events
                .push(Reverse((now_ms + RUN_MS, Event::End { vm, ticket })));
        }
        self.longest_queue = self.longest_queue.max(self.queue.len());
    }

    fn end(&mut self, now_ms: u64, vm: usize, ticket: u64) {
        self.running -= 1;
        self.in_progress[vm] -= 1;
        let ended = AdmissionEvent::Ended {
            ticket: Ticket(ticket),
            ran_ms: RUN_MS,
        };
        self.decide(now_ms, vm, ended);
    }
}
