//! Rate limits that upstreams state in their answers.

use std::collections::BTreeMap;

use apricotdale_core::names::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::statements::Statements;

/// Rate from which a stated limit is ignored.
const MAX_BINDING_PER_S: f64 = 100_000.0;

/// Time since the last known answer of a limited upstream after which a VM sends it a request even if
/// others are free. An upstream that gets no requests can't state that its limit has ended.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Time over which the VMs spread these requests.
const CHECK_SPREAD_MS: u64 = 1_000;

/// Maximum time for which no permit is requested after one was denied. It is shorter than the time in
/// which the permits that accrue meanwhile would be lost.
const MAX_USED_UP_MS: u64 = 500;

/// Number of requests per second that an upstream takes from all VMs together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    milli_per_s: u64,
}

impl RateLimit {
    /// Returns the limit of a rate; `None` if the rate is not a finite number of at least 0.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        is_valid.then_some(Self {
            milli_per_s: (per_s * 1_000.0) as u64,
        })
    }

    /// Returns the requests per second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / 1_000.0
    }

    /// Returns whether the limit is low enough to bind anybody.
    pub fn is_binding(self) -> bool {
        self.per_s() < MAX_BINDING_PER_S
    }
}

/// What an upstream last stated, as one VM announces it to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedLimit {
    /// Incarnation of the upstream.
    pub upstream: UpstreamName,
    /// Stated limit; `None` if the upstream no longer states one.
    pub limit: Option<RateLimit>,
    /// Time in milliseconds since the answer that stated it arrived.
    pub age_ms: u64,
}

/// How an answer or an announcement changed the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit is the same as before.
    None,
    /// The upstream states a limit, or another one than before.
    Stated(RateLimit),
    /// The upstream no longer states a limit.
    Ended,
}

/// Permits of a limited upstream that are used up.
#[derive(Clone, Copy, Debug)]
struct UsedUp {
    /// Time until which no permit is requested, and the time after which callers may retry.
    until_ms: u64,
    retry_after_ms: u64,
}

/// Limits that upstreams have stated to any VM.
///
/// A limit belongs to one incarnation of an upstream. It is in force until the upstream answers
/// without stating one, or is removed.
#[derive(Debug, Default)]
pub struct StatedLimits {
    statements: Statements,
    used_up: BTreeMap<UpstreamName, UsedUp>,
    check_phase_ms: u64,
}

impl StatedLimits {
    /// Returns an empty table. VMs with different seeds send their checks at different times.
    pub fn new(seed: u64) -> Self {
        Self {
            statements: Statements::default(),
            used_up: BTreeMap::new(),
            check_phase_ms: seed % CHECK_SPREAD_MS,
        }
    }

    /// Records an upstream's answer to a request that was sent at `sent_ms`. An answer without a
    /// limit ends the stated one only if the request was sent after that arrived: answers on
    /// different connections overtake each other.
    pub fn record_answer(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        upstream: &UpstreamName,
        limit: Option<RateLimit>,
    ) -> LimitChange {
        let limit = limit.filter(|limit| limit.is_binding());
        self.statements
            .record_answer(now_ms, sent_ms, upstream, limit)
    }

    /// Applies what another VM has announced, unless something newer is known.
    pub fn apply(&mut self, now_ms: u64, announced: &StatedLimit) -> LimitChange {
        let is_news = self.statements.is_known(&announced.upstream) || announced.limit.is_some();
        match is_news {
            true => self.statements.apply(now_ms, announced),
            false => LimitChange::None,
        }
    }

    /// Drops what an upstream has stated that is gone.
    pub fn forget(&mut self, upstream: &UpstreamName) {
        self.statements.forget(upstream);
        self.used_up.remove(upstream);
    }

    /// Returns the limit of an upstream; `None` if it states none.
    pub fn limit(&self, upstream: &UpstreamName) -> Option<RateLimit> {
        self.statements.limit(upstream)
    }

    /// Returns whether any upstream states a limit.
    pub fn is_any(&self) -> bool {
        self.limits().next().is_some()
    }

    /// Returns the upstreams that state a limit.
    pub fn limits(&self) -> impl Iterator<Item = (&UpstreamName, RateLimit)> {
        self.statements.limits()
    }

    /// Records that a permit for an upstream was denied. `retry_after_ms` is the time after which
    /// enough permits have accrued.
    pub fn record_denial(&mut self, now_ms: u64, upstream: &UpstreamName, retry_after_ms: u64) {
        if self.statements.is_known(upstream) {
            let used_up = UsedUp {
                until_ms: now_ms + retry_after_ms.min(MAX_USED_UP_MS),
                retry_after_ms,
            };
            self.used_up.insert(upstream.clone(), used_up);
        }
    }

    /// Returns whether permits for an upstream are used up now.
    pub fn is_used_up(&self, now_ms: u64, upstream: &UpstreamName) -> bool {
        let used_up = self.used_up.get(upstream);
        used_up.is_some_and(|it| now_ms < it.until_ms) && self.limit(upstream).is_some()
    }

    /// Returns when permits for an upstream that is used up may next be requested; `None` if there is
    /// no such upstream.
    pub fn next_available_ms(&self, now_ms: u64) -> Option<u64> {
        let used_up = self.used_up.iter();
        let used_up = used_up.filter(|(upstream, _)| self.is_used_up(now_ms, upstream));
        used_up.map(|(_, it)| it.until_ms).min()
    }

    /// Returns the time after which callers of an upstream may retry.
    pub fn retry_after_ms(&self, upstream: &UpstreamName) -> u64 {
        let used_up = self.used_up.get(upstream);
        used_up.map_or(0, |it| it.retry_after_ms)
    }

    /// Returns whether a limited upstream has not answered for so long that a request should find
    /// out whether it still states its limit.
    pub fn is_check_due(&self, now_ms: u64, upstream: &UpstreamName) -> bool {
        let due_ms = CHECK_INTERVAL_MS + self.check_phase_ms;
        let answered_ms = self.statements.answered_ms(upstream);
        self.limit(upstream).is_some()
            && answered_ms.is_some_and(|answered_ms| answered_ms + due_ms <= now_ms)
    }

    /// Returns whether the other VMs have yet to receive a change.
    pub fn has_unannounced(&self) -> bool {
        self.statements.has_unannounced()
    }

    /// Returns the changes that the other VMs have yet to receive, as announced now.
    pub fn take_unannounced(&mut self, now_ms: u64) -> Vec<StatedLimit> {
        self.statements.take_unannounced(now_ms)
    }

    /// Returns the statements of upstreams that have answered here since the last call.
    pub fn take_refreshed(&mut self, now_ms: u64) -> Vec<StatedLimit> {
        self.statements.take_refreshed(now_ms)
    }

    /// Returns all statements, ended ones too, since a VM may have missed that they ended.
    pub fn announcements(&mut self, now_ms: u64) -> Vec<StatedLimit> {
        self.statements.all(now_ms)
    }
}
