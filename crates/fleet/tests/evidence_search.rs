//! Random search over starts, rollbacks of the store, cuts and lost messages: no VM serves by a
//! configuration that it can't know to be in force, and every VM serves in the end.

use std::collections::HashSet;

use apricotdale_fleet::ConfigurationEvidence;
use apricotdale_fleet::EvidenceOptions;
use apricotdale_fleet::ReadVersion;
use apricotdale_fleet::Readiness;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const VMS: usize = 4;
const STEP_MS: u64 = 100;

/// Time between a VM's reads of the configuration.
const READ_INTERVAL_MS: u64 = 900;

/// Time between two statements of the lease holder to the VMs that it knows.
const HEARTBEAT_INTERVAL_MS: u64 = 400;

/// Time between two reads of the other VMs' entries by a VM without evidence.
const ENTRIES_INTERVAL_MS: u64 = 4_000;

/// Time after which a VM that reaches the store has rewritten its entry.
const REWRITE_MS: u64 = 2_000;

/// Calm time at the end, within which every VM must serve.
const CALM_MS: u64 = 16_000;

/// Event of a course.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Operators publish a new configuration.
    Publish,
    /// Operators publish the newest configuration again.
    Republish,
    /// The store is away for some time, and comes back without its last configurations and without
    /// some or all entries of VMs.
    Rollback {
        away_ms: u64,
        lost: usize,
        keeps_entries: bool,
    },
    /// A VM's process ends and starts again after some time.
    Restart { vm: usize, down_ms: u64 },
    /// All VMs' processes end and start again.
    RestartAll { down_ms: u64 },
    /// A VM does not reach the store for some time.
    CutStore { vm: usize, for_ms: u64 },
    /// A VM does not reach the other VMs for some time.
    CutPeers { vm: usize, for_ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let vm = 0..VMS;
    prop_oneof![
        4 => Just(Event::Publish),
        1 => Just(Event::Republish),
        3 => (0..6_000_u64, 0..3_usize, any::<bool>()).prop_map(|(away_ms, lost, keeps_entries)| {
            Event::Rollback { away_ms, lost, keeps_entries }
        }),
        4 => (vm.clone(), 0..3_000_u64).prop_map(|(vm, down_ms)| Event::Restart { vm, down_ms }),
        1 => (0..3_000_u64).prop_map(|down_ms| Event::RestartAll { down_ms }),
        3 => (vm.clone(), 100..12_000_u64).prop_map(|(vm, for_ms)| Event::CutStore { vm, for_ms }),
        2 => (vm, 100..12_000_u64).prop_map(|(vm, for_ms)| Event::CutPeers { vm, for_ms }),
    ]
}

#[derive(Default)]
struct Store {
    era: u64,
    /// Versions in the order in which they were written, all in a topic that can lose its last ones.
    versions: Vec<u64>,
    /// Number of writes of any version.
    writes: u64,
    entries: HashSet<usize>,
    away_until_ms: u64,
}

struct Vm {
    evidence: ConfigurationEvidence,
    starts_ms: u64,
    store_cut_until_ms: u64,
    peers_cut_until_ms: u64,
    version: u64,
    announced: u64,
    era: Option<u64>,
    /// Era and number of writes of the last read.
    last_read: Option<(u64, u64)>,
    next_read_ms: u64,
    next_entries_ms: u64,
    rewrites_ms: u64,
    known: HashSet<usize>,
    was_ready: bool,
}

impl Vm {
    fn starting_at(starts_ms: u64) -> Self {
        Self {
            evidence: ConfigurationEvidence::new(EvidenceOptions::default()),
            starts_ms,
            store_cut_until_ms: 0,
            peers_cut_until_ms: 0,
            version: 0,
            announced: 0,
            era: None,
            last_read: None,
            next_read_ms: 0,
            next_entries_ms: 0,
            rewrites_ms: 0,
            known: HashSet::new(),
            was_ready: false,
        }
    }

    fn learn_era(&mut self, now_ms: u64, era: u64) {
        if self.era.is_some_and(|known| known < era) {
            self.evidence.record_rollback(now_ms);
            self.rewrites_ms = now_ms + REWRITE_MS;
        }
        self.era = self.era.max(Some(era));
    }

    fn known_version(&self, now_ms: u64) -> u64 {
        match self.evidence.is_known(now_ms) {
            true => self.version.max(self.announced),
            false => 0,
        }
    }

    fn record_statement(&mut self, now_ms: u64, statement: Statement) {
        self.learn_era(now_ms, statement.era);
        if self.era == Some(statement.era) {
            self.announced = self.announced.max(statement.version);
            self.evidence
                .record_statement(now_ms, statement.version, statement.age_ms);
        }
    }
}

/// What a VM states about the configuration in force.
#[derive(Clone, Copy)]
struct Statement {
    era: u64,
    version: u64,
    age_ms: u64,
}

