//! Tunables of the admission policies.

/// `Options` holds the tunables of the admission policies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The most requests that wait on this VM, over all targets.
    pub max_waiting: usize,
    /// The most requests that wait for one target.
    pub max_waiting_per_target: usize,
    /// The time from a request's start to the beginning of its answer.
    pub begin_ms: u64,
    /// The time that must be left for a request to wait while neither capacity nor a load is
    /// decided for its target.
    pub min_undecided_ms: u64,
    /// When to come back where no wait can be predicted.
    pub fallback_retry_ms: u64,
    /// The slots assumed of a target that has not had any yet.
    pub cold_slots: u32,
    /// The part of a class's capacity that new requests fill. The rest absorbs estimates that are
    /// too low.
    pub fill: f64,
    /// How far the waiting requests of a class may exceed its capacity before some are refused
    /// that had been let in.
    pub overfill: f64,
    /// The part of the expected run times at which a request that was let in is given up: its
    /// deadline is missed even if everything ahead runs that fast.
    pub hope: f64,
    /// The starts that a forecast looks ahead. Beyond it, the class's capacity decides alone.
    pub forecast_starts: usize,
    /// The time in which an arrival loses half of its weight in its class's need.
    pub need_half_life_ms: u64,
    /// How long after its last arrival a class still has slots kept free for it.
    pub class_memory_ms: u64,
    /// The weight of the last run in the estimates of run times.
    pub run_weight: f64,
    /// The part of its expected run time that a request is expected to go on for once that time is
    /// over.
    pub overdue: f64,
    /// The time between two looks at the waiting requests.
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
            cold_slots: 4,
            fill: 0.9,
            overfill: 1.1,
            hope: 0.5,
            forecast_starts: 64,
            need_half_life_ms: 30_000,
            class_memory_ms: 300_000,
            run_weight: 0.1,
            overdue: 0.25,
            tick_ms: 50,
        }
    }
}
