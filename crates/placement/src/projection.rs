//! Projected state of the fleet with all proposals applied.

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

use crate::pending_proposals::PendingProposals;
use crate::unload_tracker::UnloadTracker;

/// Phase in the life of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Reserved or being loaded.
    Loading,
    /// Able to serve requests.
    Loaded,
    /// Being unloaded, or proposed to be.
    Unloading,
}

/// Replica on an engine.
#[derive(Clone, Debug)]
pub(crate) struct ProjectedReplica {
    pub(crate) model: ModelName,
    pub(crate) base: Option<ModelName>,
    pub(crate) bytes: u64,
    pub(crate) phase: Phase,
    pub(crate) since_ms: u64,
    /// Whether requests run on or wait for the model, as far as this VM knows.
    pub(crate) in_use: bool,
    /// Whether this VM is the model's preferred proposer, which knows its whole demand.
    pub(crate) proposed_here: bool,
}

/// Engine with its replicas and its free memory.
#[derive(Clone, Debug)]
pub(crate) struct ProjectedEngine<'a> {
    pub(crate) view: &'a EngineView,
    pub(crate) free_bytes: u64,
    pub(crate) replicas: Vec<ProjectedReplica>,
}

impl ProjectedEngine<'_> {
    /// Returns the replica of the model on this engine.
    pub(crate) fn replica(&self, model: &ModelName) -> Option<&ProjectedReplica> {
        self.replicas.iter().find(|replica| replica.model == *model)
    }

    /// Returns whether the engine holds the model in the given phase.
    pub(crate) fn holds(&self, model: &ModelName, phase: Phase) -> bool {
        self.replica(model).is_some_and(|held| held.phase == phase)
    }

    /// Returns whether the engine holds the model's base, which an adapter requires. Always true
    /// for models that aren't adapters.
    pub(crate) fn has_base_of(&self, model: &ModelView) -> bool {
        match &model.base {
            Some(base) => self.holds(base, Phase::Loaded),
            None => true,
        }
    }

    /// Returns the amount of memory that is free or being freed.
    pub(crate) fn available_bytes(&self) -> u64 {
        let unloading_bytes: u64 = self
            .replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Unloading)
            .map(|replica| replica.bytes)
            .sum();
        self.free_bytes + unloading_bytes
    }

    /// Returns the fastest tier from which the engine can load the model's checkpoint.
    pub(crate) fn tier(&self, model: &ModelName) -> CacheTier {
        self.view
            .checkpoints
            .iter()
            .filter(|(held, _)| held == model)
            .map(|(_, tier)| *tier)
            .min()
            .unwrap_or(CacheTier::Remote)
    }

    /// Returns whether the engine's last report shows a free slot.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.view.busy < self.view.slots
    }

    /// Returns whether an adapter of the model is loaded or being loaded on the engine.
    pub(crate) fn has_adapter(&self, model: &ModelName) -> bool {
        self.replicas
            .iter()
            .any(|held| held.phase != Phase::Unloading && held.base.as_ref() == Some(model))
    }

    /// Returns whether the replica may be in use. Other VMs report their demand for a model only to
    /// its preferred proposer. For models that this VM is not the preferred proposer of, the
    /// engine's report decides instead: otherwise a replica that another VM uses would be evicted
    /// while its callers are served.
    pub(crate) fn may_be_in_use(&self, replica: &ProjectedReplica) -> bool {
        replica.in_use || (!replica.proposed_here && self.view.busy > 0)
    }

    /// Returns the groups of replicas that can be evicted: each loaded idle replica together with
    /// its adapters, the adapters first. A base is never evicted without its adapters.
    pub(crate) fn evictable(&self) -> Vec<Vec<&ProjectedReplica>> {
        self.replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Loaded)
            .filter_map(|replica| self.eviction_unit(replica))
            .collect()
    }

    fn eviction_unit<'s>(
        &'s self,
        replica: &'s ProjectedReplica,
    ) -> Option<Vec<&'s ProjectedReplica>> {
        let mut eviction_unit: Vec<&ProjectedReplica> = self
            .replicas
            .iter()
            .filter(|held| held.phase != Phase::Unloading)
            .filter(|held| held.base.as_ref() == Some(&replica.model))
            .collect();
        eviction_unit.push(replica);
        let is_idle =
            |held: &&ProjectedReplica| held.phase == Phase::Loaded && !self.may_be_in_use(held);
        eviction_unit.iter().all(is_idle).then_some(eviction_unit)
    }
}

