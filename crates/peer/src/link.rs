//! Client side: sends requests to other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::connection_pool::Checkout;
use crate::connection_pool::ConnectionPool;
use crate::connection_pool::PeerSocket;
use crate::counters::PeerCounters;
use crate::counters::Rejection;
use crate::counters::add;
use crate::frame;
use crate::frame::Envelope;
use crate::frame::Frame;
use crate::key::ClusterKey;
use crate::nng_context::NngContext;
use crate::options::LinkOptions;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::names::VmName;
use apricotdale_core::peer::PeerLink;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;

/// Minimum timeout passed to nng, for which zero means not to wait at all.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Link over which requests are sent to other daemons. It dials a peer at the first request to it,
/// and keeps a bounded number of connections.
#[derive(Debug)]
pub struct NngLink {
    vm: VmName,
    process_id: u64,
    key: ClusterKey,
    options: LinkOptions,
    counters: Arc<PeerCounters>,
    pool: Mutex<ConnectionPool>,
}

impl NngLink {
    /// Returns a link whose requests name this VM and process as their sender.
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
            pool: Mutex::new(ConnectionPool::default()),
        }
    }

    /// Returns the number of established connections in the pool.
    pub fn open_peers(&self) -> usize {
        self.lock().connected()
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionPool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_out(&self, address: SocketAddr) -> nng::Result<Checkout> {
        let stale = self
            .lock()
            .remove_stale(address, self.options.stale_dial_ms);
        drop(stale);
        loop {
            if let Some(checkout) = self.lock().check_out(address) {
                return Ok(checkout);
            }
            let dialled = PeerSocket::dial(address, &self.options)?;
            let evicted = self.insert(address, dialled);
            drop(evicted);
        }
    }

    /// Adds a connection to the pool, unless another request has added one meanwhile. Returns the
    /// connection that is to be closed, if any.
    fn insert(&self, address: SocketAddr, dialled: PeerSocket) -> Option<Arc<PeerSocket>> {
        let mut pool = self.lock();
        if pool.contains(address) {
            return Some(Arc::new(dialled));
        }
        let evicted =
            pool.evict_least_recent(self.options.open_peers_max, self.options.stale_dial_ms);
        add(&self.counters.evicted, evicted.iter().count());
        pool.insert(address, dialled);
        evicted
    }

    /// Closes the connection on which a request failed, if it is established. The connection to a
    /// VM that vanished stays established for many minutes, so the next request has to dial anew.
    fn close_failed(&self, address: SocketAddr, peer: &Arc<PeerSocket>) {
        let failed = self.lock().remove_failed(address, peer);
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
            length if length > self.options.message_limit_bytes => Err(Error::rejected(format!(
                "request of {length} bytes is above the limit"
            ))),
            _ => Ok(frame),
        }
    }

    fn exchange(&self, checkout: &Checkout, frame: &Frame, deadline: Instant) -> Result<PeerReply> {
        let unreachable = |error| self.unreachable(error);
        let nng_context = NngContext::open(&checkout.peer.socket).map_err(unreachable)?;
        nng_context
            .send(&frame.bytes, Some(remaining(deadline)))
            .map_err(unreachable)?;
        add(&self.counters.sent_bytes, frame.bytes.len());
        let reply = nng_context
            .receive(Some(remaining(deadline)))
            .map_err(|error| self.unanswered(error))?;
        add(&self.counters.received_bytes, reply.len());
        match self.decode(frame, &reply) {
            Ok(reply) => {
                add(&self.counters.replied, 1);
                Ok(reply)
            }
            Err(reason) => {
                self.counters.reject(reason);
                Err(Error::malformed(format!(
                    "reply was rejected: {}",
                    reason.as_str()
                )))
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
            self.close_failed(peer, &checkout.peer);
        }
        outcome
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline
        .saturating_duration_since(Instant::now())
        .max(MIN_TIMEOUT)
}
