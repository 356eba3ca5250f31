//! Admission policies: decision on which requests start, wait or are refused, by the target time of
//! their class.
//!
//! [`admission_policy`] builds a policy by its name. One policy serves one VM with all its targets
//! and classes. The policies do no I/O: the time and the events are passed in, and actions are
//! returned.
//!
//! [`RankPressure`] and [`RankAdmission`] admit requests by rank over all VMs: the first, on the
//! lease holder, computes the share of each rank; the second, on each VM, applies it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod callers;
mod class_queue;
mod earliest_deadline;
mod errors;
mod first_come;
mod forecast;
mod lanes;
mod need;
mod options;
mod rank_admission;
mod rank_pressure;
mod rank_shares;
mod rates;
mod refusals;
mod registry;
mod run_estimate;
mod shares;
mod target;

pub use earliest_deadline::EarliestDeadline;
pub use errors::Error;
pub use errors::Result;
pub use first_come::FirstCome;
pub use first_come::Order;
pub use options::Options;
pub use rank_admission::RankAdmission;
pub use rank_admission::RankDecision;
pub use rank_admission::service_key;
pub use rank_pressure::RankLoad;
pub use rank_pressure::RankPressure;
pub use rank_pressure::ServiceCapacity;
pub use rank_pressure::VmRankLoad;
pub use rank_shares::RankShare;
pub use rank_shares::RankShareRow;
pub use rank_shares::RankShares;
pub use registry::ADMISSION_POLICIES;
pub use registry::admission_policy;
pub use shares::SlotReport;
pub use shares::SlotView;
pub use shares::share_by_demand;
pub use shares::share_of_slots;
pub use shares::vm_slots;
