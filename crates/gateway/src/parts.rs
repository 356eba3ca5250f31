//! What a gateway is built from.

use std::sync::Arc;

use apricotdale_core::engine::EngineServing;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RoutingPolicy;
use apricotdale_core::service::PlainService;
use apricotdale_core::serving::ClaimKeeper;
use apricotdale_core::serving::Clock;
use apricotdale_core::serving::DemandSink;
use apricotdale_core::serving::Directory;
use apricotdale_core::serving::ServingObserver;

/// `Parts` holds the interfaces and policies that a gateway works with.
pub struct Parts {
    /// The process, chosen at random at its start. It makes request identities unique.
    pub process_id: u64,
    /// What this VM knows of classes, models, services and upstreams.
    pub directory: Arc<dyn Directory>,
    /// Takes in the demand for models.
    pub demand: Arc<dyn DemandSink>,
    /// Makes sure that calls under a key run at most once.
    pub claims: Arc<dyn ClaimKeeper>,
    /// Counts and measures.
    pub observer: Arc<dyn ServingObserver>,
    /// The clock of all deadlines.
    pub clock: Arc<dyn Clock>,
    /// The model engines.
    pub serving: Arc<dyn EngineServing>,
    /// The plain services.
    pub service: Arc<dyn PlainService>,
    /// Chooses upstreams, both engines and service instances.
    pub routing: Box<dyn RoutingPolicy>,
    /// Decides which requests start, wait or are refused.
    pub admission: Box<dyn AdmissionPolicy>,
    /// Decides on retries.
    pub retry: Box<dyn RetryPolicy>,
}
