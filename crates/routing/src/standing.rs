//! An upstream's standing: in service, ejected, probed, or on its way back.

use crate::options::OutlierOptions;

/// The smallest share of its work that a returning upstream begins with.
const FIRST_RAMP_SHARE: f64 = 0.1;

/// `Standing` is the state machine of one upstream. An ejected upstream comes back by single probes
/// and then by a growing share of work: a fault that shows only under load would otherwise cost a
/// full share of the requests with each return.
#[derive(Clone, Debug)]
pub(crate) struct Standing {
    state: State,
    ejections: u32,
    changed_at_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
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

impl Standing {
    /// Returns the standing of an upstream that is new to this VM.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            state: State::InService,
            ejections: 0,
            changed_at_ms: now_ms,
        }
    }

    /// Returns whether the upstream takes a share of the work.
    pub(crate) fn in_service(&self) -> bool {
        matches!(self.state, State::InService | State::Returning)
    }

    /// Returns the factor by which the upstream's cost is raised while it returns.
    pub(crate) fn cost_factor(&self, now_ms: u64, options: &OutlierOptions) -> f64 {
        if self.state != State::Returning {
            return 1.0;
        }
        let elapsed_ms = now_ms.saturating_sub(self.changed_at_ms) as f64;
        let share = elapsed_ms / options.ramp_ms.max(1) as f64;
        1.0 / share.clamp(FIRST_RAMP_SHARE, 1.0)
    }

    /// Moves on with time.
    pub(crate) fn advance(&mut self, now_ms: u64, options: &OutlierOptions) {
        let elapsed_ms = now_ms.saturating_sub(self.changed_at_ms);
        match self.state {
            State::Ejected { until_ms } if now_ms >= until_ms => {
                self.enter(now_ms, State::Probing(Probing::default()));
            }
            State::Returning if elapsed_ms >= options.ramp_ms => {
                self.enter(now_ms, State::InService);
            }
            State::InService if elapsed_ms >= options.forgive_after_ms => self.ejections = 0,
            _ => {}
        }
    }

    /// Takes the upstream out of service, each time for longer.
    pub(crate) fn eject(&mut self, now_ms: u64, options: &OutlierOptions) {
        let doublings = self.ejections.min(u64::BITS - 1);
        let factor = 1_u64 << doublings;
        let ejection_ms = options.ejection_ms.saturating_mul(factor);
        let until_ms = now_ms + ejection_ms.min(options.max_ejection_ms);
        self.ejections = self.ejections.saturating_add(1);
        self.enter(now_ms, State::Ejected { until_ms });
    }

    /// Returns whether a probe may be sent now.
    pub(crate) fn wants_probe(&self, now_ms: u64, options: &OutlierOptions) -> bool {
        let State::Probing(probing) = self.state else {
            return false;
        };
        let given_up = |sent_at_ms: u64| now_ms >= sent_at_ms + options.probe_timeout_ms;
        now_ms >= probing.next_probe_ms && probing.sent_at_ms.is_none_or(given_up)
    }

    /// Notes that the next probe was handed out, whether or not it will be sent.
    pub(crate) fn probe_offered(&mut self, now_ms: u64, options: &OutlierOptions) {
        if let State::Probing(probing) = &mut self.state {
            probing.next_probe_ms = now_ms + options.probe_interval_ms;
        }
    }

    /// Notes that a request was sent to the upstream.
    pub(crate) fn sent(&mut self, now_ms: u64) {
        if let State::Probing(probing) = &mut self.state {
            probing.sent_at_ms = Some(now_ms);
        }
    }

    /// Notes that a request ended without a word on the upstream.
    pub(crate) fn cancelled(&mut self) {
        if let State::Probing(probing) = &mut self.state {
            probing.sent_at_ms = None;
        }
    }

    /// Notes that a request ended. Returns whether the upstream has just begun to return.
    pub(crate) fn ended(&mut self, now_ms: u64, good: bool, options: &OutlierOptions) -> bool {
        let State::Probing(mut probing) = self.state else {
            return false;
        };
        // An answer to a request from before the ejection is no probe.
        if probing.sent_at_ms.take().is_none() {
            return false;
        }
        if !good {
            self.eject(now_ms, options);
            return false;
        }
        probing.answered += 1;
        let returns = probing.answered >= options.probes_to_return;
        if returns {
            self.enter(now_ms, State::Returning);
        } else {
            self.state = State::Probing(probing);
        }
        returns
    }

    fn enter(&mut self, now_ms: u64, state: State) {
        self.state = state;
        self.changed_at_ms = now_ms;
    }
}
