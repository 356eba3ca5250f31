//! Number of this VM's requests in flight at one upstream, now and in the recent past.

use std::collections::VecDeque;

/// Time resolution of past counts.
const STEP_MS: u64 = 50;

/// Counts this VM's requests in flight at one upstream, and keeps the recent changes of the count,
/// so that this VM's part of a delayed report can be computed.
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
    /// Returns the number of requests in flight now.
    pub(crate) fn now(&self) -> u32 {
        self.now
    }

    /// Returns the number of requests that were in flight at a past time, to the nearest step and
    /// within the horizon.
    pub(crate) fn at(&self, then_ms: u64) -> u32 {
        let then = then_ms / STEP_MS;
        let since = self.changes.iter().rev();
        let growth: i64 = since
            .take_while(|change| change.step > then)
            .map(|change| change.difference)
            .sum();
        (i64::from(self.now) - growth).max(0) as u32
    }

    /// Records that a request was sent. Changes older than `horizon_ms` are removed.
    pub(crate) fn sent(&mut self, now_ms: u64, horizon_ms: u64) {
        self.now = self.now.saturating_add(1);
        self.change(now_ms, 1, horizon_ms);
    }

    /// Records that a request ended. Returns `false` if none was in flight.
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
