//! Orders of crashes, messages, restarts and resends, drawn at random over many VMs.
//!
//! Each VM is a [`CrashWatch`]. Engines, links between VMs and clocks are simulated: datagrams are
//! late, lost and doubled, VMs freeze, start again and are cut off, and a request that crashes each
//! engine that runs it is sent to any of them.

use std::collections::BTreeMap;

use apricotdale_core::names::UpstreamName;
use apricotdale_quarantine::BlockRow;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::CrashWatch;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::Options;
use apricotdale_quarantine::Role;
use proptest::prelude::*;

/// VMs that judge beside the giver of orders.
const JUDGES: usize = 4;

/// How long a request that crashes engines runs before the end.
const RUN_MS: u64 = 60;

/// How long after an engine's end a VM learns that it has ended.
const CONFIRM_MS: u64 = 5;

/// Within this time after the third crash any number of sends is allowed, and later this many.
const WINDOW_MS: u64 = 3_000;
const LATE_SENDS: usize = 3;

const STEP_MS: u64 = 5;

#[derive(Clone, Debug)]
enum Message {
    Reports(Vec<CrashReport>),
    Blocks(Vec<BlockRow>),
}

/// What happens at a moment.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request that crashes engines is sent to a VM, beside some others on the same engine.
    Crasher { which: u8, vm: usize, beside: u8 },
    /// An engine ends by itself, under requests that do nothing.
    Loss { vm: usize, requests: u8 },
    /// The last VM's process is started again.
    Restart,
    /// A VM stands still.
    Freeze { vm: usize, for_ms: u64 },
}

struct Vm {
    watch: CrashWatch,
    frozen_until_ms: u64,
    inbox: Vec<(u64, Message)>,
    /// Since when it has run without a disturbance.
    calm_ms: u64,
}

/// Draws what becomes of datagrams.
struct Link {
    state: u64,
    lost_in_256: u64,
}

impl Link {
    fn draw(&mut self) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state >> 16
    }

    /// Returns after how long each copy of a datagram arrives.
    fn delays_ms(&mut self) -> Vec<u64> {
        let draw = self.draw();
        match draw % 256 {
            lost if lost < self.lost_in_256 => Vec::new(),
            250.. => vec![1 + draw / 256 % 40, 1 + draw / 65_536 % 200],
            _ => vec![1 + draw / 256 % 40],
        }
    }
}

struct Fleet {
    now_ms: u64,
    vms: Vec<Vm>,
    link: Link,
    engines: u32,
    /// Requests lost with an engine, and when their VM learns of its end.
    ends: Vec<(u64, usize, UpstreamName, Vec<Fingerprint>)>,
    /// Sends that reached engines: when, and whether by a VM that had been calm.
    sends: BTreeMap<Fingerprint, Vec<(u64, bool)>>,
}

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(None, "POST", &["site.example", name], name.as_bytes())
}

impl Fleet {
    fn new(vms: usize, seed: u64, lost_in_256: u64) -> Self {
        let vm = || Vm {
            watch: CrashWatch::new(Options::default()),
            frozen_until_ms: 0,
            inbox: Vec::new(),
            calm_ms: 0,
        };
        Self {
            now_ms: 100_000,
            vms: (0..vms).map(|_| vm()).collect(),
            link: Link {
                state: seed | 1,
                lost_in_256,
            },
            engines: 0,
            ends: Vec::new(),
            sends: BTreeMap::new(),
        }
    }

