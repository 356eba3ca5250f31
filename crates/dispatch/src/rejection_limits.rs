//! Limits that upstreams state on how many requests per second they reject for want of room.
//!
//! An upstream with such a limit fails if it has to reject more. The upstreams of a service state the
//! limit at the same time, so that it holds for all of them: also for one that has just started or
//! that this VM has not heard of, until its own answer shows otherwise. Each request to such an
//! upstream needs a permit of the VMs' common owner, which counts until the request is accepted.

use std::collections::BTreeMap;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::confirmations::Confirmations;
use crate::stated_limits::LimitChange;
use crate::stated_limits::RateLimit;
use crate::stated_limits::StatedLimit;
use crate::statements::Statements;

/// Bounds of the time for which a VM sends nothing to an upstream that has rejected a request, since
/// its room may be taken for that long.
const MIN_REST_MS: u64 = 150;
const REST_SPREAD_MS: u64 = 150;

/// Time for which a VM that has started sends nothing to an upstream whose first request has ended
/// without showing what it states. The request may have been one of too many rejections.
const UNCONFIRMED_REST_MS: u64 = 1_000;

/// What a service or one of its upstreams states, as one VM announces it to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedRejectionLimit {
    /// Service of the upstream.
    pub service: GroupName,
    /// Incarnation of the upstream; `None` for what holds for the service.
    pub upstream: Option<UpstreamName>,
    /// Stated limit; `None` if the upstream answers without one, or if that of the service has ended.
    pub limit: Option<RateLimit>,
    /// Time in milliseconds since the answer that stated or ended it arrived.
    pub age_ms: u64,
    /// Time in milliseconds since an upstream of the service first stated a limit.
    pub stated_for_ms: u64,
}

/// Limit that holds for the upstreams of a service.
#[derive(Clone, Copy, Debug)]
struct ServiceLimit {
    /// `None` once it has ended, which other VMs may not know yet.
    limit: Option<RateLimit>,
    /// When the newest known answer that states or ends it arrived at a VM.
    stated_ms: u64,
    /// When the first one arrived, and when this VM learnt of it.
    since_ms: u64,
    learnt_ms: u64,
}

/// Limits on rejections that upstreams have stated to any VM.
#[derive(Debug, Default)]
pub struct RejectionLimits {
    statements: Statements,
    confirmations: Confirmations,
    by_service: BTreeMap<GroupName, ServiceLimit>,
    service_of: BTreeMap<UpstreamName, GroupName>,
    held_back_until_ms: BTreeMap<UpstreamName, u64>,
    /// Part of a rest by which this VM's differ from other VMs'.
    rest_phase_ms: u64,
}

impl RejectionLimits {
    /// Returns an empty table. VMs with different seeds rest for different times.
    pub fn new(seed: u64) -> Self {
        Self {
            rest_phase_ms: seed % REST_SPREAD_MS,
            ..Self::default()
        }
    }

    /// Records an answer to a request that was sent at `sent_ms`. Returns whether a limit begins,
    /// changes or ends, for the upstream or for its service.
    pub fn record_answer(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        service: &GroupName,
        upstream: &UpstreamName,
        limit: Option<RateLimit>,
    ) -> bool {
        self.confirmations.confirm(upstream);
        let limit = limit.filter(|limit| limit.is_binding());
        let change = self
            .statements
            .record_answer(now_ms, sent_ms, upstream, limit);
        let is_change = change != LimitChange::None;
        match (limit, self.in_force(service)) {
            (Some(limit), _) => {
                self.set_service_of(upstream, service);
                self.record_service_limit(now_ms, service, Some(limit), now_ms, now_ms) || is_change
            }
            // An answer that was under way when the first statement arrived shows nothing.
            (None, Some(of_service))
                if self.statements.limit(upstream).is_none()
                    && sent_ms >= of_service.since_ms
                    && !self.has_answered_since(upstream, of_service.since_ms) =>
            {
                self.set_service_of(upstream, service);
                self.statements.record_unlimited(now_ms, upstream);
                self.end_unless_stated(now_ms, service);
                true
            }
            (None, _) => {
                if is_change {
                    self.end_unless_stated(now_ms, service);
                }
                is_change
            }
        }
    }

    /// Applies what another VM has announced. `is_listed` tells whether this VM knows the upstream;
    /// what another one has stated counts for the service alone. Returns whether a limit begins,
    /// changes or ends.
    pub fn apply(
        &mut self,
        now_ms: u64,
        announced: &StatedRejectionLimit,
        is_listed: bool,
    ) -> bool {
        let service = &announced.service;
        let stated_ms = now_ms.saturating_sub(announced.age_ms);
        let mut is_change = false;
        if announced.limit.is_some() || announced.upstream.is_none() {
            let since_ms = now_ms.saturating_sub(announced.stated_for_ms);
            let limit = announced.limit;
            is_change |= self.record_service_limit(now_ms, service, limit, stated_ms, since_ms);
        }
        let Some(upstream) = announced.upstream.as_ref().filter(|_| is_listed) else {
            return is_change;
        };
        self.confirmations.confirm(upstream);
        if announced.limit.is_some() || self.in_force(service).is_some() {
            let row = StatedLimit {
                upstream: upstream.clone(),
                limit: announced.limit,
                age_ms: announced.age_ms,
            };
            let before = self.limit(service, upstream);
            self.statements.apply(now_ms, &row);
            self.set_service_of(upstream, service);
            let is_changed = self.limit(service, upstream) != before;
            is_change |= is_changed;
            if is_changed && announced.limit.is_none() {
                self.end_unless_stated(stated_ms, service);
            }
        }
        is_change
    }

