//! When upstreams receive nothing, or less than they have room for: after failures to reach them,
//! and in the rest that they have asked for.
//!
//! A suspension is a guess of this VM, and whatever shows that the upstream is reached lifts it. A
//! rest is the upstream's own statement: only time ends it, or the end of the incarnation. An
//! answer that says less was sent to an earlier request, and a probe shows only that the upstream
//! runs.

use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;

/// First suspension of an upstream that refused a connection. An upstream that crashed stays listed
/// for some seconds.
const FIRST_SUSPENSION_MS: u64 = 500;

/// Longest suspension. It doubles with each further refused connection.
const MAX_SUSPENSION_MS: u64 = 4_000;

/// Longest rest that is believed.
const MAX_REST_MS: u64 = 300_000;

/// Share of a rest by which VMs stay away for longer, each by another time, and the longest such
/// time.
const MAX_SPREAD_SHARE_PERMILLE: u64 = 100;
const MAX_SPREAD_MS: u64 = 500;

/// Time after a request to an upstream that has rested after which another one is sent although no
/// answer has come.
const RETURN_INTERVAL_MS: u64 = 500;

/// Number of requests that may be sent in addition for each that the upstream accepts after its
/// rest.
const SENDS_PER_ACCEPTED: u32 = 2;

/// Number of allowed sends from which an upstream that has rested is used like any other.
const RETURNED_SENDS: u32 = 16;

#[derive(Clone, Copy, Debug)]
struct Suspended {
    until_ms: u64,
    pause_ms: u64,
}

/// Rest that an upstream has asked for, and the requests that it gets after it.
#[derive(Clone, Copy, Debug)]
struct Rest {
    until_ms: u64,
    /// Number of requests that may be sent at once after the rest.
    allowed_sends: u32,
    /// Time from which one more may be sent.
    next_send_ms: u64,
}

impl Rest {
    fn until(until_ms: u64) -> Self {
        Self {
            until_ms,
            allowed_sends: 1,
            next_send_ms: until_ms + RETURN_INTERVAL_MS,
        }
    }

    fn may_send(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms && (self.allowed_sends > 0 || now_ms >= self.next_send_ms)
    }
}

/// Upstreams to which nothing, or only a part of the requests, is sent for a while.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    suspended: HashMap<UpstreamName, Suspended>,
    rests: HashMap<UpstreamName, Rest>,
    spread_permille: u64,
}

impl Availability {
    /// Returns an empty table. VMs with different seeds return to an upstream at different times.
    pub fn new(seed: u64) -> Self {
        Self {
            spread_permille: seed % (MAX_SPREAD_SHARE_PERMILLE + 1),
            ..Self::default()
        }
    }

    /// Suspends an upstream that refused a connection, for twice as long each time. Several refused
    /// connections within a suspension count as one. Returns whether it was not suspended before.
    pub fn record_unreachable(&mut self, now_ms: u64, name: &UpstreamName) -> bool {
        let known = self.suspended.get(name).copied();
        if known.is_some_and(|known| now_ms < known.until_ms) {
            return false;
        }
        let pause_ms = known.map_or(FIRST_SUSPENSION_MS, |known| {
            (known.pause_ms * 2).min(MAX_SUSPENSION_MS)
        });
        let until_ms = now_ms + pause_ms;
        self.suspended
            .insert(name.clone(), Suspended { until_ms, pause_ms });
        true
    }

    /// Suspends an upstream until a time. Returns whether it was not suspended before.
    pub fn suspend_until(&mut self, now_ms: u64, name: &UpstreamName, until_ms: u64) -> bool {
        let known = self.suspended.get(name).copied();
        let was_suspended = known.is_some_and(|known| now_ms < known.until_ms);
        let suspended = Suspended {
            until_ms: known.map_or(until_ms, |known| known.until_ms.max(until_ms)),
            pause_ms: known.map_or(FIRST_SUSPENSION_MS, |known| known.pause_ms),
        };
        self.suspended.insert(name.clone(), suspended);
        !was_suspended
    }

