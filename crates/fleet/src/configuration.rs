//! One version of the operators' configuration.

use std::collections::HashMap;
use std::sync::Arc;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_organisations::Organisations;

/// How a route answers and whether its requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A single answer; a request may run more than once.
    Idempotent,
    /// A single answer; a request runs at most once.
    NonIdempotent,
    /// A stream of events; a request runs at most once unless the stream is resumable.
    Stream {
        /// Whether another upstream may resume after the last event that was delivered.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be retried after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Weighted share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitShare {
    /// Service that serves the requests.
    pub service: GroupName,
    /// Weight relative to the other shares of the route; 0 for no requests.
    pub weight: u32,
}

/// Handling of the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host in lower case, without a port.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// How the route answers and whether its requests may be retried.
    pub kind: RouteKind,
    /// Maximum time in milliseconds that a request may be kept waiting.
    pub timeout_ms: u64,
    /// Time in milliseconds within which an answer, or the first event of a stream, is on time.
    pub target_ms: u64,
    /// Longest interval in milliseconds between two events of a stream that is on time.
    pub gap_target_ms: u64,
    /// Maximum number of upstreams on which one request may run.
    pub attempts: u32,
    /// Priority rank of the route's requests; rank 0 is served first.
    pub rank: u32,
    /// Services of the route: one, unless its traffic is split.
    pub shares: Vec<SplitShare>,
    /// Whether requests are served without an API key.
    pub public: bool,
}

impl Route {
    /// Returns the service for a request. `draw` is a uniformly distributed random number. `None`
    /// if the weights add up to 0.
    pub fn service(&self, draw: u64) -> Option<&GroupName> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut left = draw.checked_rem(total)?;
        self.shares
            .iter()
            .find(|share| match left.checked_sub(u64::from(share.weight)) {
                Some(remainder) => {
                    left = remainder;
                    false
                }
                None => true,
            })
            .map(|share| &share.service)
    }
}

/// Model in the catalogue of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Memory that the weights take, in megabytes.
    pub size_mb: f64,
    /// Duration in milliseconds of a load from the weight store at full speed.
    pub store_load_ms: u64,
    /// Duration in milliseconds of a load from the engine's disk.
    pub disk_load_ms: u64,
    /// Duration in milliseconds of a load from the memory of the engine's host.
    pub memory_load_ms: u64,
    /// Number of adapters of the model.
    pub adapters: u32,
    /// Memory that one adapter takes, in megabytes.
    pub adapter_mb: f64,
}

/// Properties that all engines of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of requests in one batch.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Memory for weights and adapters, in megabytes.
    pub memory_mb: f64,
    /// Maximum number of adapters that one engine can hold.
    pub adapter_slots: u32,
    /// Rate at which the weight store admits new loads, over all engines.
    pub store_loads_per_s: f64,
    /// Catalogue of models by name.
    pub models: HashMap<ModelName, ModelSpec>,
}

/// Group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name by which routes and upstreams refer to the service.
    pub name: GroupName,
    /// Maximum number of connections that one upstream accepts, from all VMs together.
    pub max_connections: u32,
    /// Path at which an upstream says whether it is healthy; `None` if it has none.
    pub health_path: Option<Arc<str>>,
    /// Properties of the service's model engines; `None` for a service without engines.
    pub engine: Option<EngineSpec>,
}

/// Limits on the size and duration of what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time in milliseconds for receiving a head.
    pub head_timeout_ms: u64,
    /// Maximum time in milliseconds that a connection may stay open without a request.
    pub idle_timeout_ms: u64,
}

impl CallerLimits {
    /// Returns the limits on what began under these limits, now that others are in force: the
    /// larger of each.
    pub fn loosened_by(&self, in_force: &Self) -> Self {
        Self {
            head_bytes: self.head_bytes.max(in_force.head_bytes),
            body_bytes: self.body_bytes.max(in_force.body_bytes),
            head_timeout_ms: self.head_timeout_ms.max(in_force.head_timeout_ms),
            idle_timeout_ms: self.idle_timeout_ms.max(in_force.idle_timeout_ms),
        }
    }
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known: those of the users'
    /// deployments.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version, which increases with each change, in steps of any size; 0 for no configuration.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: HashMap<GroupName, Arc<Service>>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Organisations whose keys callers must present; `None` if requests carry no keys.
    pub organisations: Option<Organisations>,
}
