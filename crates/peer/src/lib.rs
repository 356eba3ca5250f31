//! Messages between the system's own processes, over nng.
//!
//! [`NngLink`] asks other daemons and [`PeerServer`] answers them. Both speak nng's request and
//! reply protocol over TCP; module [`frame`] gives the form of a message. A message that is not
//! authentic, not well-formed or not meant for this VM changes nothing but a counter.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod counters;
pub mod errors;
pub mod frame;
pub mod key;
mod lane;
mod link;
mod options;
mod peers;
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
