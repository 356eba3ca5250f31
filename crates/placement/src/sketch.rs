//! The fleet as it will be once everything proposed has happened.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::EngineView;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;
use apricotdale_core::policy::PlacementAction;

use crate::pending::Pending;
use crate::watch::Watch;

/// `Phase` is how far a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Reserved or loading.
    Coming,
    /// Can serve.
    Loaded,
    /// Proposed to be unloaded, or unloading.
    Leaving,
}

/// `ReplicaSketch` is one replica on an engine.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaSketch {
    pub(crate) model: ModelName,
    pub(crate) base: Option<ModelName>,
    pub(crate) bytes: u64,
    pub(crate) phase: Phase,
    pub(crate) since_ms: u64,
    /// Whether requests run on or wait for the model, as far as this VM knows.
    pub(crate) in_use: bool,
    /// Whether this VM is the model's preferred proposer, and so knows its whole demand.
    pub(crate) mine: bool,
}

/// `EngineSketch` is one engine with its replicas and the memory left.
#[derive(Clone, Debug)]
pub(crate) struct EngineSketch<'a> {
    pub(crate) view: &'a EngineView,
    pub(crate) free_bytes: u64,
    pub(crate) replicas: Vec<ReplicaSketch>,
}

impl EngineSketch<'_> {
    /// Returns the replica of the model on this engine.
    pub(crate) fn replica(&self, model: &ModelName) -> Option<&ReplicaSketch> {
        self.replicas.iter().find(|replica| replica.model == *model)
    }

    /// Returns whether the engine holds the model in the given phase.
    pub(crate) fn holds(&self, model: &ModelName, phase: Phase) -> bool {
        self.replica(model).is_some_and(|held| held.phase == phase)
    }

    /// Returns whether an adapter can be loaded here: its base is loaded. Any model can.
    pub(crate) fn has_base_of(&self, model: &ModelView) -> bool {
        match &model.base {
            Some(base) => self.holds(base, Phase::Loaded),
            None => true,
        }
    }

    /// Returns the memory that is free or being freed.
    pub(crate) fn room_bytes(&self) -> u64 {
        let leaving: u64 = self
            .replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Leaving)
            .map(|replica| replica.bytes)
            .sum();
        self.free_bytes + leaving
    }

    /// Returns where the engine's host holds the model's checkpoint.
    pub(crate) fn tier(&self, model: &ModelName) -> CacheTier {
        self.view
            .checkpoints
            .iter()
            .filter(|(held, _)| held == model)
            .map(|(_, tier)| *tier)
            .min()
            .unwrap_or(CacheTier::Remote)
    }

    /// Returns whether the engine's last report shows a free place in its batch.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.view.busy < self.view.slots
    }

    /// Returns whether an adapter of the model is on the engine or on its way there.
    pub(crate) fn has_adapter(&self, model: &ModelName) -> bool {
        self.replicas
            .iter()
            .any(|held| held.phase != Phase::Leaving && held.base.as_ref() == Some(model))
    }

    /// Returns whether the replica may be in use. Other VMs tell their demand for a model to its
    /// preferred proposer only, so for a model of another VM the engine's report decides: a
    /// replica taken for idle while another VM uses it would be evicted under its callers.
    pub(crate) fn may_be_in_use(&self, replica: &ReplicaSketch) -> bool {
        replica.in_use || (!replica.mine && self.view.busy > 0)
    }

    /// Returns what could be evicted: every loaded idle replica together with the adapters that
    /// stand on it, adapters first. A base is never evicted from under an adapter.
    pub(crate) fn evictable(&self) -> Vec<Vec<&ReplicaSketch>> {
        self.replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Loaded)
            .filter_map(|replica| self.unit(replica))
            .collect()
    }

    fn unit<'s>(&'s self, replica: &'s ReplicaSketch) -> Option<Vec<&'s ReplicaSketch>> {
        let mut unit: Vec<&ReplicaSketch> = self
            .replicas
            .iter()
            .filter(|held| held.phase != Phase::Leaving)
            .filter(|held| held.base.as_ref() == Some(&replica.model))
            .collect();
        unit.push(replica);
        let is_idle =
            |held: &&ReplicaSketch| held.phase == Phase::Loaded && !self.may_be_in_use(held);
        unit.iter().all(is_idle).then_some(unit)
    }
}

