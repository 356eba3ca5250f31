//! The daemon: passes events to the decision crates and carries out their actions.
//!
//! Decisions are made in crates without input or output. The modules here read sockets and clocks,
//! pass what they read to those crates, and carry out the returned actions. [`Daemon`] puts them
//! together.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod appender;
mod assembly;
mod claims;
mod daemon;
mod demand;
mod directory;
mod engine_reports;
mod engine_watch;
mod errors;
mod gauges;
mod grouped_routing;
mod intents;
mod join_task;
mod load_history;
mod log_health;
mod membership_loop;
mod membership_view;
mod operations;
mod peer_answers;
mod placement;
mod policies;
mod replayed;
mod signal;
mod streams;

pub use daemon::Daemon;
pub use errors::Error;
pub use errors::Result;
