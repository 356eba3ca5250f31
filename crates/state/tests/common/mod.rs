//! In-memory control stream with builders of records.

#![allow(dead_code)]

use std::collections::BTreeMap;

use apricotdale_core::config::ConfigChange;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Depart;
use apricotdale_core::control::Join;
use apricotdale_core::control::LoadIntent;
use apricotdale_core::control::Observation;
use apricotdale_core::control::Proposer;
use apricotdale_core::control::SettledAs;
use apricotdale_core::control::Settlement;
use apricotdale_core::control::TakeOver;
use apricotdale_core::control::UnloadIntent;
use apricotdale_core::control::UpstreamGone;
use apricotdale_core::engine::Residency;
use apricotdale_core::engine::Resident;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;

use apricotdale_state::ControlState;
use apricotdale_state::Verdict;
use apricotdale_state::replicas::Stage;

/// Control stream and the state replayed from it.
#[derive(Default)]
pub struct Stream {
    pub state: ControlState,
    pub payloads: Vec<Vec<u8>>,
    sequences: BTreeMap<Epoch, u64>,
    vms: BTreeMap<Epoch, String>,
    changes: u64,
}

impl Stream {
    /// Returns a stream with VMs `a` and `b`, engine `e1` with 100 bytes of memory, models `m1` and
    /// `m2` of 60 and 40 bytes, and adapter `m1-ad` of 10 bytes, and the epochs of `a` and `b`.
    pub fn ready(checks_fence: bool) -> (Self, Epoch, Epoch) {
        let mut stream = Self::default();
        let a = stream.join("a", 1);
        let b = stream.join("b", 2);
        stream.configure(vec![
            model("m1", None, 60),
            model("m2", None, 40),
            model("m1-ad", Some("m1"), 10),
        ]);
        stream.observe(a, "e1", checks_fence, 1, 0, 0, &[]);
        (stream, a, b)
    }

    pub fn append_bytes(&mut self, payload: Vec<u8>) -> Verdict {
        let offset = self.state.next_offset();
        let verdict = self.state.apply(offset, 1_000 + offset.0, &payload);
        self.payloads.push(payload);
        verdict
    }

    pub fn append(&mut self, record: &ControlRecord) -> Verdict {
        self.append_bytes(record.encode())
    }

    pub fn last_offset(&self) -> Offset {
        Offset(self.state.next_offset().0 - 1)
    }

    pub fn proposer(&mut self, epoch: Epoch) -> Proposer {
        let sequence = self.sequences.entry(epoch).or_default();
        *sequence += 1;
        let vm = self
            .vms
            .get(&epoch)
            .cloned()
            .unwrap_or_else(|| "nobody".to_owned());
        Proposer {
            vm: vm.into(),
            epoch,
            sequence: *sequence,
        }
    }

    pub fn join(&mut self, vm: &str, process_id: u64) -> Epoch {
        let join = Join {
            vm: vm.into(),
            zone: "z1".into(),
            process_id,
        };
        self.append(&ControlRecord::Join(join));
        let epoch = Epoch(self.last_offset().0);
        self.vms.insert(epoch, vm.to_owned());
        epoch
    }

    pub fn depart(&mut self, by: Epoch, vm: &str, epoch: Epoch) -> Verdict {
        let proposer = self.proposer(by);
        self.append(&ControlRecord::Depart(Depart {
            proposer,
            vm: vm.into(),
            epoch,
        }))
    }

    pub fn configure(&mut self, edits: Vec<ConfigEdit>) -> Verdict {
        self.changes += 1;
        let change = ConfigChange {
            change_id: self.changes,
            operator: "operator".to_owned(),
            base_version: self.state.config().version(),
            edits,
        };
        self.append(&ControlRecord::Config(change))
    }

    pub fn load_intent(&mut self, by: Epoch, model: &str, engine: &str) -> LoadIntent {
        let model: ModelName = model.into();
        let engine: UpstreamName = engine.into();
        let known = self.state.engine(&engine);
        let configured = self.state.config().model(&model);
        LoadIntent {
            boot: known.map_or(BootId(1), |engine| engine.boot()),
            expected_replicas: self.state.replica_count(&model),
            model_version: configured.map_or(ConfigVersion(0), |model| model.version),
            proposer: self.proposer(by),
            model,
            engine,
        }
    }

