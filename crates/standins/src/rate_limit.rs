//! Limit on the number of calls within any second.

use std::collections::VecDeque;

const WINDOW_MS: u64 = 1_000;

/// Limit on the number of calls within any interval of one second.
#[derive(Clone, Debug)]
pub struct RateLimit {
    calls_per_s: u32,
    allowed_ms: VecDeque<u64>,
}

impl RateLimit {
    /// Returns a limit of `calls_per_s` calls within any second.
    pub fn new(calls_per_s: u32) -> Self {
        Self {
            calls_per_s,
            allowed_ms: VecDeque::new(),
        }
    }

    /// Returns whether a call at `now_ms` is allowed, and counts it if so.
    pub fn allow(&mut self, now_ms: u64) -> bool {
        while self
            .allowed_ms
            .front()
            .is_some_and(|allowed_ms| allowed_ms + WINDOW_MS <= now_ms)
        {
            self.allowed_ms.pop_front();
        }
        if self.allowed_ms.len() >= self.calls_per_s as usize {
            return false;
        }
        self.allowed_ms.push_back(now_ms);
        true
    }
}
