//! Values whose changes are published with a lag.

use std::collections::VecDeque;

/// Value that is published as it was a fixed time ago.
#[derive(Clone, Debug)]
pub struct Lagged<T> {
    lag_ms: u64,
    history: VecDeque<(u64, T)>,
}

impl<T: Clone> Lagged<T> {
    /// Returns a value with the given lag in milliseconds, which has always been `initial`.
    pub fn new(lag_ms: u64, initial: T) -> Self {
        Self {
            lag_ms,
            history: VecDeque::from([(0, initial)]),
        }
    }

    /// Returns the lag in milliseconds.
    pub fn lag_ms(&self) -> u64 {
        self.lag_ms
    }

    /// Records the value that holds from `now_ms` on.
    pub fn record(&mut self, now_ms: u64, value: T) {
        self.history.push_back((now_ms, value));
        self.drop_expired(now_ms);
    }

    /// Returns the newest value, which may not be published yet.
    pub fn newest(&self) -> &T {
        let (_, value) = self.history.back().expect("the history is never empty");
        value
    }

    /// Returns the value as it was one lag before `now_ms`.
    pub fn published(&mut self, now_ms: u64) -> &T {
        self.drop_expired(now_ms);
        let (_, value) = self.history.front().expect("the history is never empty");
        value
    }

    /// Drops the values that were replaced at least one lag ago, so that the front is published.
    fn drop_expired(&mut self, now_ms: u64) {
        while self
            .history
            .get(1)
            .is_some_and(|(since_ms, _)| since_ms.saturating_add(self.lag_ms) <= now_ms)
        {
            self.history.pop_front();
        }
    }
}
