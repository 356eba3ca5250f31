//! Which models should get a replica.

use apricotdale_core::policy::ModelView;

/// `Need` is why a model should get a replica, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Need {
    /// Requests wait and no replica is loaded or on its way.
    Waiting,
    /// Requests wait for a load that takes much longer than expected.
    Hedge,
    /// Requests wait although replicas are loaded.
    ScaleOut,
    /// Callers that were refused have been told to come back.
    Returning,
    /// A regular call is expected.
    Ahead,
    /// No host has the checkpoint any more.
    Restore,
}

/// `Want` is a model that should get a replica.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    /// The model to load.
    pub(crate) model: ModelView,
    /// The model for which it is wanted: itself, or the adapter that needs it as its base.
    pub(crate) asked_by: ModelView,
    /// Why.
    pub(crate) need: Need,
    /// By when it has to be ready, from now.
    pub(crate) left_ms: f64,
    /// Whether this VM proposes it. What other VMs will propose is planned too, so that this VM
    /// leaves them their turn at the store and their memory.
    pub(crate) mine: bool,
    /// Whether an engine of the model's group is listed that the plan can't see yet.
    pub(crate) may_gain_engine: bool,
}
