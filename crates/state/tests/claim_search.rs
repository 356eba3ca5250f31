//! Searches interleavings of claims, pauses, duplicate appends and ends of processes for one in
//! which a call runs twice or replays differ.

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
const MAX_STEPS: usize = 120;
const PROCESSES: usize = 3;
const KEYS: usize = 3;
const MIN_REMEMBER_MS: u64 = 1_000;

/// One daemon process that uses one claim stream.
struct Process {
    process_id: u64,
    table: ClaimTable,
    /// Requests whose claims have not been decided yet.
    awaiting_claim: BTreeMap<RequestId, IdempotencyKey>,
    /// Calls that have won their claim and not been sent; a pause may delay them by any time.
    ready_to_send: Vec<(IdempotencyKey, RequestId)>,
    /// Finishes that have not been appended yet.
    finishes: Vec<Finish>,
}

struct World {
    processes: Vec<Process>,
    records: Vec<(u64, Vec<u8>)>,
    delayed_appends: Vec<Vec<u8>>,
    now_ms: u64,
    next_id: u64,
    /// Time of the last run of each key's call.
    ran_ms: BTreeMap<IdempotencyKey, u64>,
    reference: ClaimTable,
    snapshot: Section,
}

fn options() -> ClaimOptions {
    ClaimOptions {
        remember_ms: 2 * MIN_REMEMBER_MS,
        min_remember_ms: MIN_REMEMBER_MS,
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
            delayed_appends: Vec::new(),
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
            awaiting_claim: BTreeMap::new(),
            ready_to_send: Vec::new(),
            finishes: Vec::new(),
        }
    }

    fn append(&mut self, entry: ClaimRecord, variation: u8) {
        let payload = ClaimBatch {
            entries: vec![entry],
        }
        .encode();
        match variation % 6 {
            0 => {
                self.delayed_appends.push(payload.clone());
                self.append_now(payload);
            }
            1 => self.delayed_appends.push(payload),
            _ => self.append_now(payload),
        }
    }

    fn append_now(&mut self, payload: Vec<u8>) {
        let offset = self.reference.next_offset();
        let verdicts = self.reference.apply(offset, self.now_ms, &payload);
        verdicts.expect("the record is a valid batch and the next one");
        self.records.push((self.now_ms, payload));
    }

    fn arrive(&mut self, index: usize, key: usize, variation: u8) {
        self.next_id += 1;
        let key = IdempotencyKey::new(format!("k{}", key % KEYS));
        let request = RequestId::new(format!("r{}", self.next_id));
        let process = &mut self.processes[index];
        process.awaiting_claim.insert(request.clone(), key.clone());
        let claim = Claim {
            key,
            call_hash: 1,
            request,
            vm: "vm".into(),
            process_id: process.process_id,
        };
        self.append(ClaimRecord::Claim(claim), variation);
    }

    fn replay(&mut self, index: usize, max_records: usize) {
        let process = &mut self.processes[index];
        let from = usize::try_from(process.table.next_offset().0).expect("offsets are small");
        for (appended_ms, payload) in self.records.iter().skip(from).take(max_records) {
            let offset = process.table.next_offset();
            let decided = process.table.apply(offset, *appended_ms, payload);
            for claim in decided.expect("the record is a valid batch and the next one") {
                if claim.process_id != Some(process.process_id) {
                    continue;
                }
                let waited = process.awaiting_claim.remove(&claim.request);
                match (claim.verdict, waited) {
                    (ClaimVerdict::Won, Some(key)) => {
                        process.ready_to_send.push((key, claim.request))
                    }
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
        let Some((key, request)) = process.ready_to_send.pop() else {
            return;
        };
        if !runs {
            process.finishes.push(finish(&key, &request, Ran::NotRun));
            return;
        }
        process.finishes.push(finish(&key, &request, Ran::Ran));
        let last_ms = self.ran_ms.insert(key.clone(), self.now_ms);
        let is_early = last_ms.is_some_and(|last_ms| self.now_ms <= last_ms + MIN_REMEMBER_MS);
        assert!(!is_early, "{key} ran at {last_ms:?} and at {}", self.now_ms);
    }

    fn step(&mut self, (kind, actor, choice, variation): (u8, u8, u8, u8)) {
        let index = usize::from(actor) % PROCESSES;
        let process = &mut self.processes[index];
        match kind % 16 {
            0..=3 => self.arrive(index, usize::from(choice), variation),
            4 => process.awaiting_claim.clear(),
            5 | 6 => self.run(index, variation % 3 != 0),
            7..=9 if !process.finishes.is_empty() => {
                let choice = usize::from(choice) % process.finishes.len();
                let finish = process.finishes.remove(choice);
                self.append(ClaimRecord::Finish(finish), variation);
            }
            10 => self.processes[index] = self.new_process(),
            11 => {
                let alive: Vec<u64> = self.processes.iter().map(|p| p.process_id).collect();
                let table = &self.processes[index].table;
                let finishes =
                    table.finishes_of_ended_processes(|process_id| !alive.contains(&process_id));
                for finish in finishes {
                    self.append(ClaimRecord::Finish(finish), variation);
                }
            }
            12 if !self.delayed_appends.is_empty() => {
                let payload = self
                    .delayed_appends
                    .remove(usize::from(choice) % self.delayed_appends.len());
                self.append_now(payload);
            }
            13 => self.now_ms += u64::from(choice) * u64::from(variation % 8),
            14 => self.snapshot = Section::of_claims(Lineage::default(), &process.table),
            _ => self.replay(index, 1 + usize::from(choice) % 4),
        }
        if variation % 4 != 3 {
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
            verdicts.expect("the record is a valid batch and the next one");
        }
        assert_eq!(table, self.reference);
        assert_eq!(table.digest_now(), self.reference.digest_now());
    }
}

fn env_setting<T: FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn calls_run_once() {
    let cases = env_setting("STATE_SEARCH_CASES").unwrap_or(CASES);
    let seed = env_setting("STATE_SEARCH_SEED").unwrap_or(SEED);
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let counts: Mutex<BTreeMap<String, u64>> = Mutex::default();
    let case = vec(any::<(u8, u8, u8, u8)>(), 1..MAX_STEPS);
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
