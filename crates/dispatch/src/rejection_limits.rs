//! Limits that upstreams state on how many requests per second they reject for want of room.
//!
//! An upstream with such a limit fails if it has to reject more. All VMs together keep below the
//! limit: each sends such an upstream few requests at once that it has not accepted yet, rests after
//! a rejection, and counts the rejections that other VMs announce.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use apricotdale_core::names::UpstreamName;

use crate::stated_limits::RateLimit;

/// Time over which rejections are counted, as the limit is stated per second.
const WINDOW_MS: u64 = 1_000;

/// Share of the limit that all VMs together use, if each is rejected as often as it may be. The rest
/// is for requests that were under way when the first rejections became known.
const USED_SHARE: f64 = 0.5;

/// Time for which a part of the VMs may send to such an upstream if there are more VMs than it may
/// reject requests. It is longer than a rejection takes to become known.
const TURN_MS: u64 = 20;

/// Bounds of the time for which a VM sends nothing after a rejection.
const MIN_REST_MS: f64 = 150.0;
const MAX_REST_MS: f64 = 3_000.0;

#[derive(Debug)]
struct Limited {
    limit: RateLimit,
    /// When this VM first knew the limit.
    known_since_ms: u64,
    /// When the newest known answer that states the limit arrived.
    stated_ms: u64,
    /// Times of the rejections at any VM, as far as they are known.
    rejected_ms: VecDeque<u64>,
    rest_until_ms: u64,
    /// Requests of this VM that were sent and are neither accepted nor rejected yet.
    unanswered: u32,
}

/// Limits on rejections that upstreams have stated to any VM.
#[derive(Debug, Default)]
pub struct RejectionLimits {
    by_upstream: BTreeMap<UpstreamName, Limited>,
    /// Number of VMs among which the limits are divided.
    vms: u32,
    /// Share of the spread by which this VM rests longer than others after the same rejections.
    phase: f64,
}

impl RejectionLimits {
    /// Returns an empty table for a number of VMs. VMs with different seeds send again at different
    /// times.
    pub fn new(seed: u64, vms: u32) -> Self {
        Self {
            by_upstream: BTreeMap::new(),
            vms,
            phase: (seed % 1_000) as f64 / 1_000.0,
        }
    }

    /// Sets the number of VMs among which the limits are divided.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = vms;
    }

    /// Records an answer to a request that was sent at `sent_ms`. An answer without a limit ends the
    /// stated one if the request was sent after that arrived. Returns whether a limit begins or ends.
    pub fn record_answer(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        upstream: &UpstreamName,
        limit: Option<RateLimit>,
    ) -> bool {
        let Some(limit) = limit.filter(|limit| limit.is_binding()) else {
            let known = self.by_upstream.get(upstream);
            let ends = known.is_some_and(|known| sent_ms >= known.stated_ms);
            return ends && self.by_upstream.remove(upstream).is_some();
        };
        let is_new = !self.by_upstream.contains_key(upstream);
        let known = self
            .by_upstream
            .entry(upstream.clone())
            .or_insert_with(|| Limited {
                limit,
                known_since_ms: now_ms,
                stated_ms: now_ms,
                rejected_ms: VecDeque::new(),
                rest_until_ms: 0,
                unanswered: 0,
            });
        known.limit = limit;
        known.stated_ms = now_ms;
        is_new
    }

    /// Records that an upstream rejected a request of this VM, or one of another VM that announced
    /// it.
    pub fn record_rejection(&mut self, now_ms: u64, upstream: &UpstreamName, is_own: bool) {
        let vms = f64::from(self.vms.max(1));
        let Some(limited) = self.by_upstream.get_mut(upstream) else {
            return;
        };
        limited.rejected_ms.push_back(now_ms);
        let used_per_s = (limited.limit.per_s() * USED_SHARE).max(f64::MIN_POSITIVE);
        let rest_ms = (vms * WINDOW_MS as f64 / used_per_s).clamp(MIN_REST_MS, MAX_REST_MS);
        if is_own {
            limited.rest_until_ms = limited.rest_until_ms.max(now_ms + rest_ms as u64);
        }
        let is_recent = |at_ms: &u64| now_ms.saturating_sub(*at_ms) < WINDOW_MS;
        limited.rejected_ms.retain(is_recent);
        if limited.rejected_ms.len() as f64 >= used_per_s {
            // Nobody sends until fewer rejections count, and then one VM after the other.
            let until_ms = now_ms + WINDOW_MS + (self.phase * rest_ms) as u64;
            limited.rest_until_ms = limited.rest_until_ms.max(until_ms);
        }
    }

    /// Records that a request of this VM was sent to an upstream.
    pub fn sent(&mut self, upstream: &UpstreamName) {
        if let Some(limited) = self.by_upstream.get_mut(upstream) {
            limited.unanswered += 1;
        }
    }

    /// Records that an upstream has accepted or rejected a request of this VM, or that its attempt
    /// ended without either.
    pub fn answered(&mut self, upstream: &UpstreamName) {
        if let Some(limited) = self.by_upstream.get_mut(upstream) {
            limited.unanswered = limited.unanswered.saturating_sub(1);
        }
    }

    /// Returns whether this VM sends an upstream nothing now, because of rejections or because
    /// requests are under way that may be rejected.
    pub fn is_held_back(&self, now_ms: u64, upstream: &UpstreamName) -> bool {
        let vms = f64::from(self.vms.max(1));
        self.by_upstream.get(upstream).is_some_and(|limited| {
            let at_once = (limited.limit.per_s() * USED_SHARE / vms).max(1.0);
            now_ms < limited.rest_until_ms
                || f64::from(limited.unanswered) >= at_once
                || self.turn_ms(now_ms, limited) > now_ms
        })
    }

    /// Returns when this VM has its turn at an upstream, now or later. Otherwise all VMs could send
    /// before the first rejection is known.
    fn turn_ms(&self, now_ms: u64, limited: &Limited) -> u64 {
        let at_once = (limited.limit.per_s() * USED_SHARE).max(1.0);
        let turns = (f64::from(self.vms.max(1)) / at_once).ceil() as u64;
        let own = (self.phase * turns as f64) as u64;
        let turn = now_ms / TURN_MS;
        let wait = (own + turns - turn % turns) % turns;
        match wait {
            0 => now_ms,
            _ => (turn + wait) * TURN_MS,
        }
    }

    /// Returns the limit of an upstream; `None` if it states none.
    pub fn limit(&self, upstream: &UpstreamName) -> Option<RateLimit> {
        self.by_upstream.get(upstream).map(|limited| limited.limit)
    }

    /// Returns the number of upstreams with a limit.
    pub fn count(&self) -> usize {
        self.by_upstream.len()
    }

    /// Returns whether this VM knew the limit of an upstream at a time.
    pub fn was_known(&self, upstream: &UpstreamName, at_ms: u64) -> bool {
        let limited = self.by_upstream.get(upstream);
        limited.is_some_and(|limited| limited.known_since_ms <= at_ms)
    }

    /// Returns when the next rest ends or the next turn begins; `None` if nothing is held back.
    pub fn next_available_ms(&self, now_ms: u64) -> Option<u64> {
        let limited = self.by_upstream.values();
        let times = limited.map(|it| self.turn_ms(now_ms.max(it.rest_until_ms), it));
        times.filter(|at_ms| *at_ms > now_ms).min()
    }

    /// Drops what an upstream has stated that is gone.
    pub fn forget(&mut self, upstream: &UpstreamName) {
        self.by_upstream.remove(upstream);
    }
}
