//! Upstreams that can't be reached.

use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;

/// The first time for which an upstream that refused a connection gets no requests. An upstream
/// that crashed stays on the list for some seconds.
const FIRST_MS: u64 = 500;

/// The longest such time. It doubles with each further refusal.
const LONGEST_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
struct Suspended {
    until_ms: u64,
    pause_ms: u64,
}

/// `Suspensions` are the upstreams that refused a connection lately.
#[derive(Debug, Default)]
pub(crate) struct Suspensions {
    by_name: HashMap<UpstreamName, Suspended>,
}

impl Suspensions {
    /// Notes that an upstream could not be reached. Several refusals at once count as one.
    pub fn note_unreachable(&mut self, now_ms: u64, name: &UpstreamName) -> bool {
        let known = self.by_name.get(name).copied();
        if known.is_some_and(|known| now_ms < known.until_ms) {
            return false;
        }
        let pause_ms = known.map_or(FIRST_MS, |known| (known.pause_ms * 2).min(LONGEST_MS));
        let until_ms = now_ms + pause_ms;
        self.by_name
            .insert(name.clone(), Suspended { until_ms, pause_ms });
        true
    }

    /// Holds an upstream back until a time. Returns whether it was not held back before.
    pub fn hold_until(&mut self, now_ms: u64, name: &UpstreamName, until_ms: u64) -> bool {
        let known = self.by_name.get(name).copied();
        let held = known.is_some_and(|known| now_ms < known.until_ms);
        let suspended = Suspended {
            until_ms: known.map_or(until_ms, |known| known.until_ms.max(until_ms)),
            pause_ms: known.map_or(FIRST_MS, |known| known.pause_ms),
        };
        self.by_name.insert(name.clone(), suspended);
        !held
    }

    /// Notes that an upstream answered, or that it is gone.
    pub fn forget(&mut self, name: &UpstreamName) {
        self.by_name.remove(name);
    }

    /// Returns whether an upstream gets no requests now.
    pub fn holds(&self, now_ms: u64, name: &UpstreamName) -> bool {
        self.by_name
            .get(name)
            .is_some_and(|known| now_ms < known.until_ms)
    }
}
