//! Requests and replies between two daemons.

mod support;

use std::sync::Arc;
use std::thread;

use apricotdale_core::errors::Error;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::peer::PeerHandler;
use apricotdale_core::peer::PeerLink;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;
use apricotdale_core::peer::ReplicasQuery;
use apricotdale_core::peer::SnapshotPart;
use apricotdale_core::peer::SnapshotQuery;
use apricotdale_peer::ClusterKey;
use apricotdale_peer::LinkOptions;
use apricotdale_peer::PeerCounters;
use apricotdale_peer::PeerServer;
use apricotdale_peer::ServerOptions;
use support::LONG_MS;
use support::count;
use support::heartbeat;
use support::key;
use support::link;
use support::test_server;

fn snapshot(part: u32) -> PeerRequest {
    PeerRequest::Snapshot(SnapshotQuery { at: None, part })
}

/// Handler that answers with a snapshot part of as many bytes as its number, and panics at part 13.
struct SnapshotHandler;

impl PeerHandler for SnapshotHandler {
    fn answer(&self, request: PeerRequest) -> PeerReply {
        let PeerRequest::Snapshot(query) = request else {
            return PeerReply::DemandNoted;
        };
        assert_ne!(query.part, 13);
        PeerReply::Snapshot(SnapshotPart {
            at: Offset(1),
            part: query.part,
            parts: 1,
            bytes: vec![7; query.part as usize],
        })
    }
}

#[test]
fn concurrent_requests() {
    let server = PeerServer::start(
        &ServerOptions::default(),
        key(),
        Arc::new(SnapshotHandler),
        Arc::new(PeerCounters::default()),
    )
    .expect("a server");
    let link = link(LinkOptions::default());
    thread::scope(|scope| {
        for client in 0..8 {
            let (link, address) = (&link, server.address());
            scope.spawn(move || {
                for round in 0..50 {
                    let part = 1_000 * client + 20 + round;
                    match link.ask(address, &snapshot(part), LONG_MS) {
                        Ok(PeerReply::Snapshot(reply)) => assert_eq!(reply.part, part),
                        other => panic!("{other:?}"),
                    }
                }
            });
        }
    });
    assert_eq!(link.open_peers(), 1);
}

#[test]
fn message_limit() {
    let counters = Arc::new(PeerCounters::default());
    let server = PeerServer::start(
        &ServerOptions::default(),
        key(),
        Arc::new(SnapshotHandler),
        counters.clone(),
    )
    .expect("a server");
    let link = link(LinkOptions::default());
    let largest = 1_000_000;
    match link.ask(server.address(), &snapshot(largest), LONG_MS) {
        Ok(PeerReply::Snapshot(reply)) => assert_eq!(reply.bytes.len(), largest as usize),
        other => panic!("{:?}", other.map(|_| "another reply")),
    }
    let reply = link.ask(server.address(), &snapshot(2_000_000), LONG_MS);
    assert!(matches!(reply, Ok(PeerReply::Declined(_))), "too large");

    let engines = vec![UpstreamName::new("e".repeat(1_000)); 2_000];
    let query = PeerRequest::Replicas(ReplicasQuery { engines });
    let outcome = link.ask(server.address(), &query, LONG_MS);
    assert!(matches!(outcome, Err(Error::Rejected(_))), "{outcome:?}");
}

/// Guards against a VM whose connections stay open but which answers no peer any more. A panic of
/// the handler must not end the worker that called it.
#[test]
fn handler_panic() {
    let counters = Arc::new(PeerCounters::default());
    let options = ServerOptions::default();
    let server = PeerServer::start(&options, key(), Arc::new(SnapshotHandler), counters.clone())
        .expect("a server");
    let link = link(LinkOptions::default());
    let panics = options.workers + 1;
    for _ in 0..panics {
        let reply = link.ask(server.address(), &snapshot(13), LONG_MS);
        assert!(matches!(reply, Ok(PeerReply::Declined(_))), "{reply:?}");
    }
    let reply = link.ask(server.address(), &snapshot(14), LONG_MS);
    assert!(matches!(reply, Ok(PeerReply::Snapshot(_))), "{reply:?}");
    assert_eq!(count(&counters.failed), panics as u64);
}

#[test]
fn invalid_options() {
    assert!(ClusterKey::new(b"fifteen bytes..").is_err());
    let options = ServerOptions {
        listen: "0.0.0.0:0".parse().expect("an address"),
        ..ServerOptions::default()
    };
    let start = |options: &ServerOptions| {
        let counters = Arc::new(PeerCounters::default());
        PeerServer::start(options, key(), Arc::new(SnapshotHandler), counters)
    };
    assert!(start(&options).is_err(), "no peer knows this address");
    let taken = test_server(&ServerOptions::default());
    let options = ServerOptions {
        listen: taken.address(),
        ..ServerOptions::default()
    };
    assert!(start(&options).is_err(), "the address is taken");
}

#[test]
fn drop_with_connections() {
    let test_server = test_server(&ServerOptions::default());
    let link = link(LinkOptions::default());
    let address = test_server.address();
    assert!(link.ask(address, &heartbeat(), LONG_MS).is_ok());
    drop(test_server);
    drop(link);
}
