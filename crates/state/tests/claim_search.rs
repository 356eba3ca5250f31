//! Searches interleavings of claims, pauses, repeated appends and ends of processes for one that
//! runs a call twice or makes replays differ.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Mutex;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use apricotdale_core::claims::Claim;
use apricotdale_core::claims::ClaimBatch;
use apricotdale_core::claims::ClaimRecord;
use apricotdale_core::claims::Finish;
use apricotdale_core::claims::KeptAnswer;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Ran;

use apricotdale_state::ClaimTable;
use apricotdale_state::claims::ClaimOptions;
use apricotdale_state::claims::ClaimVerdict;
use apricotdale_state::snapshot::Lineage;
use apricotdale_state::snapshot::Section;

const SEED: u64 = 20_260_102;
const CASES: u32 = 3_000;
const STEPS: usize = 120;
const PROCESSES: usize = 3;
const KEYS: usize = 3;
const REMEMBER_MS: u64 = 1_000;

/// `Process` is one daemon process with one claim stream.
struct Process {
    process_id: u64,
    table: ClaimTable,
    /// Requests that wait for their claims.
    waiting: BTreeMap<RequestId, IdempotencyKey>,
    /// Calls that may be sent, which a pause may hold for any length of time.
    hands: Vec<(IdempotencyKey, RequestId)>,
    /// Finishes not yet appended.
    finishes: Vec<Finish>,
}

struct World {
    processes: Vec<Process>,
    records: Vec<(u64, Vec<u8>)>,
    delayed: Vec<Vec<u8>>,
    now_ms: u64,
    next_id: u64,
    /// When each key's call last ran.
    ran_ms: BTreeMap<IdempotencyKey, u64>,
    reference: ClaimTable,
    snapshot: Section,
}

fn options() -> ClaimOptions {
    ClaimOptions {
        remember_ms: 2 * REMEMBER_MS,
        least_ms: REMEMBER_MS,
        max_keys: KEYS - 1,
        max_kept_bytes: 8,
        ..ClaimOptions::default()
    }
}

fn finish(key: &IdempotencyKey, request: &RequestId, ran: Ran) -> Finish {
    let body = b"four".to_vec();
    let answer = KeptAnswer {
        status: 200,
        content_type: String::new(),
        body,
    };
    let answer = (ran == Ran::Ran).then_some(answer);
    Finish {
        key: key.clone(),
        request: request.clone(),
        ran,
        answer,
    }
}

impl World {
    fn new() -> Self {
        let reference = ClaimTable::new(options());
        let snapshot = Section::of_claims(Lineage::default(), &reference);
        let mut world = Self {
            processes: Vec::new(),
            records: Vec::new(),
            delayed: Vec::new(),
            now_ms: 1,
            next_id: 1,
            ran_ms: BTreeMap::new(),
            reference,
            snapshot,
        };
        (0..PROCESSES).for_each(|_| {
            let process = world.new_process();
            world.processes.push(process);
        });
        world
    }

    fn new_process(&mut self) -> Process {
        self.next_id += 1;
        Process {
            process_id: self.next_id,
            table: self
                .snapshot
                .claims()
                .expect("the section was just written"),
            waiting: BTreeMap::new(),
            hands: Vec::new(),
            finishes: Vec::new(),
        }
    }

    fn append(&mut self, entry: ClaimRecord, how: u8) {
        let payload = ClaimBatch {
            entries: vec![entry],
        }
        .encode();
        match how % 6 {
            0 => {
                self.delayed.push(payload.clone());
                self.land(payload);
            }
            1 => self.delayed.push(payload),
            _ => self.land(payload),
        }
    }

    fn land(&mut self, payload: Vec<u8>) {
        let offset = self.reference.next_offset();
        let verdicts = self.reference.apply(offset, self.now_ms, &payload);
        verdicts.expect("the record is a batch and the next one");
        self.records.push((self.now_ms, payload));
    }

    fn arrive(&mut self, index: usize, key: usize, how: u8) {
        self.next_id += 1;
        let key = IdempotencyKey::new(format!("k{}", key % KEYS));
        let request = RequestId::new(format!("r{}", self.next_id));
        let process = &mut self.processes[index];
        process.waiting.insert(request.clone(), key.clone());
        let claim = Claim {
            key,
            call_hash: 1,
            request,
            vm: "vm".into(),
            process_id: process.process_id,
        };
        self.append(ClaimRecord::Claim(claim), how);
    }

