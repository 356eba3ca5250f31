//! The callers' interface: OpenAI-compatible serving, plain services, refusals.
//!
//! A [`Gateway`] handles the requests of one VM's HTTP server. It knows models, services and
//! upstreams only through the traits of `apricotdale_core::serving`, and decides nothing itself:
//! admission, routing and retries are policies that it is given.
//!
//! Each request is handled on its connection's thread, which never blocks on anything but its
//! inbox and the caller's socket. Whatever waits for an upstream or for the platform's log runs on
//! a thread of its own, so that a deadline or a caller's hang-up ends the request at once, however
//! long the other side stays silent.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod answer;
mod attempt;
mod call_body;
mod cancels;
mod context;
mod crashes;
mod desk;
mod endpoint;
mod errors;
mod events;
mod gateway;
mod identity;
mod in_progress;
mod listing;
mod model_flow;
mod model_try;
mod options;
mod parts;
mod problem;
mod relay;
mod run_times;
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
