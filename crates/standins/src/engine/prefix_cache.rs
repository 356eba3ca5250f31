//! Prompt prefixes that the engine has cached, and the events that report changes of the cache.

use std::collections::VecDeque;

use apricotdale_core::engine::CacheEvent;
use apricotdale_core::names::ModelName;

/// Maximum number of events that are kept for readers.
const MAX_KEPT_EVENTS: usize = 4_096;

/// Cache of a limited number of prompt prefixes, which evicts the least recently used one. Events
/// report its changes with a lag and with gaps.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    limit: usize,
    lag_ms: u64,
    gap_every: u64,
    held: Vec<(ModelName, u64)>,
    sequence: u64,
    events: VecDeque<(u64, CacheEvent)>,
}

impl PrefixCache {
    /// Returns an empty cache of `limit` prefixes, whose events are published `lag_ms`
    /// milliseconds late. Every `gap_every`th event is lost, none for 0.
    pub fn new(limit: usize, lag_ms: u64, gap_every: u64) -> Self {
        Self {
            limit,
            lag_ms,
            gap_every,
            held: Vec::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Records the use of a prefix: returns whether it was cached, and caches it if it was not.
    pub fn touch(&mut self, now_ms: u64, model: &ModelName, prefix_hash: u64) -> bool {
        let prefix = (model.clone(), prefix_hash);
        let position = self.held.iter().position(|held| *held == prefix);
        if let Some(position) = position {
            let prefix = self.held.remove(position);
            self.held.push(prefix);
            return true;
        }
        if self.limit == 0 {
            return false;
        }
        if self.held.len() >= self.limit {
            let (_, dropped) = self.held.remove(0);
            self.record(now_ms, dropped, false);
        }
        self.held.push(prefix);
        self.record(now_ms, prefix_hash, true);
        false
    }

    /// Returns the events after a sequence number that are published by `now_ms` and not lost.
    pub fn events(&self, now_ms: u64, after: u64) -> Vec<CacheEvent> {
        let published = self.events.iter().filter(|(since_ms, event)| {
            event.sequence > after && since_ms.saturating_add(self.lag_ms) <= now_ms
        });
        published.map(|(_, event)| event.clone()).collect()
    }

    /// Removes all prefixes and events, as a restart of the engine process does.
    pub fn clear(&mut self) {
        self.held.clear();
        self.events.clear();
        self.sequence = 0;
    }

    fn record(&mut self, now_ms: u64, prefix_hash: u64, cached: bool) {
        self.sequence += 1;
        let lost = self.gap_every > 0 && self.sequence.is_multiple_of(self.gap_every);
        if lost {
            return;
        }
        if self.events.len() >= MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix_hash,
            cached,
        };
        self.events.push_back((now_ms, event));
    }
}
