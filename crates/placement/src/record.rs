//! What is remembered of one model.

use apricotdale_core::names::ModelName;
use apricotdale_core::policy::ModelView;

use crate::gap_histogram::GapHistogram;
use crate::rhythm::Rhythm;
use crate::target_mix::TargetMix;

/// Gaps shorter than this are part of one use.
const LEAST_GAP_MS: u64 = 1_000;

/// How fast the remembered peak of the demand fades.
const PEAK_HALF_LIFE_MS: f64 = 60_000.0;

/// How much the size of a new burst counts.
const NEW_BURST_WEIGHT: f64 = 0.3;

/// `Record` is what is remembered of one model.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// The model as the view last showed it. The view leaves out models without demand and
    /// without replica, which may still have to be loaded ahead of a regular call.
    pub(crate) view: Option<ModelView>,
    /// The gaps between its uses.
    pub(crate) gaps: GapHistogram,
    /// Whether it is called at regular times.
    pub(crate) rhythm: Rhythm,
    /// The class targets of its requests.
    pub(crate) targets: TargetMix,
    /// When it was last in use.
    pub(crate) active_ms: Option<u64>,
    /// Since when requests have been waiting without a break.
    pub(crate) waiting_since_ms: Option<u64>,
    /// Until when callers that were refused may come back for it.
    pub(crate) returns_until_ms: u64,
    /// When its waiting requests were last refused.
    pub(crate) refused_ms: Option<u64>,
    /// Since when it has had more replicas than it needs.
    pub(crate) spare_since_ms: Option<u64>,
    /// Whether it was loaded only to get its checkpoint back onto a host.
    pub(crate) is_restoring: bool,
    /// When it was last loaded for that.
    pub(crate) restored_ms: Option<u64>,
    /// When to weigh again whether its idle replica is kept.
    pub(crate) weigh_ms: u64,
    /// The usual number of requests that wait for one load.
    burst: f64,
    was_in_use: bool,
    most_waiting: u32,
    peak: f64,
    peak_ms: u64,
}

impl Record {
    /// Notes a request.
    pub(crate) fn arrived(&mut self, now_ms: u64) {
        let idle_ms = self
            .active_ms
            .map(|active_ms| now_ms.saturating_sub(active_ms));
        self.active_ms = Some(now_ms);
        self.weigh_ms = 0;
        self.is_restoring = false;
        // Time between two requests while others run is no idle time.
        if self.was_in_use {
            return;
        }
        self.rhythm.used(now_ms, idle_ms);
        if let Some(gap_ms) = idle_ms.filter(|gap_ms| *gap_ms >= LEAST_GAP_MS) {
            self.gaps.note(gap_ms);
        }
    }

    /// Takes in the model as the view shows it. `adapters_use` tells whether an adapter of it is
    /// in use.
    pub(crate) fn see(&mut self, now_ms: u64, view: &ModelView, adapters_use: bool) {
        if self.view.as_ref() != Some(view) {
            self.view = Some(view.clone());
        }
        let demand = view.waiting + view.running;
        self.fade_peak(now_ms);
        self.peak = self.peak.max(f64::from(demand));
        let in_use = demand > 0 || adapters_use;
        if in_use {
            // Without an arrival since, the use is another VM's or older than this process.
            let is_told = self
                .active_ms
                .is_some_and(|at_ms| now_ms < at_ms + LEAST_GAP_MS);
            if !is_told {
                self.arrived(now_ms);
            }
            self.active_ms = Some(now_ms);
        }
        self.was_in_use = in_use;
        self.see_waiting(now_ms, view);
    }

    fn see_waiting(&mut self, now_ms: u64, view: &ModelView) {
        if view.waiting == 0 {
            if self.waiting_since_ms.take().is_some() {
                let most = f64::from(self.most_waiting);
                self.burst += NEW_BURST_WEIGHT * (most - self.burst);
            }
            self.most_waiting = 0;
            return;
        }
        self.most_waiting = self.most_waiting.max(view.waiting);
        if self.waiting_since_ms.is_none() {
            self.waiting_since_ms = Some(now_ms);
            if let Some(left_ms) = view.tightest_ms {
                self.targets.note(left_ms);
            }
        }
    }

    fn fade_peak(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.peak_ms) as f64;
        self.peak *= (-passed_ms / PEAK_HALF_LIFE_MS).exp2();
        self.peak_ms = now_ms;
    }

    /// Returns the recent peak of requests waiting and running at once.
    pub(crate) fn peak(&self) -> f64 {
        self.peak
    }

    /// Returns how many requests are hurt by one cold start.
    pub(crate) fn burst(&self) -> f64 {
        self.burst.max(1.0)
    }

    /// Returns how long the model has been idle, counted from when a replica was loaded at least.
    pub(crate) fn idle_ms(&self, now_ms: u64, since_ms: u64) -> u64 {
        let active_ms = self.active_ms.unwrap_or(0).max(since_ms);
        now_ms.saturating_sub(active_ms)
    }

    /// Returns the model's base.
    pub(crate) fn base(&self) -> Option<ModelName> {
        self.view.as_ref().and_then(|view| view.base.clone())
    }
}
