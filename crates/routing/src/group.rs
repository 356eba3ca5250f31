//! Upstreams of one group, compared with each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;

use crate::health::Health;
use crate::load_estimate::GroupLoad;
use crate::load_estimate::LoadEstimate;
use crate::options::Options;
use crate::options::OutlierOptions;
use crate::outcomes::Outcomes;
use crate::outcomes::share;
use crate::residence_time::ResidenceTime;

/// Time for which the group's median is used before it is computed again.
const MEDIAN_VALID_MS: u64 = 500;

/// State of one upstream as this VM sees it.
#[derive(Debug)]
struct Upstream {
    load: LoadEstimate,
    outcomes: Outcomes,
    health: Health,
}

impl Upstream {
    fn new(now_ms: u64) -> Self {
        Self {
            load: LoadEstimate::new(),
            outcomes: Outcomes::default(),
            health: Health::new(now_ms),
        }
    }
}

/// State of a group of equal upstreams as this VM sees it.
#[derive(Debug)]
pub(crate) struct Group {
    options: Options,
    /// Ordered, so that sums over them are the same in each run of a seeded test.
    upstreams: BTreeMap<UpstreamName, Upstream>,
    out_of_service: BTreeSet<UpstreamName>,
    residence_time: ResidenceTime,
    reported: u32,
    sum_total: f64,
    median_first_byte_ms: Option<f64>,
    median_valid_to_ms: u64,
}

impl Group {
    /// Returns a group without upstreams.
    pub(crate) fn new(options: Options) -> Self {
        Self {
            residence_time: ResidenceTime::new(
                options.assumed_run_ms,
                options.outliers.half_life_ms,
            ),
            options,
            upstreams: BTreeMap::new(),
            out_of_service: BTreeSet::new(),
            reported: 0,
            sum_total: 0.0,
            median_first_byte_ms: None,
            median_valid_to_ms: 0,
        }
    }

    /// Removes an upstream and all its state.
    pub(crate) fn remove(&mut self, name: &UpstreamName) {
        self.out_of_service.remove(name);
        let removed = self.upstreams.remove(name);
        let total = removed.and_then(|upstream| upstream.load.total());
        self.update_total(total, None);
    }

    /// Records that a request was sent.
    pub(crate) fn sent(&mut self, now_ms: u64, name: &UpstreamName) {
        let horizon_ms = self.options.max_lag_ms;
        self.residence_time.sent(now_ms);
        let upstream = self.upstream(now_ms, name);
        upstream.load.local.sent(now_ms, horizon_ms);
        upstream.health.sent(now_ms);
    }

    /// Records that a request ended, and ejects its upstream if that has become an outlier.
    pub(crate) fn ended(
        &mut self,
        now_ms: u64,
        name: &UpstreamName,
        outcome: UpstreamOutcome,
        first_byte_ms: Option<u64>,
    ) {
        let options = self.options.outliers;
        self.residence_time.ended(now_ms);
        // A request may end after its upstream was removed, which must not add it again.
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        upstream.load.local.ended(now_ms, self.options.max_lag_ms);
        if outcome == UpstreamOutcome::Cancelled {
            upstream.health.cancelled();
            return;
        }
        upstream
            .outcomes
            .record(now_ms, outcome, first_byte_ms, &options);
        let answered = outcome == UpstreamOutcome::Answered;
        if upstream.health.ended(now_ms, answered, &options) {
            upstream.outcomes = Outcomes::default();
            self.out_of_service.remove(name);
        }
        self.refresh_median(now_ms);
        self.eject_if_outlier(now_ms, name, &options);
    }

    /// Records a load report.
    pub(crate) fn reported(&mut self, now_ms: u64, name: &UpstreamName, report: &LoadReport) {
        let options = self.options.clone();
        let group = self.load();
        let upstream = self.upstream(now_ms, name);
        let before = upstream.load.total();
        if upstream.load.reported(now_ms, report, group, &options) {
            let after = upstream.load.total();
            self.update_total(before, after);
        }
    }

    /// Returns whether an upstream takes a share of the requests. An unknown upstream does.
    pub(crate) fn is_in_service(&self, name: &UpstreamName) -> bool {
        !self.out_of_service.contains(name)
    }

    /// Returns the load of the group according to all its reports.
    pub(crate) fn load(&self) -> GroupLoad {
        GroupLoad {
            mean_total: self.sum_total.max(0.0) / f64::from(self.reported.max(1)),
            residence_ms: self.residence_time.mean_ms(),
        }
    }

    /// Returns the weight with which an upstream is drawn. It is lower while the upstream's reports
    /// show more load than the group's mean, while it is slow compared with its group, and while it
    /// returns from an ejection.
    pub(crate) fn weight(&self, now_ms: u64, name: &UpstreamName, load: GroupLoad) -> f64 {
        let Some(upstream) = self.upstreams.get(name) else {
            return f64::from(self.options.default_slots.max(1));
        };
        let options = &self.options.outliers;
        let slowness = self.slowness(&upstream.outcomes, options);
        let slowness = slowness.clamp(1.0, options.max_slowness.max(1.0));
        let factor = slowness * upstream.health.weight_divisor(now_ms, options);
        upstream.load.weight(now_ms, load, &self.options) / factor
    }

    /// Returns the number of this VM's requests at an upstream.
    pub(crate) fn local_requests(&self, name: &UpstreamName) -> u32 {
        let upstream = self.upstreams.get(name);
        upstream.map_or(0, |upstream| upstream.load.local.now())
    }