/// `Sketch` is the fleet as it will be once everything proposed has happened.
#[derive(Debug)]
pub(crate) struct Sketch<'a> {
    /// The engines, in the view's order.
    pub(crate) engines: Vec<EngineSketch<'a>>,
    /// The models that the view shows.
    pub(crate) models: BTreeMap<&'a ModelName, &'a ModelView>,
    /// The groups that may gain an engine in a moment.
    pub(crate) growing_groups: &'a BTreeSet<GroupName>,
    indexes: BTreeMap<&'a UpstreamName, usize>,
}

impl<'a> Sketch<'a> {
    /// Returns the sketch of a view, with the proposals that the view does not show yet and the
    /// replicas known to be unloading.
    pub(crate) fn new(fleet: &'a FleetView, pending: &Pending, watch: &Watch) -> Self {
        let engines = fleet.engines.iter().map(|view| EngineSketch {
            view,
            free_bytes: view.free_bytes,
            replicas: Vec::new(),
        });
        let mut sketch = Self {
            engines: engines.collect(),
            models: fleet
                .models
                .iter()
                .map(|view| (&view.model, view))
                .collect(),
            growing_groups: &fleet.growing_groups,
            indexes: fleet
                .engines
                .iter()
                .map(|view| &view.engine)
                .zip(0..)
                .collect(),
        };
        for replica in &fleet.replicas {
            let phase = match replica.loaded {
                true => Phase::Loaded,
                false if watch.is_unloading(&replica.model, &replica.engine) => Phase::Leaving,
                false => Phase::Coming,
            };
            let shown = ReplicaSketch {
                bytes: replica.bytes,
                phase,
                since_ms: replica.since_ms,
                ..sketch.replica_of(&replica.model)
            };
            if let Some(engine) = sketch.engine_mut(&replica.engine) {
                engine.replicas.push(shown);
            }
        }
        for (model, engine) in pending.unloads() {
            sketch.leave(model, engine);
        }
        for (model, engine) in pending.loads() {
            sketch.come(model, engine);
        }
        sketch
    }

    fn replica_of(&self, model: &ModelName) -> ReplicaSketch {
        let view = self.models.get(model);
        ReplicaSketch {
            model: model.clone(),
            base: view.and_then(|view| view.base.clone()),
            bytes: view.map_or(0, |view| view.bytes),
            phase: Phase::Coming,
            since_ms: 0,
            in_use: view.is_some_and(|view| view.running > 0 || view.waiting > 0),
            mine: view.is_some_and(|view| view.preferred_here),
        }
    }

    fn engine_mut(&mut self, name: &UpstreamName) -> Option<&mut EngineSketch<'a>> {
        self.indexes
            .get(name)
            .map(|index| &mut self.engines[*index])
    }

    /// Adds a replica that was proposed to be loaded.
    fn come(&mut self, model: &ModelName, engine: &UpstreamName) {
        let replica = self.replica_of(model);
        let Some(engine) = self.engine_mut(engine) else {
            return;
        };
        if engine.replica(model).is_some() {
            return;
        }
        engine.free_bytes = engine.free_bytes.saturating_sub(replica.bytes);
        engine.replicas.push(replica);
    }

    fn leave(&mut self, model: &ModelName, engine: &UpstreamName) {
        let Some(engine) = self.engine_mut(engine) else {
            return;
        };
        for replica in &mut engine.replicas {
            if replica.model == *model {
                replica.phase = Phase::Leaving;
            }
        }
    }

    /// Takes in what is proposed now.
    pub(crate) fn apply(&mut self, actions: &[PlacementAction]) {
        for action in actions {
            match action {
                PlacementAction::Load { model, engine, .. } => self.come(model, engine),
                PlacementAction::Unload { model, engine } => self.leave(model, engine),
                PlacementAction::NoLoadInTime { .. } => {}
            }
        }
    }

    /// Returns the engines of a group that may receive new work.
    pub(crate) fn open_engines<'s>(
        &'s self,
        model: &'s ModelView,
    ) -> impl Iterator<Item = &'s EngineSketch<'a>> + 's {
        self.engines
            .iter()
            .filter(move |engine| engine.view.accepts && engine.view.group == model.group)
    }

    /// Returns the engines that hold the model in the given phase and may receive new work.
    pub(crate) fn holders<'s>(
        &'s self,
        model: &'s ModelName,
        phase: Phase,
    ) -> impl Iterator<Item = &'s EngineSketch<'a>> + 's {
        self.engines
            .iter()
            .filter(move |engine| engine.view.accepts && engine.holds(model, phase))
    }
}
