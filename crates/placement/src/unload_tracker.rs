//! Detection of replicas that are being unloaded.

use std::collections::BTreeSet;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::FleetView;

/// Distinguishes replicas that are being unloaded from those being loaded.
///
/// The view shows both as not loaded. If an unloading replica were mistaken for a loading one, no
/// other would be loaded for the waiting requests. A replica that was loaded in an earlier view and
/// is not any more is being unloaded, until it disappears from the view.
#[derive(Debug, Default)]
pub(crate) struct UnloadTracker {
    loaded: BTreeSet<(ModelName, UpstreamName)>,
    unloading: BTreeSet<(ModelName, UpstreamName)>,
}

impl UnloadTracker {
    /// Updates the tracker from a view.
    pub(crate) fn refresh(&mut self, fleet: &FleetView) {
        let mut loaded = BTreeSet::new();
        let mut unloading = BTreeSet::new();
        for replica in &fleet.replicas {
            let key = (replica.model.clone(), replica.engine.clone());
            if replica.loaded {
                loaded.insert(key);
                continue;
            }
            if self.loaded.contains(&key) || self.unloading.contains(&key) {
                unloading.insert(key);
            }
        }
        self.loaded = loaded;
        self.unloading = unloading;
    }

    /// Returns whether a replica that the view shows as not loaded is being unloaded.
    pub(crate) fn is_unloading(&self, model: &ModelName, engine: &UpstreamName) -> bool {
        !self.unloading.is_empty() && self.unloading.contains(&(model.clone(), engine.clone()))
    }
}