struct Fleet {
    now_ms: u64,
    seed: u64,
    draws: u64,
    lost_in_256: u64,
    store: Store,
    vms: Vec<Vm>,
    /// Number of versions that were published.
    newest_published: u64,
    /// Versions and when they were acknowledged.
    published: Vec<(u64, u64)>,
    rolled_back_ms: Option<u64>,
    /// Version that every VM must at least have to become ready.
    floor: u64,
}

impl Fleet {
    fn new(seed: u64, lost_in_256: u64) -> Self {
        let mut fleet = Self {
            now_ms: 1_000,
            seed,
            draws: 0,
            lost_in_256,
            store: Store::default(),
            vms: (0..VMS).map(|_| Vm::starting_at(0)).collect(),
            newest_published: 0,
            published: Vec::new(),
            rolled_back_ms: None,
            floor: 0,
        };
        fleet.publish();
        fleet
    }

    fn publish(&mut self) {
        self.newest_published += 1;
        self.write(self.newest_published);
    }

    fn write(&mut self, version: u64) {
        self.published.push((version, self.now_ms));
        self.store.versions.push(version);
        self.store.writes += 1;
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        let mixed = (self.seed ^ self.draws).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) % below
    }

    fn apply(&mut self, event: Event) {
        let now_ms = self.now_ms;
        let is_away = now_ms < self.store.away_until_ms;
        match event {
            Event::Publish | Event::Republish if is_away => {}
            Event::Publish => self.publish(),
            Event::Republish => self.write(self.newest_published),
            Event::Rollback {
                away_ms,
                lost,
                keeps_entries,
            } => {
                let kept = self.store.versions.len().saturating_sub(lost).max(1);
                self.store.versions.truncate(kept);
                self.store.era += 1;
                self.store.away_until_ms = now_ms + away_ms;
                if !keeps_entries {
                    self.store.entries.clear();
                }
                self.rolled_back_ms = Some(now_ms);
                let max_age_ms = EvidenceOptions::default().max_age_ms;
                let is_certain = |at_ms: u64| at_ms + max_age_ms + STEP_MS < now_ms;
                let certain = self
                    .published
                    .iter()
                    .filter(|(_, at_ms)| is_certain(*at_ms));
                let newest = certain.map(|(version, _)| *version).max();
                self.floor = self.floor.max(newest.unwrap_or_default());
                // What is lost before every VM in touch has read it may never have been in force.
                let versions = &self.store.versions;
                self.published
                    .retain(|(version, at_ms)| is_certain(*at_ms) || versions.contains(version));
            }
            Event::Restart { vm, down_ms } => self.restart(vm, down_ms),
            Event::RestartAll { down_ms } => (0..VMS).for_each(|vm| self.restart(vm, down_ms)),
            Event::CutStore { vm, for_ms } => self.vms[vm].store_cut_until_ms = now_ms + for_ms,
            Event::CutPeers { vm, for_ms } => self.vms[vm].peers_cut_until_ms = now_ms + for_ms,
        }
    }

    fn restart(&mut self, vm: usize, down_ms: u64) {
        let Vm {
            store_cut_until_ms,
            peers_cut_until_ms,
            ..
        } = self.vms[vm];
        self.vms[vm] = Vm {
            store_cut_until_ms,
            peers_cut_until_ms,
            ..Vm::starting_at(self.now_ms + down_ms)
        };
    }

    fn is_up(&self, vm: usize) -> bool {
        self.now_ms >= self.vms[vm].starts_ms
    }

    fn reaches_store(&self, vm: usize) -> bool {
        let cut_until_ms = self.vms[vm]
            .store_cut_until_ms
            .max(self.store.away_until_ms);
        self.is_up(vm) && self.now_ms >= cut_until_ms
    }

    /// Returns whether a message from one VM reaches another.
    fn delivers(&mut self, from: usize, to: usize) -> bool {
        let is_cut = |vm: usize| self.now_ms < self.vms[vm].peers_cut_until_ms;
        let is_open = self.is_up(to) && !is_cut(from) && !is_cut(to);
        is_open && self.draw(256) >= self.lost_in_256
    }

    fn read_store(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let is_whole = self.draw(3) == 0;
        let pause_ms = self.draw(ENTRIES_INTERVAL_MS / 2) + ENTRIES_INTERVAL_MS / 2;
        let state = &mut self.vms[vm];
        state.learn_era(now_ms, self.store.era);
        if now_ms >= state.rewrites_ms {
            self.store.entries.insert(vm);
        }
        if now_ms >= state.next_entries_ms {
            state.next_entries_ms = now_ms + pause_ms;
            let others = self.store.entries.iter().copied().filter(|it| *it != vm);
            state.known.extend(others);
            state.evidence.record_other_vms();
        }
        if now_ms >= state.next_read_ms {
            state.next_read_ms = now_ms + READ_INTERVAL_MS;
            let version = self.store.versions.last().copied().unwrap_or_default();
            let read = (self.store.era, self.store.writes);
            let is_later = |(era, writes): (u64, u64)| era == read.0 && writes < read.1;
            let is_change = !is_whole && state.last_read.is_some_and(is_later);
            state.last_read = Some(read);
            state.version = state.version.max(version);
            let era = self.store.era;
            let read = ReadVersion {
                era,
                version,
                is_change,
            };
            state.evidence.record_read(now_ms, read);
        }
    }

    fn statement(&self, vm: usize) -> Option<Statement> {
        let state = &self.vms[vm];
        let version = state.known_version(self.now_ms);
        let age_ms = state.evidence.age_ms(self.now_ms);
        Some(Statement {
            era: state.era?,
            version,
            age_ms: age_ms.filter(|_| version > 0)?,
        })
    }

    fn exchange(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let known: Vec<usize> = self.vms[vm].known.iter().copied().collect();
        let is_asking = !self.vms[vm].evidence.is_known(now_ms);
        let is_stating = now_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS);
        for other in known {
            if is_asking && self.delivers(vm, other) {
                self.vms[other].known.insert(vm);
                let era = self.vms[vm].era.unwrap_or_default();
                self.vms[other].learn_era(now_ms, era);
                let answer = self.statement(other);
                if let Some(answer) = answer.filter(|_| self.delivers(other, vm)) {
                    self.vms[vm].record_statement(now_ms, answer);
                }
            } else if is_stating && self.delivers(vm, other) {
                let statement = self.statement(vm);
                self.vms[other].known.insert(vm);
                if let Some(statement) = statement {
                    self.vms[other].record_statement(now_ms, statement);
                }
            }
        }
    }

    fn step(&mut self) -> Result<(), TestCaseError> {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let max_wait_ms = EvidenceOptions::default().max_wait_ms;
        let is_over = |at_ms: &u64| now_ms >= at_ms + max_wait_ms;
        if let Some(rolled_back_ms) = self.rolled_back_ms.take_if(|at_ms| is_over(at_ms)) {
            // From now on a copy may be in force.
            self.published.retain(|(_, at_ms)| *at_ms > rolled_back_ms);
            self.floor = 0;
        }
        for vm in 0..VMS {
            if self.reaches_store(vm) {
                self.read_store(vm);
            }
            if self.is_up(vm) {
                self.exchange(vm);
            }
        }
        for (vm, state) in self.vms.iter_mut().enumerate() {
            if now_ms < state.starts_ms {
                continue;
            }
            let is_complete = state.version > 0;
            let announced = state.announced;
            let readiness = state
                .evidence
                .readiness(now_ms, is_complete, state.version, announced);
            let is_ready = !matches!(readiness, Readiness::Waiting(_));
            let begins = is_ready && !std::mem::replace(&mut state.was_ready, is_ready);
            let knows_rollback = state.era == Some(self.store.era);
            if begins && knows_rollback && self.rolled_back_ms.is_some() {
                prop_assert!(
                    state.version >= self.floor,
                    "VM {} serves by version {} below {} at {}",
                    vm,
                    state.version,
                    self.floor,
                    now_ms
                );
            }
        }
        Ok(())
    }

    fn run_for(&mut self, for_ms: u64) -> Result<(), TestCaseError> {
        for _ in 0..for_ms.div_ceil(STEP_MS) {
            self.step()?;
        }
        Ok(())
    }
}

