//! This VM's own requests in flight at one upstream, now and at a past moment.

use std::collections::VecDeque;

/// The width of the steps in which past moments are told apart.
const STEP_MS: u64 = 50;

/// `InFlight` counts the requests that this VM has in flight at one upstream and remembers how the
/// count changed, so that a report about the past can be corrected.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    now: u32,
    changes: VecDeque<Change>,
}

#[derive(Debug)]
struct Change {
    step_ms: u64,
    difference: i64,
}

impl InFlight {
    /// Returns the requests in flight now.
    pub(crate) fn now(&self) -> u32 {
        self.now
    }

    /// Notes that a request was sent.
    pub(crate) fn sent(&mut self, now_ms: u64, horizon_ms: u64) {
        self.now = self.now.saturating_add(1);
        self.change(now_ms, 1, horizon_ms);
    }

    /// Notes that a request ended.
    pub(crate) fn ended(&mut self, now_ms: u64, horizon_ms: u64) {
        if self.now == 0 {
            return;
        }
        self.now -= 1;
        self.change(now_ms, -1, horizon_ms);
    }

    /// Returns by how much the count has grown since a past moment.
    pub(crate) fn growth_since(&self, then_ms: u64) -> i64 {
        let since = self.changes.iter().rev();
        since
            .take_while(|change| change.step_ms > then_ms)
            .map(|change| change.difference)
            .sum()
    }

    fn change(&mut self, now_ms: u64, difference: i64, horizon_ms: u64) {
        // A step carries the time of its end, so a change counts as later than the report when
        // both fall into one step. Counting a request twice for a moment only makes the upstream
        // look busier; not counting it at all would draw all VMs to it.
        let step_ms = (now_ms / STEP_MS + 1) * STEP_MS;
        match self.changes.back_mut() {
            Some(last) if last.step_ms >= step_ms => last.difference += difference,
            _ => self.changes.push_back(Change {
                step_ms,
                difference,
            }),
        }
        let oldest_ms = now_ms.saturating_sub(horizon_ms);
        while self
            .changes
            .front()
            .is_some_and(|change| change.step_ms < oldest_ms)
        {
            self.changes.pop_front();
        }
    }
}
