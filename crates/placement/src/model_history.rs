//! Usage history of one model.

use apricotdale_core::names::ModelName;
use apricotdale_core::policy::ModelView;

use crate::gap_histogram::GapHistogram;
use crate::period_detector::PeriodDetector;
use crate::target_distribution::TargetDistribution;

/// Minimum gap between two uses. Shorter gaps belong to a single use.
const MIN_GAP_MS: u64 = 1_000;

/// Half-life of the remembered peak demand.
const PEAK_HALF_LIFE_MS: f64 = 60_000.0;

/// Weight of a new burst in the average burst size.
const NEW_BURST_WEIGHT: f64 = 0.3;

/// Usage history of one model.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelHistory {
    /// Model as the view last showed it; none if it never did. The view leaves out models without
    /// demand and replicas, which may still have to be loaded ahead of an expected use.
    pub(crate) view: Option<ModelView>,
    /// Distribution of the idle gaps between uses.
    pub(crate) gaps: GapHistogram,
    /// Detector of uses at regular times.
    pub(crate) period_detector: PeriodDetector,
    /// Distribution of the class targets of the requests.
    pub(crate) targets: TargetDistribution,
    /// Time at which the model was last in use.
    pub(crate) last_active_ms: Option<u64>,
    /// Time since which requests have been waiting without interruption; none if none wait.
    pub(crate) waiting_since_ms: Option<u64>,
    /// Time until which refused callers are expected to retry.
    pub(crate) retries_until_ms: u64,
    /// Time at which waiting requests were last refused.
    pub(crate) last_refused_ms: Option<u64>,
    /// Time since which the model has had more replicas than it needs; none if it has not.
    pub(crate) spare_since_ms: Option<u64>,
    /// Whether the model was loaded only to cache its checkpoint on a host.
    pub(crate) is_restoring: bool,
    /// Time of the last load for that purpose.
    pub(crate) last_restored_ms: Option<u64>,
    /// Time of the next review of whether to keep the idle replica.
    pub(crate) next_review_ms: u64,
    /// Average number of requests that wait for one load.
    burst: f64,
    was_in_use: bool,
    max_waiting: u32,
    peak: f64,
    peak_ms: u64,
}

impl ModelHistory {
    /// Records the arrival of a request.
    pub(crate) fn arrived(&mut self, now_ms: u64) {
        let idle_ms = self
            .last_active_ms
            .map(|last_active_ms| now_ms.saturating_sub(last_active_ms));
        self.last_active_ms = Some(now_ms);
        self.next_review_ms = 0;
        self.is_restoring = false;
        // The time between two requests while others run is not idle time.
        if self.was_in_use {
            return;
        }
        self.period_detector.record_use(now_ms, idle_ms);
        if let Some(gap_ms) = idle_ms.filter(|gap_ms| *gap_ms >= MIN_GAP_MS) {
            self.gaps.record(gap_ms);
        }
    }

    /// Updates the history from the model's view. `has_used_adapter` states whether an adapter of the
    /// model is in use.
    pub(crate) fn update(&mut self, now_ms: u64, view: &ModelView, has_used_adapter: bool) {
        if self.view.as_ref() != Some(view) {
            self.view = Some(view.clone());
        }
        let demand = view.waiting + view.running;
        self.decay_peak(now_ms);
        self.peak = self.peak.max(f64::from(demand));
        let in_use = demand > 0 || has_used_adapter;
        if in_use {
            // If no arrival was recorded, the requests are those of another VM or older than this
            // process.
            let is_reported = self
                .last_active_ms
                .is_some_and(|at_ms| now_ms < at_ms + MIN_GAP_MS);
            if !is_reported {
                self.arrived(now_ms);
            }
            self.last_active_ms = Some(now_ms);
        }
        self.was_in_use = in_use;
        self.update_waiting(now_ms, view);
    }

    fn update_waiting(&mut self, now_ms: u64, view: &ModelView) {
        if view.waiting == 0 {
            if self.waiting_since_ms.take().is_some() {
                let burst = f64::from(self.max_waiting);
                self.burst += NEW_BURST_WEIGHT * (burst - self.burst);
            }
            self.max_waiting = 0;
            return;
        }
        self.max_waiting = self.max_waiting.max(view.waiting);
        if self.waiting_since_ms.is_none() {
            self.waiting_since_ms = Some(now_ms);
            if let Some(remaining_ms) = view.tightest_ms {
                self.targets.record(remaining_ms);
            }
        }
    }

    fn decay_peak(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.peak_ms) as f64;
        self.peak *= (-passed_ms / PEAK_HALF_LIFE_MS).exp2();
        self.peak_ms = now_ms;
    }

    /// Returns the recent peak of the number of waiting and running requests.
    pub(crate) fn peak(&self) -> f64 {
        self.peak
    }

    /// Returns the number of requests that one cold start delays, at least 1.
    pub(crate) fn burst(&self) -> f64 {
        self.burst.max(1.0)
    }

    /// Returns how long a replica has been idle that was loaded at `since_ms`. The idle time begins
    /// with the last use of the model, but no earlier than the load.
    pub(crate) fn idle_ms(&self, now_ms: u64, since_ms: u64) -> u64 {
        let last_active_ms = self.last_active_ms.unwrap_or(0).max(since_ms);
        now_ms.saturating_sub(last_active_ms)
    }

    /// Returns the base model, if the model is an adapter and the view has shown it.
    pub(crate) fn base(&self) -> Option<ModelName> {
        self.view.as_ref().and_then(|view| view.base.clone())
    }
}
