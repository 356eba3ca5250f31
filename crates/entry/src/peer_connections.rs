//! Connections to the store and to upstreams: idle ones and new ones, direct and relayed.

use std::net::SocketAddr;

use apricotdale_core::names::VmName;
use mio::Token;

use crate::daemon::Daemon;
use crate::outbound::Peer;

impl Daemon {
    /// Returns a connection to a peer that is ready for a call; none if none can be opened.
    pub(crate) fn connect(&mut self, peer: &Peer, address: SocketAddr) -> Option<Token> {
        self.connect_excluding(peer, address, &[])
    }

    /// Returns a connection to a peer that is ready for a request and none of those over which the
    /// request was sent before; none if none can be opened.
    ///
    /// A late copy of the answer to an earlier attempt bears the same request ID. It can only come over
    /// the connection of that attempt.
    pub(crate) fn connect_excluding(
        &mut self,
        peer: &Peer,
        address: SocketAddr,
        used: &[Token],
    ) -> Option<Token> {
        if let Some(token) = self.outbound.take_idle(self.now_ms, peer, used) {
            return Some(token);
        }
        // The new connection takes the place of the old one, as upstreams limit connections.
        self.outbound
            .close_one_idle(peer, used, self.poll.registry());
        self.open(peer, address)
    }

    /// Opens a connection: directly, or through another VM while the direct path is lost.
    pub(crate) fn open(&mut self, peer: &Peer, address: SocketAddr) -> Option<Token> {
        let relay = match peer {
            Peer::Store => None,
            Peer::Upstream(upstream) => self.paths.relay(self.now_ms, upstream),
        };
        let relay = relay.and_then(|vm| Some((self.peers.address_of(&vm)?, vm)));
        match relay {
            Some((relay_address, vm)) => self.open_by_way(peer, relay_address, Some(vm)),
            None => self.open_by_way(peer, address, None),
        }
    }

    /// Opens a connection to an address, which is that of a VM if one relays.
    pub(crate) fn open_by_way(
        &mut self,
        peer: &Peer,
        address: SocketAddr,
        relay: Option<VmName>,
    ) -> Option<Token> {
        let token = self.new_token();
        let now_ms = self.now_ms;
        let registry = self.poll.registry();
        let opened = self
            .outbound
            .open(now_ms, peer.clone(), address, relay, registry, token);
        opened.ok().map(|()| token)
    }
}
