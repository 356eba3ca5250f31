//! Estimate of an upstream's load from delayed reports and from this VM's own requests.

use apricotdale_core::engine::LoadReport;

use crate::in_flight::InFlight;
use crate::options::Options;

/// Mean pressure below which a group counts as idle, so that single requests on idle upstreams do
/// not shift the weights.
const MIN_REFERENCE_PRESSURE: f64 = 0.25;

/// Largest distance of a weight from that of an upstream at the mean, as a logarithm. Sums of weights
/// within it are finite, whatever an upstream states.
const MAX_LOG_WEIGHT: f64 = 100.0;

/// Last report of one upstream, its weight, and this VM's requests there.
///
/// A report shows the requests of all VMs as of some seconds ago. This VM knows how many of them
/// were its own, and how many of its own are there now. The other VMs' requests are known for the
/// time of the report only: by now they have probably ended, and the other VMs have sent new ones
/// to the upstreams that looked best in the same report. A single report therefore only moves the
/// upstream's weight by a step.
#[derive(Debug)]
pub(crate) struct LoadEstimate {
    pub(crate) local: InFlight,
    report: Option<Report>,
    log_weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    /// Time at which the report was made, on the engine's clock.
    as_of_ms: u64,
    /// Time at which the report was made, on this VM's clock.
    local_as_of_ms: u64,
    read_at_ms: u64,
    /// All requests as a share of the slots.
    total: f64,
    /// Requests of the other VMs as a share of the slots.
    others: f64,
    slots: u32,
}

/// Load of a group according to all its reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupLoad {
    /// Mean over the upstreams of all requests as a share of the slots.
    pub(crate) mean_total: f64,
    /// Mean time from the send of a request to its end.
    pub(crate) residence_ms: f64,
}

impl LoadEstimate {
    /// Returns the estimate of an upstream that has not reported.
    pub(crate) fn new() -> Self {
        Self {
            local: InFlight::default(),
            report: None,
            log_weight: 0.0,
        }
    }

    /// Records a report, and returns whether it was used. A report older than the last one is
    /// ignored, unless no report was used for so long that the engine's clock must have been set
    /// back.
    pub(crate) fn reported(
        &mut self,
        now_ms: u64,
        report: &LoadReport,
        group: GroupLoad,
        options: &Options,
    ) -> bool {
        let is_older = self.report.is_some_and(|previous| {
            let unread_ms = now_ms.saturating_sub(previous.read_at_ms);
            report.as_of_ms < previous.as_of_ms && unread_ms < options.max_lag_ms
        });
        if is_older {
            return false;
        }
        let local_as_of_ms = local_as_of_ms(now_ms, report.as_of_ms, options);
        let slots = match report.slots {
            0 => options.default_slots.max(1),
            slots => slots,
        };
        let load = report.running.saturating_add(report.waiting);
        let others = load.saturating_sub(self.local.at(local_as_of_ms));
        let next = Report {
            as_of_ms: report.as_of_ms,
            local_as_of_ms,
            read_at_ms: now_ms,
            total: f64::from(load) / f64::from(slots),
            others: f64::from(others) / f64::from(slots),
            slots,
        };
        if let Some(previous) = self.report.replace(next) {
            self.move_weight(previous, next, group, options);
        }
        true
    }

    /// Returns all requests in the last report, as a share of the slots.
    pub(crate) fn total(&self) -> Option<f64> {
        self.report.map(|report| report.total)
    }

    /// Returns this VM's requests as a share of the slots.
    pub(crate) fn local_pressure(&self, options: &Options) -> f64 {
        f64::from(self.local.now()) / f64::from(self.slots(options))
    }

    /// Returns all requests as a share of the slots: this VM's as of now, and the other VMs' as of
    /// the last report.
    pub(crate) fn pressure(&self, mean_total: f64, options: &Options) -> f64 {
        let others = self.report.map_or(mean_total, |report| report.others);
        self.local_pressure(options) + others
    }

    /// Returns the weight with which the upstream is drawn from its group.
    pub(crate) fn weight(&self, now_ms: u64, group: GroupLoad, options: &Options) -> f64 {
        let slots = f64::from(self.slots(options));
        let Some(report) = self.report else {
            return slots;
        };
        let age_ms = now_ms.saturating_sub(report.local_as_of_ms) as f64;
        let recency = (-age_ms / group.residence_ms).exp();
        let recent_shift = options.fresh_gain * recency * (report.total - group.mean_total);
        let log_weight = self.log_weight - recent_shift;
        slots * log_weight.clamp(-MAX_LOG_WEIGHT, MAX_LOG_WEIGHT).exp()
    }

    fn slots(&self, options: &Options) -> u32 {
        let default_slots = options.default_slots.max(1);
        self.report.map_or(default_slots, |report| report.slots)
    }

    /// Moves the weight against the report's distance from the group's mean.
    ///
    /// A step is scaled by the time between the two reports over the time until its effect shows in
    /// a report. All VMs see the same reports and make the same change, and would otherwise correct
    /// the same distance more than once.
    fn move_weight(&mut self, previous: Report, next: Report, group: GroupLoad, options: &Options) {
        let gap_ms = next.local_as_of_ms.saturating_sub(previous.local_as_of_ms) as f64;
        let lag_ms = next.read_at_ms.saturating_sub(next.local_as_of_ms) as f64;
        let effect_ms = (lag_ms + gap_ms + group.residence_ms).max(1.0);
        let reference = group.mean_total.max(MIN_REFERENCE_PRESSURE);
        let distance = ((group.mean_total - next.total) / reference).clamp(-1.0, 1.0);
        let decay = 0.5_f64.powf(gap_ms / options.weight_half_life_ms.max(1) as f64);
        let step = options.weight_gain * distance * (gap_ms / effect_ms).min(1.0);
        let max_log_weight = options.max_weight.max(1.0).ln();
        self.log_weight = (self.log_weight * decay + step).clamp(-max_log_weight, max_log_weight);
    }
}

/// Converts an engine's time to this VM's clock. A time in the future must be of another clock, so
/// that the usual delay is assumed.
fn local_as_of_ms(now_ms: u64, as_of_ms: u64, options: &Options) -> u64 {
    if as_of_ms > now_ms {
        return now_ms.saturating_sub(options.assumed_lag_ms);
    }
    as_of_ms.max(now_ms.saturating_sub(options.max_lag_ms))
}
