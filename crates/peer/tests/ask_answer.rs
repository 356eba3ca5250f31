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
use support::side;

fn snapshot(part: u32) -> PeerRequest {
    PeerRequest::Snapshot(SnapshotQuery { at: None, part })
}

/// `Snapshots` answers with parts of so many bytes as the part's number, and panics at part 13.
struct Snapshots;

impl PeerHandler for Snapshots {
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
fn every_asker_gets_its_own_reply() {
    let server = PeerServer::start(
        &ServerOptions::default(),
        key(),
        Arc::new(Snapshots),
        Arc::new(PeerCounters::default()),
    )
    .expect("a server");
    let link = link(LinkOptions::default());
    thread::scope(|scope| {
        for asker in 0..8 {
            let (link, address) = (&link, server.address());
            scope.spawn(move || {
                for round in 0..50 {
                    let part = 1_000 * asker + 20 + round;
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
fn messages_up_to_the_limit_pass() {
    let counters = Arc::new(PeerCounters::default());
    let server = PeerServer::start(
        &ServerOptions::default(),
        key(),
        Arc::new(Snapshots),
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

/// Symptom: a VM is there, its connections stay open, and it answers no peer any more.
/// Sequence: answering requests panics, once for each worker. Cause: the panics end the workers.
#[test]
fn panic_while_answering_does_not_silence_the_server() {
    let counters = Arc::new(PeerCounters::default());
    let options = ServerOptions::default();
    let server = PeerServer::start(&options, key(), Arc::new(Snapshots), counters.clone())
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
fn short_keys_and_unknown_addresses_are_refused() {
    assert!(ClusterKey::new(b"fifteen bytes..").is_err());
    let options = ServerOptions {
        listen: "0.0.0.0:0".parse().expect("an address"),
        ..ServerOptions::default()
    };
    let start = |options: &ServerOptions| {
        let counters = Arc::new(PeerCounters::default());
        PeerServer::start(options, key(), Arc::new(Snapshots), counters)
    };
    assert!(start(&options).is_err(), "no peer knows this address");
    let taken = side(&ServerOptions::default());
    let options = ServerOptions {
        listen: taken.address(),
        ..ServerOptions::default()
    };
    assert!(start(&options).is_err(), "the address is taken");
}

#[test]
fn dropped_server_ends_with_connections_open() {
    let side = side(&ServerOptions::default());
    let link = link(LinkOptions::default());
    let address = side.address();
    assert!(link.ask(address, &heartbeat(), LONG_MS).is_ok());
    drop(side);
    drop(link);
}
