//! Random search over cuts between VMs and upstreams: of one VM to all of them, from one upstream to
//! all, in every way a cut shows, with crashes, pauses of VMs and lost messages.

use std::collections::BTreeMap;
use std::collections::HashMap;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use apricotdale_paths::Options;
use apricotdale_paths::PathAnswer;
use apricotdale_paths::PathChange;
use apricotdale_paths::PathFailure;
use apricotdale_paths::Paths;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const VMS: usize = 6;
const ENGINES: usize = 5;
const STEP_MS: u64 = 5;

/// Time between two requests of one VM, each to an engine drawn at random.
const REQUEST_INTERVAL_MS: u64 = 60;

/// Time after which an unanswered request or probe shows its failure: the silence on an open
/// connection, the opening of a new one, the answer to a probe.
const SILENT_MS: u64 = 500;
const CONNECT_MS: u64 = 600;
const PROBE_MS: u64 = 150;

/// Time from the begin of a cut from which requests must be answered again, and from its end until
/// direct paths are used.
const STABLE_WINDOW_MS: u64 = 3_000;
const RETURN_MS: u64 = 1_000;

/// Largest number of direct probes of a VM in a second.
const MAX_PROBES_PER_S: usize = 40;

/// How a cut shows at the cut VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Open connections hang, and new ones are not established.
    Silent,
    /// Connections are reset, new ones too.
    Reset,
    /// New connections are refused, and open ones go on.
    NewRefused,
}

#[derive(Clone, Copy, Debug)]
struct Cut {
    at_ms: u64,
    for_ms: u64,
    way: Way,
    /// Number of VMs that are cut off, of those that follow the first one.
    first_vm: usize,
    vms: usize,
    /// Number of engines that they are cut off from.
    engines: usize,
}

#[derive(Clone, Debug)]
struct Course {
    seed: u64,
    cuts: Vec<Cut>,
    /// Engine that ends for a time, unreachable for all VMs.
    crash: Option<(u64, u64, usize)>,
    /// VM that is paused for a time.
    pause: Option<(u64, u64, usize)>,
    lost_messages_percent: u32,
}

fn course() -> impl Strategy<Value = Course> {
    let way = prop_oneof![Just(Way::Silent), Just(Way::Reset), Just(Way::NewRefused)];
    let cut = (
        0..6_000_u64,
        500..9_000_u64,
        way,
        0..VMS,
        1..=VMS,
        prop_oneof![1 => 1..ENGINES, 3 => Just(ENGINES)],
    );
    let cut = cut.prop_map(|(at_ms, for_ms, way, first_vm, vms, engines)| Cut {
        at_ms: at_ms / STEP_MS * STEP_MS,
        for_ms: for_ms / STEP_MS * STEP_MS,
        way,
        first_vm,
        vms,
        engines,
    });
    let event = |what| prop::option::of((0..9_000_u64, 500..4_000_u64, 0..what));
    (
        any::<u64>(),
        prop::collection::vec(cut, 0..3),
        event(ENGINES),
        event(VMS),
        0..10_u32,
    )
        .prop_map(|(seed, cuts, crash, pause, lost)| Course {
            seed,
            cuts,
            crash,
            pause,
            lost_messages_percent: lost,
        })
}

fn is_within(at_ms: u64, from_ms: u64, for_ms: u64) -> bool {
    (from_ms..from_ms + for_ms).contains(&at_ms)
}

impl Course {
    /// Returns how a VM is cut off from an engine; none if it reaches the engine.
    fn cut(&self, at_ms: u64, vm: usize, engine: usize) -> Option<Way> {
        let mut cuts = self.cuts.iter().rev();
        let cut = cuts.find(|cut| {
            let offset = (vm + VMS - cut.first_vm) % VMS;
            is_within(at_ms, cut.at_ms, cut.for_ms) && offset < cut.vms && engine < cut.engines
        });
        cut.map(|cut| cut.way)
    }

    fn has_crashed(&self, at_ms: u64, engine: usize) -> bool {
        self.crash.is_some_and(|(from_ms, for_ms, which)| {
            which == engine && is_within(at_ms, from_ms, for_ms)
        })
    }

