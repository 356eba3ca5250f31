//! Replicated state machines: deterministic replay of the control stream and the claim streams.
//!
//! Every VM replays the same streams with the state machines of this crate and thereby reaches the
//! same decisions without a leader:
//!
//! - [`ControlState`] replays the control stream: configuration, members, engines and replicas;
//! - [`ClaimTable`] replays one claim stream, so that a call under an idempotency key runs at most
//!   once;
//! - [`snapshot`] transfers either state to a VM that starts after the log has dropped old records;
//! - [`catch_up`] decides where a VM gets its state from when it starts or has fallen behind.
//!
//! The crate reads no clock, opens no sockets, starts no threads and uses no randomness. The only
//! time that it uses is when the log appended a record, which is the same for all readers.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod catch_up;
pub mod claim_table;
pub mod claims;
pub mod config_rules;
pub mod configuration;
pub mod control_state;
pub mod counters;
pub mod engines;
pub mod errors;
pub mod history;
pub mod members;
pub mod parts;
pub mod replicas;
pub mod snapshot;
pub mod verdict;
pub mod view;

mod intents;
mod observations;
mod settlements;

pub use claim_table::ClaimTable;
pub use control_state::ControlState;
pub use errors::Error;
pub use errors::Result;
pub use verdict::Accepted;
pub use verdict::IgnoreReason;
pub use verdict::RejectReason;
pub use verdict::Verdict;
