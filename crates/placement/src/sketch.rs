//! The fleet as it will be once everything proposed has happened.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::EngineView;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::ModelView;

use crate::pending::Pending;

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
pub(crate) struct ReplicaSketch<'a> {
    pub(crate) model: &'a ModelName,
    pub(crate) bytes: u64,
    pub(crate) phase: Phase,
    pub(crate) since_ms: u64,
}

/// `EngineSketch` is one engine with its replicas and the memory left.
#[derive(Clone, Debug)]
pub(crate) struct EngineSketch<'a> {
    pub(crate) view: &'a EngineView,
    pub(crate) free_bytes: u64,
    pub(crate) replicas: Vec<ReplicaSketch<'a>>,
}

impl<'a> EngineSketch<'a> {
    /// Returns the replica of the model on this engine.
    pub(crate) fn replica(&self, model: &ModelName) -> Option<&ReplicaSketch<'a>> {
        self.replicas.iter().find(|replica| replica.model == model)
    }

    /// Returns the memory that unloads under way will free.
    pub(crate) fn leaving_bytes(&self) -> u64 {
        self.replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Leaving)
            .map(|replica| replica.bytes)
            .sum()
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
}

/// `Sketch` is the fleet as it will be once everything proposed has happened.
#[derive(Debug)]
pub(crate) struct Sketch<'a> {
    pub(crate) engines: BTreeMap<&'a UpstreamName, EngineSketch<'a>>,
    pub(crate) models: BTreeMap<&'a ModelName, &'a ModelView>,
}

impl<'a> Sketch<'a> {
    /// Returns the sketch of a view, with the proposals that the view does not show yet and the
    /// replicas known to be unloading.
    pub(crate) fn new(
        fleet: &'a FleetView,
        pending: &'a Pending,
        unloading: &BTreeSet<(ModelName, UpstreamName)>,
    ) -> Self {
        let models: BTreeMap<&ModelName, &ModelView> = fleet
            .models
            .iter()
            .map(|model| (&model.model, model))
            .collect();
        let mut sketch = Self {
            engines: fleet.engines.iter().map(engine_sketch).collect(),
            models,
        };
        for replica in &fleet.replicas {
            let Some(engine) = sketch.engines.get_mut(&replica.engine) else {
                continue;
            };
            let leaves = unloading.contains(&(replica.model.clone(), replica.engine.clone()));
            let phase = match replica.loaded {
                _ if leaves => Phase::Leaving,
                true => Phase::Loaded,
                false => Phase::Coming,
            };
            engine.replicas.push(ReplicaSketch {
                model: &replica.model,
                bytes: replica.bytes,
                phase,
                since_ms: replica.since_ms,
            });
        }
        for (model, engine) in pending.unloads() {
            sketch.leave(model, engine);
        }
        for (model, engine) in pending.loads() {
            let bytes = sketch.models.get(model).map_or(0, |view| view.bytes);
            sketch.come(model, engine, bytes);
        }
        sketch
    }

    /// Adds a replica that was proposed to be loaded.
    pub(crate) fn come(&mut self, model: &'a ModelName, engine: &UpstreamName, bytes: u64) {
        let Some(engine) = self.engines.get_mut(engine) else {
            return;
        };
        if engine.replica(model).is_some() {
            return;
        }
        engine.free_bytes = engine.free_bytes.saturating_sub(bytes);
        engine.replicas.push(ReplicaSketch {
            model,
            bytes,
            phase: Phase::Coming,
            since_ms: 0,
        });
    }

    /// Marks a replica that was proposed to be unloaded.
    pub(crate) fn leave(&mut self, model: &ModelName, engine: &UpstreamName) {
        let Some(engine) = self.engines.get_mut(engine) else {
            return;
        };
        for replica in &mut engine.replicas {
            if replica.model == model {
                replica.phase = Phase::Leaving;
            }
        }
    }

    /// Returns the engines of a model's group that may receive new work.
    pub(crate) fn open_engines<'s>(
        &'s self,
        model: &'s ModelView,
    ) -> impl Iterator<Item = &'s EngineSketch<'a>> + 's {
        self.engines
            .values()
            .filter(move |engine| engine.view.accepts && engine.view.group == model.group)
    }

    /// Returns the engines that hold the model in the given phase.
    pub(crate) fn holders(&self, model: &ModelName, phase: Phase) -> Vec<&'a UpstreamName> {
        self.engines
            .iter()
            .filter(|(_, engine)| {
                engine
                    .replica(model)
                    .is_some_and(|held| held.phase == phase)
            })
            .map(|(name, _)| *name)
            .collect()
    }

    /// Returns whether requests run on or wait for the model anywhere.
    pub(crate) fn in_use(&self, model: &ModelName) -> bool {
        self.models
            .get(model)
            .is_some_and(|view| view.running > 0 || view.waiting > 0)
    }

    /// Returns what could be evicted from an engine: every loaded replica together with the
    /// adapters that stand on it, adapters first. A base is never evicted from under an adapter.
    pub(crate) fn evictable(&self, engine: &EngineSketch<'a>) -> Vec<Vec<ReplicaSketch<'a>>> {
        let loaded = engine
            .replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Loaded);
        loaded
            .filter_map(|replica| self.with_adapters(engine, replica))
            .collect()
    }

    fn with_adapters(
        &self,
        engine: &EngineSketch<'a>,
        replica: &ReplicaSketch<'a>,
    ) -> Option<Vec<ReplicaSketch<'a>>> {
        let mut unit: Vec<ReplicaSketch<'a>> = engine
            .replicas
            .iter()
            .filter(|held| held.phase != Phase::Leaving)
            .filter(|held| self.base_of(held.model) == Some(replica.model))
            .cloned()
            .collect();
        unit.push(replica.clone());
        let is_whole = unit.iter().all(|held| held.phase == Phase::Loaded);
        is_whole.then_some(unit)
    }

    /// Returns whether this VM is the model's preferred proposer.
    pub(crate) fn is_mine(&self, model: &ModelName) -> bool {
        self.models
            .get(model)
            .is_some_and(|view| view.preferred_here)
    }

    /// Returns the model that an adapter belongs to.
    pub(crate) fn base_of(&self, model: &ModelName) -> Option<&'a ModelName> {
        self.models.get(model).and_then(|view| view.base.as_ref())
    }

    /// Returns whether an adapter of the model is on the engine.
    pub(crate) fn has_adapter(&self, model: &ModelName, engine: &UpstreamName) -> bool {
        let Some(engine) = self.engines.get(engine) else {
            return false;
        };
        engine
            .replicas
            .iter()
            .any(|replica| self.base_of(replica.model) == Some(model))
    }
}

fn engine_sketch(view: &EngineView) -> (&UpstreamName, EngineSketch<'_>) {
    let sketch = EngineSketch {
        view,
        free_bytes: view.free_bytes,
        replicas: Vec::new(),
    };
    (&view.engine, sketch)
}
