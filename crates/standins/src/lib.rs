//! Stand-ins for the platform and the upstreams, for tests and demonstrations.
//!
//! Each stand-in is a small program that answers the wire format of `docs/PLATFORM.md` and, below
//! `/standin/`, control calls through which a test injects faults and reads what took effect. The
//! logic is in this library, so that a test can also run a stand-in in its own process: it builds
//! one, passes it to [`http::Server::start`] and reads the address.
//!
//! - [`log`] is the append-only log service,
//! - [`engine`] is a model engine,
//! - [`service`] is one instance of a plain service,
//! - [`weights`] is the weight store,
//! - [`vm_list`] is the list of VMs, which is published with a lag,
//! - [`proxy`] stands between processes and injects faults into their connections,
//! - [`platform`] is the users' platform: its store, engines, plain services and callers, and entry
//!   VMs as processes in front of them.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clock;
pub mod engine;
pub mod errors;
pub mod fault;
pub mod http;
pub mod lagged;
pub mod log;
pub mod platform;
pub mod program;
pub mod proxy;
pub mod rate_limit;
pub mod service;
pub mod vm_list;
pub mod weights;

pub use errors::Error;
pub use errors::Result;
