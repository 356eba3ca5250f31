//! Who gives orders to engines, and which.
//!
//! One VM at a time gives orders to the engines. [`Lease`] decides which: the VM whose record is
//! the newest of a topic of the platform's store, for as long as it renews it. [`Planner`] is what
//! the holder of the lease runs: it keeps what each engine holds, gathers the demand of all VMs and
//! decides on loads and unloads. Both are pure: facts and time go in, actions come out.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod actions;
mod adapters;
mod choosing;
mod demand;
mod following;
mod foreseeing;
mod lease;
mod lease_calls;
mod ledger;
mod load_crashes;
mod options;
mod orders;
mod own_demand;
mod placing;
mod planner;
mod store_limit;
pub mod succession;
mod unconfirmed;

pub use actions::PlannerAction;
pub use actions::ResidenceNews;
pub use demand::DemandBook;
pub use demand::DemandRow;
pub use demand::ModelDemand;
pub use lease::Lease;
pub use lease_calls::LeaseAction;
pub use lease_calls::LeaseAnswer;
pub use lease_calls::LeaseOptions;
pub use lease_calls::LeaseRecord;
pub use ledger::EngineLedger;
pub use options::PlannerOptions;
pub use orders::EngineReport;
pub use orders::Order;
pub use orders::OrderKind;
pub use orders::OrderOutcome;
pub use own_demand::OwnDemand;
pub use own_demand::RequestState;
pub use planner::Planner;
pub use succession::Contender;
