//! Servers, links and messages for the tests of peer messages.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::peer::Heartbeat;
use apricotdale_core::peer::PeerHandler;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;
use apricotdale_peer::ClusterKey;
use apricotdale_peer::LinkOptions;
use apricotdale_peer::NngLink;
use apricotdale_peer::PeerCounters;
use apricotdale_peer::PeerServer;
use apricotdale_peer::ServerOptions;
use apricotdale_peer::frame::Envelope;

/// Timeout that no passing test waits for.
pub const LONG_MS: u64 = 30_000;

/// Timeout for tests whose peer never answers.
pub const SHORT_MS: u64 = 50;

/// Handler that answers a heartbeat with itself and records every request.
#[derive(Debug, Default)]
pub struct Recorder {
    /// Requests in the order in which they arrived.
    pub requests: Mutex<Vec<PeerRequest>>,
}

impl PeerHandler for Recorder {
    fn answer(&self, request: PeerRequest) -> PeerReply {
        self.requests
            .lock()
            .expect("requests")
            .push(request.clone());
        match request {
            PeerRequest::Heartbeat(heartbeat) => PeerReply::Heartbeat(heartbeat),
            _ => PeerReply::DemandNoted,
        }
    }
}

/// Running server with its handler and counters.
pub struct TestServer {
    /// Server under test.
    pub server: PeerServer,
    /// Handler of the server.
    pub recorder: Arc<Recorder>,
    /// Counters of the server.
    pub counters: Arc<PeerCounters>,
}

impl TestServer {
    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns how many requests reached the handler.
    pub fn handled(&self) -> usize {
        self.recorder.requests.lock().expect("requests").len()
    }
}

/// Starts a server with a recording handler.
pub fn test_server(options: &ServerOptions) -> TestServer {
    let recorder = Arc::new(Recorder::default());
    let counters = Arc::new(PeerCounters::default());
    let server = PeerServer::start(options, key(), recorder.clone(), counters.clone());
    TestServer {
        server: server.expect("a server"),
        recorder,
        counters,
    }
}

/// Returns the cluster key of the tests.
pub fn key() -> ClusterKey {
    ClusterKey::new(b"key of the tests").expect("a long key")
}

/// Returns a link of another process of VM `vm-1` than that of [`envelope`].
pub fn link(options: LinkOptions) -> NngLink {
    let counters = Arc::new(PeerCounters::default());
    NngLink::new(VmName::new("vm-1"), 8, key(), options, counters)
}

/// Returns a link of one of several further processes of VM `vm-1`.
pub fn link_of(process: u64) -> NngLink {
    let counters = Arc::new(PeerCounters::default());
    let options = LinkOptions::default();
    NngLink::new(VmName::new("vm-1"), 100 + process, key(), options, counters)
}

/// Returns a heartbeat of VM `vm-1`.
pub fn heartbeat() -> PeerRequest {
    PeerRequest::Heartbeat(Heartbeat {
        vm: VmName::new("vm-1"),
        process_id: 7,
        draining: false,
        replayed: Offset(12),
        digest: 99,
        digest_at: Offset(8),
    })
}

/// Returns the envelope of a heartbeat.
pub fn envelope(recipient: SocketAddr, sequence: u64) -> Envelope {
    Envelope {
        sender: VmName::new("vm-1"),
        process_id: 7,
        sequence,
        recipient,
        request: heartbeat(),
    }
}

/// Waits until a condition holds, and fails with `what` after [`LONG_MS`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < Duration::from_millis(LONG_MS), "{what}");
        thread::yield_now();
    }
}

/// Returns a counter's value.
pub fn count(counter: &std::sync::atomic::AtomicU64) -> u64 {
    counter.load(Ordering::SeqCst)
}
