//! Lease on giving orders to engines, and the planner that its holder runs.
//!
//! Only one VM at a time gives orders to the engines: the holder of [`Lease`]. The holder is the VM
//! whose record is the newest in a topic of the platform's store, for as long as the VM renews it.
//! The holder runs [`Planner`], which tracks the state of each engine, adds up the demand of all
//! VMs and decides which models and adapters to load and unload. Both types do no I/O: events and
//! the current time go in, actions come out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod actions;
mod adapter_orders;
mod demand;
mod demand_detail;
mod engine_ledger;
mod learned_state;
mod lease;
mod lease_calls;
mod load_crashes;
mod load_forecast;
mod load_selection;
mod local_demand;
mod options;
mod order_durations;
mod order_effects;
mod orders;
mod placement;
mod placement_summary;
mod planner;
mod store_load_limit;
pub mod takeover_order;
mod unconfirmed_loads;
mod unload_time;

pub use actions::PlannerAction;
pub use actions::ResidenceUpdate;
pub use demand::DemandRow;
pub use demand::DemandTable;
pub use demand::ModelDemand;
pub use demand_detail::DemandDetail;
pub use demand_detail::EngineKey;
pub use demand_detail::EnginePace;
pub use demand_detail::EngineSpeedRow;
pub use demand_detail::EngineUse;
pub use demand_detail::LocalDetail;
pub use demand_detail::ModelAnswers;
pub use demand_detail::ModelKey;
pub use demand_detail::RankUse;
pub use demand_detail::ServiceUse;
pub use engine_ledger::EngineLedger;
pub use learned_state::IgnoredRecord;
pub use learned_state::LearnedState;
pub use lease::Lease;
pub use lease_calls::LeaseAction;
pub use lease_calls::LeaseAnswer;
pub use lease_calls::LeaseOptions;
pub use lease_calls::LeaseRecord;
pub use local_demand::LocalDemand;
pub use local_demand::RequestState;
pub use options::PlannerOptions;
pub use orders::EngineReport;
pub use orders::Order;
pub use orders::OrderKind;
pub use orders::OrderOutcome;
pub use placement_summary::PlacementSummary;
pub use planner::Planner;
pub use takeover_order::TakeoverCandidate;
