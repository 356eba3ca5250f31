//! Deadline of a request, and what a change of its route's time-out does to it.

/// Time before the end of a request's time at which it gets its final answer, so that the answer
/// arrives in time.
const ANSWER_MARGIN_MS: u64 = 30;

/// Minimum time that an upstream is given if the caller states none.
const MIN_UNSTATED_WAIT_MS: u64 = 60_000;

/// Deadline of one request.
///
/// A request may take as long as its caller waits and as its route allows. The route's time-out is
/// a promise of the operators in both directions: a request that has been promised a time keeps
/// it, and a longer time-out reaches the requests in progress too, because callers and operators
/// can't tell whether a request arrived before or after the change took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline {
    arrived_ms: u64,
    caller_timeout_ms: Option<u64>,
    /// Longest time-out that the route has had since the arrival.
    route_timeout_ms: u64,
}

impl Deadline {
    /// Returns the deadline of a request that arrives now. `caller_timeout_ms` is the time that its
    /// caller states to wait; `None` if it states none.
    pub fn new(arrived_ms: u64, caller_timeout_ms: Option<u64>, route_timeout_ms: u64) -> Self {
        Self {
            arrived_ms,
            caller_timeout_ms,
            route_timeout_ms,
        }
    }

    /// Returns the time in milliseconds by which the request gets its final answer.
    pub fn answer_by_ms(&self) -> u64 {
        let caller_timeout_ms = self.caller_timeout_ms.unwrap_or(u64::MAX);
        let timeout_ms = caller_timeout_ms.min(self.route_timeout_ms);
        self.arrived_ms
            .saturating_add(timeout_ms.saturating_sub(ANSWER_MARGIN_MS))
    }

    /// Applies the time-out that the route has now. A longer one counts from the arrival; a shorter
    /// one leaves the request the time that it was promised.
    pub fn apply_route_timeout(&mut self, route_timeout_ms: u64) {
        self.route_timeout_ms = self.route_timeout_ms.max(route_timeout_ms);
    }

    /// Returns the time in milliseconds that an upstream is given for the request from now on: all
    /// the time for which the caller waits. An upstream stops by itself when its time is over, so
    /// that a longer time-out of the route could not reach a request that is in progress there. At
    /// the deadline this VM closes the connection, which ends the upstream's work.
    pub fn upstream_left_ms(&self, now_ms: u64) -> u64 {
        let unstated_wait_ms = self.route_timeout_ms.max(MIN_UNSTATED_WAIT_MS);
        let wait_ms = self.caller_timeout_ms.unwrap_or(unstated_wait_ms);
        self.arrived_ms
            .saturating_add(wait_ms)
            .saturating_sub(now_ms)
    }
}
