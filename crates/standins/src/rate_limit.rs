//! A limit on the number of calls in any second.

use std::collections::VecDeque;

const WINDOW_MS: u64 = 1_000;

/// `RateLimit` allows so many calls within any second and no more.
#[derive(Clone, Debug)]
pub struct RateLimit {
    calls_per_s: u32,
    allowed_ms: VecDeque<u64>,
}

impl RateLimit {
    /// Returns a limit of `calls_per_s` calls in any second.
    pub fn new(calls_per_s: u32) -> Self {
        Self {
            calls_per_s,
            allowed_ms: VecDeque::new(),
        }
    }

    /// Returns whether a call is allowed now, and if so counts it.
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
