//! Authenticated messages between the daemons of one deployment, over nng.
//!
//! [`NngLink`] sends requests to other daemons and [`PeerServer`] answers them. Both use nng's
//! request and reply protocol over TCP; module [`frame`] defines the format of messages. A message
//! that is not authentic, not well-formed or not addressed to this VM changes nothing but a
//! counter.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod connection_pool;
pub mod counters;
pub mod errors;
pub mod frame;
pub mod key;
mod link;
mod nng_context;
mod options;
pub mod replay;
mod server;

pub use counters::PeerCounters;
pub use counters::Rejection;
pub use errors::Error;
pub use errors::Result;
pub use key::ClusterKey;
pub use link::NngLink;
pub use options::LinkOptions;
pub use options::ServerOptions;
pub use server::PeerServer;
