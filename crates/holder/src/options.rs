//! The planner's limits and times.

/// `PlannerOptions` are the planner's limits and times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerOptions {
    /// The time over which the operators count loads that begin from the weight store.
    pub store_window_ms: u64,
    /// Loads that may begin in it beyond the rate that the store allows. The operators bear three
    /// and a tenth of the rate; one is left for a load of the giver before.
    pub store_spare_loads: f64,
    /// The share of the engines that stays idle while models that nobody has asked for are
    /// fetched. An engine carries out one order at a time, and such a fetch takes seconds, in which
    /// a model that somebody waits for could not be loaded there.
    pub idle_share: f64,
    /// How long an unload takes at least before the engine is asked whether it is done.
    pub unload_check_ms: u64,
    /// The pause after an order that met another one in progress. An unload takes until the last
    /// request on its model has ended.
    pub conflict_pause_ms: u64,
    /// Conflicts in a row after which the engine's report is read: another holder's order, or one
    /// that was carried out late, has changed the number of orders that it has taken.
    pub max_conflicts: u32,
    /// The time between two reports while an order is late.
    pub report_every_ms: u64,
    /// How far a report lags behind.
    pub report_lag_ms: u64,
    /// How long an adapter takes to be there after its order was accepted.
    pub adapter_ms: u64,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            store_window_ms: 5_000,
            store_spare_loads: 2.0,
            idle_share: 0.5,
            unload_check_ms: 40,
            conflict_pause_ms: 60,
            max_conflicts: 12,
            report_every_ms: 150,
            report_lag_ms: 250,
            adapter_ms: 12,
        }
    }
}
