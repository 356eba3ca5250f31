//! Control state that is filled by applying records, as replay of the control stream does.

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
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::BootId;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::numbers::FencingToken;
use apricotdale_core::numbers::Offset;
use apricotdale_state::ControlState;
use apricotdale_state::replicas::Replica;

const GROUP: &str = "planner-lm";
const ZONE: &str = "hall-a";
const VM: &str = "vm-hall-a-0";
const MODEL_BYTES: u64 = 1 << 30;
const BOOT: BootId = BootId(1);

/// Control state with one VM and a given number of engines, models and replicas.
#[derive(Debug)]
pub struct Fleet {
    /// Control state after the records applied so far.
    pub state: ControlState,
    sequence: u64,
    models: usize,
    engines: usize,
}

impl Default for Fleet {
    fn default() -> Self {
        let mut fleet = Self {
            state: ControlState::default(),
            sequence: 0,
            models: 0,
            engines: 0,
        };
        fleet.append(&ControlRecord::Join(Join {
            vm: VM.into(),
            zone: ZONE.into(),
            process_id: 1,
        }));
        fleet
    }
}

impl Fleet {
    /// Applies a record at the next offset and returns that offset.
    pub fn append(&mut self, record: &ControlRecord) -> Offset {
        let offset = self.state.next_offset();
        self.state.apply(offset, 1_000 + offset.0, &record.encode());
        offset
    }

    /// Configures further models until there are `models` in total.
    pub fn add_models_up_to(&mut self, models: usize) {
        let edits: Vec<ConfigEdit> = (self.models..models).map(put_model).collect();
        let change = ConfigChange {
            change_id: models as u64,
            operator: "operator".to_owned(),
            base_version: self.state.config().version(),
            edits,
        };
        self.append(&ControlRecord::Config(change));
        self.models = models;
    }

    /// Adds further engines until there are `engines` in total, each by its first observation.
    pub fn add_engines_up_to(&mut self, engines: usize) {
        for engine in self.engines..engines {
            let record = self.observation(engine, 1);
            self.append(&record);
        }
        self.engines = engines;
    }

    /// Loads replica `number`. Consecutive numbers go round the models and the engines, so that
    /// models and engines have about the same number of replicas each.
    pub fn load(&mut self, number: usize) {
        let model = model_name(number % self.models);
        let engine = engine_name((number + number / self.models) % self.engines);
        let known = self.state.config().model(&model);
        let model_version = known.expect("the model was put").version;
        let intent = LoadIntent {
            proposer: self.proposer(),
            engine,
            boot: BOOT,
            expected_replicas: self.state.replica_count(&model),
            model_version,
            model,
        };
        let load = self.append(&ControlRecord::Load(intent));
        let settlement = Settlement {
            proposer: self.proposer(),
            intent: load,
            outcome: SettledAs::Done,
            boot: Some(BOOT),
            sequence: Some(2),
        };
        self.append(&ControlRecord::LoadSettled(settlement));
    }

    /// Returns an observation of an engine that confirms the replicas of this state.
    pub fn observation(&mut self, engine: usize, sequence: u64) -> ControlRecord {
        let engine = engine_name(engine);
        let residents = self.state.replicas_on(&engine).map(resident).collect();
        ControlRecord::Observed(Observation {
            proposer: self.proposer(),
            engine,
            group: GROUP.into(),
            zone: ZONE.into(),
            boot: BOOT,
            sequence,
            capacity_bytes: u64::MAX / 2,
            checks_fence: true,
            highest_fence: FencingToken(0),
            residents,
        })
    }

    fn proposer(&mut self) -> Proposer {
        self.sequence += 1;
        Proposer {
            vm: VM.into(),
            epoch: Epoch(0),
            sequence: self.sequence,
        }
    }
}

/// Returns the name of the model with this number.
pub fn model_name(number: usize) -> ModelName {
    ModelName::new(format!("planner-lm-depot-{number:04}"))
}

/// Returns the name of the engine with this number.
pub fn engine_name(number: usize) -> UpstreamName {
    UpstreamName::new(format!("planner-lm-{number:03}"))
}

/// Returns the edit that configures the model with this number.
pub fn put_model(number: usize) -> ConfigEdit {
    ConfigEdit::PutModel(ModelSpec {
        model: model_name(number),
        base: None,
        group: GROUP.into(),
        bytes: MODEL_BYTES,
    })
}

fn resident(replica: &Replica) -> Resident {
    Resident {
        model: replica.model.clone(),
        residency: Residency::Loaded,
        bytes: replica.bytes,
        fence: FencingToken::from(replica.load),
    }
}
