//! Stopping just after a reply.

mod support;

use apricotdale_core::peer::PeerLink;
use apricotdale_peer::LinkOptions;
use apricotdale_peer::ServerOptions;
use support::LONG_MS;
use support::heartbeat;
use support::link;
use support::side;

const ROUNDS: usize = 1_000;

/// Symptom: a daemon that stops as planned ends with "pthread_mutex_lock: Invalid argument" and a
/// core dump. Sequence: the server is dropped while a worker has just handed a reply to nng.
/// Cause: nng's socket is closed while a context of it is in use, and nng goes on to use the socket
/// that it has freed. The fault shows about once in some hundred stops, hence the rounds.
#[test]
fn server_stops_just_after_a_reply() {
    for _ in 0..ROUNDS {
        let side = side(&ServerOptions::default());
        let link = link(LinkOptions::default());
        let reply = link.ask(side.address(), &heartbeat(), LONG_MS);
        assert!(reply.is_ok(), "{reply:?}");
        drop(side);
    }
}
