//! Pool of connections to peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nng::PipeEvent;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::ReconnectMaxTime;
use nng::options::ReconnectMinTime;
use nng::options::RecvMaxSize;
use nng::options::protocol::reqrep::ResendTime;

use crate::options::LinkOptions;
use crate::options::SCHEME;
use crate::options::read_limit_bytes;

/// Socket that dials one peer.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    /// Underlying nng socket.
    pub(crate) socket: Socket,
    state: Arc<DialState>,
}

/// Connection state of a socket, updated by nng's threads.
#[derive(Debug)]
struct DialState {
    connected: AtomicBool,
    start: Instant,
    changed_ms: AtomicU64,
}

impl DialState {
    fn new() -> Self {
        Self {
            connected: AtomicBool::new(false),
            start: Instant::now(),
            changed_ms: AtomicU64::new(0),
        }
    }

    fn set(&self, connected: bool) {
        self.changed_ms.store(self.now_ms(), Ordering::SeqCst);
        self.connected.store(connected, Ordering::SeqCst);
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl PeerSocket {
    /// Opens a socket that dials the peer in the background.
    pub(crate) fn dial(address: SocketAddr, options: &LinkOptions) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(read_limit_bytes(options.message_limit_bytes))?;
        socket.set_opt::<ReconnectMinTime>(Some(Duration::from_millis(options.redial_min_ms)))?;
        socket.set_opt::<ReconnectMaxTime>(Some(Duration::from_millis(options.redial_max_ms)))?;
        // By default nng resends a request when its connection breaks, or after a minute. The peer
        // may have received the first one, so a lost reply is reported to the caller instead.
        socket.set_opt::<ResendTime>(None)?;
        let state = Arc::new(DialState::new());
        let callback_state = state.clone();
        socket.pipe_notify(move |_, event| match event {
            PipeEvent::AddPost => callback_state.set(true),
            PipeEvent::RemovePost => callback_state.set(false),
            _ => {}
        })?;
        socket.dial_async(&format!("{SCHEME}{address}"))?;
        Ok(Self { socket, state })
    }

    /// Returns whether the socket is connected.
    pub(crate) fn is_connected(&self) -> bool {
        self.state.connected.load(Ordering::SeqCst)
    }

    /// Returns whether the socket has been unconnected for at least `stale_dial_ms`. The operating
    /// system retries a connect less and less often, up to a minute apart, and a peer that is back
    /// would stay unreachable for as long; a new socket starts with frequent attempts.
    fn is_stale(&self, stale_dial_ms: u64) -> bool {
        let changed_ms = self.state.changed_ms.load(Ordering::SeqCst);
        let unchanged_ms = self.state.now_ms().saturating_sub(changed_ms);
        !self.is_connected() && unchanged_ms >= stale_dial_ms
    }
}

/// Use of a connection for one request.
#[derive(Debug)]
pub(crate) struct Checkout {
    /// Connection to the recipient.
    pub(crate) peer: Arc<PeerSocket>,
    /// Sequence number of the request.
    pub(crate) sequence: u64,
}

/// Bounded number of connections, from which the least recently used one is evicted.
///
/// Methods return what they remove: closing a socket waits for nng, which must not happen under the
/// lock that every request takes.
///
/// This version of nng leaks a descriptor when a socket is closed between the greeting of a
/// connection and its first use. A link that closed its sockets while they dial would leak one now
/// and then, until the process has none left. So a dialling socket stays in the pool, also after a
/// failed request, until it connects or is stale.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    connections: HashMap<SocketAddr, PooledConnection>,
    uses: u64,
    highest_sequence: u64,
}

#[derive(Debug)]
struct PooledConnection {
    peer: Arc<PeerSocket>,
    last_use: u64,
    sequence: u64,
}

impl PooledConnection {
    fn is_dialling(&self, stale_dial_ms: u64) -> bool {
        !self.peer.is_connected() && !self.peer.is_stale(stale_dial_ms)
    }
}

impl ConnectionPool {
    /// Returns the number of connections that are established.
    pub(crate) fn connected(&self) -> usize {
        let connected = |connection: &&PooledConnection| connection.peer.is_connected();
        self.connections.values().filter(connected).count()
    }

    /// Returns whether the pool has a connection to a peer.
    pub(crate) fn contains(&self, address: SocketAddr) -> bool {
        self.connections.contains_key(&address)
    }

    /// Removes the connection to a peer if it is stale.
    pub(crate) fn remove_stale(
        &mut self,
        address: SocketAddr,
        stale_dial_ms: u64,
    ) -> Option<Arc<PeerSocket>> {
        let stale = self.connections.get(&address)?.peer.is_stale(stale_dial_ms);
        match stale {
            true => self
                .connections
                .remove(&address)
                .map(|connection| connection.peer),
            false => None,
        }
    }

    /// Removes the connection on which a request failed, unless it is still dialling or was
    /// replaced.
    pub(crate) fn remove_failed(
        &mut self,
        address: SocketAddr,
        peer: &Arc<PeerSocket>,
    ) -> Option<Arc<PeerSocket>> {
        let same = Arc::ptr_eq(&self.connections.get(&address)?.peer, peer);
        match same && peer.is_connected() {
            true => self
                .connections
                .remove(&address)
                .map(|connection| connection.peer),
            false => None,
        }
    }

    /// Removes the least recently used connection if the pool is full. Dialling ones are removed
    /// last.
    pub(crate) fn evict_least_recent(
        &mut self,
        kept_max: usize,
        stale_dial_ms: u64,
    ) -> Option<Arc<PeerSocket>> {
        if self.connections.len() < kept_max.max(1) {
            return None;
        }
        let oldest = self
            .connections
            .iter()
            .min_by_key(|(_, connection)| {
                (connection.is_dialling(stale_dial_ms), connection.last_use)
            })
            .map(|(address, _)| *address)?;
        self.connections
            .remove(&oldest)
            .map(|connection| connection.peer)
    }

    /// Adds a connection. Its sequence numbers continue above all earlier ones, since the peer
    /// treats lower ones as replays.
    pub(crate) fn insert(&mut self, address: SocketAddr, peer: PeerSocket) {
        let connection = PooledConnection {
            peer: Arc::new(peer),
            last_use: self.uses,
            sequence: self.highest_sequence,
        };
        self.connections.insert(address, connection);
    }

    /// Returns the connection to a peer together with its next sequence number, if the pool has
    /// one. Sequence numbers to one peer grow by 1, so that reordered requests stay within the
    /// peer's replay window.
    pub(crate) fn check_out(&mut self, address: SocketAddr) -> Option<Checkout> {
        self.uses += 1;
        let connection = self.connections.get_mut(&address)?;
        connection.last_use = self.uses;
        connection.sequence += 1;
        self.highest_sequence = self.highest_sequence.max(connection.sequence);
        Some(Checkout {
            peer: connection.peer.clone(),
            sequence: connection.sequence,
        })
    }
}
