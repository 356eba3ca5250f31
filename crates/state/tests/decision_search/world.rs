//! Simulated VMs, engines and log.

use std::collections::BTreeMap;

use apricotdale_core::config::ConfigChange;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Join;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Offset;

use apricotdale_state::ControlState;
use apricotdale_state::Verdict;
use apricotdale_state::snapshot::Lineage;
use apricotdale_state::snapshot::Section;

use crate::engine::FakeEngine;
use crate::process::Process;

pub const VMS: usize = 3;
/// Name, base and size in bytes of each model.
pub const MODELS: [(&str, Option<&str>, u64); 4] = [
    ("m0", None, 60),
    ("m1", None, 50),
    ("m2", None, 30),
    ("m2-ad", Some("m2"), 20),
];
/// Accelerator memory of each engine.
pub const CAPACITY_BYTES: u64 = 100;

/// Complete state of the simulation.
pub struct World {
    pub engines: Vec<FakeEngine>,
    /// Process of each VM; `None` while none runs.
    pub processes: Vec<Option<Process>>,
    /// Whether the platform's list shows each VM as gone.
    pub gone: Vec<bool>,
    /// Payloads of lost or repeated appends, which may reach the log at any later time.
    pub delayed_appends: Vec<Vec<u8>>,
    /// Payloads of the records on the log.
    pub payloads: Vec<Vec<u8>>,
    /// State that has replayed all records on the log.
    pub reference: ControlState,
    /// Last snapshot that was taken.
    pub snapshot: Option<Section>,
    pub next_process_id: u64,
    pub next_change_id: u64,
    /// Number of verdicts by code.
    pub verdicts: BTreeMap<&'static str, u64>,
}

impl World {
    pub fn new(checks_fence: &[bool]) -> Self {
        let engines = checks_fence
            .iter()
            .map(|checks| FakeEngine::new(*checks, CAPACITY_BYTES));
        let mut world = Self {
            engines: engines.collect(),
            processes: vec![None; VMS],
            gone: vec![false; VMS],
            delayed_appends: Vec::new(),
            payloads: Vec::new(),
            reference: ControlState::new(),
            snapshot: None,
            next_process_id: 1,
            next_change_id: 1,
            verdicts: BTreeMap::new(),
        };
        for vm in 0..VMS {
            world.start(vm, 0);
        }
        let edits = MODELS
            .iter()
            .map(|(name, base, bytes)| put_model(name, *base, *bytes));
        world.configure(edits.collect());
        for vm in 0..VMS {
            world.replay(vm, usize::MAX);
        }
        for engine in 0..world.engines.len() {
            world.read_status(0, engine);
            world.append_status(0, 0, 0);
        }
        world
    }

    pub fn engine_name(engine: usize) -> UpstreamName {
        UpstreamName::new(format!("e{engine}"))
    }

    /// Appends a record. `variation` decides whether the append is delayed or repeated.
    pub fn append(&mut self, payload: Vec<u8>, variation: u8) {
        match variation % 8 {
            // The answer to the append is lost and the client appends again. One of the copies
            // may reach the log at any later time.
            0 => {
                self.delayed_appends.push(payload.clone());
                self.append_now(payload);
            }
            1 => self.delayed_appends.push(payload),
            _ => self.append_now(payload),
        }
    }

    pub fn append_delayed(&mut self, index: usize) {
        if !self.delayed_appends.is_empty() {
            let payload = self
                .delayed_appends
                .remove(index % self.delayed_appends.len());
            self.append_now(payload);
        }
    }

    fn append_now(&mut self, payload: Vec<u8>) {
        let offset = self.reference.next_offset();
        let verdict = self.reference.apply(offset, appended_ms(offset), &payload);
        self.payloads.push(payload);
        *self.verdicts.entry(verdict.as_str()).or_default() += 1;
        assert!(!matches!(verdict, Verdict::Ignored(ref why) if why.as_str() == "gap"));
    }

    /// Starts a process on a VM in place of the one that ran there.
    pub fn start(&mut self, vm: usize, variation: u8) {
        let process_id = self.next_process_id;
        self.next_process_id += 1;
        let name = format!("vm{vm}");
        let state = match &self.snapshot {
            Some(section) => section.control().expect("the section was just written"),
            None => ControlState::new(),
        };
        self.gone[vm] = false;
        self.processes[vm] = Some(Process::new(name.clone(), process_id, state));
        let join = Join {
            vm: name.into(),
            zone: "z".into(),
            process_id,
        };
        self.append(ControlRecord::Join(join).encode(), variation);
    }

