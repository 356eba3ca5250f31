//! Asking other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::names::VmName;
use apricotdale_core::peer::PeerLink;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;
use nng::Context;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::RecvMaxSize;
use nng::options::protocol::reqrep::ResendTime;

use crate::counters::PeerCounters;
use crate::counters::add;
use crate::frame;
use crate::frame::Envelope;
use crate::key::ClusterKey;
use crate::operation::Operation;
use crate::options::LinkOptions;
use crate::options::SCHEME;

/// The shortest timeout handed to nng, which takes zero for "at once".
const TIMEOUT_MIN: Duration = Duration::from_millis(1);

/// `NngLink` asks other daemons. It dials a peer when it is first asked and keeps a bounded number
/// of connections.
#[derive(Debug)]
pub struct NngLink {
    vm: VmName,
    process_id: u64,
    key: ClusterKey,
    options: LinkOptions,
    counters: Arc<PeerCounters>,
    peers: Mutex<Peers>,
}

/// `Peers` are the open connections.
#[derive(Debug, Default)]
struct Peers {
    open: HashMap<SocketAddr, Peer>,
    uses: u64,
    highest_sequence: u64,
}

#[derive(Debug)]
struct Peer {
    socket: Arc<Socket>,
    used: u64,
    sequence: u64,
}

/// `Checkout` is the use of a connection for one request.
struct Checkout {
    socket: Arc<Socket>,
    sequence: u64,
}

impl NngLink {
    /// Returns a link that asks in the name of a VM's process.
    pub fn new(
        vm: VmName,
        process_id: u64,
        key: ClusterKey,
        options: LinkOptions,
        counters: Arc<PeerCounters>,
    ) -> Self {
        Self {
            vm,
            process_id,
            key,
            options,
            counters,
            peers: Mutex::new(Peers::default()),
        }
    }

    /// Returns how many connections are open.
    pub fn open_peers(&self) -> usize {
        self.lock().open.len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_out(&self, address: SocketAddr) -> nng::Result<Checkout> {
        let mut peers = self.lock();
        if !peers.open.contains_key(&address) {
            let socket = Arc::new(dial(address, self.options.message_limit_bytes)?);
            let evicted = peers.insert(address, socket, self.options.open_peers_max);
            add(&self.counters.evicted, evicted);
        }
        Ok(peers.check_out(address))
    }

    /// Closes the connection that failed, unless it was replaced meanwhile. The next request dials
    /// anew, and a peer that is gone isn't dialled in the background for ever.
    fn give_up(&self, address: SocketAddr, failed: &Arc<Socket>) {
        let mut peers = self.lock();
        let same = peers
            .open
            .get(&address)
            .is_some_and(|peer| Arc::ptr_eq(&peer.socket, failed));
        if same {
            peers.open.remove(&address);
        }
    }

    fn exchange(
        &self,
        checkout: &Checkout,
        peer: SocketAddr,
        request: &PeerRequest,
        deadline: Instant,
    ) -> Result<PeerReply> {
        let envelope = Envelope {
            sender: self.vm.clone(),
            process_id: self.process_id,
            sequence: checkout.sequence,
            recipient: peer,
            request: request.clone(),
        };
        let frame = frame::encode_request(&self.key, &envelope);
        let context = Context::new(&checkout.socket).map_err(|error| self.unreachable(error))?;
        let operation = Operation::new().map_err(|error| self.unreachable(error))?;
        operation
            .send(&context, &frame.bytes, Some(left(deadline)))
            .map_err(|error| self.unreachable(error))?;
        add(&self.counters.sent_bytes, frame.bytes.len());
        let reply = operation
            .receive(&context, Some(left(deadline)))
            .map_err(|error| self.unanswered(error))?;
        add(&self.counters.received_bytes, reply.len());
        match frame::decode_reply(&self.key, &frame.tag, &reply) {
            Ok(reply) => {
                add(&self.counters.asked, 1);
                Ok(reply)
            }
            Err(reason) => {
                self.counters.reject(reason);
                Err(Error::malformed(format!("reply {}", reason.as_str())))
            }
        }
    }

    fn unreachable(&self, error: nng::Error) -> Error {
        add(&self.counters.unreachable, 1);
        Error::unavailable(format!("peer not reached: {error}"))
    }

    fn unanswered(&self, error: nng::Error) -> Error {
        add(&self.counters.unanswered, 1);
        Error::unknown(format!("no reply: {error}"))
    }
}

impl PeerLink for NngLink {
    fn ask(&self, peer: SocketAddr, request: &PeerRequest, timeout_ms: u64) -> Result<PeerReply> {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        let checkout = self
            .check_out(peer)
            .map_err(|error| self.unreachable(error))?;
        let outcome = self.exchange(&checkout, peer, request, deadline);
        if outcome.is_err() {
            self.give_up(peer, &checkout.socket);
        }
        outcome
    }
}

impl Peers {
    /// Adds a connection and returns how many were closed to make room for it.
    fn insert(&mut self, address: SocketAddr, socket: Arc<Socket>, peers_max: usize) -> usize {
        let mut evicted = 0;
        while self.open.len() >= peers_max.max(1) {
            self.evict_one();
            evicted += 1;
        }
        let peer = Peer {
            socket,
            used: self.uses,
            sequence: self.highest_sequence,
        };
        self.open.insert(address, peer);
        evicted
    }

    fn evict_one(&mut self) {
        let oldest = self
            .open
            .iter()
            .min_by_key(|(_, peer)| peer.used)
            .map(|(address, _)| *address);
        if let Some(oldest) = oldest {
            self.open.remove(&oldest);
        }
    }

    /// Returns a connection that is open, with the next sequence for it. Sequences to one peer grow
    /// by one, so that requests which overtake each other stay within the receiver's window, and a
    /// connection that was closed and opened again goes on above every sequence used before.
    fn check_out(&mut self, address: SocketAddr) -> Checkout {
        self.uses += 1;
        let peer = self
            .open
            .get_mut(&address)
            .expect("the connection was opened under the same lock");
        peer.used = self.uses;
        peer.sequence += 1;
        self.highest_sequence = self.highest_sequence.max(peer.sequence);
        Checkout {
            socket: peer.socket.clone(),
            sequence: peer.sequence,
        }
    }
}

/// Opens a socket that dials the peer in the background.
fn dial(address: SocketAddr, limit_bytes: usize) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Req0)?;
    socket.set_opt::<RecvMaxSize>(limit_bytes)?;
    // By itself nng sends a request again when its connection breaks, or after a minute. The peer
    // may have taken the first one in; here a lost reply is reported instead.
    socket.set_opt::<ResendTime>(None)?;
    socket.dial_async(&format!("{SCHEME}{address}"))?;
    Ok(socket)
}

fn left(deadline: Instant) -> Duration {
    deadline
        .saturating_duration_since(Instant::now())
        .max(TIMEOUT_MIN)
}