    fn is_paused(&self, at_ms: u64, vm: usize) -> bool {
        self.pause.is_some_and(|(from_ms, for_ms, which)| {
            which == vm && is_within(at_ms, from_ms, for_ms)
        })
    }

    /// Returns whether anything that concerns a VM's use of an engine has been the same for a time.
    fn is_steady(&self, at_ms: u64, for_ms: u64) -> bool {
        let changes = self
            .cuts
            .iter()
            .flat_map(|cut| [cut.at_ms, cut.at_ms + cut.for_ms]);
        let events = [self.crash, self.pause].into_iter().flatten();
        let events = events.flat_map(|(from_ms, for_ms, _)| [from_ms, from_ms + for_ms]);
        let mut all = changes.chain(events);
        !all.any(|change_ms| change_ms <= at_ms && at_ms < change_ms + for_ms)
    }
}

/// What happens at a time, at a VM.
#[derive(Clone, Debug)]
enum Event {
    /// A message arrives.
    Query(VmName, Vec<UpstreamName>),
    Answer(VmName, PathAnswer),
    /// A direct attempt or probe has its outcome.
    Outcome {
        engine: usize,
        failure: Option<PathFailure>,
        is_new: bool,
        is_probe: bool,
        begun_ms: u64,
    },
}

struct Fleet {
    course: Course,
    vms: Vec<Paths>,
    /// Whether a VM has an open direct connection to an engine, from before a cut.
    is_open: Vec<[bool; ENGINES]>,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    next_event: u64,
    random: ChaCha8Rng,
    probes: HashMap<(usize, u64), usize>,
    now_ms: u64,
}

fn engine(index: usize) -> UpstreamName {
    UpstreamName::from(format!("i-{index}"))
}

fn engine_index(name: &UpstreamName) -> usize {
    (0..ENGINES)
        .find(|it| engine(*it) == *name)
        .expect("an engine")
}

fn vm(index: usize) -> VmName {
    VmName::from(format!("vm-{index}"))
}

fn vm_index(name: &VmName) -> usize {
    (0..VMS).find(|it| vm(*it) == *name).expect("a VM")
}

fn service() -> GroupName {
    GroupName::from("llm")
}

fn zone(vm: usize) -> ZoneName {
    ZoneName::from(format!("zone-{}", vm % 3))
}

impl Fleet {
    fn new(course: Course) -> Self {
        let seed = course.seed;
        Self {
            vms: (0..VMS)
                .map(|it| Paths::new(Options::new(seed ^ it as u64, zone(it))))
                .collect(),
            is_open: vec![[false; ENGINES]; VMS],
            events: BTreeMap::new(),
            next_event: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            probes: HashMap::new(),
            now_ms: 0,
            course,
        }
    }

    fn push(&mut self, at_ms: u64, vm: usize, event: Event) {
        self.events.insert((at_ms, self.next_event), (vm, event));
        self.next_event += 1;
    }

    fn send(&mut self, to: usize, event: Event) {
        let is_lost = self.random.random_range(0..100) < self.course.lost_messages_percent;
        if !is_lost {
            self.push(self.now_ms + STEP_MS, to, event);
        }
    }

    /// Begins an attempt on a direct connection, and returns whether it is answered.
    fn attempt(&mut self, of: usize, which: usize, is_probe: bool) -> bool {
        let now_ms = self.now_ms;
        let is_open = self.is_open[of][which] && !is_probe;
        let limit_ms = if is_probe { PROBE_MS } else { CONNECT_MS };
        let (failure, after_ms) = match self.course.cut(now_ms, of, which) {
            _ if self.course.has_crashed(now_ms, which) => (Some(PathFailure::Refused), STEP_MS),
            None => (None, STEP_MS),
            Some(Way::NewRefused) if is_open => (None, STEP_MS),
            Some(Way::NewRefused) => (Some(PathFailure::Refused), STEP_MS),
            Some(Way::Reset) => (Some(PathFailure::Reset), STEP_MS),
            Some(Way::Silent) if is_open => (Some(PathFailure::Silent), SILENT_MS + PROBE_MS),
            Some(Way::Silent) => (Some(PathFailure::NotEstablished), limit_ms),
        };
        let is_new = !is_open;
        self.is_open[of][which] = match failure {
            None => is_open || !is_probe,
            Some(_) => false,
        };
        let outcome = Event::Outcome {
            engine: which,
            failure,
            is_new,
            is_probe: is_probe || failure == Some(PathFailure::Silent),
            begun_ms: now_ms,
        };
        self.push(now_ms + after_ms, of, outcome);
        if is_probe {
            *self.probes.entry((of, now_ms / 1_000)).or_default() += 1;
        }
        failure.is_none()
    }

