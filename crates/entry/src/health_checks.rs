//! Health checks of plain services: what their answers show.

use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::RateLimit;
use apricotdale_http1::ResponseHead;
use mio::Token;

use crate::daemon::Daemon;
use crate::outbound::Peer;
use crate::outbound::Purpose;

impl Daemon {
    /// Records that an upstream has rejected a health check for want of room, if the head of a call's
    /// answer says so.
    pub(crate) fn record_rejected_check(&mut self, token: Token, head: &ResponseHead) {
        let connection = self.outbound.get_mut(token);
        let Some((Peer::Upstream(upstream), Purpose::Call(tag))) =
            connection.map(|it| (it.peer.clone(), it.purpose.clone()))
        else {
            return;
        };
        let is_rejection = head.status == 503 && self.codecs.callers.answer(head).not_run;
        if !is_rejection {
            return;
        }
        let limit = self.rejection_limit_of(&upstream);
        self.metrics.rejected_check(limit.is_some());
        if self.log_budget.try_take(self.now_ms, false) {
            log::info!(
                upstream = upstream.to_string(), call = tag.as_str(),
                per_s = limit.map(RateLimit::per_s);
                "upstream rejected a health check"
            );
        }
    }

    /// Returns the limit on rejections of an upstream.
    fn rejection_limit_of(&self, upstream: &UpstreamName) -> Option<RateLimit> {
        let service = &self.directory.upstream(upstream)?.service;
        self.dispatcher.rejection_limits().limit(service, upstream)
    }
}