    fn replay(&mut self, index: usize, most: usize) {
        let process = &mut self.processes[index];
        let from = usize::try_from(process.table.next_offset().0).expect("offsets are small");
        for (appended_ms, payload) in self.records.iter().skip(from).take(most) {
            let offset = process.table.next_offset();
            let decided = process.table.apply(offset, *appended_ms, payload);
            for claim in decided.expect("the record is a batch and the next one") {
                if claim.process_id != Some(process.process_id) {
                    continue;
                }
                let waited = process.waiting.remove(&claim.request);
                match (claim.verdict, waited) {
                    (ClaimVerdict::Won, Some(key)) => process.hands.push((key, claim.request)),
                    (ClaimVerdict::Won, None) => {
                        process
                            .finishes
                            .push(finish(&claim.key, &claim.request, Ran::NotRun));
                    }
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, index: usize, runs: bool) {
        let process = &mut self.processes[index];
        let Some((key, request)) = process.hands.pop() else {
            return;
        };
        if !runs {
            process.finishes.push(finish(&key, &request, Ran::NotRun));
            return;
        }
        process.finishes.push(finish(&key, &request, Ran::Ran));
        let last_ms = self.ran_ms.insert(key.clone(), self.now_ms);
        let is_early = last_ms.is_some_and(|last_ms| self.now_ms <= last_ms + REMEMBER_MS);
        assert!(!is_early, "{key} ran at {last_ms:?} and at {}", self.now_ms);
    }

    fn step(&mut self, (what, who, which, how): (u8, u8, u8, u8)) {
        let index = usize::from(who) % PROCESSES;
        let process = &mut self.processes[index];
        match what % 16 {
            0..=3 => self.arrive(index, usize::from(which), how),
            4 => process.waiting.clear(),
            5 | 6 => self.run(index, how % 3 != 0),
            7..=9 if !process.finishes.is_empty() => {
                let which = usize::from(which) % process.finishes.len();
                let finish = process.finishes.remove(which);
                self.append(ClaimRecord::Finish(finish), how);
            }
            10 => self.processes[index] = self.new_process(),
            11 => {
                let alive: Vec<u64> = self.processes.iter().map(|p| p.process_id).collect();
                let table = &self.processes[index].table;
                let finishes =
                    table.finishes_of_ended_processes(|process_id| !alive.contains(&process_id));
                for finish in finishes {
                    self.append(ClaimRecord::Finish(finish), how);
                }
            }
            12 if !self.delayed.is_empty() => {
                let payload = self.delayed.remove(usize::from(which) % self.delayed.len());
                self.land(payload);
            }
            13 => self.now_ms += u64::from(which) * u64::from(how % 8),
            14 => self.snapshot = Section::of_claims(Lineage::default(), &process.table),
            _ => self.replay(index, 1 + usize::from(which) % 4),
        }
        if how % 4 != 3 {
            self.replay(index, usize::MAX);
        }
    }

    fn check_replays(&self) {
        let mut table = self
            .snapshot
            .claims()
            .expect("the section was just written");
        let from = usize::try_from(table.next_offset().0).expect("offsets are small");
        for (appended_ms, payload) in self.records.iter().skip(from) {
            let verdicts = table.apply(table.next_offset(), *appended_ms, payload);
            verdicts.expect("the record is a batch and the next one");
        }
        assert_eq!(table, self.reference);
        assert_eq!(table.digest_now(), self.reference.digest_now());
    }
}

fn setting<T: FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn no_interleaving_runs_a_call_twice() {
    let cases = setting("STATE_SEARCH_CASES").unwrap_or(CASES);
    let seed = setting("STATE_SEARCH_SEED").unwrap_or(SEED);
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let counts: Mutex<BTreeMap<String, u64>> = Mutex::default();
    let case = vec(any::<(u8, u8, u8, u8)>(), 1..STEPS);
    let outcome = TestRunner::new(config).run(&case, |steps| {
        let mut world = World::new();
        steps.into_iter().for_each(|step| world.step(step));
        world.check_replays();
        let mut counts = counts.lock().expect("no case panics while it counts");
        for (code, count) in world.reference.counters().iter() {
            *counts.entry(code.to_owned()).or_default() += count;
        }
        Ok(())
    });
    let counts = counts.lock().expect("no case panics while it counts");
    println!("{cases} cases, seed {seed}, verdicts: {counts:?}");
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
