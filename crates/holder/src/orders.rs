//! Orders to engines and what engines say of them.

use std::net::SocketAddr;

use apricotdale_core::names::InstanceName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::Residence;

/// `OrderKind` is what an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model with its adapters, once its requests have ended.
    UnloadModel(ModelName),
    /// Load an adapter of a model that is there.
    LoadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: ModelName,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: ModelName,
    },
}

impl OrderKind {
    /// Returns whether the order concerns a whole model, which keeps the engine busy.
    pub fn is_of_model(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::UnloadModel(_))
    }

    /// Returns the word for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::LoadModel(_) => "load_model",
            Self::UnloadModel(_) => "unload_model",
            Self::LoadAdapter { .. } => "load_adapter",
            Self::UnloadAdapter { .. } => "unload_adapter",
        }
    }

    /// Returns the model that the order concerns.
    pub fn model(&self) -> &ModelName {
        match self {
            Self::LoadModel(model) | Self::UnloadModel(model) => model,
            Self::LoadAdapter { model, .. } | Self::UnloadAdapter { model, .. } => model,
        }
    }
}

/// `Order` is one order to one run of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The run of the engine that is meant.
    pub engine: UpstreamName,
    /// The engine as the platform names it.
    pub instance: InstanceName,
    /// Where it serves.
    pub address: SocketAddr,
    /// What to do.
    pub kind: OrderKind,
    /// The VM that gives the order.
    pub holder: VmName,
    /// The fencing token of its lease.
    pub fence: u64,
    /// How many orders the engine must have taken before this one. An order that arrives late
    /// finds another number and has no effect.
    pub orders_before: u64,
}

/// `OrderOutcome` is how an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderOutcome {
    /// The engine carries it out.
    Accepted,
    /// The engine has carried it out already.
    DoneAtOnce,
    /// What it asks for already holds; the engine does not count it among the orders it has taken.
    AlreadySo,
    /// Another order is in progress, or the engine has taken another number of orders.
    Conflict,
    /// The engine has seen a higher fencing token.
    StaleFence,
    /// The engine can't carry it out.
    Refused,
    /// Another engine has the address.
    OtherEngine,
    /// It was certainly not received.
    NotSent,
    /// It may have been received, or be carried out later.
    Unknown,
}

impl OrderOutcome {
    /// Returns the word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::DoneAtOnce => "done_at_once",
            Self::AlreadySo => "already_so",
            Self::Conflict => "conflict",
            Self::StaleFence => "stale_fence",
            Self::Refused => "refused",
            Self::OtherEngine => "other_engine",
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
        }
    }
}

/// `EngineReport` is what an engine says of itself. It lags by some hundred milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// When the run that reports has started; 0 if it does not say.
    pub born_ms: u64,
    /// What it holds.
    pub residence: Residence,
    /// Adapters on their way, by model. They take places already.
    pub coming: Vec<(ModelName, ModelName)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// How many orders it has taken.
    pub orders_taken: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
}
