//! Placement: turns demand into proposed loads and unloads, and replicas into admission slots.

mod capacity;
mod demand_reporter;
mod fleet;
mod load_failures;
mod placement_loop;
mod rank_cache;

pub use capacity::CapacityUpdater;
pub use demand_reporter::DemandReporter;
pub use fleet::FleetSource;
pub use placement_loop::PlacementLoop;
pub use placement_loop::PlacementParts;
pub use placement_loop::is_stuck;