    /// Sends a request as a VM does, and returns whether it is answered.
    fn request(&mut self, of: usize, which: usize) -> bool {
        let name = engine(which);
        if self.is_open[of][which] {
            return self.attempt(of, which, false);
        }
        let now_ms = self.now_ms;
        match self.vms[of].relay(now_ms, &name) {
            None => self.attempt(of, which, false),
            Some(relay) => {
                let through = vm_index(&relay);
                let is_reached = self.course.cut(now_ms, through, which).is_none()
                    && !self.course.has_crashed(now_ms, which)
                    && !self.course.is_paused(now_ms, through);
                if !is_reached {
                    let failed = Some(&name);
                    self.vms[of].record_relay_failure(now_ms, &relay, failed);
                }
                is_reached
            }
        }
    }

    fn handle(&mut self, of: usize, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::Query(asker, upstreams) => {
                let reached = self.vms[of].record_query(now_ms, &asker, &upstreams);
                self.answer(of, &asker, reached);
            }
            Event::Answer(from, answer) => self.vms[of].record_answer(now_ms, &from, answer),
            Event::Outcome {
                engine: which,
                failure,
                is_new,
                is_probe,
                begun_ms,
            } => {
                let name = engine(which);
                match failure {
                    _ if is_probe => {
                        let outcome = failure.map_or(Ok(()), Err);
                        let effect =
                            self.vms[of].record_probe(now_ms, begun_ms, &name, &service(), outcome);
                        for asker in effect.tell {
                            self.answer(of, &asker, vec![name.clone()]);
                        }
                    }
                    None => {
                        let service = service();
                        let new_at = is_new.then_some(&service);
                        self.vms[of].record_received(now_ms, &name, new_at);
                    }
                    Some(failure) => {
                        self.vms[of].record_failure(now_ms, begun_ms, &name, &service(), failure);
                    }
                }
            }
        }
    }

    fn answer(&mut self, of: usize, asker: &VmName, reached: Vec<UpstreamName>) {
        if reached.is_empty() {
            return;
        }
        let answer = PathAnswer {
            zone: zone(of),
            reached,
            load_permille: 100,
            relayed: 0,
            has_room: true,
        };
        self.send(vm_index(asker), Event::Answer(vm(of), answer));
    }

    fn advance(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (of, event) = entry.remove();
            match self.course.is_paused(self.now_ms, of) {
                true => self.push(self.now_ms + STEP_MS, of, event),
                false => self.handle(of, event),
            }
        }
        let known: Vec<UpstreamName> = (0..ENGINES).map(engine).collect();
        for of in 0..VMS {
            if self.course.is_paused(self.now_ms, of) {
                continue;
            }
            if self.now_ms >= self.vms[of].next_ms() {
                let due = self.vms[of].due(self.now_ms, &known);
                for name in due.probes {
                    self.attempt(of, engine_index(&name), true);
                }
                if !due.query.is_empty() {
                    for to in (0..VMS).filter(|to| *to != of) {
                        self.send(to, Event::Query(vm(of), due.query.clone()));
                    }
                }
                self.vms[of].compare(self.now_ms, known.iter());
            }
            // A lost path no longer carries the connections that were open.
            for change in self.vms[of].take_changes() {
                if let PathChange::Lost(name, PathFailure::Silent | PathFailure::NotEstablished) =
                    change
                {
                    self.is_open[of][engine_index(&name)] = false;
                }
            }
        }
    }

    fn reaches(&self, of: usize, which: usize) -> bool {
        let now_ms = self.now_ms;
        self.course.cut(now_ms, of, which).is_none() && !self.course.has_crashed(now_ms, which)
    }
}

