//! All connections that this VM opened.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

use apricotdale_core::names::VmName;
use apricotdale_paths::RelayReader;
use apricotdale_paths::relay_request;
use mio::Registry;
use mio::Token;

use super::CONNECT_TIMEOUT_MS;
use super::DEFAULT_IDLE_MS;
use super::Drain;
use super::Outbound;
use super::Parse;
use super::Peer;
use super::Purpose;
use super::RelayedBy;
use crate::stream::Stream;

/// All connections that this VM opened, with the idle ones by peer.
#[derive(Debug, Default)]
pub(crate) struct OutboundPool {
    connections: HashMap<Token, Outbound>,
    /// Connections that are ready for another exchange, the most recently used last.
    idle: HashMap<Peer, Vec<Token>>,
    /// Source address of the connections; none if the system chooses it.
    source: Option<IpAddr>,
    /// Connections opened so far.
    pub opened: u64,
}

impl OutboundPool {
    /// Returns an empty pool whose connections come from a source address, if one is given.
    pub fn new(source: Option<IpAddr>) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    pub fn get_mut(&mut self, token: Token) -> Option<&mut Outbound> {
        self.connections.get_mut(&token)
    }

    /// Takes an idle direct connection to a peer out of the pool; none if there is no usable one.
    pub fn take_idle_direct(&mut self, now_ms: u64, peer: &Peer) -> Option<Token> {
        self.take_idle_where(now_ms, peer, |_, it| it.relayed_by.is_none())
    }

    /// Takes an idle connection to a peer out of the pool that is none of `used`; none if there is no
    /// usable one.
    pub fn take_idle(&mut self, now_ms: u64, peer: &Peer, used: &[Token]) -> Option<Token> {
        self.take_idle_where(now_ms, peer, |token, _| !used.contains(&token))
    }

    fn take_idle_where(
        &mut self,
        now_ms: u64,
        peer: &Peer,
        suits: impl Fn(Token, &Outbound) -> bool,
    ) -> Option<Token> {
        let connections = &self.connections;
        let idle = self.idle.get_mut(peer)?;
        let index = idle.iter().rposition(|token| {
            connections.get(token).is_some_and(|it| {
                it.ended.is_none() && it.idle_until_ms > now_ms && suits(*token, it)
            })
        })?;
        Some(idle.remove(index))
    }

    /// Closes one of the given connections that leads to a peer and is idle, if there is one.
    pub fn close_one_idle(&mut self, peer: &Peer, tokens: &[Token], registry: &Registry) {
        let idle = self.idle.get(peer).into_iter().flatten();
        let found = idle.copied().find(|token| tokens.contains(token));
        if let Some(token) = found {
            self.close(token, registry);
        }
    }

    /// Starts opening a connection to a peer, or to the VM that relays it.
    pub fn open(
        &mut self,
        now_ms: u64,
        peer: Peer,
        address: SocketAddr,
        relay: Option<VmName>,
        registry: &Registry,
        token: Token,
    ) -> io::Result<()> {
        let mut stream = Stream::connect(self.source, address, registry, token)?;
        let relayed_by = match (relay, &peer) {
            (Some(vm), Peer::Upstream(upstream)) => {
                stream.queue(&relay_request(upstream));
                Some(RelayedBy {
                    vm,
                    reader: RelayReader::default(),
                    held_back: Vec::new(),
                    received: Vec::new(),
                })
            }
            _ => None,
        };
        self.opened += 1;
        let connection = Outbound {
            stream,
            peer,
            purpose: Purpose::Idle,
            relayed_by,
            opened_ms: now_ms,
            is_new: true,
            has_carried_call: false,
            is_connect_only: false,
            paused: false,
            input: Vec::new(),
            parse: Parse::Complete,
            is_head_request: false,
            keep_alive: true,
            ended: None,
            has_more: false,
            iteration_bytes: 0,
            last_received_ms: now_ms,
            last_progress_ms: now_ms,
            longest_wait_ms: 0,
            idle_ms: DEFAULT_IDLE_MS,
            idle_until_ms: 0,
            drain: Drain::default(),
            connect_until_ms: Some(now_ms + CONNECT_TIMEOUT_MS),
            call_until_ms: None,
            call_latest_ms: 0,
            request_era: 0,
        };
        self.connections.insert(token, connection);
        Ok(())
    }