fn play(mut fleet: Fleet, course: Vec<(u64, Event)>) -> Result<(), TestCaseError> {
    fleet.run_for(4_000)?;
    for (pause_ms, event) in course {
        fleet.run_for(pause_ms)?;
        fleet.apply(event);
    }
    let calm_from_ms = fleet
        .vms
        .iter()
        .map(|vm| {
            vm.starts_ms
                .max(vm.store_cut_until_ms)
                .max(vm.peers_cut_until_ms)
        })
        .max()
        .unwrap_or_default()
        .max(fleet.store.away_until_ms);
    fleet.run_for(calm_from_ms.saturating_sub(fleet.now_ms) + CALM_MS)?;
    let waiting: Vec<usize> = (0..VMS).filter(|vm| !fleet.vms[*vm].was_ready).collect();
    prop_assert!(waiting.is_empty(), "VMs that never serve: {:?}", waiting);
    Ok(())
}

/// Returns the number of courses: few in CI, more by hand.
fn courses() -> u32 {
    let by_hand = std::env::var("EVIDENCE_COURSES").ok();
    by_hand.and_then(|it| it.parse().ok()).unwrap_or(1_500)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(46),
        failure_persistence: None,
        ..ProptestConfig::with_cases(courses())
    })]

    /// Guards against a VM that starts after a rollback and serves by an older configuration than
    /// one that had been in force, and against VMs that never serve.
    #[test]
    fn older_copy_unserved(
        seed in any::<u64>(),
        lost_in_256 in 0..100_u64,
        course in prop::collection::vec((0..4_000_u64, event()), 3..20),
    ) {
        play(Fleet::new(seed, lost_in_256), course)?;
    }
}
