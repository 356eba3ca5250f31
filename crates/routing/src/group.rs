//! The upstreams of one group, judged against each other.

use std::collections::BTreeMap;

use apricotdale_core::engine::LoadReport;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;

use crate::in_flight::InFlight;
use crate::options::Options;
use crate::options::OutlierOptions;
use crate::outcomes::Outcomes;
use crate::outcomes::share;
use crate::standing::Standing;

/// `Upstream` is what this VM knows of one upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    in_flight: InFlight,
    report: Option<Report>,
    outcomes: Outcomes,
    pub(crate) standing: Standing,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    /// The time of which the report speaks, as the engine gave it.
    as_of_ms: u64,
    /// The same time on this VM's clock.
    placed_ms: u64,
    read_at_ms: u64,
    load: u32,
    slots: u32,
}

/// `Group` is what this VM knows of a group of equal upstreams.
#[derive(Debug)]
pub(crate) struct Group {
    options: Options,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    median_first_byte_ms: Option<f64>,
}

impl Group {
    /// Returns a group without upstreams.
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            upstreams: BTreeMap::new(),
            median_first_byte_ms: None,
        }
    }

    /// Returns the upstream, as a new one in service if it was not known.
    pub(crate) fn upstream(&mut self, now_ms: u64, name: &UpstreamName) -> &mut Upstream {
        if !self.upstreams.contains_key(name) {
            let upstream = Upstream {
                in_flight: InFlight::default(),
                report: None,
                outcomes: Outcomes::default(),
                standing: Standing::new(now_ms),
            };
            self.upstreams.insert(name.clone(), upstream);
        }
        let upstream = self.upstreams.get_mut(name);
        upstream.expect("the upstream was inserted if it was missing")
    }

    /// Forgets an upstream.
    pub(crate) fn remove(&mut self, name: &UpstreamName) {
        self.upstreams.remove(name);
    }

    /// Notes that a request was sent.
    pub(crate) fn sent(&mut self, now_ms: u64, name: &UpstreamName) {
        let horizon_ms = self.options.max_lag_ms;
        let upstream = self.upstream(now_ms, name);
        upstream.in_flight.sent(now_ms, horizon_ms);
        upstream.standing.sent(now_ms);
    }

    /// Notes that a request ended and ejects its upstream if it now stands out.
    pub(crate) fn ended(
        &mut self,
        now_ms: u64,
        name: &UpstreamName,
        outcome: UpstreamOutcome,
        first_byte_ms: Option<u64>,
    ) {
        let horizon_ms = self.options.max_lag_ms;
        let options = self.options.outliers;
        // A request may end after its upstream was removed; that must not bring it back.
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        upstream.in_flight.ended(now_ms, horizon_ms);
        if outcome == UpstreamOutcome::Cancelled {
            upstream.standing.cancelled();
            return;
        }
        upstream
            .outcomes
            .learn(now_ms, outcome, first_byte_ms, &options);
        let good = outcome == UpstreamOutcome::Answered;
        if upstream.standing.ended(now_ms, good, &options) {
            upstream.outcomes = Outcomes::default();
        }
        self.fade(now_ms, &options);
        self.median_first_byte_ms = self.median_first_byte();
        self.judge(now_ms, name, &options);
    }

    /// Takes in a load report. One that is older than the last is ignored, unless none has come for
    /// so long that the engine's clock must have been set back.
    pub(crate) fn reported(&mut self, now_ms: u64, name: &UpstreamName, report: &LoadReport) {
        let placed_ms = self.placed_ms(now_ms, report.as_of_ms);
        let max_lag_ms = self.options.max_lag_ms;
        let upstream = self.upstream(now_ms, name);
        let older = upstream.report.is_some_and(|last| {
            report.as_of_ms < last.as_of_ms && now_ms.saturating_sub(last.read_at_ms) < max_lag_ms
        });
        if older {
            return;
        }
        upstream.report = Some(Report {
            as_of_ms: report.as_of_ms,
            placed_ms,
            read_at_ms: now_ms,
            load: report.running.saturating_add(report.waiting),
            slots: report.slots,
        });
    }

    /// Returns an upstream's requests now as a share of its places: what it reported, corrected by
    /// what this VM has sent and seen ended since, and drawn towards `mean` by the report's age.
    pub(crate) fn pressure(&self, now_ms: u64, name: &UpstreamName, mean: Option<f64>) -> f64 {
        let default_slots = f64::from(self.options.default_slots.max(1));
        let Some(upstream) = self.upstreams.get(name) else {
            return 0.0;
        };
        let own = f64::from(upstream.in_flight.now());
        let Some(report) = upstream.report else {
            return (own / default_slots).max(mean.unwrap_or_default());
        };
        let slots = match report.slots {
            0 => default_slots,
            slots => f64::from(slots),
        };
        let grown = upstream.in_flight.growth_since(report.placed_ms) as f64;
        let corrected = (f64::from(report.load) + grown).max(own) / slots;
        let Some(mean) = mean else {
            return corrected;
        };
        let age_ms = now_ms.saturating_sub(report.placed_ms) as f64;
        let weight = 0.5_f64.powf(age_ms / self.options.report_half_life_ms.max(1) as f64);
        (mean + weight * (corrected - mean)).max(own / slots)
    }

    /// Returns the factor by which slowness and a return raise an upstream's cost.
    pub(crate) fn cost_factor(&self, now_ms: u64, name: &UpstreamName) -> f64 {
        let options = &self.options.outliers;
        let Some(upstream) = self.upstreams.get(name) else {
            return 1.0;
        };
        let slowness = self.slowness(&upstream.outcomes, options);
        let slowness = slowness.clamp(1.0, options.max_slowness.max(1.0));
        slowness * upstream.standing.cost_factor(now_ms, options)
    }

    /// Returns an engine's time on this VM's clock. A time that lies ahead of this clock is of
    /// another clock, so the usual lag is assumed.
    fn placed_ms(&self, now_ms: u64, as_of_ms: u64) -> u64 {
        if as_of_ms > now_ms {
            return now_ms.saturating_sub(self.options.assumed_lag_ms);
        }
        as_of_ms.max(now_ms.saturating_sub(self.options.max_lag_ms))
    }

    fn slowness(&self, outcomes: &Outcomes, options: &OutlierOptions) -> f64 {
        let first_byte_ms = outcomes.first_byte_ms(options);
        let (Some(own_ms), Some(median_ms)) = (first_byte_ms, self.median_first_byte_ms) else {
            return 1.0;
        };
        if own_ms < median_ms + options.slow_floor_ms {
            return 1.0;
        }
        own_ms / median_ms.max(1.0)
    }

    fn median_first_byte(&self) -> Option<f64> {
        let options = &self.options.outliers;
        let upstreams = self.upstreams.values();
        let mut means: Vec<f64> = upstreams
            .filter_map(|upstream| upstream.outcomes.first_byte_ms(options))
            .collect();
        // With two upstreams the lower one is the yardstick, or a slow one would hide itself.
        let middle = means.len().checked_sub(1)? / 2;
        let (_, median_ms, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median_ms)
    }

    /// Lets all outcomes fade to the same moment, so that they can be compared.
    fn fade(&mut self, now_ms: u64, options: &OutlierOptions) {
        for upstream in self.upstreams.values_mut() {
            upstream.outcomes.fade(now_ms, options);
        }
    }

    fn judge(&mut self, now_ms: u64, name: &UpstreamName, options: &OutlierOptions) {
        let upstream = &self.upstreams[name];
        let stands_out = upstream.standing.in_service()
            && (self.fails_alone(name, options) || self.is_too_slow(&upstream.outcomes, options));
        if !stands_out || !self.may_eject(options) {
            return;
        }
        let upstream = self.upstream(now_ms, name);
        upstream.outcomes = Outcomes::default();
        upstream.standing.eject(now_ms, options);
    }

    fn fails_alone(&self, name: &UpstreamName, options: &OutlierOptions) -> bool {
        let outcomes = &self.upstreams[name].outcomes;
        let others = self.failure_share_of_others(name);
        let in_a_row = outcomes.failures_in_a_row() >= options.failures_in_a_row
            && others < options.common_failure;
        let by_share = outcomes.weight() >= options.min_weight
            && outcomes.failure_share() > others + options.failure_margin;
        in_a_row || by_share
    }

    fn is_too_slow(&self, outcomes: &Outcomes, options: &OutlierOptions) -> bool {
        let enough = outcomes.weight() >= options.min_weight;
        enough && self.slowness(outcomes, options) >= options.eject_slowness
    }

    /// Returns the share of failures among the others in service. When all fail, the cause lies
    /// elsewhere, such as in this VM's own network, and nobody stands out.
    fn failure_share_of_others(&self, name: &UpstreamName) -> f64 {
        let others = self
            .upstreams
            .iter()
            .filter(|(other, upstream)| *other != name && upstream.standing.in_service());
        let (bad, weight) = others.fold((0.0, 0.0), |(bad, weight), (_, upstream)| {
            let outcomes = &upstream.outcomes;
            (bad + outcomes.bad(), weight + outcomes.weight())
        });
        share(bad, weight)
    }

    fn may_eject(&self, options: &OutlierOptions) -> bool {
        let count = self.upstreams.len();
        let out = |upstream: &&Upstream| !upstream.standing.in_service();
        let ejected = self.upstreams.values().filter(out).count();
        let allowed = (options.max_ejected_share * count as f64) as usize;
        count >= 2 && ejected < allowed.max(1)
    }
}
