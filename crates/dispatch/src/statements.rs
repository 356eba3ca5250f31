//! What upstreams have last stated in their answers to any VM.

use std::collections::BTreeMap;

use apricotdale_core::names::UpstreamName;

use crate::stated_limits::LimitChange;
use crate::stated_limits::RateLimit;
use crate::stated_limits::StatedLimit;

/// What one incarnation of an upstream last stated.
#[derive(Clone, Copy, Debug)]
struct Statement {
    limit: Option<RateLimit>,
    /// When the newest known answer arrived at a VM.
    answered_ms: u64,
    /// Whether the other VMs have yet to receive the present limit.
    is_unannounced: bool,
    /// Whether an answer arrived here since the statement was last announced.
    is_refreshed: bool,
}

/// Limits of one kind that upstreams have stated to any VM.
///
/// A statement belongs to one incarnation of an upstream. It is in force until the upstream answers
/// without it, or is removed.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    by_upstream: BTreeMap<UpstreamName, Statement>,
}

impl Statements {
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
        let known = self.by_upstream.get(upstream);
        let stated = known.filter(|known| known.limit.is_some());
        match (limit, stated) {
            (None, None) => return LimitChange::None,
            (None, Some(stated)) if sent_ms < stated.answered_ms => return LimitChange::None,
            _ => {}
        }
        let change = self.update(upstream, limit, now_ms);
        if let Some(statement) = self.by_upstream.get_mut(upstream) {
            statement.is_unannounced |= change != LimitChange::None;
            statement.is_refreshed = true;
        }
        change
    }

    /// Records that an upstream without a stated limit answers without one, which is announced.
    pub fn record_unlimited(&mut self, now_ms: u64, upstream: &UpstreamName) {
        self.update(upstream, None, now_ms);
        if let Some(statement) = self.by_upstream.get_mut(upstream) {
            statement.is_unannounced = true;
        }
    }

    /// Applies what another VM has announced, unless something newer is known.
    pub fn apply(&mut self, now_ms: u64, announced: &StatedLimit) -> LimitChange {
        let answered_ms = now_ms.saturating_sub(announced.age_ms);
        let known = self.by_upstream.get(&announced.upstream);
        match known.is_some_and(|known| answered_ms <= known.answered_ms) {
            true => LimitChange::None,
            false => self.update(&announced.upstream, announced.limit, answered_ms),
        }
    }

    fn update(
        &mut self,
        upstream: &UpstreamName,
        limit: Option<RateLimit>,
        answered_ms: u64,
    ) -> LimitChange {
        let statement = self
            .by_upstream
            .entry(upstream.clone())
            .or_insert(Statement {
                limit: None,
                answered_ms,
                is_unannounced: false,
                is_refreshed: false,
            });
        statement.answered_ms = answered_ms;
        let before = std::mem::replace(&mut statement.limit, limit);
        match (before, limit) {
            (before, limit) if before == limit => LimitChange::None,
            (_, Some(limit)) => LimitChange::Stated(limit),
            (_, None) => LimitChange::Ended,
        }
    }

    /// Drops what an upstream has stated that is gone.
    pub fn forget(&mut self, upstream: &UpstreamName) {
        self.by_upstream.remove(upstream);
    }

    /// Returns whether an upstream has answered, with or without a limit, as far as that is known.
    pub fn is_known(&self, upstream: &UpstreamName) -> bool {
        self.by_upstream.contains_key(upstream)
    }

    /// Returns the limit of an upstream; `None` if it states none.
    pub fn limit(&self, upstream: &UpstreamName) -> Option<RateLimit> {
        self.by_upstream.get(upstream)?.limit
    }

    /// Returns when the newest known answer of an upstream arrived.
    pub fn answered_ms(&self, upstream: &UpstreamName) -> Option<u64> {
        self.by_upstream.get(upstream).map(|it| it.answered_ms)
    }

    /// Returns the upstreams that state a limit.
    pub fn limits(&self) -> impl Iterator<Item = (&UpstreamName, RateLimit)> {
        let statements = self.by_upstream.iter();
        statements.filter_map(|(upstream, it)| Some((upstream, it.limit?)))
    }

    /// Returns whether the other VMs have yet to receive a change.
    pub fn has_unannounced(&self) -> bool {
        self.by_upstream.values().any(|it| it.is_unannounced)
    }

    /// Returns the changes that the other VMs have yet to receive, as announced now.
    pub fn take_unannounced(&mut self, now_ms: u64) -> Vec<StatedLimit> {
        self.take(now_ms, |it| std::mem::take(&mut it.is_unannounced))
    }

    /// Returns the statements of upstreams that have answered here since the last call.
    pub fn take_refreshed(&mut self, now_ms: u64) -> Vec<StatedLimit> {
        self.take(now_ms, |it| std::mem::take(&mut it.is_refreshed))
    }

    /// Returns all statements, ended ones too, since a VM may have missed that they ended.
    pub fn all(&mut self, now_ms: u64) -> Vec<StatedLimit> {
        self.take(now_ms, |_| true)
    }

    fn take(
        &mut self,
        now_ms: u64,
        mut is_taken: impl FnMut(&mut Statement) -> bool,
    ) -> Vec<StatedLimit> {
        let statements = self.by_upstream.iter_mut();
        let taken = statements.filter_map(|(upstream, it)| is_taken(it).then_some((upstream, it)));
        taken
            .map(|(upstream, it)| StatedLimit {
                upstream: upstream.clone(),
                limit: it.limit,
                age_ms: now_ms.saturating_sub(it.answered_ms),
            })
            .collect()
    }
}
