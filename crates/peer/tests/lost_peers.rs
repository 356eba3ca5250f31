//! Peers that are unreachable, restart, are too many, or lose replies.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use apricotdale_core::errors::Error;
use apricotdale_core::names::VmName;
use apricotdale_core::peer::PeerLink;
use apricotdale_peer::LinkOptions;
use apricotdale_peer::NngLink;
use apricotdale_peer::PeerCounters;
use apricotdale_peer::ServerOptions;
use support::LONG_MS;
use support::SHORT_MS;
use support::count;
use support::heartbeat;
use support::key;
use support::link;
use support::link_of;
use support::test_server;
use support::wait_until;

/// Delay that exceeds any test's duration. nng waits for a random part of it.
const HOURS_MS: u64 = 24 * 60 * 60 * 1_000;

/// Greeting of nng's repliers over TCP.
const GREETING: &[u8] = b"\0SP\0\0\x31\0\0";

#[test]
fn unreachable_peer() {
    // The port is bound without a listener; a free one could be assigned to another test.
    let bound = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    bound.bind(&any_port.into()).expect("a port");
    let address = bound.local_addr().expect("an address");
    let address = address.as_socket().expect("an IP address");
    let link = link(LinkOptions::default());
    let outcome = link.ask(address, &heartbeat(), SHORT_MS);
    assert!(matches!(outcome, Err(Error::Unavailable(_))), "{outcome:?}");
    assert_eq!(link.open_peers(), 0);
}

/// Guards against a replaced VM that stays unreachable for its peers for seconds. A peer's process
/// ends and another starts at the same address, while a connection to the first is in the pool.
/// That connection must not be used, and the new process must be dialled without a delay.
#[test]
fn restarted_peer() {
    let first = test_server(&ServerOptions::default());
    let address = first.address();
    let options = LinkOptions {
        redial_min_ms: HOURS_MS,
        redial_max_ms: HOURS_MS,
        stale_dial_ms: 0,
        ..LinkOptions::default()
    };
    let link = link(options);
    assert!(link.ask(address, &heartbeat(), LONG_MS).is_ok());
    drop(first);
    let second = test_server(&ServerOptions {
        listen: address,
        ..ServerOptions::default()
    });
    wait_until("the lost connection is detected", || link.open_peers() == 0);
    let reply = link.ask(address, &heartbeat(), LONG_MS);
    assert!(reply.is_ok(), "{reply:?}");
    assert_eq!(second.handled(), 1);
}

/// Guards against a demand that counts twice. The peer receives the request and its connection
/// breaks before the reply; by default nng would send the request again on the next connection.
#[test]
fn lost_reply() {
    let (address, received) = fake_peer(drop);
    let outcome = link(LinkOptions::default()).ask(address, &heartbeat(), LONG_MS);
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    assert_eq!(received.load(Ordering::SeqCst), 1);
}

/// Guards against a replaced VM that stays unreachable for its peers for many minutes. The peer's
/// VM vanishes without closing its connections and another takes its address; requests must not go
/// out on the former connection forever.
#[test]
fn silent_connection() {
    let (address, received) = fake_peer(std::mem::forget);
    let link = link(LinkOptions::default());
    for sent in 1..=3 {
        wait_until(
            "the peer receives a request on a connection of its own",
            || {
                let outcome = link.ask(address, &heartbeat(), SHORT_MS);
                assert!(outcome.is_err(), "the peer does not reply");
                received.load(Ordering::SeqCst) >= sent
            },
        );
    }
}

/// Starts a peer that receives and counts one request on each connection, and then passes the
/// connection to `then` instead of replying.
fn fake_peer(then: fn(TcpStream)) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let received = Arc::new(AtomicUsize::new(0));
    let counted = received.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut greeting = [0; 8];
            let mut length = [0; 8];
            let preamble = stream
                .write_all(GREETING)
                .and_then(|()| stream.read_exact(&mut greeting))
                .and_then(|()| stream.read_exact(&mut length));
            if preamble.is_ok() {
                let mut message = vec![0; u64::from_be_bytes(length) as usize];
                stream.read_exact(&mut message).expect("a message");
                counted.fetch_add(1, Ordering::SeqCst);
                then(stream);
            }
        }
    });
    (address, received)
}

/// Guards against a daemon that exhausts its file descriptors in a growing deployment, because it
/// keeps the connections to all peers that it ever sent a request to.
#[test]
fn idle_connections_evicted() {
    let servers: Vec<_> = (0..4)
        .map(|_| test_server(&ServerOptions::default()))
        .collect();
    let counters = Arc::new(PeerCounters::default());
    let options = LinkOptions {
        open_peers_max: 2,
        ..LinkOptions::default()
    };
    let link = NngLink::new(VmName::new("vm-1"), 7, key(), options, counters.clone());
    let ask = |index: usize| {
        let outcome = link.ask(servers[index].address(), &heartbeat(), LONG_MS);
        assert!(outcome.is_ok(), "{outcome:?}");
    };
    // Peer 0 is used again and again and stays; each of the others is evicted for the next.
    for index in [0, 1, 0, 2, 0, 3, 0, 1, 0] {
        ask(index);
        assert!(link.open_peers() <= 2);
    }
    assert_eq!(count(&counters.evicted), 3);
    wait_until("connections are closed", || {
        servers
            .iter()
            .map(|test_server| count(&test_server.counters.closed))
            .sum::<u64>()
            == 3
    });
    assert_eq!(count(&servers[0].counters.closed), 0);
    let rejected: u64 = servers
        .iter()
        .map(|test_server| test_server.counters.rejected_in_all())
        .sum();
    assert_eq!(rejected, 0, "a connection opened again is no replay");
}

/// Guards against a VM that becomes unreachable for all because one peer reconnects in a loop.
#[test]
fn excess_connections_rejected() {
    let test_server = test_server(&ServerOptions {
        connections_max: 2,
        ..ServerOptions::default()
    });
    let ask =
        |link: &NngLink, timeout_ms| link.ask(test_server.address(), &heartbeat(), timeout_ms);
    let links: Vec<_> = (0..2).map(link_of).collect();
    for link in &links {
        assert!(ask(link, LONG_MS).is_ok());
    }
    let late = link_of(2);
    wait_until("excess connections are rejected", || {
        assert!(ask(&late, SHORT_MS).is_err());
        count(&test_server.counters.rejected_connections) > 2
    });
    drop(links);
    let answered = (0..100).any(|_| ask(&late, LONG_MS / 100).is_ok());
    assert!(answered, "a new connection is accepted again");
}

#[test]
fn ipv6_loopback() {
    let listen: SocketAddr = "[::1]:0".parse().expect("an address");
    if TcpListener::bind(listen).is_err() {
        return;
    }
    let test_server = test_server(&ServerOptions {
        listen,
        ..ServerOptions::default()
    });
    let reply = link(LinkOptions::default()).ask(test_server.address(), &heartbeat(), LONG_MS);
    assert!(reply.is_ok(), "{reply:?}");
}
