//! State of the direct path from this VM to one upstream.

use crate::options::Options;

/// Way in which a direct path failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PathFailure {
    /// A new connection was refused.
    Refused,
    /// A new connection was reset before an answer. An upstream that accepts no more connections
    /// does that too.
    Reset,
    /// A new connection was not established in time.
    NotEstablished,
    /// An upstream sent nothing, neither on open connections nor to a probe.
    Silent,
}

impl PathFailure {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::NotEstablished => "not_established",
            Self::Silent => "silent",
        }
    }
}

/// Direct path that does not work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lost {
    pub since_ms: u64,
    pub failure: PathFailure,
    /// Whether another VM relays connections to the upstream.
    pub is_relayed: bool,
}

/// Direct path to one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DirectPath {
    pub lost: Option<Lost>,
    /// When bytes last came over it.
    pub received_ms: Option<u64>,
    /// When the first bytes last came on a new connection.
    pub opened_ms: Option<u64>,
    pub probe_in_progress: bool,
    /// Time at which a probe is wanted.
    pub probe_wanted_ms: Option<u64>,
    /// Time of the last probe's begin.
    pub probed_ms: Option<u64>,
    /// Pause until a path that has failed again after its return is probed.
    pub unsteady_pause_ms: u64,
    pub restored_ms: Option<u64>,
    /// Time before which other VMs' questions start no probe, and the pause that led to it.
    pub asked_probe_from_ms: u64,
    pub asked_probe_pause_ms: u64,
}

impl DirectPath {
    /// Returns whether bytes came recently enough to prove that the path works.
    pub fn is_fresh(&self, now_ms: u64, options: &Options) -> bool {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) <= options.fresh_ms;
        self.lost.is_none() && self.received_ms.is_some_and(is_recent)
    }

    /// Loses the path. Returns whether it was open before.
    pub fn lose(&mut self, now_ms: u64, failure: PathFailure, options: &Options) -> bool {
        if let Some(lost) = &mut self.lost {
            lost.failure = failure;
            return false;
        }
        let is_steady = |at_ms: u64| now_ms.saturating_sub(at_ms) > options.steady_ms;
        self.unsteady_pause_ms = match self.restored_ms {
            Some(at_ms) if !is_steady(at_ms) => {
                let doubled_ms = 2 * self.unsteady_pause_ms.max(options.probe_interval_ms);
                doubled_ms.min(options.max_probe_pause_ms)
            }
            _ => 0,
        };
        self.lost = Some(Lost {
            since_ms: now_ms,
            failure,
            is_relayed: false,
        });
        true
    }

    /// Restores the path. Returns whether it was lost.
    pub fn restore(&mut self, now_ms: u64) -> bool {
        let was_lost = self.lost.take().is_some();
        if was_lost {
            self.restored_ms = Some(now_ms);
        }
        was_lost
    }

    pub fn is_relayed(&self) -> bool {
        self.lost.is_some_and(|lost| lost.is_relayed)
    }

    /// Requests a probe at a time, or sooner if one is requested for a sooner time already.
    pub fn want_probe(&mut self, at_ms: u64) {
        if !self.probe_in_progress {
            let wanted_ms = self
                .probe_wanted_ms
                .map_or(at_ms, |wanted| wanted.min(at_ms));
            self.probe_wanted_ms = Some(wanted_ms);
        }
    }

    /// Returns when a lost path may be probed again.
    pub fn next_probe_ms(&self, options: &Options) -> u64 {
        let pause_ms = self.unsteady_pause_ms.max(options.probe_interval_ms);
        self.probed_ms.map_or(0, |at_ms| at_ms + pause_ms)
    }
}
