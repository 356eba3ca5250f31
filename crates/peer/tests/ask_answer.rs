//! Requests and replies between two daemons.

use std::sync::Arc;

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::peer::Heartbeat;
use apricotdale_core::peer::PeerHandler;
use apricotdale_core::peer::PeerLink;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;
use apricotdale_peer::ClusterKey;
use apricotdale_peer::LinkOptions;
use apricotdale_peer::NngLink;
use apricotdale_peer::PeerCounters;
use apricotdale_peer::PeerServer;
use apricotdale_peer::ServerOptions;

struct Echo;

impl PeerHandler for Echo {
    fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Heartbeat(heartbeat) => PeerReply::Heartbeat(heartbeat),
            _ => PeerReply::DemandNoted,
        }
    }
}

fn heartbeat(vm: &str) -> Heartbeat {
    Heartbeat {
        vm: VmName::new(vm),
        process_id: 7,
        draining: false,
        replayed: Offset(12),
        digest: 99,
        digest_at: Offset(8),
    }
}

#[test]
fn heartbeats_are_answered() {
    let key = ClusterKey::new(b"0123456789abcdef").expect("a long key");
    let counters = Arc::new(PeerCounters::default());
    let server = PeerServer::start(
        &ServerOptions::default(),
        key.clone(),
        Arc::new(Echo),
        counters.clone(),
    )
    .expect("a server");
    let link = NngLink::new(
        VmName::new("vm-1"),
        7,
        key,
        LinkOptions::default(),
        counters.clone(),
    );
    for _ in 0..100 {
        let reply = link.ask(
            server.address(),
            &PeerRequest::Heartbeat(heartbeat("vm-1")),
            30_000,
        );
        assert_eq!(reply, Ok(PeerReply::Heartbeat(heartbeat("vm-1"))));
    }
    assert_eq!(counters.rejected_in_all(), 0);
    assert_eq!(link.open_peers(), 1);
}