    /// Ends the suspension of an upstream that was reached. A rest goes on.
    pub fn resume(&mut self, name: &UpstreamName) {
        self.suspended.remove(name);
    }

    /// Drops the state of an incarnation that has ended.
    pub fn forget(&mut self, name: &UpstreamName) {
        self.suspended.remove(name);
        self.rests.remove(name);
    }

    /// Returns whether an upstream is suspended now.
    pub fn is_suspended(&self, now_ms: u64, name: &UpstreamName) -> bool {
        self.suspended
            .get(name)
            .is_some_and(|known| now_ms < known.until_ms)
    }

    /// Records that an upstream asks for rest. Of several statements the one that ends last counts.
    /// Returns the end if it is a new one.
    pub fn record_rest(&mut self, now_ms: u64, name: &UpstreamName, rest_ms: u64) -> Option<u64> {
        let rest_ms = rest_ms.min(MAX_REST_MS);
        if rest_ms == 0 {
            return None;
        }
        let spread_ms = (rest_ms * self.spread_permille / 1_000).min(MAX_SPREAD_MS);
        let until_ms = now_ms + rest_ms + spread_ms;
        let known = self.rests.get(name);
        if known.is_some_and(|known| known.until_ms >= until_ms) {
            return None;
        }
        self.rests.insert(name.clone(), Rest::until(until_ms));
        Some(until_ms)
    }

    /// Returns whether an upstream is in the rest that it has asked for.
    pub fn is_resting(&self, now_ms: u64, name: &UpstreamName) -> bool {
        self.rest_end_ms(now_ms, name).is_some()
    }

    /// Returns when the rest of an upstream ends; `None` if it is in none.
    pub fn rest_end_ms(&self, now_ms: u64, name: &UpstreamName) -> Option<u64> {
        let until_ms = self.rests.get(name)?.until_ms;
        (now_ms < until_ms).then_some(until_ms)
    }

    /// Returns whether an upstream may get a request as far as its rest is concerned.
    pub fn may_send(&self, now_ms: u64, name: &UpstreamName) -> bool {
        self.rests
            .get(name)
            .is_none_or(|rest| rest.may_send(now_ms))
    }

    /// Records that a request was sent to an upstream.
    pub fn sent(&mut self, now_ms: u64, name: &UpstreamName) {
        if let Some(rest) = self.rests.get_mut(name) {
            rest.allowed_sends = rest.allowed_sends.saturating_sub(1);
            rest.next_send_ms = now_ms + RETURN_INTERVAL_MS;
        }
    }

    /// Records that an upstream accepted a request that was sent at `sent_ms`. Only one that was
    /// sent after the rest shows that the upstream accepts requests again.
    pub fn accepted(&mut self, name: &UpstreamName, sent_ms: u64) {
        let Some(rest) = self.rests.get_mut(name) else {
            return;
        };
        if sent_ms < rest.until_ms {
            return;
        }
        rest.allowed_sends += SENDS_PER_ACCEPTED;
        if rest.allowed_sends >= RETURNED_SENDS {
            self.rests.remove(name);
        }
    }

    /// Returns when requests may next be sent that may not be sent now; `None` if there is no such
    /// time.
    pub fn next_change_ms(&self, now_ms: u64) -> Option<u64> {
        let times = self.rests.values().filter_map(|rest| match () {
            _ if now_ms < rest.until_ms => Some(rest.until_ms),
            _ if rest.may_send(now_ms) => None,
            _ => Some(rest.next_send_ms),
        });
        times.min()
    }

    /// Returns the number of upstreams that are in a rest.
    pub fn resting(&self, now_ms: u64) -> usize {
        let resting = self.rests.values().filter(|rest| now_ms < rest.until_ms);
        resting.count()
    }
}
