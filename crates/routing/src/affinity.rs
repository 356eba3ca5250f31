//! Which upstream has probably cached a prompt prefix.

use std::collections::BTreeMap;
use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;

/// `PrefixMemory` remembers where this VM last sent each prompt prefix, within a fixed number of
/// prefixes.
#[derive(Debug)]
pub(crate) struct PrefixMemory {
    entries: usize,
    ttl_ms: u64,
    by_prefix: HashMap<u64, Sent>,
    by_age: BTreeMap<u64, u64>,
    next_age: u64,
}

#[derive(Debug)]
struct Sent {
    upstream: UpstreamName,
    at_ms: u64,
    age: u64,
}

impl PrefixMemory {
    /// Returns an empty memory.
    pub(crate) fn new(entries: usize, ttl_ms: u64) -> Self {
        Self {
            entries,
            ttl_ms,
            by_prefix: HashMap::new(),
            by_age: BTreeMap::new(),
            next_age: 0,
        }
    }

    /// Notes that a request with the prefix was sent to an upstream.
    pub(crate) fn sent(&mut self, now_ms: u64, prefix_hash: u64, upstream: UpstreamName) {
        let sent = Sent {
            upstream,
            at_ms: now_ms,
            age: self.next_age,
        };
        self.by_age.insert(self.next_age, prefix_hash);
        self.next_age += 1;
        if let Some(before) = self.by_prefix.insert(prefix_hash, sent) {
            self.by_age.remove(&before.age);
        }
        if self.by_prefix.len() <= self.entries {
            return;
        }
        if let Some((_, oldest)) = self.by_age.pop_first() {
            self.by_prefix.remove(&oldest);
        }
    }

    /// Returns where the prefix was last sent, if that is recent enough for it to be cached still.
    pub(crate) fn last(&self, now_ms: u64, prefix_hash: u64) -> Option<&UpstreamName> {
        let sent = self.by_prefix.get(&prefix_hash)?;
        let recent = now_ms.saturating_sub(sent.at_ms) < self.ttl_ms;
        recent.then_some(&sent.upstream)
    }
}
