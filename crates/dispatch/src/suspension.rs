//! Suspension of upstreams that can't be reached.

use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;

/// First suspension of an upstream that refused a connection. An upstream that crashed stays listed
/// for some seconds.
const FIRST_SUSPENSION_MS: u64 = 500;

/// Longest suspension. It doubles with each further refused connection.
const MAX_SUSPENSION_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
struct Suspended {
    until_ms: u64,
    pause_ms: u64,
}

/// Upstreams to which nothing is sent for a while, because they could not be reached.
#[derive(Debug, Default)]
pub(crate) struct Suspensions {
    by_name: HashMap<UpstreamName, Suspended>,
}

impl Suspensions {
    /// Suspends an upstream that refused a connection, for twice as long each time. Several refused
    /// connections within a suspension count as one. Returns whether it was not suspended before.
    pub fn record_unreachable(&mut self, now_ms: u64, name: &UpstreamName) -> bool {
        let known = self.by_name.get(name).copied();
        if known.is_some_and(|known| now_ms < known.until_ms) {
            return false;
        }
        let pause_ms = known.map_or(FIRST_SUSPENSION_MS, |known| {
            (known.pause_ms * 2).min(MAX_SUSPENSION_MS)
        });
        let until_ms = now_ms + pause_ms;
        self.by_name
            .insert(name.clone(), Suspended { until_ms, pause_ms });
        true
    }

    /// Suspends an upstream until a time. Returns whether it was not suspended before.
    pub fn suspend_until(&mut self, now_ms: u64, name: &UpstreamName, until_ms: u64) -> bool {
        let known = self.by_name.get(name).copied();
        let was_suspended = known.is_some_and(|known| now_ms < known.until_ms);
        let suspended = Suspended {
            until_ms: known.map_or(until_ms, |known| known.until_ms.max(until_ms)),
            pause_ms: known.map_or(FIRST_SUSPENSION_MS, |known| known.pause_ms),
        };
        self.by_name.insert(name.clone(), suspended);
        !was_suspended
    }

    /// Drops the state of an upstream that answered or has left the fleet.
    pub fn forget(&mut self, name: &UpstreamName) {
        self.by_name.remove(name);
    }

    /// Returns whether an upstream is suspended now.
    pub fn is_suspended(&self, now_ms: u64, name: &UpstreamName) -> bool {
        self.by_name
            .get(name)
            .is_some_and(|known| now_ms < known.until_ms)
    }
}
