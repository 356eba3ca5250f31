//! Interface to callers: OpenAI-compatible model calls, plain service calls, refusals.
//!
//! A [`Gateway`] handles the requests of one VM's HTTP server. It knows models, services and
//! upstreams only through the traits of `apricotdale_core::serving`. Admission, routing and retries
//! are decided by policies that it is given.
//!
//! Each request is handled on its connection's thread, which blocks only on the request's inbox and
//! the caller's socket. Whatever waits for an upstream or for the log runs on a worker thread, so
//! that a deadline or a caller's hang-up ends the request at once even if the upstream does not
//! answer.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod admission_queue;
mod answer;
mod call_body;
mod cancel_sender;
mod context;
mod crashes;
mod endpoint;
mod errors;
mod events;
mod gateway;
mod identity;
mod in_progress;
mod listing;
mod model_attempt;
mod model_flow;
mod options;
mod parts;
mod problem;
mod relay;
mod run_times;
mod send_gate;
mod service_flow;
mod service_job;
mod shared;
mod trace;
mod workers;

pub use errors::Error;
pub use errors::Result;
pub use gateway::Gateway;
pub use options::Options;
pub use parts::Parts;
pub use service_flow::service_target;
pub use trace::Step;
pub use trace::Trace;
pub use trace::TracedStep;
