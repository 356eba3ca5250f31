//! What the planner wants done and told.

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::orders::OrderKind;

/// `ResidenceNews` tells the other VMs what an engine holds before the list does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidenceNews {
    /// The engine.
    pub engine: UpstreamName,
    /// The model.
    pub model: ModelName,
    /// The adapter, if the news is of one.
    pub adapter: Option<ModelName>,
    /// Whether it can run there now.
    pub present: bool,
}

impl ResidenceNews {
    /// Returns whether other news tell of the same model or adapter on the same engine.
    pub fn is_about_the_same(&self, other: &Self) -> bool {
        self.engine == other.engine && self.model == other.model && self.adapter == other.adapter
    }
}

/// `PlannerAction` is what the planner wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlannerAction {
    /// Give an order, and tell its outcome.
    Order {
        /// The engine.
        engine: UpstreamName,
        /// What to do.
        kind: OrderKind,
        /// How many orders the engine has taken.
        orders_before: u64,
    },
    /// Read the engine's report, and tell it.
    Report {
        /// The engine.
        engine: UpstreamName,
    },
    /// Tell the other VMs.
    Tell(ResidenceNews),
}
