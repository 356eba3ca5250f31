//! What upstreams state about themselves in their answers: that they leave, or that they want no
//! request for some time.

use apricotdale_core::names::InstanceName;
use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::Departure;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::Upstream;
use apricotdale_http1::ResponseHead;
use mio::Token;

use crate::codec::RestField;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::outbound::Peer;
use crate::outbound::Purpose;

impl Daemon {
    /// Handles what an upstream states in the head of any answer: to a request, to a call of this
    /// VM, or one that is read for nobody.
    pub(crate) fn handle_notices(&mut self, token: Token, head: &ResponseHead) {
        let Some(connection) = self.outbound.get_mut(token) else {
            return;
        };
        let Peer::Upstream(upstream) = connection.peer.clone() else {
            return;
        };
        let relay = connection.relayed_by.as_ref().map(|it| it.vm.clone());
        let source = match &connection.purpose {
            Purpose::Proxy(_) => "answer",
            Purpose::Call(tag) => tag.as_str(),
            Purpose::Drain | Purpose::Idle => "abandoned",
        };
        let fields = self.codecs.callers.answer(head);
        if fields.leaving {
            self.metrics.notice("leaving");
            if let Some(upstream) = self.answering(&upstream, fields.answered_by.as_ref()) {
                self.handle_leave_notice(&upstream, source, head.status);
            }
        }
        match fields.rest {
            RestField::Absent => {}
            RestField::Stated(rest_ms) => {
                self.metrics.notice("rest");
                if let Some(relay) = relay.and_then(|vm| self.peers.address_of(&vm)) {
                    let upstream = upstream.clone();
                    let message = PeerMessage::RestStated { upstream, rest_ms };
                    self.peers.send(relay, &message);
                }
                self.begin_rest(&upstream, source, rest_ms);
            }
            RestField::Invalid(text) => {
                self.metrics.notice("invalid_rest");
                if self.log_budget.try_take(self.now_ms, false) {
                    log::warn!(upstream = upstream.to_string(), text; "rest ignored");
                }
            }
        }
    }

    /// Returns the upstream that gave an answer: the one that the exchange is addressed to, or the
    /// one that states to have it instead, if that is known at the same address. A former process
    /// of an instance may still answer at another address and does not speak for the present one.
    fn answering(
        &self,
        addressed: &UpstreamName,
        answered_by: Option<&InstanceName>,
    ) -> Option<UpstreamName> {
        let known = self.directory.upstream(addressed)?;
        match answered_by {
            Some(other) if *other != known.instance => {
                let current = self.directory.current_incarnation(other)?;
                let other = self.directory.upstream(current)?;
                (other.address == known.address).then(|| current.clone())
            }
            _ => Some(addressed.clone()),
        }
    }

    /// Stops sending to an upstream that states that it leaves, here and at the other VMs. The
    /// store may be out of service, and they have no other news then.
    fn handle_leave_notice(&mut self, upstream: &UpstreamName, source: &str, status: u16) {
        if self.directory.record_leave_notice(upstream) == DirectoryChange::Left {
            log::info!(
                upstream = upstream.to_string(), source, status;
                "upstream states that it leaves"
            );
            self.stop_sending_to(upstream, "stated_in_answer");
            if let Some(departure) = self.directory.departure(upstream) {
                self.peers.send_all(&PeerMessage::LeaveStated(departure));
            }
        }
    }

    /// Stops sending to an upstream whose departure another VM announces.
    pub(crate) fn apply_departure(&mut self, departure: &Departure) {
        if self.directory.record_departure(departure) == DirectoryChange::Left {
            self.stop_sending_to(&departure.upstream, "told_by_another_vm");
        }
    }

    /// Sends an upstream nothing for the time that it asks for. An upstream that is reached through
    /// another VM has seen the request come from there, and both VMs are bound.
    pub(crate) fn begin_rest(&mut self, upstream: &UpstreamName, source: &str, rest_ms: u64) {
        if self.directory.upstream(upstream).is_none() {
            return;
        }
        let end_ms = self.dispatcher.record_rest(self.now_ms, upstream, rest_ms);
        if end_ms.is_some() && self.log_budget.try_take(self.now_ms, false) {
            log::info!(upstream = upstream.to_string(), source, rest_ms; "upstream asks for rest");
        }
        if end_ms.is_some() {
            self.announce_relay_end(upstream);
            self.redispatch_needed = true;
        }
    }

    /// Returns an upstream unless it is in the rest that it has asked for.
    pub(crate) fn wakeful(&self, upstream: &UpstreamName) -> Option<&Upstream> {
        let known = self.directory.upstream(upstream);
        known.filter(|_| !self.dispatcher.is_resting(self.now_ms, upstream))
    }
}