/// Projected state of the fleet with all proposals applied.
#[derive(Debug)]
pub(crate) struct ProjectedFleet<'a> {
    /// Engines in the order of the view.
    pub(crate) engines: Vec<ProjectedEngine<'a>>,
    /// Models that the view shows.
    pub(crate) models: BTreeMap<&'a ModelName, &'a ModelView>,
    /// Groups that may gain an engine soon.
    pub(crate) growing_groups: &'a BTreeSet<GroupName>,
    indexes: BTreeMap<&'a UpstreamName, usize>,
}

impl<'a> ProjectedFleet<'a> {
    /// Returns the projection of a view, with pending proposals applied and unloading replicas
    /// marked.
    pub(crate) fn new(
        fleet: &'a FleetView,
        pending_proposals: &PendingProposals,
        unload_tracker: &UnloadTracker,
    ) -> Self {
        let engines = fleet.engines.iter().map(|view| ProjectedEngine {
            view,
            free_bytes: view.free_bytes,
            replicas: Vec::new(),
        });
        let mut projection = Self {
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
                false if unload_tracker.is_unloading(&replica.model, &replica.engine) => {
                    Phase::Unloading
                }
                false => Phase::Loading,
            };
            let shown = ProjectedReplica {
                bytes: replica.bytes,
                phase,
                since_ms: replica.since_ms,
                ..projection.replica_of(&replica.model)
            };
            if let Some(engine) = projection.engine_mut(&replica.engine) {
                engine.replicas.push(shown);
            }
        }
        for (model, engine) in pending_proposals.unloads() {
            projection.mark_unloading(model, engine);
        }
        for (model, engine) in pending_proposals.loads() {
            projection.add_loading(model, engine);
        }
        projection
    }

    fn replica_of(&self, model: &ModelName) -> ProjectedReplica {
        let view = self.models.get(model);
        ProjectedReplica {
            model: model.clone(),
            base: view.and_then(|view| view.base.clone()),
            bytes: view.map_or(0, |view| view.bytes),
            phase: Phase::Loading,
            since_ms: 0,
            in_use: view.is_some_and(|view| view.running > 0 || view.waiting > 0),
            proposed_here: view.is_some_and(|view| view.preferred_here),
        }
    }

    fn engine_mut(&mut self, name: &UpstreamName) -> Option<&mut ProjectedEngine<'a>> {
        self.indexes
            .get(name)
            .map(|index| &mut self.engines[*index])
    }

    /// Adds a replica that is proposed to be loaded.
    fn add_loading(&mut self, model: &ModelName, engine: &UpstreamName) {
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

    fn mark_unloading(&mut self, model: &ModelName, engine: &UpstreamName) {
        let Some(engine) = self.engine_mut(engine) else {
            return;
        };
        for replica in &mut engine.replicas {
            if replica.model == *model {
                replica.phase = Phase::Unloading;
            }
        }
    }

    /// Applies proposed actions.
    pub(crate) fn apply(&mut self, actions: &[PlacementAction]) {
        for action in actions {
            match action {
                PlacementAction::Load { model, engine, .. } => self.add_loading(model, engine),
                PlacementAction::Unload { model, engine } => self.mark_unloading(model, engine),
                PlacementAction::NoLoadInTime { .. } => {}
            }
        }
    }

    /// Returns the engines of the model's group that accept new work.
    pub(crate) fn accepting_engines<'s>(
        &'s self,
        model: &'s ModelView,
    ) -> impl Iterator<Item = &'s ProjectedEngine<'a>> + 's {
        self.engines
            .iter()
            .filter(move |engine| engine.view.accepts && engine.view.group == model.group)
    }

    /// Returns the engines that hold the model in the given phase and accept new work.
    pub(crate) fn holders<'s>(
        &'s self,
        model: &'s ModelName,
        phase: Phase,
    ) -> impl Iterator<Item = &'s ProjectedEngine<'a>> + 's {
        self.engines
            .iter()
            .filter(move |engine| engine.view.accepts && engine.holds(model, phase))
    }
}
