//! Which replicas are unloading.

use std::collections::BTreeSet;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::FleetView;

type Place = (ModelName, UpstreamName);

/// `Watch` tells replicas that are unloading from those that are loading.
///
/// The view shows both as not loaded. Taken for one that loads, a replica on its way out would
/// count as help for waiting requests that will never get it. A replica that was seen loaded and
/// is no longer is unloading until it is gone from the view.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    loaded: BTreeSet<Place>,
    unloading: BTreeSet<Place>,
}

impl Watch {
    /// Takes in a view.
    pub(crate) fn refresh(&mut self, fleet: &FleetView) {
        let mut loaded = BTreeSet::new();
        let mut unloading = BTreeSet::new();
        for replica in &fleet.replicas {
            let place = (replica.model.clone(), replica.engine.clone());
            let was_there = self.loaded.contains(&place) || self.unloading.contains(&place);
            match replica.loaded {
                true => {
                    loaded.insert(place);
                }
                false if was_there => {
                    unloading.insert(place);
                }
                false => {}
            }
        }
        self.loaded = loaded;
        self.unloading = unloading;
    }

    /// Returns the replicas that are unloading.
    pub(crate) fn unloading(&self) -> &BTreeSet<Place> {
        &self.unloading
    }
}
