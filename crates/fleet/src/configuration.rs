//! One version of the operators' configuration.

use std::collections::HashMap;
use std::sync::Arc;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_organisations::Organisations;

/// `RouteKind` says what is answered on a route and what may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// One answer; a request may run more than once.
    Idempotent,
    /// One answer; a request runs at most once.
    NonIdempotent,
    /// A stream of events; a request runs at most once unless the stream may be resumed.
    Stream {
        /// Whether another upstream may go on after the last event that was passed on.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// `SplitShare` is the part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitShare {
    /// The service.
    pub service: GroupName,
    /// Its weight against the other shares of the route.
    pub weight: u32,
}

/// `Route` says what happens with the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host, in lower case.
    pub host: String,
    /// The beginning of the path, from slash to slash.
    pub path_prefix: String,
    /// What is answered and what may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may be kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer (of a stream, its first event) is on time.
    pub target_ms: u64,
    /// The longest pause between two events of a stream that is on time.
    pub gap_target_ms: u64,
    /// The most upstreams on which one request may run.
    pub attempts: u32,
    /// The rank of the class; 0 goes first.
    pub rank: u32,
    /// The services that take the requests; one, unless the route is split.
    pub shares: Vec<SplitShare>,
    /// Whether it is served without a key.
    pub public: bool,
}

impl Route {
    /// Returns the service for a request, chosen by `draw`, a number spread evenly over all values.
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
                Some(rest) => {
                    left = rest;
                    false
                }
                None => true,
            })
            .map(|share| &share.service)
    }
}

/// `ModelSpec` is one model of a service's catalogue.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The memory that its weights take.
    pub size_mb: f64,
    /// How long a load from the weight store takes at full speed.
    pub store_load_ms: u64,
    /// How long a load from the engine's disk takes.
    pub disk_load_ms: u64,
    /// How long a load from the engine's host memory takes.
    pub memory_load_ms: u64,
    /// How many adapters it has.
    pub adapters: u32,
    /// The memory that one adapter takes.
    pub adapter_mb: f64,
}

/// `EngineSpec` is what the engines of a service are like.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    pub kv_tokens: u64,
    /// Memory for weights and adapters.
    pub memory_mb: f64,
    /// Adapters that one engine can hold.
    pub adapter_slots: u32,
    /// Loads that the weight store lets begin in a second, over all engines.
    pub store_loads_per_s: f64,
    /// The catalogue.
    pub models: HashMap<ModelName, ModelSpec>,
}

/// `Service` is a group of equal upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: GroupName,
    /// The most connections that one upstream accepts, from all VMs together.
    pub max_connections: u32,
    /// The model engines' data, or none for a plain service.
    pub engine: Option<EngineSpec>,
}

/// `CallerLimits` bound what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head.
    pub head_bytes: usize,
    /// The largest body.
    pub body_bytes: u64,
    /// The longest time for a head.
    pub head_timeout_ms: u64,
    /// The longest time without a request.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits of the users' deployments, which hold until a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// `Configuration` is one version of what the operators decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: HashMap<GroupName, Arc<Service>>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The organisations, whose keys callers must present; none if requests carry no keys.
    pub organisations: Option<Organisations>,
}
