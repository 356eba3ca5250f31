//! Which replicas are unloading.

use std::collections::BTreeSet;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::FleetView;

/// `Watch` tells replicas that are unloading from those that are loading.
///
/// The view shows both as not loaded. Taken for one that loads, a replica on its way out would
/// count as help for waiting requests that will never get it. A replica that was seen loaded and
/// is no longer is unloading until it is gone from the view.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    loaded: BTreeSet<(ModelName, UpstreamName)>,
    unloading: BTreeSet<(ModelName, UpstreamName)>,
}

impl Watch {
    /// Takes in a view.
    pub(crate) fn refresh(&mut self, fleet: &FleetView) {
        let mut loaded = BTreeSet::new();
        let mut unloading = BTreeSet::new();
        for replica in &fleet.replicas {
            let place = (replica.model.clone(), replica.engine.clone());
            if replica.loaded {
                loaded.insert(place);
                continue;
            }
            if self.loaded.contains(&place) || self.unloading.contains(&place) {
                unloading.insert(place);
            }
        }
        self.loaded = loaded;
        self.unloading = unloading;
    }

    /// Returns whether a replica that is not loaded is unloading.
    pub(crate) fn is_unloading(&self, model: &ModelName, engine: &UpstreamName) -> bool {
        !self.unloading.is_empty() && self.unloading.contains(&(model.clone(), engine.clone()))
    }
}