    fn in_force(&self, service: &GroupName) -> Option<&ServiceLimit> {
        let of_service = self.by_service.get(service);
        of_service.filter(|it| it.limit.is_some())
    }

    /// Records what holds for a service. Returns whether it is new or has changed.
    fn record_service_limit(
        &mut self,
        now_ms: u64,
        service: &GroupName,
        limit: Option<RateLimit>,
        stated_ms: u64,
        since_ms: u64,
    ) -> bool {
        let known = self.by_service.get(service).copied();
        let new = ServiceLimit {
            limit,
            stated_ms,
            since_ms,
            learnt_ms: now_ms,
        };
        let (recorded, is_change) = match known {
            None => (new, limit.is_some()),
            // What was stated before may be announced again by VMs that do not know that it has ended.
            Some(known) if stated_ms < known.stated_ms => {
                let is_in_force = known.limit.is_some() && limit.is_some();
                let since_ms = match is_in_force {
                    true => known.since_ms.min(since_ms),
                    false => known.since_ms,
                };
                (ServiceLimit { since_ms, ..known }, false)
            }
            Some(known) if known.limit.is_some() && limit.is_some() => {
                let recorded = ServiceLimit {
                    since_ms: known.since_ms.min(since_ms),
                    learnt_ms: known.learnt_ms,
                    ..new
                };
                (recorded, known.limit != limit)
            }
            Some(known) => {
                let recorded = ServiceLimit {
                    since_ms: since_ms.max(known.stated_ms),
                    ..new
                };
                (recorded, known.limit != limit)
            }
        };
        self.by_service.insert(service.clone(), recorded);
        is_change
    }

    /// Ends the limit of a service of which no upstream states one, while one has answered without it.
    fn end_unless_stated(&mut self, ended_ms: u64, service: &GroupName) {
        let Some(since_ms) = self.in_force(service).map(|it| it.since_ms) else {
            return;
        };
        let members = self.service_of.iter().filter(|(_, of)| *of == service);
        let (mut is_stated, mut is_answered) = (false, false);
        for (upstream, _) in members {
            is_stated |= self.statements.limit(upstream).is_some();
            is_answered |= self.has_answered_since(upstream, since_ms);
        }
        if let Some(of_service) = self.by_service.get_mut(service)
            && is_answered
            && !is_stated
        {
            of_service.limit = None;
            of_service.stated_ms = ended_ms.max(of_service.stated_ms);
        }
    }

    fn has_answered_since(&self, upstream: &UpstreamName, since_ms: u64) -> bool {
        let answered_ms = self.statements.answered_ms(upstream);
        answered_ms.is_some_and(|answered_ms| answered_ms >= since_ms)
    }

    fn set_service_of(&mut self, upstream: &UpstreamName, service: &GroupName) {
        if !self.service_of.contains_key(upstream) {
            self.service_of.insert(upstream.clone(), service.clone());
        }
    }

    /// Returns the limit of an upstream: the one that it states, or that of its service unless it has
    /// answered without one.
    pub fn limit(&self, service: &GroupName, upstream: &UpstreamName) -> Option<RateLimit> {
        let inherited = || {
            let of_service = self.in_force(service)?;
            let has_answered = self.has_answered_since(upstream, of_service.since_ms);
            of_service.limit.filter(|_| !has_answered)
        };
        self.statements.limit(upstream).or_else(inherited)
    }

    /// Returns when an upstream of a service first stated a limit; `None` without one.
    pub fn stated_since_ms(&self, service: &GroupName) -> Option<u64> {
        self.in_force(service).map(|it| it.since_ms)
    }

    /// Returns whether this VM knew of a limit of a service at a time.
    pub fn was_known(&self, service: &GroupName, at_ms: u64) -> bool {
        let of_service = self.in_force(service);
        of_service.is_some_and(|it| it.learnt_ms <= at_ms)
    }

    /// Returns whether any service has a limit.
    pub fn is_any(&self) -> bool {
        self.by_service.values().any(|it| it.limit.is_some())
    }

    /// Records that an upstream has rejected a request of this VM or of another one. Nothing is sent
    /// to it for a moment.
    pub fn record_rejection(&mut self, now_ms: u64, upstream: &UpstreamName) {
        self.hold_back(upstream, now_ms + MIN_REST_MS + self.rest_phase_ms);
    }

