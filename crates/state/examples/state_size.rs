//! Measures how replay, digests and snapshots grow with the number of VMs, engines and models.
//!
//! `state_size control|claims [percent]` prints, for that percentage of the target size, the bytes
//! of a snapshot, the growth of the process's resident set, and the times of a record, a digest and
//! a snapshot. Measure each size in a process of its own; otherwise memory that the process has
//! already allocated for one size is reused by the next and not counted.

use std::fs;
use std::hint::black_box;
use std::time::Instant;

use apricotdale_core::claims::Claim;
use apricotdale_core::claims::ClaimBatch;
use apricotdale_core::claims::ClaimRecord;
use apricotdale_core::config::ConfigChange;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Join;
use apricotdale_core::control::LoadIntent;
use apricotdale_core::control::Observation;
use apricotdale_core::control::Proposer;
use apricotdale_core::control::SettledAs;
use apricotdale_core::control::Settlement;
use apricotdale_core::engine::Residency;
use apricotdale_core::engine::Resident;
use apricotdale_core::names::ModelName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;

use apricotdale_state::ClaimTable;
use apricotdale_state::ControlState;
use apricotdale_state::claims::ClaimOptions;
use apricotdale_state::replicas::Replica;
use apricotdale_state::snapshot::Lineage;
use apricotdale_state::snapshot::Section;

/// Target size: the fleet as expected in two years.
const VMS: u64 = 410;
const ENGINES: u64 = 600;
const BASES: u64 = 90;
const ADAPTERS: u64 = 2_800;
const REPLICAS: u64 = 2_400;
const CHANGES: u64 = 1_800;
const KEYS: u64 = 20_000;

/// Control state that is filled record by record.
#[derive(Default)]
struct Fleet {
    state: ControlState,
    sequence: u64,
    records: u64,
    apply_ns: u128,
}

impl Fleet {
    fn append(&mut self, record: &ControlRecord) -> Offset {
        let payload = record.encode();
        let offset = self.state.next_offset();
        let began = Instant::now();
        black_box(self.state.apply(offset, 1_000 + offset.0, &payload));
        self.apply_ns += began.elapsed().as_nanos();
        self.records += 1;
        offset
    }

    fn proposer(&mut self) -> Proposer {
        self.sequence += 1;
        Proposer {
            vm: "vm-0".into(),
            epoch: Epoch(0),
            sequence: self.sequence,
        }
    }

    fn configure(&mut self, change_id: u64, edits: Vec<ConfigEdit>) {
        let base_version = self.state.config().version();
        let operator = "operator".to_owned();
        let change = ConfigChange {
            change_id,
            operator,
            base_version,
            edits,
        };
        self.append(&ControlRecord::Config(change));
    }

    fn observe(&mut self, engine: u64, sequence: u64) {
        let engine = format!("engine-{engine}").into();
        let resident = |replica: &Replica| Resident {
            model: replica.model.clone(),
            residency: Residency::Loaded,
            bytes: replica.bytes,
            fence: FencingToken::from(replica.load),
        };
        let residents = self.state.replicas_on(&engine).map(resident).collect();
        let observation = Observation {
            proposer: self.proposer(),
            engine,
            group: "planner-lm".into(),
            zone: "hall-a".into(),
            boot: BootId(1),
            sequence,
            capacity_bytes: u64::MAX / 2,
            checks_fence: true,
            highest_fence: FencingToken(0),
            residents,
        };
        self.append(&ControlRecord::Observed(observation));
    }

    fn load(&mut self, model: ModelName, engine: u64) {
        let intent = LoadIntent {
            proposer: self.proposer(),
            engine: format!("engine-{engine}").into(),
            boot: BootId(1),
            expected_replicas: self.state.replica_count(&model),
            model_version: self
                .state
                .config()
                .model(&model)
                .expect("the model is configured")
                .version,
            model,
        };
        let load = self.append(&ControlRecord::Load(intent));
        let settlement = Settlement {
            proposer: self.proposer(),
            intent: load,
            outcome: SettledAs::Done,
            boot: Some(BootId(1)),
            sequence: Some(2),
        };
        self.append(&ControlRecord::LoadSettled(settlement));
    }
}

fn put_model(name: String, base: Option<String>) -> ConfigEdit {
    ConfigEdit::PutModel(ModelSpec {
        model: name.into(),
        base: base.map(ModelName::from),
        group: "planner-lm".into(),
        bytes: 1 << 30,
    })
}

