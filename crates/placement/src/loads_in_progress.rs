//! Loads in progress, as seen by this VM.

use std::collections::BTreeMap;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;

use crate::projection::Phase;
use crate::projection::ProjectedFleet;

/// Load in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LoadInProgress {
    /// Time at which the load was first seen.
    pub(crate) since_ms: u64,
    /// Expected duration of the load.
    pub(crate) expected_ms: f64,
    /// Source of the checkpoint.
    pub(crate) tier: CacheTier,
    /// Factor by which concurrent loads from the store slowed each other down when this one began.
    pub(crate) contention: f64,
    /// Size of the model's weights.
    pub(crate) bytes: u64,
}

/// Loads in progress by model and engine.
#[derive(Debug, Default)]
pub(crate) struct LoadsInProgress {
    loads: BTreeMap<(ModelName, UpstreamName), LoadInProgress>,
}

impl LoadsInProgress {
    /// Removes loads that the view no longer shows, and adds loads that other VMs have proposed.
    pub(crate) fn refresh(
        &mut self,
        projection: &ProjectedFleet<'_>,
        mut describe: impl FnMut(&ModelName, CacheTier, u64) -> LoadInProgress,
    ) {
        let known = std::mem::take(&mut self.loads);
        for engine in &projection.engines {
            for replica in engine
                .replicas
                .iter()
                .filter(|held| held.phase == Phase::Loading)
            {
                let key = (replica.model.clone(), engine.view.engine.clone());
                let load = known.get(&key).copied().unwrap_or_else(|| {
                    let tier = engine.tier(&replica.model);
                    describe(&replica.model, tier, replica.bytes)
                });
                self.loads.insert(key, load);
            }
        }
    }

    /// Adds a load that is being proposed.
    pub(crate) fn start(&mut self, model: &ModelName, engine: &UpstreamName, load: LoadInProgress) {
        self.loads.insert((model.clone(), engine.clone()), load);
    }

    /// Returns all loads in progress.
    pub(crate) fn all(&self) -> impl Iterator<Item = &LoadInProgress> {
        self.loads.values()
    }

    /// Returns the loads of one model that are in progress.
    pub(crate) fn of_model<'f>(
        &'f self,
        model: &'f ModelName,
    ) -> impl Iterator<Item = &'f LoadInProgress> {
        self.loads
            .iter()
            .filter(move |((loading, _), _)| loading == model)
            .map(|(_, load)| load)
    }

    /// Returns the contention when a load of the model began, or 1 if none is in progress.
    pub(crate) fn contention_of(&self, model: &ModelName) -> f64 {
        self.of_model(model)
            .map(|load| load.contention)
            .fold(1.0, f64::max)
    }

    /// Returns the loads from the weight store that are in progress.
    pub(crate) fn store_loads(&self) -> impl Iterator<Item = &LoadInProgress> {
        self.all().filter(|load| load.tier == CacheTier::Remote)
    }
}
