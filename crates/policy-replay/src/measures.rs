//! Measures of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use apricotdale_core::names::ClassName;

use crate::deployment::Deployment;

/// Upper bound of the histograms; longer waits are recorded as this one.
pub const MAX_RECORDED_MS: u64 = 600_000;

const HOUR_MS: f64 = 3_600_000.0;

/// Values of one run with their names, in the order in which they are printed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    entries: Vec<(String, f64)>,
}

impl Results {
    /// Returns the results with the given names and values.
    pub fn new(entries: Vec<(String, f64)>) -> Self {
        Self { entries }
    }

    /// Returns the names and values in order.
    pub fn entries(&self) -> impl Iterator<Item = (&str, f64)> {
        self.entries
            .iter()
            .map(|(name, value)| (name.as_str(), *value))
    }

    /// Returns the value with the given name, or zero if there is none.
    pub fn get(&self, name: &str) -> f64 {
        let found = self.entries.iter().find(|(known, _)| known == name);
        found.map_or(0.0, |(_, value)| *value)
    }

    fn add(&mut self, name: impl Into<String>, value: f64) {
        self.entries.push((name.into(), value));
    }
}

/// Counters of a run, from the start of the measurement on.
#[derive(Clone, Debug)]
pub struct Measures {
    from_ms: u64,
    cold_starts: Histogram<u64>,
    cold_floor: Histogram<u64>,
    first_tokens: Histogram<u64>,
    idle_engine_ms: f64,
    classes: Vec<ClassCount>,
    arrived: u64,
    refused: u64,
    failed: u64,
    refusals: BTreeMap<&'static str, u64>,
    attempts: u64,
    retries: u64,
    work_ms: f64,
    useless_work_ms: f64,
    window: Option<Window>,
    loads: u64,
    stuck: u64,
}

/// Interval in which the slots' time spent on answers in time is counted.
#[derive(Clone, Copy, Debug)]
struct Window {
    from_ms: u64,
    to_ms: u64,
    achievable_ms: f64,
    useful_ms: f64,
}

#[derive(Clone, Debug)]
struct ClassCount {
    class: ClassName,
    arrived: u64,
    met: u64,
}

