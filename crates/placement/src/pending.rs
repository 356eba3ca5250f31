//! Proposals that the view does not show yet.

use std::collections::BTreeMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::PlacementAction;

/// `Pending` remembers which loads and unloads were proposed and are not yet seen in the view.
///
/// A proposal takes one round over the log before the view shows it. Without this memory every
/// plan in between would propose the same again: the log would fill with records that replay
/// rejects, and a model could be decided on twice. A proposal that was rejected never shows, so
/// each is forgotten after a timeout.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    loads: BTreeMap<(ModelName, UpstreamName), u64>,
    unloads: BTreeMap<(ModelName, UpstreamName), u64>,
}

impl Pending {
    /// Forgets what the view now shows, and what was proposed too long ago.
    pub(crate) fn refresh(&mut self, now_ms: u64, timeout_ms: u64, fleet: &FleetView) {
        self.loads
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < timeout_ms);
        self.unloads
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < timeout_ms);
        if self.loads.is_empty() && self.unloads.is_empty() {
            return;
        }
        let shown: BTreeMap<(ModelName, UpstreamName), bool> = fleet
            .replicas
            .iter()
            .map(|replica| {
                (
                    (replica.model.clone(), replica.engine.clone()),
                    replica.loaded,
                )
            })
            .collect();
        self.loads.retain(|place, _| !shown.contains_key(place));
        self.unloads
            .retain(|place, _| shown.get(place).copied().unwrap_or(false));
    }

    /// Notes what was proposed.
    pub(crate) fn note(&mut self, now_ms: u64, actions: &[PlacementAction]) {
        for action in actions {
            match action {
                PlacementAction::Load { model, engine, .. } => {
                    self.loads.insert((model.clone(), engine.clone()), now_ms);
                }
                PlacementAction::Unload { model, engine } => {
                    self.unloads.insert((model.clone(), engine.clone()), now_ms);
                }
                PlacementAction::NoLoadInTime { .. } => {}
            }
        }
    }

    /// Returns the loads that are not yet seen.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (&ModelName, &UpstreamName)> {
        self.loads.keys().map(|(model, engine)| (model, engine))
    }

    /// Returns the unloads that are not yet seen.
    pub(crate) fn unloads(&self) -> impl Iterator<Item = (&ModelName, &UpstreamName)> {
        self.unloads.keys().map(|(model, engine)| (model, engine))
    }
}
