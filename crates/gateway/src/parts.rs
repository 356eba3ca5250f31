//! Dependencies of a gateway.

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

/// Interfaces and policies that a gateway depends on.
pub struct Parts {
    /// Random number drawn at process start, which makes request identities unique.
    pub process_id: u64,
    /// Source of the classes, models, services and upstreams known to this VM.
    pub directory: Arc<dyn Directory>,
    /// Receives the demand for models.
    pub demand: Arc<dyn DemandSink>,
    /// Makes calls under an idempotency key run at most once.
    pub claims: Arc<dyn ClaimKeeper>,
    /// Receives the events that metrics are made from.
    pub observer: Arc<dyn ServingObserver>,
    /// Clock of all deadlines.
    pub clock: Arc<dyn Clock>,
    /// Client of the model engines.
    pub serving: Arc<dyn EngineServing>,
    /// Client of the plain services.
    pub service: Arc<dyn PlainService>,
    /// Chooses an engine or service instance for each attempt.
    pub routing: Box<dyn RoutingPolicy>,
    /// Decides which requests start, wait or are refused.
    pub admission: Box<dyn AdmissionPolicy>,
    /// Decides whether and when a failed attempt is retried.
    pub retry: Box<dyn RetryPolicy>,
}
