//! Placement policies: where models are loaded, and when replicas are unloaded.
//!
//! The policies do no I/O: the time, the arrivals and a view of the fleet go in, and proposed
//! actions come out. They use neither a clock nor random numbers, and iterate over ordered
//! collections only, so the same history leads to the same proposals on every VM.
//!
//! - [`FixedTimeout`] is the baseline: most free memory, least recently used, one idle timeout.
//! - [`LearnedPlacement`] is the default: learned usage, load times and targets.
//!
//! Decisions of their own, which the lease holder's planner uses, are those on engines that many models
//! share: [`EvictionChoices`], [`is_in_turn`] and [`ReplicaFactor`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checkpoint_restore;
mod engine_speed;
mod eviction;
mod fixed_timeout;
mod gap_histogram;
mod learned_placement;
mod load_decisions;
mod load_option;
mod load_times;
mod loads_in_progress;
mod model_history;
mod options;
mod pending_proposals;
mod period_detector;
mod projection;
mod registry;
mod replica_target;
mod store_queue;
mod target_distribution;
mod turns;
mod unload_decisions;
mod unload_tracker;
mod wanted_replica;

pub use engine_speed::EngineSpeeds;
pub use eviction::Eviction;
pub use eviction::EvictionCandidate;
pub use eviction::EvictionChoices;
pub use eviction::EvictionOptions;
pub use fixed_timeout::FixedTimeout;
pub use learned_placement::LearnedPlacement;
pub use options::Options;
pub use registry::PLACEMENT_POLICIES;
pub use registry::placement_policy;
pub use replica_target::ModelLoad;
pub use replica_target::ReplicaFactor;
pub use turns::is_in_turn;
