//! A randomized soak of entry VMs.
//!
//! Real processes of `apricotdale-entry` run on loopback before the stand-ins of the platform. A
//! seeded [`Plan`] has processes killed, paused, stopped and restarted, links delayed, cut,
//! silenced and reset by proxies, the store and the engines misbehave and the configuration change,
//! in series and overlapping, while callers of several organisations go on asking. What callers and
//! upstreams saw is a [`Record`], from which [`check`] tells which promises were broken.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checks;
mod clock;
mod draws;
mod engines;
mod errors;
mod fault;
mod keys;
mod organisation_invariants;
mod plan;
mod proxy;
mod record;
mod soak;
mod streams;
mod vms;
mod workload;
mod world;

pub use checks::Invariant;
pub use checks::Violation;
pub use checks::check;
pub use errors::Error;
pub use errors::Result;
pub use fault::Trouble;
pub use organisation_invariants::WindowUse;
pub use organisation_invariants::fullest_window;
pub use plan::Burst;
pub use plan::Crasher;
pub use plan::Plan;
pub use plan::Planned;
pub use proxy::LinkFault;
pub use proxy::Proxy;
pub use record::Attempt;
pub use record::ConfigurationProbe;
pub use record::ContinuedStreams;
pub use record::Crash;
pub use record::Disturbance;
pub use record::Drain;
pub use record::Ending;
pub use record::KeySeen;
pub use record::Kind;
pub use record::LimitSeen;
pub use record::Place;
pub use record::Presented;
pub use record::Record;
pub use record::Run;
pub use record::StopSeen;
pub use soak::Soak;
pub use soak::SoakOptions;
pub use soak::entry_program;
pub use streams::BodySeen;
pub use streams::Flaw;
pub use streams::Piece;
pub use streams::StreamSeen;
pub use streams::Tail;
