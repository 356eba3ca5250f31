//! What upstreams have stated about their limits, as VMs tell each other.

use std::net::SocketAddr;

use apricotdale_dispatch::StatedLimit;
use apricotdale_dispatch::StatedRejectionLimit;

use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::peers::ROWS_PER_DATAGRAM;

/// Minimum time between two announcements of changes by one VM.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 50;

/// Time between two messages with which a VM informs the lease holder of repeated statements.
const REFRESH_INTERVAL_MS: u64 = 500;

/// Time between two announcements of all statements by the lease holder, which make up for lost
/// messages and inform VMs that have started.
const TABLE_INTERVAL_MS: u64 = 1_000;

impl Daemon {
    /// Announces changes to all VMs at once. Repeated statements go to the lease holder, which
    /// announces all of them now and then.
    pub(crate) fn announce_stated_limits(&mut self) {
        let now_ms = self.now_ms;
        let has_unannounced = self.dispatcher.stated_limits().has_unannounced()
            || self.dispatcher.rejection_limits().has_unannounced();
        if has_unannounced && now_ms >= self.upstream_permits.next_announcement_ms {
            self.upstream_permits.next_announcement_ms = now_ms + ANNOUNCEMENT_INTERVAL_MS;
            let changed = self.dispatcher.stated_limits_mut().take_unannounced(now_ms);
            let of_rejections = self.dispatcher.rejection_limits_mut();
            let of_rejections = of_rejections.take_unannounced(now_ms);
            self.send_stated_limits(None, &changed, &of_rejections);
        }
        if now_ms >= self.upstream_permits.next_refresh_ms {
            let refreshed = self.dispatcher.stated_limits_mut().take_refreshed(now_ms);
            let of_rejections = self.dispatcher.rejection_limits_mut();
            let of_rejections = of_rejections.take_refreshed(now_ms);
            let holder = self.peers.lease_holder.as_ref();
            let address = holder.map(|(_, address, _)| *address);
            let holds_lease = self.engine_orders.held_lease_end(now_ms).is_some();
            if let (Some(address), false) = (address, holds_lease) {
                self.send_stated_limits(Some(address), &refreshed, &of_rejections);
            }
            self.upstream_permits.next_refresh_ms = now_ms + REFRESH_INTERVAL_MS;
        }
        if now_ms >= self.upstream_permits.next_table_ms {
            if self.engine_orders.held_lease_end(now_ms).is_some() {
                self.send_all_stated_limits(None);
            }
            self.upstream_permits.next_table_ms = now_ms + TABLE_INTERVAL_MS;
        }
    }

    /// Sends everything that upstreams have stated to one VM, or to all.
    pub(crate) fn send_all_stated_limits(&mut self, to: Option<SocketAddr>) {
        let all = self
            .dispatcher
            .stated_limits_mut()
            .announcements(self.now_ms);
        let of_rejections = self.dispatcher.rejection_limits_mut();
        let of_rejections = of_rejections.announcements(self.now_ms);
        self.send_stated_limits(to, &all, &of_rejections);
    }

    /// Sends a VM that has started everything that upstreams have stated, even if that is nothing:
    /// it sends no request before it knows. The lease holder and the candidates for the owner of the
    /// permits answer first; they may have restarted too.
    pub(crate) fn answer_stated_limits_request(&mut self, from: SocketAddr, is_first: bool) {
        // A VM that has just started itself knows nothing.
        if !self.is_told() {
            self.upstream_permits.start.record_question(from);
            return;
        }
        let own = &self.peers.own_record().vm;
        let is_candidate = self.peers.quota_owners().iter().any(|(vm, _)| vm == own);
        if !is_first || is_candidate || self.engine_orders.held_lease_end(self.now_ms).is_some() {
            self.send_all_stated_limits(Some(from));
            let end = PeerMessage::StatedLimits {
                limits: Vec::new(),
                rejection_limits: Vec::new(),
            };
            self.peers.send(from, &end);
        }
    }

    /// Sends statements to one VM, or to all.
    pub(crate) fn send_stated_limits(
        &mut self,
        to: Option<SocketAddr>,
        limits: &[StatedLimit],
        rejection_limits: &[StatedRejectionLimit],
    ) {
        let limits = limits
            .chunks(ROWS_PER_DATAGRAM)
            .map(|rows| (rows, [].as_slice()));
        let rejection_limits = rejection_limits.chunks(ROWS_PER_DATAGRAM);
        for (limits, rejection_limits) in
            limits.chain(rejection_limits.map(|rows| ([].as_slice(), rows)))
        {
            let message = PeerMessage::StatedLimits {
                limits: limits.to_vec(),
                rejection_limits: rejection_limits.to_vec(),
            };
            match to {
                Some(address) => self.peers.send(address, &message),
                None => self.peers.send_all(&message),
            }
        }
    }
}
