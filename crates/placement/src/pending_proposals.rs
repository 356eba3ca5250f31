//! Proposals that the view does not show yet.

use std::collections::BTreeMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::FleetView;
use apricotdale_core::policy::PlacementAction;

/// Loads and unloads that were proposed and that the view does not show yet.
///
/// The view shows a proposal only after a round trip through the log. If the proposals were not
/// remembered, each plan in between would propose the same again: the log would fill with records
/// that replay rejects, and two loads of one model could be decided on. A rejected proposal never
/// appears in the view, so each proposal is dropped after a timeout.
#[derive(Debug, Default)]
pub(crate) struct PendingProposals {
    loads: BTreeMap<(ModelName, UpstreamName), u64>,
    unloads: BTreeMap<(ModelName, UpstreamName), u64>,
}

impl PendingProposals {
    /// Drops proposals that the view shows now, and those that have timed out.
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
        self.loads.retain(|key, _| !shown.contains_key(key));
        self.unloads
            .retain(|key, _| shown.get(key).copied().unwrap_or(false));
    }

    /// Adds the proposed loads and unloads.
    pub(crate) fn record(&mut self, now_ms: u64, actions: &[PlacementAction]) {
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

    /// Returns the pending loads.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (&ModelName, &UpstreamName)> {
        self.loads.keys().map(|(model, engine)| (model, engine))
    }

    /// Returns the pending unloads.
    pub(crate) fn unloads(&self) -> impl Iterator<Item = (&ModelName, &UpstreamName)> {
        self.unloads.keys().map(|(model, engine)| (model, engine))
    }
}
