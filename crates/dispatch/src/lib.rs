//! Choice of the upstream that a request is sent to, of the requests that wait, and of those that
//! are refused.
//!
//! [`Dispatcher`] decides for one VM. It finds the upstreams that can run a request in the
//! directory, asks the routing policy to choose among them and the retry policy whether to send
//! again, and decides whether a request that can't be sent now waits or is refused. It does no I/O:
//! its callers pass in observations and the time.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod availability;
mod confirmations;
mod deadline;
mod dispatcher;
mod eligibility;
mod forecast;
mod health_checks;
mod job;
mod liveness;
mod options;
mod rejection_limits;
mod rests;
mod silence;
mod stated_limits;
mod statements;
mod unserved;
mod upstream_load;

pub use deadline::Deadline;
pub use dispatcher::Dispatcher;
pub use forecast::LoadForecast;
pub use health_checks::HEALTH_CHECK_TIMEOUT_MS;
pub use health_checks::HealthCheckStep;
pub use health_checks::HealthChecks;
pub use health_checks::RECHECK_WAIT_MS;
pub use health_checks::UNRESPONSIVE_MS;
pub use job::DispatchDecision;
pub use job::FailedAttempt;
pub use job::Job;
pub use job::RetryAction;
pub use job::Urgency;
pub use job::WaitReason;
pub use liveness::LivenessMonitor;
pub use liveness::ProbeOutcome;
pub use options::DispatcherOptions;
pub use rejection_limits::RejectionLimits;
pub use rejection_limits::StatedRejectionLimit;
pub use silence::HeadProgress;
pub use silence::Silence;
pub use stated_limits::LimitChange;
pub use stated_limits::RateLimit;
pub use stated_limits::StatedLimit;
pub use stated_limits::StatedLimits;
pub use upstream_load::LoadSample;