    pub fn replay(&mut self, vm: usize, max_records: usize) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let from = usize::try_from(process.state.next_offset().0).expect("offsets are small");
        for payload in self.payloads.iter().skip(from).take(max_records) {
            let offset = process.state.next_offset();
            process.state.apply(offset, appended_ms(offset), payload);
        }
    }

    pub fn take_snapshot(&mut self, vm: usize) {
        let Some(process) = &mut self.processes[vm] else {
            return;
        };
        let section = Section::of_control(Lineage::default(), &process.state);
        process.state = section.control().expect("the section was just written");
        self.snapshot = Some(section);
    }

    pub fn configure(&mut self, edits: Vec<ConfigEdit>) {
        let change = ConfigChange {
            change_id: self.next_change_id,
            operator: "operator".to_owned(),
            base_version: self.reference.config().version(),
            edits,
        };
        self.next_change_id += 1;
        self.append(ControlRecord::Config(change).encode(), 7);
    }

    /// Returns the first VM, counted from `vm`, whose process satisfies `has`; `vm` if there is
    /// none.
    pub fn vm_matching(&self, vm: usize, has: impl Fn(&Process) -> bool) -> usize {
        let mut vms = (vm..vm + VMS).map(|vm| vm % VMS);
        let found = vms.find(|vm| self.processes[*vm].as_ref().is_some_and(&has));
        found.unwrap_or(vm)
    }

    /// Returns the first engine, counted from `engine`, that satisfies `has`; `engine` if none
    /// does.
    pub fn engine_matching(&self, engine: usize, has: impl Fn(&FakeEngine) -> bool) -> usize {
        let count = self.engines.len();
        let mut engines = (engine..engine + count).map(|engine| engine % count);
        engines
            .find(|engine| has(&self.engines[*engine]))
            .unwrap_or(engine)
    }

    /// Toggles the size of a model, so that loads based on the old version are rejected.
    pub fn change_model(&mut self, index: usize) {
        let (name, base, bytes) = MODELS[index % MODELS.len()];
        let configured = self.reference.config().model(&ModelName::from(name));
        let bytes = match configured {
            Some(configured) if configured.bytes == bytes => bytes - 10,
            _ => bytes,
        };
        self.configure(vec![put_model(name, base, bytes)]);
    }

    /// Asserts that no engine is overcommitted and that every replica on an engine was accepted.
    pub fn check(&self) {
        for (index, engine) in self.engines.iter().enumerate() {
            assert!(
                engine.held_bytes() <= engine.capacity_bytes,
                "engine {index} overcommitted: {:?}",
                engine.resident_list()
            );
            for (resident, _) in engine.residents.values() {
                let replica = self.reference.replica(Offset(resident.fence.0));
                assert!(
                    replica.is_some(),
                    "engine {index} holds {resident:?}, which no accepted load put there"
                );
            }
        }
        for (model, _, _) in MODELS {
            let model = ModelName::from(model);
            let held = self
                .engines
                .iter()
                .filter(|e| e.residents.contains_key(&model))
                .count();
            let decided = self.reference.replica_count(&model) as usize;
            assert!(
                held <= decided,
                "{model}: {held} replicas on engines, {decided} accepted"
            );
        }
    }

    /// Asserts that replays from the start and from a snapshot reach the same state.
    pub fn check_replays(&self) {
        let mut again = ControlState::new();
        let mut from_snapshot = None;
        for payload in &self.payloads {
            let offset = again.next_offset();
            if let Some(section) = self.snapshot.as_ref().filter(|s| s.next == offset) {
                let bytes = Section::of_control(Lineage::default(), &again).bytes;
                assert_eq!(bytes, section.bytes, "two snapshots of one offset differ");
                from_snapshot = Some(section.control().expect("the section was just written"));
            }
            again.apply(offset, appended_ms(offset), payload);
            if let Some(state) = &mut from_snapshot {
                state.apply(offset, appended_ms(offset), payload);
            }
        }
        assert_eq!(again, self.reference);
        assert_eq!(again.digest_now(), self.reference.digest_now());
        if let Some(state) = from_snapshot {
            assert_eq!(state, self.reference);
        }
    }
}

pub fn put_model(name: &str, base: Option<&str>, bytes: u64) -> ConfigEdit {
    ConfigEdit::PutModel(ModelSpec {
        model: name.into(),
        base: base.map(ModelName::from),
        group: "g".into(),
        bytes,
    })
}

fn appended_ms(offset: Offset) -> u64 {
    1_000 + 10 * offset.0
}