fn fill(percent: u64) -> Fleet {
    let mut fleet = Fleet::default();
    for vm in 0..VMS * percent / 100 {
        let vm_name = format!("vm-{vm}").into();
        let join = Join {
            vm: vm_name,
            zone: "hall-a".into(),
            process_id: vm,
        };
        fleet.append(&ControlRecord::Join(join));
    }
    let bases = (BASES * percent / 100).max(1);
    let adapters = ADAPTERS * percent / 100;
    let models = (0..bases).map(|base| put_model(format!("model-{base}"), None));
    let name = |adapter| format!("model-{}-adapter-{adapter}", adapter % bases);
    let adapters = (0..adapters)
        .map(|adapter| put_model(name(adapter), Some(format!("model-{}", adapter % bases))));
    fleet.configure(u64::MAX, models.chain(adapters).collect());
    for engine in 0..ENGINES * percent / 100 {
        fleet.observe(engine, 1);
    }
    for replica in 0..REPLICAS * percent / 100 {
        let engine = replica % (ENGINES * percent / 100);
        let model = (replica / 600 + replica) % bases;
        fleet.load(format!("model-{model}").into(), engine);
    }
    let began = Instant::now();
    for change in 0..CHANGES * percent / 100 {
        fleet.configure(
            change,
            vec![put_model(format!("model-{}", change % bases), None)],
        );
    }
    let changes = CHANGES * percent / 100;
    println!(
        "  config change: {} us",
        began.elapsed().as_micros() as u64 / changes.max(1)
    );
    fleet
}

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    kib.unwrap_or(0)
}

fn measure_control(percent: u64) {
    println!("{percent} % of the target:");
    let before_kib = resident_kib();
    let mut fleet = fill(percent);
    let after_kib = resident_kib();
    let fill_ns = fleet.apply_ns / u128::from(fleet.records);
    (fleet.apply_ns, fleet.records) = (0, 0);
    for engine in 0..ENGINES * percent / 100 {
        fleet.observe(engine, 3);
    }
    let observe_ns = fleet.apply_ns / u128::from(fleet.records);
    let began = Instant::now();
    black_box(fleet.state.digest_now());
    let digest_us = began.elapsed().as_micros();
    let began = Instant::now();
    let section = Section::of_control(Lineage::default(), &fleet.state);
    let encode_us = began.elapsed().as_micros();
    let began = Instant::now();
    black_box(section.control().expect("the section was just written"));
    let decode_us = began.elapsed().as_micros();
    println!("  replicas: {}", fleet.state.replicas().count());
    println!(
        "  snapshot: {} KiB, memory: {} KiB",
        section.bytes.len() / 1024,
        after_kib - before_kib
    );
    println!("  record while filling: {fill_ns} ns, observation: {observe_ns} ns");
    println!("  digest: {digest_us} us, encode: {encode_us} us, decode: {decode_us} us");
}

fn measure_claims(percent: u64) {
    let before_kib = resident_kib();
    let mut table = ClaimTable::new(ClaimOptions::default());
    let keys = KEYS * percent / 100;
    let began = Instant::now();
    for key in 0..keys {
        let claim = Claim {
            key: format!("till/confirmation-{key:08}").into(),
            call_hash: key,
            request: format!("hall-a-0-request-{key:012}").into(),
            vm: "hall-a-0".into(),
            process_id: 1,
        };
        let payload = ClaimBatch {
            entries: vec![ClaimRecord::Claim(claim)],
        }
        .encode();
        let verdicts = table.apply(table.next_offset(), key, &payload);
        black_box(verdicts.expect("the record is a valid batch and the next one"));
    }
    let claim_ns = began.elapsed().as_nanos() / u128::from(keys);
    let after_kib = resident_kib();
    let section = Section::of_claims(Lineage::default(), &table);
    println!("{keys} keys:");
    println!(
        "  snapshot: {} KiB, memory: {} KiB",
        section.bytes.len() / 1024,
        after_kib - before_kib
    );
    println!("  claim with its encoding: {claim_ns} ns");
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let kind = arguments.next().unwrap_or_default();
    let percent = arguments
        .next()
        .and_then(|percent| percent.parse().ok())
        .unwrap_or(100);
    match kind.as_str() {
        "control" => measure_control(percent),
        "claims" => measure_claims(percent),
        _ => println!("usage: state_size control|claims [percent of the target]"),
    }
}
