//! Placement policies: where a model is loaded, and when a replica is unloaded.
//!
//! Both policies are pure: the time, the arrivals and a view of the fleet go in, proposals come
//! out. Nothing here reads a clock or draws a random number, and every iteration runs over
//! ordered collections, so the same history gives the same proposals on every VM.
//!
//! - [`FixedTimeout`] is the baseline: most free memory, least recently used, one idle timeout.
//! - [`LearnedPlacement`] is the policy in use.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fixed_timeout;
mod flights;
mod gap_histogram;
mod keeping;
mod learned;
mod load_times;
mod loading;
mod options;
mod pending;
mod record;
mod registry;
mod restoring;
mod rhythm;
mod site;
mod sketch;
mod store_queue;
mod target_mix;
mod want;
mod watch;

pub use fixed_timeout::FixedTimeout;
pub use learned::LearnedPlacement;
pub use options::Options;
pub use registry::PLACEMENT_POLICIES;
pub use registry::placement_policy;