    /// Releases a connection after a complete answer: pools it if it is reusable, and closes it if
    /// not.
    pub fn release(&mut self, now_ms: u64, token: Token, registry: &Registry) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        connection.call_until_ms = None;
        connection.connect_until_ms = None;
        connection.paused = false;
        // The other end may have closed the connection while it was not read.
        if connection.has_more() {
            connection.read(now_ms, usize::MAX);
        }
        if !connection.is_reusable() {
            self.close(token, registry);
            return;
        }
        connection.purpose = Purpose::Idle;
        connection.idle_until_ms = now_ms + connection.idle_ms;
        self.idle
            .entry(connection.peer.clone())
            .or_default()
            .push(token);
    }

    /// Closes a connection and returns what it was used for; none if there is no such connection.
    ///
    /// An exchange in progress is abandoned with a reset. After an orderly close the kernel would go
    /// on sending a request that the other end has not received yet, for minutes.
    pub fn close(&mut self, token: Token, registry: &Registry) -> Option<Purpose> {
        let connection = self.connections.remove(&token)?;
        if let Some(idle) = self.idle.get_mut(&connection.peer) {
            idle.retain(|idle| *idle != token);
        }
        let abort = connection.is_exchanging();
        connection.stream.close(registry, abort);
        Some(connection.purpose)
    }

    /// Closes the idle connections to a peer.
    pub fn close_idle(&mut self, peer: &Peer, registry: &Registry) {
        for token in self.idle.remove(peer).unwrap_or_default() {
            self.close(token, registry);
        }
    }

    /// Closes the idle connections to a peer that are relayed, or those that are not.
    pub fn close_idle_by_way(&mut self, peer: &Peer, relayed: bool, registry: &Registry) {
        let idle = self.idle.get(peer).cloned().unwrap_or_default();
        for token in idle {
            let connection = self.connections.get(&token);
            if connection.is_some_and(|it| it.relayed_by.is_some() == relayed) {
                self.close(token, registry);
            }
        }
    }

    /// Closes connections that have been idle for too long or are drained for too long, and
    /// returns the connections whose calls have timed out.
    pub fn sweep(&mut self, now_ms: u64, registry: &Registry) -> Vec<Token> {
        let timed_out: Vec<Token> = self
            .connections
            .iter()
            .filter(|(_, it)| match it.purpose {
                Purpose::Idle => it.idle_until_ms <= now_ms,
                Purpose::Drain => it.is_drained_too_long(now_ms),
                Purpose::Proxy(_) | Purpose::Call(_) => false,
            })
            .map(|(token, _)| *token)
            .collect();
        for token in timed_out {
            self.close(token, registry);
        }
        self.connections
            .iter()
            .filter(|(_, it)| it.call_until_ms.is_some_and(|until_ms| until_ms <= now_ms))
            .map(|(token, _)| *token)
            .collect()
    }

    /// Returns the connections for callers' requests that were not established in time, with the
    /// requests' keys.
    pub fn late_connections(&mut self, now_ms: u64) -> Vec<(Token, u64)> {
        let mut late = Vec::new();
        for (token, connection) in &mut self.connections {
            let Some(until_ms) = connection.connect_until_ms else {
                continue;
            };
            // The first byte is sent only once the connection is established.
            if connection.has_sent() {
                connection.connect_until_ms = None;
            } else if let (true, Purpose::Proxy(key)) = (until_ms <= now_ms, &connection.purpose) {
                late.push((*token, *key));
            }
        }
        late
    }

    /// Returns the direct connections to a peer that proxy callers' requests and have received
    /// nothing since a time, with the requests' keys.
    pub fn silent_direct_requests(&self, peer: &Peer, since_ms: u64) -> Vec<(Token, u64)> {
        let is_direct = |it: &Outbound| it.peer == *peer && it.relayed_by.is_none();
        let silent = self.silent(since_ms, is_direct);
        silent.map(|(token, key, _)| (token, key)).collect()
    }

    /// Returns the connections to a peer that proxy callers' requests and have received nothing
    /// since a time, with the requests' keys and the times of their last data.
    pub fn silent_proxied_requests(&self, peer: &Peer, since_ms: u64) -> Vec<(Token, u64, u64)> {
        self.silent(since_ms, |it| it.peer == *peer).collect()
    }

    /// Returns all connections that proxy callers' requests and whose answers have not got on since a
    /// time, with the requests' keys and the times at which they last did.
    pub fn stalled_requests(&self, since_ms: u64) -> Vec<(Token, u64, u64)> {
        let connections = self.connections.iter();
        let stalled = connections.filter_map(|(token, it)| match it.purpose {
            Purpose::Proxy(key) if !it.paused && it.last_progress_ms <= since_ms => {
                Some((*token, key, it.last_progress_ms))
            }
            _ => None,
        });
        stalled.collect()
    }

    /// Returns whether a connection to a peer proxies a caller's request.
    pub fn has_requests(&self, peer: &Peer) -> bool {
        let mut connections = self.connections.values();
        connections.any(|it| it.peer == *peer && matches!(it.purpose, Purpose::Proxy(_)))
    }

    /// A connection whose caller is slow is not read, and so not silent.
    fn silent(
        &self,
        since_ms: u64,
        is_concerned: impl Fn(&Outbound) -> bool,
    ) -> impl Iterator<Item = (Token, u64, u64)> {
        let connections = self.connections.iter();
        connections.filter_map(move |(token, it)| match it.purpose {
            Purpose::Proxy(key)
                if !it.paused && it.last_received_ms <= since_ms && is_concerned(it) =>
            {
                Some((*token, key, it.last_received_ms))
            }
            _ => None,
        })
    }

    /// Returns the earliest deadline of the calls in progress.
    pub fn next_call_until_ms(&self) -> Option<u64> {
        self.connections
            .values()
            .filter_map(|it| it.call_until_ms)
            .min()
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}
