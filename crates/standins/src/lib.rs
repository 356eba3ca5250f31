//! Stand-ins for the platform and the upstreams, for tests and demonstrations.
//!
//! Each stand-in is a small program of its own that answers the wire format of `docs/PLATFORM.md`
//! and, below `/standin/`, control calls by which a test injects faults and reads the effects that
//! took place. The logic is in this library, so that a test can also run a stand-in in its own
//! process: build one, pass it to [`http::Server::start`] and read the address.
//!
//! - [`log`] is the append-only log service,
//! - [`engine`] is a model engine,
//! - [`service`] is one instance of a plain service,
//! - [`weights`] is the weight store,
//! - [`vm_list`] is the lagging list of VMs,
//! - [`platform`] is the users' platform: its store, its engines and its plain services.

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
pub mod rate_limit;
pub mod service;
pub mod vm_list;
pub mod weights;

pub use errors::Error;
pub use errors::Result;
