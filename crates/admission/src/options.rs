//! Tunables of the admission policies.

/// Tunables of the admission policies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Largest number of requests that wait on this VM, over all targets.
    pub max_waiting: usize,
    /// Largest number of requests that wait for one target.
    pub max_waiting_per_target: usize,
    /// Time from a request's start to the beginning of its answer.
    pub begin_ms: u64,
    /// Least remaining time with which a request waits for a target that has neither slots nor a
    /// scheduled load.
    pub min_undecided_ms: u64,
    /// Time after which to retry if no wait can be predicted.
    pub fallback_retry_ms: u64,
    /// Number of slots assumed for a target that has never had any.
    pub cold_start_slots: u32,
    /// Share of a class's capacity that new requests may fill. The remainder absorbs run time
    /// estimates that are too low.
    pub fill: f64,
    /// Share of a class's capacity that admitted requests may fill before some of them are evicted.
    pub overfill: f64,
    /// Factor on the expected run times in the forecast that decides whether an admitted request is
    /// refused after all: its deadline would be missed even if all runs before it were that fast.
    pub optimistic_run_factor: f64,
    /// Number of starts that a forecast covers. Beyond these, the class's capacity alone decides.
    pub forecast_starts: usize,
    /// Half-life of an arrival's weight in the measured need of its class.
    pub need_half_life_ms: u64,
    /// Time after its last arrival for which slots are reserved for a class.
    pub class_ttl_ms: u64,
    /// Weight of the last run in the estimates of run times.
    pub run_weight: f64,
    /// Share of its expected run time for which a request is expected to run on once that time has
    /// passed.
    pub overrun_share: f64,
    /// Interval at which the waiting requests are checked.
    pub tick_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_waiting: 4_096,
            max_waiting_per_target: 1_024,
            begin_ms: 20,
            min_undecided_ms: 100,
            fallback_retry_ms: 1_000,
            cold_start_slots: 4,
            fill: 0.9,
            overfill: 1.1,
            optimistic_run_factor: 0.5,
            forecast_starts: 64,
            need_half_life_ms: 30_000,
            class_ttl_ms: 300_000,
            run_weight: 0.1,
            overrun_share: 0.25,
            tick_ms: 50,
        }
    }
}
