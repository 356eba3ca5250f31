//! This VM's own requests in flight at one upstream, now and at a past moment.

use std::collections::VecDeque;

/// The width of the steps in which past moments are told apart.
const STEP_MS: u64 = 50;

/// `InFlight` counts the requests that this VM has in flight at one upstream and remembers how the
/// count changed, so that its own part of a report about the past can be told.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    now: u32,
    changes: VecDeque<Change>,
}

#[derive(Debug)]
struct Change {
    step: u64,
    difference: i64,
}

impl InFlight {
    /// Returns the requests in flight now.
    pub(crate) fn now(&self) -> u32 {
        self.now
    }

    /// Returns the requests that were in flight at a past moment, within the horizon and to the
    /// nearest step.
    pub(crate) fn at(&self, then_ms: u64) -> u32 {
        let then = then_ms / STEP_MS;
        let since = self.changes.iter().rev();
        let grown: i64 = since
            .take_while(|change| change.step > then)
            .map(|change| change.difference)
            .sum();
        (i64::from(self.now) - grown).max(0) as u32
    }

    /// Notes that a request was sent.
    pub(crate) fn sent(&mut self, now_ms: u64, horizon_ms: u64) {
        self.now = self.now.saturating_add(1);
        self.change(now_ms, 1, horizon_ms);
    }

    /// Notes that a request ended. Returns whether it was known.
    pub(crate) fn ended(&mut self, now_ms: u64, horizon_ms: u64) -> bool {
        if self.now == 0 {
            return false;
        }
        self.now -= 1;
        self.change(now_ms, -1, horizon_ms);
        true
    }

    fn change(&mut self, now_ms: u64, difference: i64, horizon_ms: u64) {
        let step = now_ms / STEP_MS;
        match self.changes.back_mut() {
            Some(last) if last.step >= step => last.difference += difference,
            _ => self.changes.push_back(Change { step, difference }),
        }
        let oldest = now_ms.saturating_sub(horizon_ms) / STEP_MS;
        while self
            .changes
            .front()
            .is_some_and(|change| change.step < oldest)
        {
            self.changes.pop_front();
        }
    }
}