    /// Holds requests to an upstream back until a time.
    pub fn hold_back(&mut self, upstream: &UpstreamName, until_ms: u64) {
        let held_back = self.held_back_until_ms.entry(upstream.clone());
        let held_back_until_ms = held_back.or_default();
        *held_back_until_ms = until_ms.max(*held_back_until_ms);
    }

    /// Returns whether this VM sends an upstream nothing now.
    pub fn is_held_back(&self, now_ms: u64, upstream: &UpstreamName) -> bool {
        let until_ms = self.held_back_until_ms.get(upstream);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
            || self.confirmations.is_awaited(upstream)
    }

    /// Returns whether this VM knows what all upstreams state. Others can rely on it.
    pub fn is_complete(&self) -> bool {
        self.confirmations.is_complete
    }

    /// Records that this VM knows what all upstreams state.
    pub fn complete(&mut self) {
        self.confirmations.complete();
    }

    /// Returns whether it is known what an upstream states, from its answers or from other VMs.
    pub fn is_confirmed(&self, service: &GroupName, upstream: &UpstreamName) -> bool {
        self.confirmations.is_confirmed(upstream) || self.limit(service, upstream).is_some()
    }

    /// Returns whether an upstream has a request in progress whose answer shows what it states.
    pub fn is_awaited(&self, upstream: &UpstreamName) -> bool {
        self.confirmations.is_awaited(upstream)
    }

    /// Records that an upstream has answered, with a statement that can't be read.
    pub fn confirm(&mut self, upstream: &UpstreamName) {
        self.confirmations.confirm(upstream);
    }

    /// Records that an upstream is sent a request. If it is not known what the upstream states, it gets
    /// no other one until the answer shows it.
    pub fn begin_check(&mut self, service: &GroupName, upstream: &UpstreamName) {
        if !self.is_confirmed(service, upstream) {
            self.confirmations.begin(upstream);
        }
    }

    /// Records that a request to an upstream is no longer in progress. `may_be_rejected` is whether it
    /// may have been rejected without a statement. Returns whether the upstream awaits another one.
    pub fn end_check(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        may_be_rejected: bool,
    ) -> bool {
        let is_unconfirmed = self.confirmations.end(upstream);
        if is_unconfirmed && may_be_rejected {
            self.hold_back(upstream, now_ms + UNCONFIRMED_REST_MS);
        }
        is_unconfirmed
    }

    /// Returns when an upstream next gets requests again; `None` if nothing is held back.
    pub fn next_available_ms(&self, now_ms: u64) -> Option<u64> {
        let times = self.held_back_until_ms.values();
        times.filter(|until_ms| **until_ms > now_ms).min().copied()
    }

    /// Drops what an upstream has stated that is gone. The limit of its service stays in force unless
    /// others are known to state none.
    pub fn forget(&mut self, now_ms: u64, upstream: &UpstreamName) {
        self.statements.forget(upstream);
        self.confirmations.forget(upstream);
        self.held_back_until_ms.remove(upstream);
        if let Some(service) = self.service_of.remove(upstream) {
            self.end_unless_stated(now_ms, &service);
        }
    }

    /// Returns whether the other VMs have yet to receive a change.
    pub fn has_unannounced(&self) -> bool {
        self.statements.has_unannounced()
    }

    /// Returns the changes that the other VMs have yet to receive, as announced now.
    pub fn take_unannounced(&mut self, now_ms: u64) -> Vec<StatedRejectionLimit> {
        let statements = self.statements.take_unannounced(now_ms);
        self.rows(now_ms, statements)
    }

    /// Returns the statements of upstreams that have answered here since the last call.
    pub fn take_refreshed(&mut self, now_ms: u64) -> Vec<StatedRejectionLimit> {
        let statements = self.statements.take_refreshed(now_ms);
        self.rows(now_ms, statements)
    }

    /// Returns all limits of services and all statements of their upstreams.
    pub fn announcements(&mut self, now_ms: u64) -> Vec<StatedRejectionLimit> {
        let of_services = self.by_service.iter();
        let mut rows: Vec<StatedRejectionLimit> = of_services
            .map(|(service, it)| StatedRejectionLimit {
                service: service.clone(),
                upstream: None,
                limit: it.limit,
                age_ms: now_ms.saturating_sub(it.stated_ms),
                stated_for_ms: now_ms.saturating_sub(it.since_ms),
            })
            .collect();
        let statements = self.statements.all(now_ms);
        rows.extend(self.rows(now_ms, statements));
        rows
    }

    fn rows(&self, now_ms: u64, statements: Vec<StatedLimit>) -> Vec<StatedRejectionLimit> {
        let rows = statements.into_iter().filter_map(|it| {
            let service = self.service_of.get(&it.upstream)?.clone();
            let since_ms = self.by_service.get(&service).map(|it| it.since_ms);
            Some(StatedRejectionLimit {
                service,
                upstream: Some(it.upstream),
                limit: it.limit,
                age_ms: it.age_ms,
                stated_for_ms: since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms)),
            })
        });
        rows.collect()
    }
}