    /// Returns an upstream's estimated requests as a share of its slots.
    pub(crate) fn pressure(&self, name: &UpstreamName, load: GroupLoad) -> f64 {
        let upstream = self.upstreams.get(name);
        upstream.map_or(load.mean_total, |upstream| {
            upstream.load.pressure(load.mean_total, &self.options)
        })
    }

    /// Returns an upstream out of service that is due for a probe, and records that it was
    /// returned.
    pub(crate) fn next_probe(
        &mut self,
        now_ms: u64,
        may_probe: impl Fn(&UpstreamName) -> bool,
    ) -> Option<UpstreamName> {
        let options = &self.options.outliers;
        for name in &self.out_of_service {
            let Some(upstream) = self.upstreams.get_mut(name) else {
                continue;
            };
            upstream.health.advance(now_ms, options);
            if upstream.health.is_probe_due(now_ms, options) && may_probe(name) {
                upstream.health.record_probe_offered(now_ms, options);
                return Some(name.clone());
            }
        }
        None
    }

    fn upstream(&mut self, now_ms: u64, name: &UpstreamName) -> &mut Upstream {
        if !self.upstreams.contains_key(name) {
            self.upstreams.insert(name.clone(), Upstream::new(now_ms));
        }
        let upstream = self.upstreams.get_mut(name);
        upstream.expect("the upstream was inserted if it was missing")
    }

    fn update_total(&mut self, before: Option<f64>, after: Option<f64>) {
        self.reported = self.reported + u32::from(after.is_some()) - u32::from(before.is_some());
        self.sum_total += after.unwrap_or(0.0) - before.unwrap_or(0.0);
    }

    fn slowness(&self, outcomes: &Outcomes, options: &OutlierOptions) -> f64 {
        let first_byte_ms = outcomes.first_byte_ms(options);
        let (Some(upstream_ms), Some(median_ms)) = (first_byte_ms, self.median_first_byte_ms)
        else {
            return 1.0;
        };
        if upstream_ms < median_ms + options.slow_floor_ms {
            return 1.0;
        }
        upstream_ms / median_ms.max(1.0)
    }

    fn refresh_median(&mut self, now_ms: u64) {
        if now_ms < self.median_valid_to_ms && self.median_first_byte_ms.is_some() {
            return;
        }
        self.median_valid_to_ms = now_ms + MEDIAN_VALID_MS;
        self.median_first_byte_ms = self.median_first_byte();
    }

    fn median_first_byte(&self) -> Option<f64> {
        let options = &self.options.outliers;
        let upstreams = self.upstreams.values();
        let mut means: Vec<f64> = upstreams
            .filter_map(|upstream| upstream.outcomes.first_byte_ms(options))
            .collect();
        // Of two upstreams the faster one is the reference, or a slow one would raise its own
        // reference.
        let middle = means.len().checked_sub(1)? / 2;
        let (_, median_ms, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median_ms)
    }

    fn eject_if_outlier(&mut self, now_ms: u64, name: &UpstreamName, options: &OutlierOptions) {
        let upstream = &self.upstreams[name];
        let is_outlier = upstream.health.is_in_service()
            && (self.fails_more_than_others(now_ms, name, options)
                || self.is_too_slow(&upstream.outcomes, options));
        if !is_outlier || !self.may_eject(options) {
            return;
        }
        self.out_of_service.insert(name.clone());
        let upstream = self.upstream(now_ms, name);
        upstream.outcomes = Outcomes::default();
        upstream.health.advance(now_ms, options);
        upstream.health.eject(now_ms, options);
    }

    fn fails_more_than_others(
        &self,
        now_ms: u64,
        name: &UpstreamName,
        options: &OutlierOptions,
    ) -> bool {
        let outcomes = &self.upstreams[name].outcomes;
        let by_consecutive = outcomes.consecutive_failures() >= options.consecutive_failures;
        let by_share = outcomes.weight() >= options.min_weight
            && outcomes.failure_share() > options.failure_margin;
        if !by_consecutive && !by_share {
            return false;
        }
        let others = self.failure_share_of_others(now_ms, name, options);
        (by_consecutive && others < options.common_failure)
            || (by_share && outcomes.failure_share() > others + options.failure_margin)
    }

    fn is_too_slow(&self, outcomes: &Outcomes, options: &OutlierOptions) -> bool {
        let is_enough = outcomes.weight() >= options.min_weight;
        is_enough && self.slowness(outcomes, options) >= options.eject_slowness
    }

    /// Returns the share of failures among the other upstreams in service. If all fail, the cause
    /// lies elsewhere, such as in this VM's own network, and no upstream is an outlier.
    fn failure_share_of_others(
        &self,
        now_ms: u64,
        name: &UpstreamName,
        options: &OutlierOptions,
    ) -> f64 {
        let mut failures = 0.0;
        let mut weight = 0.0;
        for (other, upstream) in &self.upstreams {
            if other == name || !upstream.health.is_in_service() {
                continue;
            }
            let decayed = upstream.outcomes.decayed(now_ms, options);
            failures += decayed.failures();
            weight += decayed.weight();
        }
        share(failures, weight)
    }

    fn may_eject(&self, options: &OutlierOptions) -> bool {
        let count = self.upstreams.len();
        let allowed = (options.max_ejected_share * count as f64) as usize;
        count >= 2 && self.out_of_service.len() < allowed.max(1)
    }
}
