//! HTTP adapters for the interfaces to the platform and the upstreams.
//!
//! Each adapter implements traits of `apricotdale-core`. The rest of the system holds them as trait
//! objects in [`Adapters`], so another protocol needs another adapter and no other change.
//!
//! The adapters distinguish a call that certainly had no effect (`Error::Unavailable`) from one
//! that may have had one (`Error::Unknown`). Module `exchange` ensures this: a call with an effect
//! has its own connection and is sent on it at most once.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answer;
mod clock;
mod connection;
mod engine;
mod events;
mod exchange;
mod log;
mod options;
mod paths;
mod reader;
mod registry;
mod service;
mod serving;
mod vm_list;
mod weights;

pub use clock::SystemClock;
pub use engine::HttpEngine;
pub use log::HttpLog;
pub use options::EngineOptions;
pub use options::HttpOptions;
pub use options::LogOptions;
pub use options::Options;
pub use options::ServiceOptions;
pub use options::VmListOptions;
pub use options::WeightsOptions;
pub use registry::Adapters;
pub use registry::http_adapters;
pub use service::HttpService;
pub use vm_list::HttpVmList;
pub use weights::HttpWeights;
