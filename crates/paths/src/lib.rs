//! Paths from one VM to the upstreams.
//!
//! Whether an upstream can be reached is a property of the pair of VM and upstream: a VM may be cut
//! off from upstreams that other VMs reach. [`Paths`] keeps what this VM knows of its own paths and
//! what other VMs say of theirs. It decides which upstreams are probed, whom to ask, through which
//! VM a connection is relayed while the direct path is lost, and whether this VM reaches far fewer
//! engines than another. There is no I/O: observations and the time go in, decisions come out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod direct_path;
mod frames;
mod options;
mod paths;
mod relays;

pub use direct_path::PathFailure;
pub use frames::MalformedRelayBytes;
pub use frames::RelayNotice;
pub use frames::RelayPhase;
pub use frames::RelayReader;
pub use frames::append_relay_data;
pub use frames::parse_relay_request;
pub use frames::relay_request;
pub use options::Options;
pub use paths::DuePathWork;
pub use paths::PathChange;
pub use paths::Paths;
pub use paths::ProbeEffect;
pub use relays::PathAnswer;
