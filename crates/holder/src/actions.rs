//! Actions that the planner asks its caller to carry out.

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::ResidentModel;
use apricotdale_fleet::Tier;
use serde::Deserialize;
use serde::Serialize;

use crate::orders::OrderKind;

/// Change of what an engine holds, announced to the other VMs before the VM list shows the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidenceUpdate {
    /// Engine whose models or adapters have changed.
    pub engine: UpstreamName,
    /// Model that was loaded or unloaded, or whose adapter was.
    pub model: ModelName,
    /// Adapter that was loaded or unloaded; none if the update is about the model itself.
    pub adapter: Option<ModelName>,
    /// Whether requests for the model or adapter can run on the engine now.
    pub present: bool,
}

impl ResidenceUpdate {
    /// Returns whether both updates are about the same model or adapter on the same engine.
    pub fn has_same_subject(&self, other: &Self) -> bool {
        self.engine == other.engine && self.model == other.model && self.adapter == other.adapter
    }
}

/// Action that the planner asks its caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlannerAction {
    /// Send an order to an engine, and report the outcome to [`Planner::order_ended`].
    ///
    /// [`Planner::order_ended`]: crate::Planner::order_ended
    Order {
        /// Engine that the order is addressed to.
        engine: UpstreamName,
        /// Load or unload to carry out.
        kind: OrderKind,
        /// Number of orders that the engine must have taken before this one.
        orders_before: u64,
        /// Source of the weights, for a load of a model.
        tier: Option<Tier>,
    },
    /// Read an engine's report, and pass it to [`Planner::report_ended`].
    ///
    /// [`Planner::report_ended`]: crate::Planner::report_ended
    Report {
        /// Engine whose report is read.
        engine: UpstreamName,
    },
    /// Announce a change of what an engine holds to the other VMs.
    Announce(ResidenceUpdate),
}

/// Returns the updates by which one list of resident models becomes another.
pub(crate) fn residence_changes(
    engine: &UpstreamName,
    before: &[ResidentModel],
    after: &[ResidentModel],
) -> Vec<PlannerAction> {
    let update = |model: &ModelName, present| {
        PlannerAction::Announce(ResidenceUpdate {
            engine: engine.clone(),
            model: model.clone(),
            adapter: None,
            present,
        })
    };
    let has = |list: &[ResidentModel], model: &ModelName| {
        list.iter().any(|resident| &resident.model == model)
    };
    let removed = before
        .iter()
        .filter(|it| !has(after, &it.model))
        .map(|it| update(&it.model, false));
    let added = after
        .iter()
        .filter(|it| !has(before, &it.model))
        .map(|it| update(&it.model, true));
    removed.chain(added).collect()
}
