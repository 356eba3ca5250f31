//! Limits on callers' connections, across changes of the configuration.

use crate::CallerLimits;

/// Use of a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerPhase {
    /// No byte of a request has arrived, and no byte of an answer has yet to be written.
    Idle,
    /// Part of a request's head has arrived.
    Head,
    /// The head of a request has arrived, and part of its body has not.
    Body,
    /// A request is being answered.
    Answering,
    /// The final answer to a request has not been written completely.
    Writing,
}

/// What is due on a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerDue {
    /// Nothing yet.
    Nothing,
    /// Closing it without an answer. No part of a request has been read, or the caller does not take
    /// the answer.
    Close,
    /// Refusing the request that does not arrive in time.
    Refuse,
}

/// Keeps the time of the last event on a caller's connection, and the limits that it began under.
/// Limits that a change lowers apply to what begins after it.
#[derive(Clone, Debug)]
pub struct CallerTimes {
    /// Limits that were in force when the last request began to arrive, or the connection opened.
    limits: CallerLimits,
    /// Whether no byte of the next request has arrived.
    awaits_request: bool,
    /// When the last bytes of an answer were written, the last answer ended, or the request that is
    /// arriving began.
    since_ms: u64,
}

impl CallerTimes {
    /// Returns the times of a connection that opens under the limits in force.
    pub fn new(now_ms: u64, in_force: &CallerLimits) -> Self {
        Self {
            limits: *in_force,
            awaits_request: true,
            since_ms: now_ms,
        }
    }

    /// Returns the limits on the request that is arriving or being answered.
    pub fn limits(&self, in_force: &CallerLimits) -> CallerLimits {
        self.limits.loosened_by(in_force)
    }

    /// Records that bytes of a request have arrived. `is_writing` tells whether an earlier answer
    /// has not been written completely.
    pub fn received(&mut self, now_ms: u64, in_force: &CallerLimits, is_writing: bool) {
        if !self.awaits_request {
            return;
        }
        self.awaits_request = false;
        match is_writing {
            true => self.limits = self.limits.loosened_by(in_force),
            false => {
                self.limits = *in_force;
                self.since_ms = now_ms;
            }
        }
    }

    /// Records that bytes of an answer have been written.
    pub fn wrote(&mut self, now_ms: u64) {
        self.since_ms = now_ms;
    }

    /// Records that a request has its final answer, of which bytes may have yet to be written.
    pub fn answered(&mut self, now_ms: u64) {
        self.since_ms = now_ms;
        self.awaits_request = true;
    }

    /// Returns what is due. `closes_idle` tells whether idle connections are closed because of a
    /// planned stop.
    pub fn due(
        &self,
        now_ms: u64,
        phase: CallerPhase,
        in_force: &CallerLimits,
        closes_idle: bool,
    ) -> CallerDue {
        let limits = self.limits(in_force);
        let (timeout_ms, due) = match phase {
            CallerPhase::Answering => return CallerDue::Nothing,
            CallerPhase::Idle if closes_idle => return CallerDue::Close,
            CallerPhase::Idle | CallerPhase::Writing => (limits.idle_timeout_ms, CallerDue::Close),
            CallerPhase::Head => (limits.head_timeout_ms, CallerDue::Refuse),
            CallerPhase::Body => (
                limits
                    .head_timeout_ms
                    .saturating_add(limits.idle_timeout_ms),
                CallerDue::Refuse,
            ),
        };
        match now_ms.saturating_sub(self.since_ms) > timeout_ms {
            true => due,
            false => CallerDue::Nothing,
        }
    }
}
