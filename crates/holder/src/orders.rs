//! Orders to engines, their outcomes, and the reports of engines.

use std::net::SocketAddr;

use apricotdale_core::names::InstanceName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::Residence;

/// Load or unload that an engine is ordered to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model with its adapters, once its requests have ended.
    UnloadModel(ModelName),
    /// Load an adapter of a resident model.
    LoadAdapter {
        /// Base model of the adapter.
        model: ModelName,
        /// Adapter to load.
        adapter: ModelName,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Base model of the adapter.
        model: ModelName,
        /// Adapter to unload.
        adapter: ModelName,
    },
}

impl OrderKind {
    /// Returns whether the order loads or unloads a model rather than an adapter. Such an order
    /// blocks others.
    pub fn is_model_order(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::UnloadModel(_))
    }

    /// Returns the label for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::LoadModel(_) => "load_model",
            Self::UnloadModel(_) => "unload_model",
            Self::LoadAdapter { .. } => "load_adapter",
            Self::UnloadAdapter { .. } => "unload_adapter",
        }
    }

    /// Returns the model to load or unload, or the base model of the adapter.
    pub fn model(&self) -> &ModelName {
        match self {
            Self::LoadModel(model) | Self::UnloadModel(model) => model,
            Self::LoadAdapter { model, .. } | Self::UnloadAdapter { model, .. } => model,
        }
    }
}

/// Order to one process of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Process of the engine that the order is addressed to.
    pub engine: UpstreamName,
    /// Platform's name for the engine.
    pub instance: InstanceName,
    /// Address on which the engine serves.
    pub address: SocketAddr,
    /// Load or unload to carry out.
    pub kind: OrderKind,
    /// VM that gives the order.
    pub holder: VmName,
    /// Fencing token of that VM's lease.
    pub fence: u64,
    /// Number of orders that the engine must have taken before this one. An order that arrives late
    /// finds a different number and has no effect.
    pub orders_before: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderOutcome {
    /// The engine has started to carry out the order.
    Accepted,
    /// The engine has already carried out the order.
    DoneAtOnce,
    /// The engine already was in the ordered state, and does not count the order as taken.
    AlreadySo,
    /// Another order is in progress, or the engine has taken a different number of orders.
    Conflict,
    /// The engine has seen a higher fencing token.
    StaleFence,
    /// The engine can't carry out the order.
    Refused,
    /// Another engine serves on the address.
    OtherEngine,
    /// The order was certainly not received.
    NotSent,
    /// The order may have been received, or may be carried out later.
    Unknown,
}

impl OrderOutcome {
    /// Returns the label for logs and metrics.
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

/// Report of an engine about its state, which lags by a few hundred milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Start time of the engine's process; 0 if the report does not contain it.
    pub born_ms: u64,
    /// Models, adapters and cached weights that the engine holds.
    pub residence: Residence,
    /// Adapters that are being loaded, with their base models. They already occupy slots.
    pub coming: Vec<(ModelName, ModelName)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders that the engine's process has taken.
    pub orders_taken: u64,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
}
