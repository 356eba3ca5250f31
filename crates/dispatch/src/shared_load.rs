//! Requests of all VMs at a busy upstream, and this VM's share of the room there.

use apricotdale_core::names::UpstreamName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Age from which an announcement is ignored. The lease holder repeats it every 400 ms.
const ANNOUNCEMENT_TTL_MS: u64 = 1_500;

/// Share of an engine's slots that become free until the next announcement. Requests take about as long
/// as the time between two announcements.
const FREED_SHARE: f64 = 1.0;

/// Share of an engine's slots up to which requests that are late already are sent there. Beyond it, they
/// would delay requests that can still be answered in time.
const LATE_FILL: f64 = 0.75;

/// Load of a busy upstream, as the lease holder has announced it to all VMs.
///
/// All VMs see the same announcement. If each of them filled the room that it shows, the upstream would
/// get as many times too many requests, so each VM sends only its share until the next one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedLoad {
    /// Whether the upstream was announced as busy.
    is_busy: bool,
    requests: u32,
    slots: u32,
    at_ms: u64,
    /// Number of requests that this VM may send until the next announcement.
    allowance: u32,
    sent: u32,
}

/// What an announcement tells about an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Announcement<'a> {
    pub upstream: &'a UpstreamName,
    /// Requests of all VMs in progress there; none if it is less than half full.
    pub requests: Option<u32>,
    pub slots: u32,
    /// Number of VMs that share the room.
    pub vms: u32,
}

impl SharedLoad {
    /// Returns the load of an announcement. VMs with different seeds round their shares differently, so
    /// that all of them together send as much as there is room for.
    pub fn new(now_ms: u64, seed: u64, it: &Announcement<'_>) -> Self {
        let slots = f64::from(it.slots.max(1));
        let requests = it.requests.unwrap_or(it.slots / 2);
        let room = (slots * (1.0 + FREED_SHARE) - f64::from(requests)).max(0.0);
        let share = room / f64::from(it.vms.max(1));
        let draw = xxh3_64_with_seed(it.upstream.as_str().as_bytes(), seed ^ now_ms);
        let is_rounded_up = (draw % 1_000) as f64 / 1_000.0 < share.fract();
        Self {
            is_busy: it.requests.is_some(),
            requests,
            slots: it.slots.max(1),
            at_ms: now_ms,
            allowance: share as u32 + u32::from(is_rounded_up),
            sent: 0,
        }
    }

    /// Returns whether the upstream was announced as busy.
    pub fn is_busy(&self) -> bool {
        self.is_busy
    }

    /// Records a request that this VM has sent there.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Records a request of this VM that has ended there. It leaves its slot to this VM.
    pub fn record_ended(&mut self) {
        if self.requests <= self.slots {
            self.allowance = self.allowance.saturating_add(1);
        }
    }

    /// Returns whether this VM may send a request there; `None` if the announcement is too old.
    pub fn may_send(&self, now_ms: u64, is_late: bool) -> Option<bool> {
        if now_ms.saturating_sub(self.at_ms) >= ANNOUNCEMENT_TTL_MS {
            return None;
        }
        let has_room = !is_late || f64::from(self.requests) < f64::from(self.slots) * LATE_FILL;
        Some(has_room && self.sent < self.allowance)
    }
}