    /// Appends a load and returns its offset and verdict.
    pub fn load(&mut self, by: Epoch, model: &str, engine: &str) -> (Offset, Verdict) {
        let intent = self.load_intent(by, model, engine);
        let verdict = self.append(&ControlRecord::Load(intent));
        (self.last_offset(), verdict)
    }

    /// Appends a load and its successful settlement at a status, and returns the offset of the
    /// load.
    pub fn loaded(&mut self, by: Epoch, model: &str, engine: &str, reading: (u64, u64)) -> Offset {
        let (load, verdict) = self.load(by, model, engine);
        assert!(verdict.is_accepted(), "{verdict:?}");
        let verdict = self.settle_load(by, load, SettledAs::Done, Some(reading));
        assert!(verdict.is_accepted(), "{verdict:?}");
        load
    }

    fn settlement(
        &mut self,
        by: Epoch,
        intent: Offset,
        outcome: SettledAs,
        reading: Option<(u64, u64)>,
    ) -> Settlement {
        Settlement {
            proposer: self.proposer(by),
            intent,
            outcome,
            boot: reading.map(|(boot, _)| BootId(boot)),
            sequence: reading.map(|(_, sequence)| sequence),
        }
    }

    pub fn settle_load(
        &mut self,
        by: Epoch,
        intent: Offset,
        outcome: SettledAs,
        reading: Option<(u64, u64)>,
    ) -> Verdict {
        let settlement = self.settlement(by, intent, outcome, reading);
        self.append(&ControlRecord::LoadSettled(settlement))
    }

    pub fn settle_unload(
        &mut self,
        by: Epoch,
        intent: Offset,
        outcome: SettledAs,
        reading: Option<(u64, u64)>,
    ) -> Verdict {
        let settlement = self.settlement(by, intent, outcome, reading);
        self.append(&ControlRecord::UnloadSettled(settlement))
    }

    pub fn unload(&mut self, by: Epoch, model: &str, engine: &str, load: Offset) -> Verdict {
        let intent = UnloadIntent {
            proposer: self.proposer(by),
            model: model.into(),
            engine: engine.into(),
            load,
        };
        self.append(&ControlRecord::Unload(intent))
    }

    pub fn take_over(&mut self, by: Epoch, intent: Offset) -> Verdict {
        let proposer = self.proposer(by);
        self.append(&ControlRecord::TakeOver(TakeOver { proposer, intent }))
    }

    #[allow(clippy::too_many_arguments)]
    pub fn observe(
        &mut self,
        by: Epoch,
        engine: &str,
        checks_fence: bool,
        boot: u64,
        sequence: u64,
        highest_fence: u64,
        residents: &[Resident],
    ) -> Verdict {
        let observation = Observation {
            proposer: self.proposer(by),
            engine: engine.into(),
            group: "g1".into(),
            zone: "z1".into(),
            boot: BootId(boot),
            sequence,
            capacity_bytes: 100,
            checks_fence,
            highest_fence: FencingToken(highest_fence),
            residents: residents.to_vec(),
        };
        self.append(&ControlRecord::Observed(observation))
    }

    pub fn remove_engine(&mut self, by: Epoch, engine: &str, boot: u64) -> Verdict {
        let proposer = self.proposer(by);
        let gone = UpstreamGone {
            proposer,
            engine: engine.into(),
            boot: BootId(boot),
        };
        self.append(&ControlRecord::UpstreamGone(gone))
    }

    pub fn stage(&self, load: Offset) -> Option<Stage> {
        self.state.replica(load).map(|replica| replica.stage())
    }

    pub fn held_bytes(&self, engine: &str) -> u64 {
        self.state
            .memory(&engine.into())
            .expect("the engine was observed")
            .held_bytes
    }
}

pub fn model(name: &str, base: Option<&str>, bytes: u64) -> ConfigEdit {
    ConfigEdit::PutModel(ModelSpec {
        model: name.into(),
        base: base.map(ModelName::from),
        group: "g1".into(),
        bytes,
    })
}

pub fn resident(model: &str, residency: Residency, bytes: u64, fence: Offset) -> Resident {
    Resident {
        model: model.into(),
        residency,
        bytes,
        fence: FencingToken::from(fence),
    }
}
