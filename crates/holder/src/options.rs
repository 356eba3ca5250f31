//! Limits and durations of the planner.

/// Limits and durations of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerOptions {
    /// Window over which the operators count loads that begin from the weight store.
    pub store_window_ms: u64,
    /// Number of such loads that may begin within the window beyond the rate that the store allows.
    /// The operators tolerate three, and a tenth of the rate; one of the three is reserved for a
    /// load that the previous lease holder ordered.
    pub store_spare_loads: f64,
    /// Minimum share of the engines that stay idle while models without demand are prefetched. An
    /// engine carries out one order at a time, so a prefetch blocks loads of requested models there
    /// for seconds.
    pub idle_share: f64,
    /// How long an unload takes at least before the engine's report is read.
    pub unload_check_ms: u64,
    /// Pause after an order that conflicted with another one in progress. An unload is in progress
    /// until the last request on its model has ended.
    pub conflict_pause_ms: u64,
    /// Arriving requests per second from which the weights of a model should be cached on two engines,
    /// so that the loss of one does not make the model unavailable for the time of a load from the
    /// weight store.
    pub backup_requests_per_s: f64,
    /// Number of conflicts in a row after which the engine's report is read, because an order of
    /// another holder, or one that was carried out late, has changed the engine's order count.
    pub max_conflicts: u32,
    /// Interval between report reads while an order is late.
    pub report_interval_ms: u64,
    /// Maximum age of the models and adapters shown in a report.
    pub report_lag_ms: u64,
    /// Time from the acceptance of an adapter order until the adapter can be used.
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
            backup_requests_per_s: 2.0,
            max_conflicts: 12,
            report_interval_ms: 150,
            report_lag_ms: 250,
            adapter_ms: 12,
        }
    }
}