impl Fleet {
    /// Returns whether a VM reaches an engine, if only on connections that were open before a cut.
    fn reaches_on_open_connections(&self, of: usize, which: usize) -> bool {
        let cut = self.course.cut(self.now_ms, of, which);
        matches!(cut, None | Some(Way::NewRefused)) && !self.course.has_crashed(self.now_ms, which)
    }
}

/// Plays a course and returns what was wrong.
fn violations(course: &Course) -> Vec<String> {
    let mut fleet = Fleet::new(course.clone());
    let mut wrong = Vec::new();
    let mut answered: HashMap<usize, (usize, usize)> = HashMap::new();
    let end_ms = 22_000;
    while fleet.now_ms < end_ms {
        let now_ms = fleet.now_ms;
        fleet.advance();
        for of in 0..VMS {
            if course.is_paused(now_ms, of) || !now_ms.is_multiple_of(REQUEST_INTERVAL_MS) {
                continue;
            }
            let which = fleet.random.random_range(0..ENGINES);
            let is_answered = fleet.request(of, which);
            let others_reach = (0..VMS).any(|other| {
                other != of && fleet.reaches(other, which) && !course.is_paused(now_ms, other)
            });
            let is_owed = fleet.reaches(of, which) || others_reach;
            if is_owed && course.is_steady(now_ms, STABLE_WINDOW_MS) {
                let (good, all) = answered.entry(of).or_default();
                *good += usize::from(is_answered);
                *all += 1;
            }
            let is_back = fleet.reaches(of, which) && course.is_steady(now_ms, RETURN_MS);
            if is_back && fleet.vms[of].is_lost(&engine(which)) && course.crash.is_none() {
                wrong.push(format!(
                    "{now_ms}: vm-{of} does not use its path to i-{which}"
                ));
            }
            let is_settled = course.is_steady(now_ms, STABLE_WINDOW_MS);
            let is_relayed = fleet.vms[of].is_relayed(&engine(which));
            if course.cuts.is_empty() && is_settled && is_relayed {
                wrong.push(format!(
                    "{now_ms}: vm-{of} relays i-{which} though nothing is cut"
                ));
            }
            if fleet.vms[of].is_behind(now_ms) && course.is_steady(now_ms, STABLE_WINDOW_MS) {
                let own = (0..ENGINES)
                    .filter(|which| fleet.reaches(of, *which))
                    .count();
                let best = (0..VMS).map(|other| {
                    (0..ENGINES)
                        .filter(|which| fleet.reaches_on_open_connections(other, *which))
                        .count()
                });
                if best.max().unwrap_or(0) <= own {
                    wrong.push(format!("{now_ms}: vm-{of} counts as cut off"));
                }
            }
        }
        fleet.now_ms += STEP_MS;
    }
    for (of, (good, all)) in answered {
        if good * 10 < all * 9 && all >= 20 {
            wrong.push(format!("vm-{of}: {good} of {all} answered"));
        }
    }
    for ((of, second), probes) in &fleet.probes {
        if *probes > MAX_PROBES_PER_S {
            wrong.push(format!("{second} s: vm-{of} sends {probes} probes"));
        }
    }
    wrong
}

/// Guards against VMs that don't serve though others reach the engines, that stay on relays when the
/// cut has ended, that take a crash or a pause for a cut, or that probe without bound.
#[test]
fn cuts_bridged() {
    let by_hand = std::env::var("PATH_COURSES").ok();
    let by_hand = by_hand.and_then(|courses| courses.parse().ok());
    let config = ProptestConfig {
        cases: by_hand.unwrap_or(400),
        rng_seed: RngSeed::Fixed(49),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    proptest!(config, |(course in course())| {
        let wrong = violations(&course);
        prop_assert!(wrong.is_empty(), "{} wrong, first {:?}", wrong.len(), wrong.first());
    });
}