    fn happen(&mut self, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::Crasher { which, vm, beside } => {
                let crasher = request(&format!("crasher-{which}"));
                let watch = &self.vms[vm];
                if watch.frozen_until_ms > now_ms
                    || watch.watch.blocked_ms(now_ms, &crasher).is_some()
                {
                    return;
                }
                let is_calm = watch.calm_ms + WINDOW_MS <= now_ms;
                self.sends
                    .entry(crasher)
                    .or_default()
                    .push((now_ms, is_calm));
                let engine = self.engine();
                self.ends
                    .push((now_ms + RUN_MS, vm, engine.clone(), vec![crasher]));
                for number in 0..usize::from(beside) {
                    let other = (vm + number) % self.vms.len();
                    let name = format!("beside-{}-{number}", self.engines / 2);
                    self.ends
                        .push((now_ms + RUN_MS, other, engine.clone(), vec![request(&name)]));
                }
            }
            Event::Loss { vm, requests } => {
                let engine = self.engine();
                let lost = (0..requests).map(|it| request(&format!("lost-{}-{it}", self.engines)));
                self.ends.push((now_ms, vm, engine, lost.collect()));
            }
            // The others keep what they were told; its own part is lost with it.
            Event::Restart if self.vms.len() == 1 => {}
            Event::Restart => {
                let vm = self.vms.len() - 1;
                self.ends.retain(|(_, of, ..)| *of != vm);
                let rows = self.vms.iter().map(|it| it.watch.blocks(now_ms)).next();
                let mut watch = CrashWatch::new(Options::default());
                // What the giver of orders and the others tell a VM that greets.
                for row in rows.into_iter().flatten() {
                    watch.take_block(now_ms, &row);
                }
                for other in self.vms.iter().take(vm) {
                    watch.take_reports(now_ms, &other.watch.own_reports(now_ms));
                }
                self.vms[vm] = Vm {
                    watch,
                    frozen_until_ms: 0,
                    inbox: Vec::new(),
                    calm_ms: now_ms,
                };
            }
            Event::Freeze { vm, for_ms } => {
                self.vms[vm].frozen_until_ms = now_ms + for_ms;
                self.vms[vm].calm_ms = now_ms + for_ms;
            }
        }
    }

    fn engine(&mut self) -> UpstreamName {
        self.engines += 1;
        UpstreamName::from(format!("i-{}", self.engines))
    }

    fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        let caller = CallerHash::of(b"caller");
        let ended = self
            .ends
            .extract_if(.., |(at_ms, ..)| *at_ms + CONFIRM_MS <= now_ms);
        for (_, vm, engine, lost) in ended.collect::<Vec<_>>() {
            let watch = &mut self.vms[vm].watch;
            for fingerprint in lost {
                watch.note_lost(now_ms, &engine, true, fingerprint, caller);
            }
            watch.note_ended(now_ms, &engine);
        }
        let judges = self.vms.len().min(JUDGES + 1);
        for index in 0..self.vms.len() {
            if self.vms[index].frozen_until_ms > now_ms {
                continue;
            }
            let vm = &mut self.vms[index];
            let arrived = vm.inbox.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
            for (_, message) in arrived.collect::<Vec<_>>() {
                match message {
                    Message::Reports(reports) => vm.watch.take_reports(now_ms, &reports),
                    Message::Blocks(rows) => rows.iter().for_each(|row| {
                        vm.watch.take_block(now_ms, row);
                    }),
                }
            }
            let role = Role {
                is_judge: index < judges,
                is_giver: index == 0,
            };
            let due = vm.watch.due(now_ms, role);
            if !due.reports.is_empty() {
                for judge in (0..judges).filter(|judge| *judge != index) {
                    self.send(judge, &Message::Reports(due.reports.clone()));
                }
            }
            if !due.blocks.is_empty() {
                for other in (0..self.vms.len()).filter(|other| *other != index) {
                    self.send(other, &Message::Blocks(due.blocks.clone()));
                }
            }
        }
    }

    fn send(&mut self, to: usize, message: &Message) {
        for delay_ms in self.link.delays_ms() {
            let at_ms = self.now_ms + delay_ms;
            self.vms[to].inbox.push((at_ms, message.clone()));
        }
    }

    /// Returns how often a request was sent too late after its third crash.
    fn late_sends(&self, which: u8) -> usize {
        let crasher = request(&format!("crasher-{which}"));
        let Some(sends) = self.sends.get(&crasher) else {
            return 0;
        };
        let Some((third_ms, _)) = sends.get(2) else {
            return 0;
        };
        let late_ms = third_ms + RUN_MS + WINDOW_MS;
        let late = sends
            .iter()
            .filter(|(at_ms, calm)| *at_ms > late_ms && *calm);
        late.count()
    }

    fn blames_only_crashers(&self) -> bool {
        let crashers: Vec<Fingerprint> =
            (0..4).map(|it| request(&format!("crasher-{it}"))).collect();
        self.vms.iter().all(|vm| {
            let rows = vm.watch.blocks(self.now_ms);
            rows.iter().all(|row| crashers.contains(&row.fingerprint))
        })
    }
}

fn event(vms: usize) -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..3_u8, 0..vms, 0..6_u8)
            .prop_map(|(which, vm, beside)| Event::Crasher { which, vm, beside }),
        2 => (0..vms, 1..20_u8).prop_map(|(vm, requests)| Event::Loss { vm, requests }),
        1 => Just(Event::Restart),
        1 => (0..vms, 50..4_000_u64).prop_map(|(vm, for_ms)| Event::Freeze { vm, for_ms }),
    ]
}

fn course(vms: usize) -> impl Strategy<Value = Vec<(u64, Event)>> {
    prop::collection::vec((1..700_u64, event(vms)), 20..90)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Guards against a request that goes on to crash engines under any order of events.
    #[test]
    fn crashers_are_stopped(
        vms in 1..24_usize,
        seed in any::<u64>(),
        lost_in_256 in 0..40_u64,
        course in course(1),
        places in prop::collection::vec(any::<usize>(), 90),
    ) {
        let mut fleet = Fleet::new(vms, seed, lost_in_256);
        for ((pause_ms, event), place) in course.into_iter().zip(places) {
            let place = place % vms;
            fleet.run_until(fleet.now_ms + pause_ms);
            fleet.happen(match event {
                Event::Crasher { which, beside, .. } => Event::Crasher { which, vm: place, beside },
                Event::Loss { requests, .. } => Event::Loss { vm: place, requests },
                Event::Restart => Event::Restart,
                Event::Freeze { for_ms, .. } => Event::Freeze { vm: place, for_ms },
            });
        }
        fleet.run_until(fleet.now_ms + 5_000);
        for which in 0..3 {
            let late = fleet.late_sends(which);
            prop_assert!(late <= LATE_SENDS, "crasher {which} was sent {late} times too late");
        }
        prop_assert!(fleet.blames_only_crashers());
    }
}
