//! Randomized soak test of entry VMs.
//!
//! Real processes of `apricotdale-entry` run on loopback against stand-ins of the platform. A
//! seeded [`Plan`] injects faults, one after another and overlapping, while callers of several
//! organisations send requests: processes are killed, paused, stopped and restarted; proxies delay,
//! cut, silence and reset links; the store and the engines fail; the configuration changes. What
//! callers and upstreams observed is collected in a [`Record`], and [`check`] returns the
//! invariants that it violates.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bodies;
mod checks;
mod clock;
mod configurations;
mod continued_streams;
mod crasher_invariants;
mod draws;
mod engines;
mod errors;
mod fault;
mod keys;
mod load_draws;
mod load_invariants;
mod loads;
mod lost_request_invariants;
mod notice_draws;
mod notice_invariants;
mod notices;
mod observed;
mod organisation_invariants;
mod path_cut_invariants;
mod path_cuts;
mod plan;
mod record;
mod releases;
mod rest_invariants;
mod room_invariants;
mod rooms;
mod silence_draws;
mod silences;
mod soak;
mod stated_limit_invariants;
mod streams;
mod version_invariants;
mod vms;
mod workload;
mod world;

pub use checks::Invariant;
pub use checks::Violation;
pub use checks::check;
pub use continued_streams::ContinuedStreams;
pub use errors::Error;
pub use errors::Result;
pub use fault::Adjustment;
pub use fault::PathCut;
pub use fault::Trouble;
pub use load_invariants::LoadCoverage;
pub use load_invariants::ResidenceSeen;
pub use load_invariants::load_coverage;
pub use notice_invariants::judged_leaves;
pub use organisation_invariants::WindowUse;
pub use organisation_invariants::fullest_window;
pub use path_cut_invariants::served_through_others;
pub use plan::Burst;
pub use plan::Crasher;
pub use plan::Plan;
pub use plan::Planned;
pub use record::ArrivalSeen;
pub use record::Attempt;
pub use record::ConfigurationProbe;
pub use record::Crash;
pub use record::Disturbance;
pub use record::Drain;
pub use record::Ending;
pub use record::EngineTime;
pub use record::KeySeen;
pub use record::Kind;
pub use record::LimitSeen;
pub use record::LinkBreak;
pub use record::PathCutSeen;
pub use record::Place;
pub use record::Presented;
pub use record::Record;
pub use record::Run;
pub use record::SilenceSeen;
pub use record::StatedLeaveSeen;
pub use record::StatedLimitSeen;
pub use record::StopSeen;
pub use record::TimeoutSeen;
pub use rest_invariants::FullestRest;
pub use rest_invariants::RestSeen;
pub use rest_invariants::fullest_rest;
pub use room_invariants::RejectionSeen;
pub use room_invariants::RoomFailureSeen;
pub use soak::Soak;
pub use soak::SoakOptions;
pub use soak::entry_program;
pub use stated_limit_invariants::StatedLimitUse;
pub use stated_limit_invariants::fullest_stated_window;
pub use streams::BodySeen;
pub use streams::Flaw;
pub use streams::Piece;
pub use streams::StreamSeen;
pub use streams::Tail;
pub use version_invariants::ResumedShare;
pub use version_invariants::resumed_share;
