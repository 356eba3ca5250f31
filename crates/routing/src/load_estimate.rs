//! How busy an upstream is, from lagging reports and from this VM's own requests.

use apricotdale_core::engine::LoadReport;

use crate::in_flight::InFlight;
use crate::options::Options;

/// The mean pressure below which a group counts as idle, so that single requests on idle upstreams
/// do not shift the weights.
const IDLE_PRESSURE: f64 = 0.25;

/// `LoadEstimate` keeps one upstream's last report, its weight and this VM's own requests there.
///
/// A report shows the requests of all VMs as they were some seconds ago. This VM knows its own ones
/// at that time and now. The rest is known for that time only; by now those requests have probably
/// left, and the other VMs have sent theirs where the same report looked best. So single reports
/// only move the upstream's weight, step by step.
#[derive(Debug)]
pub(crate) struct LoadEstimate {
    pub(crate) own: InFlight,
    report: Option<Report>,
    log_weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    /// The time of which the report speaks, as the engine gave it.
    as_of_ms: u64,
    /// The same time on this VM's clock.
    placed_ms: u64,
    read_at_ms: u64,
    /// All requests as a share of the places.
    total: f64,
    /// The other VMs' requests as a share of the places.
    others: f64,
    slots: u32,
}

/// `GroupLoad` is what the reports of a group say together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupLoad {
    /// The mean of all upstreams' requests as a share of their places.
    pub(crate) mean_total: f64,
    /// The time for which a request stays at an upstream in the mean.
    pub(crate) residence_ms: f64,
}

impl LoadEstimate {
    /// Returns the estimate of an upstream that has not reported.
    pub(crate) fn new() -> Self {
        Self {
            own: InFlight::default(),
            report: None,
            log_weight: 0.0,
        }
    }

    /// Takes in a report. One that is older than the last is ignored, unless none has come for so
    /// long that the engine's clock must have been set back. Returns whether it was taken in.
    pub(crate) fn reported(
        &mut self,
        now_ms: u64,
        report: &LoadReport,
        group: GroupLoad,
        options: &Options,
    ) -> bool {
        let older = self.report.is_some_and(|last| {
            let silent_ms = now_ms.saturating_sub(last.read_at_ms);
            report.as_of_ms < last.as_of_ms && silent_ms < options.max_lag_ms
        });
        if older {
            return false;
        }
        let placed_ms = placed_ms(now_ms, report.as_of_ms, options);
        let slots = match report.slots {
            0 => options.default_slots.max(1),
            slots => slots,
        };
        let load = report.running.saturating_add(report.waiting);
        let others = load.saturating_sub(self.own.at(placed_ms));
        let next = Report {
            as_of_ms: report.as_of_ms,
            placed_ms,
            read_at_ms: now_ms,
            total: f64::from(load) / f64::from(slots),
            others: f64::from(others) / f64::from(slots),
            slots,
        };
        if let Some(last) = self.report.replace(next) {
            self.move_weight(last, next, group, options);
        }
        true
    }

    /// Returns all requests as last reported, as a share of the places.
    pub(crate) fn total(&self) -> Option<f64> {
        self.report.map(|report| report.total)
    }

    /// Returns this VM's own requests as a share of the places.
    pub(crate) fn own_pressure(&self, options: &Options) -> f64 {
        f64::from(self.own.now()) / f64::from(self.slots(options))
    }

    /// Returns all requests as a share of the places: this VM's as they are now, the others' as
    /// last reported.
    pub(crate) fn pressure(&self, mean_total: f64, options: &Options) -> f64 {
        let others = self.report.map_or(mean_total, |report| report.others);
        self.own_pressure(options) + others
    }

    /// Returns how often the upstream is to be drawn, compared with others of its group.
    pub(crate) fn weight(&self, now_ms: u64, group: GroupLoad, options: &Options) -> f64 {
        let slots = f64::from(self.slots(options));
        let Some(report) = self.report else {
            return slots;
        };
        let age_ms = now_ms.saturating_sub(report.placed_ms) as f64;
        let still_true = (-age_ms / group.residence_ms).exp();
        let fresh = options.fresh_gain * still_true * (report.total - group.mean_total);
        slots * (self.log_weight - fresh).exp()
    }

    fn slots(&self, options: &Options) -> u32 {
        let default_slots = options.default_slots.max(1);
        self.report.map_or(default_slots, |report| report.slots)
    }

    /// Moves the weight against the report's distance from the group's mean. A step counts by the
    /// time between the two reports over the time after which its effect shows in a report. So the
    /// VMs, which all see the same reports and move alike, don't correct the same distance twice.
    fn move_weight(&mut self, last: Report, next: Report, group: GroupLoad, options: &Options) {
        let gap_ms = next.placed_ms.saturating_sub(last.placed_ms) as f64;
        let lag_ms = next.read_at_ms.saturating_sub(next.placed_ms) as f64;
        let effect_ms = (lag_ms + gap_ms + group.residence_ms).max(1.0);
        let yardstick = group.mean_total.max(IDLE_PRESSURE);
        let distance = ((group.mean_total - next.total) / yardstick).clamp(-1.0, 1.0);
        let keep = 0.5_f64.powf(gap_ms / options.weight_half_life_ms.max(1) as f64);
        let step = options.weight_gain * distance * (gap_ms / effect_ms).min(1.0);
        let bound = options.max_weight.max(1.0).ln();
        self.log_weight = (self.log_weight * keep + step).clamp(-bound, bound);
    }
}

/// Returns an engine's time on this VM's clock. A time that lies ahead of this clock is of another
/// clock, so the usual lag is assumed.
fn placed_ms(now_ms: u64, as_of_ms: u64, options: &Options) -> u64 {
    if as_of_ms > now_ms {
        return now_ms.saturating_sub(options.assumed_lag_ms);
    }
    as_of_ms.max(now_ms.saturating_sub(options.max_lag_ms))
}
