//! Asking other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::counters::PeerCounters;
use crate::counters::Rejection;
use crate::counters::add;
use crate::frame;
use crate::frame::Envelope;
use crate::frame::Frame;
use crate::key::ClusterKey;
use crate::lane::Lane;
use crate::options::LinkOptions;
use crate::peers::Checkout;
use crate::peers::PeerSocket;
use crate::peers::Peers;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::names::VmName;
use apricotdale_core::peer::PeerLink;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;

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

    /// Returns how many connections to peers stand and are kept.
    pub fn open_peers(&self) -> usize {
        self.lock().connected()
    }

    fn lock(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_out(&self, address: SocketAddr) -> nng::Result<Checkout> {
        let stale = self.lock().take_stale(address, self.options.stale_dial_ms);
        drop(stale);
        loop {
            if let Some(checkout) = self.lock().check_out(address) {
                return Ok(checkout);
            }
            let dialled = PeerSocket::dial(address, &self.options)?;
            let evicted = self.keep(address, dialled);
            drop(evicted);
        }
    }

    /// Keeps a connection, unless another request opened one meanwhile. Returns what is to be
    /// closed.
    fn keep(&self, address: SocketAddr, dialled: PeerSocket) -> Option<Arc<PeerSocket>> {
        let mut peers = self.lock();
        if peers.holds(address) {
            return Some(Arc::new(dialled));
        }
        let evicted = peers.take_oldest(self.options.open_peers_max, self.options.stale_dial_ms);
        add(&self.counters.evicted, evicted.iter().count());
        peers.keep(address, dialled);
        evicted
    }

    /// Closes the connection on which a request failed, if it stands. A VM that vanished leaves a
    /// connection that looks well for many minutes; the next request dials anew.
    fn give_up(&self, address: SocketAddr, peer: &Arc<PeerSocket>) {
        let failed = self.lock().take_failed(address, peer);
        drop(failed);
    }

    fn encode(
        &self,
        peer: SocketAddr,
        checkout: &Checkout,
        request: &PeerRequest,
    ) -> Result<Frame> {
        let envelope = Envelope {
            sender: self.vm.clone(),
            process_id: self.process_id,
            sequence: checkout.sequence,
            recipient: peer,
            request: request.clone(),
        };
        let frame = frame::encode_request(&self.key, &envelope);
        match frame.bytes.len() {
            length if length > self.options.message_limit_bytes => {
                Err(Error::rejected(format!("request of {length} bytes")))
            }
            _ => Ok(frame),
        }
    }

    fn exchange(&self, checkout: &Checkout, frame: &Frame, deadline: Instant) -> Result<PeerReply> {
        let unreachable = |error| self.unreachable(error);
        let lane = Lane::open(&checkout.peer.socket).map_err(unreachable)?;
        lane.send(&frame.bytes, Some(left(deadline)))
            .map_err(unreachable)?;
        add(&self.counters.sent_bytes, frame.bytes.len());
        let reply = lane
            .receive(Some(left(deadline)))
            .map_err(|error| self.unanswered(error))?;
        add(&self.counters.received_bytes, reply.len());
        match self.decode(frame, &reply) {
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

    fn decode(&self, frame: &Frame, reply: &[u8]) -> std::result::Result<PeerReply, Rejection> {
        if reply.len() > self.options.message_limit_bytes {
            return Err(Rejection::TooLong);
        }
        frame::decode_reply(&self.key, &frame.tag, reply)
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
        let frame = self.encode(peer, &checkout, request)?;
        let outcome = self.exchange(&checkout, &frame, deadline);
        if outcome.is_err() {
            self.give_up(peer, &checkout.peer);
        }
        outcome
    }
}

fn left(deadline: Instant) -> Duration {
    deadline
        .saturating_duration_since(Instant::now())
        .max(TIMEOUT_MIN)
}
