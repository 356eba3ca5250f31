//! Health state of an upstream: in service, ejected, probed, or returning.

use crate::options::OutlierOptions;

/// Share of its work with which a returning upstream begins.
const MIN_RAMP_SHARE: f64 = 0.1;

/// State machine of one upstream's health. An ejected upstream returns by single probes and then by
/// a growing share of requests. Otherwise a fault that shows only under load would cost a full
/// share of the requests with each return.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    state: HealthState,
    ejections: u32,
    changed_at_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthState {
    InService,
    Ejected { until_ms: u64 },
    Probing(Probing),
    Returning,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Probing {
    answered: u32,
    next_probe_ms: u64,
    sent_at_ms: Option<u64>,
}

impl Health {
    /// Returns the state of an upstream that is new to this VM.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            state: HealthState::InService,
            ejections: 0,
            changed_at_ms: now_ms,
        }
    }

    /// Returns whether the upstream takes a share of the requests.
    pub(crate) fn is_in_service(&self) -> bool {
        matches!(self.state, HealthState::InService | HealthState::Returning)
    }

    /// Returns the factor by which the upstream's weight is divided while it returns.
    pub(crate) fn weight_divisor(&self, now_ms: u64, options: &OutlierOptions) -> f64 {
        if self.state != HealthState::Returning {
            return 1.0;
        }
        let elapsed_ms = now_ms.saturating_sub(self.changed_at_ms) as f64;
        let share = elapsed_ms / options.ramp_ms.max(1) as f64;
        1.0 / share.clamp(MIN_RAMP_SHARE, 1.0)
    }

    /// Makes the transitions that are due by now.
    pub(crate) fn advance(&mut self, now_ms: u64, options: &OutlierOptions) {
        let elapsed_ms = now_ms.saturating_sub(self.changed_at_ms);
        match self.state {
            HealthState::Ejected { until_ms } if now_ms >= until_ms => {
                self.enter(now_ms, HealthState::Probing(Probing::default()));
            }
            HealthState::Returning if elapsed_ms >= options.ramp_ms => {
                self.enter(now_ms, HealthState::InService);
            }
            HealthState::InService if elapsed_ms >= options.forgive_after_ms => self.ejections = 0,
            _ => {}
        }
    }

    /// Ejects the upstream, each time for twice as long.
    pub(crate) fn eject(&mut self, now_ms: u64, options: &OutlierOptions) {
        let doublings = self.ejections.min(u64::BITS - 1);
        let factor = 1_u64 << doublings;
        let ejection_ms = options.ejection_ms.saturating_mul(factor);
        let until_ms = now_ms + ejection_ms.min(options.max_ejection_ms);
        self.ejections = self.ejections.saturating_add(1);
        self.enter(now_ms, HealthState::Ejected { until_ms });
    }

    /// Returns whether a probe may be sent now.
    pub(crate) fn is_probe_due(&self, now_ms: u64, options: &OutlierOptions) -> bool {
        let HealthState::Probing(probing) = self.state else {
            return false;
        };
        let timed_out = |sent_at_ms: u64| now_ms >= sent_at_ms + options.probe_timeout_ms;
        now_ms >= probing.next_probe_ms && probing.sent_at_ms.is_none_or(timed_out)
    }

    /// Records that the upstream was returned for a probe, whether or not that is sent.
    pub(crate) fn record_probe_offered(&mut self, now_ms: u64, options: &OutlierOptions) {
        if let HealthState::Probing(probing) = &mut self.state {
            probing.next_probe_ms = now_ms + options.probe_interval_ms;
        }
    }

    /// Records that a request was sent to the upstream.
    pub(crate) fn sent(&mut self, now_ms: u64) {
        if let HealthState::Probing(probing) = &mut self.state {
            probing.sent_at_ms = Some(now_ms);
        }
    }

    /// Records that a request ended without saying anything about the upstream.
    pub(crate) fn cancelled(&mut self) {
        if let HealthState::Probing(probing) = &mut self.state {
            probing.sent_at_ms = None;
        }
    }

    /// Records that a request ended. Returns whether the upstream begins to return.
    pub(crate) fn ended(&mut self, now_ms: u64, answered: bool, options: &OutlierOptions) -> bool {
        let HealthState::Probing(mut probing) = self.state else {
            return false;
        };
        // An answer to a request from before the ejection is no probe.
        if probing.sent_at_ms.take().is_none() {
            return false;
        }
        if !answered {
            self.eject(now_ms, options);
            return false;
        }
        probing.answered += 1;
        let is_returning = probing.answered >= options.probes_to_return;
        if is_returning {
            self.enter(now_ms, HealthState::Returning);
        } else {
            self.state = HealthState::Probing(probing);
        }
        is_returning
    }

    fn enter(&mut self, now_ms: u64, state: HealthState) {
        self.state = state;
        self.changed_at_ms = now_ms;
    }
}