impl Measures {
    /// Returns zero counters for a measurement that starts at `from_ms`.
    pub fn new(deployment: &Deployment, from_ms: u64) -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_RECORDED_MS, 3)
                .expect("three digits up to ten minutes are valid")
        };
        Self {
            from_ms,
            cold_starts: histogram(),
            cold_floor: histogram(),
            first_tokens: histogram(),
            idle_engine_ms: 0.0,
            classes: deployment
                .classes
                .iter()
                .map(|class| ClassCount {
                    class: class.class.clone(),
                    arrived: 0,
                    met: 0,
                })
                .collect(),
            arrived: 0,
            refused: 0,
            failed: 0,
            refusals: BTreeMap::new(),
            attempts: 0,
            retries: 0,
            work_ms: 0.0,
            useless_work_ms: 0.0,
            window: None,
            loads: 0,
            stuck: 0,
        }
    }

    /// Also counts useful work in an interval, in which `slots` slots can work at once.
    pub fn start_goodput_window(&mut self, from_ms: u64, to_ms: u64, slots: u64) {
        self.window = Some(Window {
            from_ms,
            to_ms,
            achievable_ms: (slots * (to_ms - from_ms)) as f64,
            useful_ms: 0.0,
        });
    }

    /// Returns whether a request that arrived at this time is measured.
    pub fn counts(&self, arrived_ms: u64) -> bool {
        arrived_ms >= self.from_ms
    }

    /// Counts a request that arrived.
    pub fn record_arrival(&mut self, class: usize) {
        self.arrived += 1;
        self.classes[class].arrived += 1;
    }

    /// Counts a request that found no loaded replica, refused or not: the time until there was one,
    /// and the minimum time in which any engine could have loaded the model.
    pub fn record_cold_start(&mut self, wait_ms: u64, floor_ms: u64) {
        self.cold_starts
            .saturating_record(wait_ms.min(MAX_RECORDED_MS));
        self.cold_floor
            .saturating_record(floor_ms.min(MAX_RECORDED_MS));
    }

    /// Counts a first token, with the time since the arrival and whether the target was met.
    pub fn record_first_token(&mut self, class: usize, wait_ms: u64, met: bool) {
        self.first_tokens
            .saturating_record(wait_ms.min(MAX_RECORDED_MS));
        self.classes[class].met += u64::from(met);
    }

    /// Counts the time that a request ran on an engine, and whether its answer was in time.
    pub fn record_work(&mut self, from_ms: u64, to_ms: u64, met: bool) {
        let run_ms = (to_ms - from_ms) as f64;
        self.work_ms += run_ms;
        if !met {
            self.useless_work_ms += run_ms;
            return;
        }
        if let Some(window) = &mut self.window {
            let inside_ms = to_ms
                .min(window.to_ms)
                .saturating_sub(from_ms.max(window.from_ms));
            window.useful_ms += inside_ms as f64;
        }
    }

    /// Counts a refused request.
    pub fn record_refusal(&mut self, reason: &'static str) {
        self.refused += 1;
        *self.refusals.entry(reason).or_default() += 1;
    }

    /// Counts a request with neither answer nor refusal long after its deadline.
    pub fn record_stuck(&mut self) {
        self.stuck += 1;
    }

    /// Counts a request that ended without an answer.
    pub fn record_failure(&mut self) {
        self.failed += 1;
    }

    /// Counts an attempt at an upstream.
    pub fn record_attempt(&mut self, is_retry: bool) {
        self.attempts += 1;
        self.retries += u64::from(is_retry);
    }

    /// Counts a load that was accepted at `now_ms`, if that is within the measurement.
    pub fn record_load(&mut self, now_ms: u64) {
        self.loads += u64::from(self.counts(now_ms));
    }

    /// Counts the share of an engine's memory held by idle replicas over an interval.
    pub fn record_idle(&mut self, from_ms: u64, to_ms: u64, share: f64) {
        let counted_ms = to_ms.saturating_sub(from_ms.max(self.from_ms));
        self.idle_engine_ms += counted_ms as f64 * share;
    }

    /// Computes the results from the counters.
    pub fn results(&self) -> Results {
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let at =
            |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64;
        let mut results = Results::default();
        results.add("cold_start_p99_ms", at(&self.cold_starts, 0.99));
        results.add("cold_start_p50_ms", at(&self.cold_starts, 0.5));
        results.add("cold_start_floor_p99_ms", at(&self.cold_floor, 0.99));
        results.add(
            "cold_start_share",
            share(self.cold_starts.len(), self.arrived),
        );
        results.add("load_wait_p99_ms", self.load_wait_ms(0.01));
        results.add("load_wait_p999_ms", self.load_wait_ms(0.001));
        results.add("first_token_p95_ms", at(&self.first_tokens, 0.95));
        results.add("idle_accelerator_hours", self.idle_engine_ms / HOUR_MS);
        for class in &self.classes {
            let name = format!("met_share.{}", class.class);
            results.add(name, share(class.met, class.arrived));
        }
        let met: u64 = self.classes.iter().map(|class| class.met).sum();
        results.add("met_share", share(met, self.arrived));
        results.add(
            "answered_share",
            share(self.first_tokens.len(), self.arrived),
        );
        results.add("refused_share", share(self.refused, self.arrived));
        results.add("failed_share", share(self.failed, self.arrived));
        results.add(
            "useless_work_share",
            self.useless_work_ms / self.work_ms.max(1.0),
        );
        results.add("retries_per_request", share(self.retries, self.arrived));
        if let Some(window) = &self.window {
            results.add(
                "goodput_share",
                window.useful_ms / window.achievable_ms.max(1.0),
            );
        }
        results.add("stuck_requests", self.stuck as f64);
        results.add("loads", self.loads as f64);
        results.add("requests", self.arrived as f64);
        for (reason, count) in &self.refusals {
            results.add(format!("refusals.{reason}"), *count as f64);
        }
        results
    }

    /// Returns the wait for a load that only the given share of all requests exceeds. Requests that
    /// found their model loaded count with a wait of zero.
    fn load_wait_ms(&self, exceeding_share: f64) -> f64 {
        let exceeding = self.arrived as f64 * exceeding_share;
        let cold = self.cold_starts.len() as f64;
        if cold <= exceeding {
            return 0.0;
        }
        self.cold_starts.value_at_quantile(1.0 - exceeding / cold) as f64
    }
}
