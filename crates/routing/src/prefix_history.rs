//! Upstreams that have probably cached a prompt prefix.

use std::collections::BTreeMap;
use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;

/// Upstreams that are remembered per prefix. A prefix that is requested often spreads over as many,
/// among which its requests are then balanced like any others.
const UPSTREAMS_PER_PREFIX: usize = 16;

/// Upstreams to which this VM has sent each prompt prefix, for a bounded number of prefixes. It
/// does not depend on the engines' cache events, which arrive late and incompletely.
#[derive(Debug)]
pub(crate) struct PrefixHistory {
    max_prefixes: usize,
    ttl_ms: u64,
    by_prefix: HashMap<u64, PrefixEntry>,
    by_age: BTreeMap<u64, u64>,
    next_age: u64,
}

#[derive(Debug, Default)]
struct PrefixEntry {
    age: Option<u64>,
    sent: Vec<Sent>,
}

#[derive(Debug)]
struct Sent {
    upstream: UpstreamName,
    at_ms: u64,
}

impl PrefixHistory {
    /// Returns an empty history of up to `max_prefixes` prefixes.
    pub(crate) fn new(max_prefixes: usize, ttl_ms: u64) -> Self {
        Self {
            max_prefixes,
            ttl_ms,
            by_prefix: HashMap::new(),
            by_age: BTreeMap::new(),
            next_age: 0,
        }
    }

    /// Records that a request with the prefix was sent to an upstream.
    pub(crate) fn sent(&mut self, now_ms: u64, prefix_hash: u64, upstream: UpstreamName) {
        let age = self.next_age;
        self.next_age += 1;
        let entry = self.by_prefix.entry(prefix_hash).or_default();
        if let Some(previous) = entry.age.replace(age) {
            self.by_age.remove(&previous);
        }
        self.by_age.insert(age, prefix_hash);
        entry.sent(now_ms, upstream);
        if self.by_prefix.len() <= self.max_prefixes {
            return;
        }
        if let Some((_, oldest)) = self.by_age.pop_first() {
            self.by_prefix.remove(&oldest);
        }
    }

    /// Returns the upstreams to which the prefix was sent so recently that they probably still
    /// cache it.
    pub(crate) fn recent_upstreams(
        &self,
        now_ms: u64,
        prefix_hash: u64,
    ) -> impl Iterator<Item = &UpstreamName> {
        let entry = self.by_prefix.get(&prefix_hash);
        let sent = entry.into_iter().flat_map(|entry| &entry.sent);
        sent.filter(move |sent| now_ms.saturating_sub(sent.at_ms) < self.ttl_ms)
            .map(|sent| &sent.upstream)
    }
}

impl PrefixEntry {
    fn sent(&mut self, now_ms: u64, upstream: UpstreamName) {
        self.sent.retain(|sent| sent.upstream != upstream);
        if self.sent.len() >= UPSTREAMS_PER_PREFIX {
            self.sent.remove(0);
        }
        self.sent.push(Sent {
            upstream,
            at_ms: now_ms,
        });
    }
}
