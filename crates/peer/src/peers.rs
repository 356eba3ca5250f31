//! The connections to peers that are kept.

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

/// `PeerSocket` is a socket that dials one peer.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    /// The socket.
    pub(crate) socket: Socket,
    state: Arc<DialState>,
}

/// `DialState` is whether a socket is connected, told by nng's own threads.
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
        // By itself nng sends a request again when its connection breaks, or after a minute. The
        // peer may have taken the first one in; here a lost reply is reported instead.
        socket.set_opt::<ResendTime>(None)?;
        let state = Arc::new(DialState::new());
        let told = state.clone();
        socket.pipe_notify(move |_, event| match event {
            PipeEvent::AddPost => told.set(true),
            PipeEvent::RemovePost => told.set(false),
            _ => {}
        })?;
        socket.dial_async(&format!("{SCHEME}{address}"))?;
        Ok(Self { socket, state })
    }

    /// Returns whether there is a connection.
    pub(crate) fn is_connected(&self) -> bool {
        self.state.connected.load(Ordering::SeqCst)
    }

    /// Returns whether there has been no connection for so long. The system's own attempts to
    /// connect get rarer, up to a minute apart, and a peer that is back would stay out of reach for
    /// as long; a new socket begins with frequent ones.
    fn is_stale(&self, stale_dial_ms: u64) -> bool {
        let changed_ms = self.state.changed_ms.load(Ordering::SeqCst);
        let unchanged_ms = self.state.now_ms().saturating_sub(changed_ms);
        !self.is_connected() && unchanged_ms >= stale_dial_ms
    }
}

/// `Checkout` is the use of a connection for one request.
#[derive(Debug)]
pub(crate) struct Checkout {
    /// The connection.
    pub(crate) peer: Arc<PeerSocket>,
    /// The request's sequence.
    pub(crate) sequence: u64,
}

/// `Peers` are the connections that are kept, the least recently used of which makes room.
///
/// Methods hand out what they remove: closing a socket waits for nng, which must not happen under
/// the lock that every request takes.
///
/// This version of nng loses a descriptor when a socket is closed in the moment between a
/// connection's greeting and its first use. A link that closed its sockets while they are dialled
/// would lose one now and then, until the process has none left. So a socket that is being dialled
/// is kept, also when a request failed meanwhile, until it connects or takes far too long.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    kept: HashMap<SocketAddr, Kept>,
    uses: u64,
    highest_sequence: u64,
}

#[derive(Debug)]
struct Kept {
    peer: Arc<PeerSocket>,
    used: u64,
    sequence: u64,
}

impl Kept {
    fn is_dialling(&self, stale_dial_ms: u64) -> bool {
        !self.peer.is_connected() && !self.peer.is_stale(stale_dial_ms)
    }
}

impl Peers {
    /// Returns how many of the kept connections stand.
    pub(crate) fn connected(&self) -> usize {
        let connected = |kept: &&Kept| kept.peer.is_connected();
        self.kept.values().filter(connected).count()
    }

    /// Returns whether a connection to a peer is kept.
    pub(crate) fn holds(&self, address: SocketAddr) -> bool {
        self.kept.contains_key(&address)
    }

    /// Removes the connection to a peer if there has been none for too long.
    pub(crate) fn take_stale(
        &mut self,
        address: SocketAddr,
        stale_dial_ms: u64,
    ) -> Option<Arc<PeerSocket>> {
        let stale = self.kept.get(&address)?.peer.is_stale(stale_dial_ms);
        match stale {
            true => self.kept.remove(&address).map(|kept| kept.peer),
            false => None,
        }
    }

    /// Removes a connection on which a request failed, unless it is still being dialled or another
    /// has taken its place.
    pub(crate) fn take_failed(
        &mut self,
        address: SocketAddr,
        peer: &Arc<PeerSocket>,
    ) -> Option<Arc<PeerSocket>> {
        let same = Arc::ptr_eq(&self.kept.get(&address)?.peer, peer);
        match same && peer.is_connected() {
            true => self.kept.remove(&address).map(|kept| kept.peer),
            false => None,
        }
    }

    /// Removes the connection that was not used for longest if there are as many as allowed. One
    /// that is being dialled goes last.
    pub(crate) fn take_oldest(
        &mut self,
        kept_max: usize,
        stale_dial_ms: u64,
    ) -> Option<Arc<PeerSocket>> {
        if self.kept.len() < kept_max.max(1) {
            return None;
        }
        let oldest = self
            .kept
            .iter()
            .min_by_key(|(_, kept)| (kept.is_dialling(stale_dial_ms), kept.used))
            .map(|(address, _)| *address)?;
        self.kept.remove(&oldest).map(|kept| kept.peer)
    }

    /// Keeps a new connection. Its sequences go on above every sequence used before, since the peer
    /// takes a lower one for a replay.
    pub(crate) fn keep(&mut self, address: SocketAddr, peer: PeerSocket) {
        let kept = Kept {
            peer: Arc::new(peer),
            used: self.uses,
            sequence: self.highest_sequence,
        };
        self.kept.insert(address, kept);
    }

    /// Returns the connection to a peer with the next sequence for it, if it is kept. Sequences to
    /// one peer grow by one, so that requests which overtake each other stay within its window.
    pub(crate) fn check_out(&mut self, address: SocketAddr) -> Option<Checkout> {
        self.uses += 1;
        let kept = self.kept.get_mut(&address)?;
        kept.used = self.uses;
        kept.sequence += 1;
        self.highest_sequence = self.highest_sequence.max(kept.sequence);
        Some(Checkout {
            peer: kept.peer.clone(),
            sequence: kept.sequence,
        })
    }
}
