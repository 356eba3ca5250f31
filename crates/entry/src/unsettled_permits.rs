//! Permits of requests that were abandoned, and that their upstreams may still reject.

use apricotdale_core::names::UpstreamName;
use apricotdale_quota::AccountId;

use crate::daemon::Daemon;

/// Time after which an upstream that has sent something since then has taken a request in.
const TAKEN_IN_MS: u64 = 500;

/// Time since its send after which an abandoned request counts as handled by its upstream, even if that
/// has sent nothing since.
const MAX_UNSETTLED_MS: u64 = 4_000;

/// Permit of an abandoned request at an upstream that has sent nothing since. It handles the request
/// when it goes on.
#[derive(Clone, Debug)]
pub(crate) struct UnsettledPermit {
    account: AccountId,
    upstream: UpstreamName,
    abandoned_ms: u64,
    until_ms: u64,
}

impl UnsettledPermit {
    pub fn until_ms(&self) -> u64 {
        self.until_ms
    }
}

impl Daemon {
    /// Ends the permit of a request or health check whose attempt has ended without an answer.
    /// `was_abandoned` is whether this VM closed the connection.
    pub(crate) fn end_rejection_permit(
        &mut self,
        key: u64,
        upstream: &UpstreamName,
        sent_ms: u64,
        was_abandoned: bool,
    ) {
        let now_ms = self.now_ms;
        let is_taken_in = |heard_ms: u64| heard_ms >= sent_ms + TAKEN_IN_MS;
        if !was_abandoned {
            return self.settle_rejection_permit(key);
        }
        if self.watch.last_heard_ms(upstream).is_some_and(is_taken_in) {
            return self.refund_rejection_permit(key);
        }
        let permits = &mut self.upstream_permits;
        if let Some(account) = permits.at_risk.remove(&key) {
            permits.unsettled.push(UnsettledPermit {
                account,
                upstream: upstream.clone(),
                abandoned_ms: now_ms,
                until_ms: sent_ms + MAX_UNSETTLED_MS,
            });
        }
    }

    /// Ends the permit of a request that has been rejected or lost. It is not refunded.
    pub(crate) fn settle_rejection_permit(&mut self, key: u64) {
        let permits = &mut self.upstream_permits;
        if let Some(account) = permits.at_risk.remove(&key) {
            permits.client.settle(account);
        }
    }

    /// Settles the permits of requests and health checks that have ended unnoticed, which would count as
    /// in flight for good.
    pub(crate) fn settle_orphaned_permits(&mut self) {
        let at_risk = self.upstream_permits.at_risk.keys();
        let is_orphaned =
            |key: &&u64| self.active.get(**key).is_none() && !self.health_checks.is_active(**key);
        let orphaned: Vec<u64> = at_risk.filter(is_orphaned).copied().collect();
        orphaned
            .into_iter()
            .for_each(|it| self.settle_rejection_permit(it));
    }

    /// Settles the permits of what was abandoned at upstreams that have sent something since, or are
    /// gone.
    pub(crate) fn settle_abandoned_permits(&mut self) {
        if self.upstream_permits.unsettled.is_empty() {
            return;
        }
        for it in std::mem::take(&mut self.upstream_permits.unsettled) {
            let heard_ms = self.watch.last_heard_ms(&it.upstream);
            let is_settled = self.now_ms >= it.until_ms
                || heard_ms.is_some_and(|heard_ms| heard_ms > it.abandoned_ms)
                || self.directory.upstream(&it.upstream).is_none();
            let permits = &mut self.upstream_permits;
            match is_settled {
                true => permits.client.settle(it.account),
                false => permits.unsettled.push(it),
            }
        }
    }
}
