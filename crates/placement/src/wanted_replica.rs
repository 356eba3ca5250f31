//! Replicas that should be loaded.

use apricotdale_core::policy::ModelView;

/// Reason for which a model should get a replica, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Need {
    /// Requests wait, and no replica is loaded or being loaded.
    Waiting,
    /// Requests wait for a load that takes much longer than expected.
    Hedge,
    /// Requests wait although replicas are loaded.
    ScaleOut,
    /// Refused callers are expected to retry.
    RetryExpected,
    /// The model is used at regular times, and the next use is due.
    UseExpected,
    /// No host has cached the checkpoint any more.
    Restore,
}

/// Replica that should be loaded.
#[derive(Clone, Debug)]
pub(crate) struct WantedReplica {
    /// Model to load.
    pub(crate) model: ModelView,
    /// Model that requests need: the model itself, or an adapter that needs it as its base.
    pub(crate) requested_model: ModelView,
    /// Reason for the load.
    pub(crate) need: Need,
    /// Time until the model has to be ready.
    pub(crate) remaining_ms: f64,
    /// Whether this VM proposes the load. Loads that other VMs will propose are planned as well, so
    /// that this VM leaves their position in the store's queue and their memory to them.
    pub(crate) proposed_here: bool,
    /// Whether the model's group is about to gain an engine that the plan can't use yet.
    pub(crate) may_gain_engine: bool,
}
