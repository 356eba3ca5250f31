//! Peers that are gone, come back, are too many, or lose replies.

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
use support::side;
use support::wait_until;

/// A pause that no test can wait for. nng waits for a random part of it.
const HOURS_MS: u64 = 24 * 60 * 60 * 1_000;

/// The greeting of nng's repliers over TCP.
const GREETING: &[u8] = b"\0SP\0\0\x31\0\0";

#[test]
fn peer_that_is_not_there_was_not_asked() {
    // The port is bound and nothing listens on it; a free one could be given to another test.
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

/// Symptom: a VM that was replaced stays silent for its peers for seconds.
/// Sequence: a peer's process ends and another starts at the same address, while a connection to
/// the first was kept. Cause: the kept connection is used, or dialled again only after a pause.
#[test]
fn restarted_peer_is_asked_at_once() {
    let first = side(&ServerOptions::default());
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
    let second = side(&ServerOptions {
        listen: address,
        ..ServerOptions::default()
    });
    wait_until("the break is noticed", || link.open_peers() == 0);
    let reply = link.ask(address, &heartbeat(), LONG_MS);
    assert!(reply.is_ok(), "{reply:?}");
    assert_eq!(second.handled(), 1);
}

/// Symptom: a demand counts twice. Sequence: the peer takes the request in and its connection
/// breaks before the reply. Cause: nng sends the request again on the next connection.
#[test]
fn request_whose_reply_was_lost_is_not_sent_again() {
    let (address, received) = fake_peer(drop);
    let outcome = link(LinkOptions::default()).ask(address, &heartbeat(), LONG_MS);
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    assert_eq!(received.load(Ordering::SeqCst), 1);
}

/// Symptom: a VM that was replaced is silent for its peers for many minutes.
/// Sequence: the peer's VM vanishes without closing its connections; another takes its address.
/// Cause: requests go out on the connection to the VM that is gone.
#[test]
fn connection_that_stays_silent_is_given_up() {
    let (address, received) = fake_peer(std::mem::forget);
    let link = link(LinkOptions::default());
    for sent in 1..=3 {
        wait_until(
            "the peer receives a request on a connection of its own",
            || {
                let outcome = link.ask(address, &heartbeat(), SHORT_MS);
                assert!(outcome.is_err(), "nobody replies");
                received.load(Ordering::SeqCst) >= sent
            },
        );
    }
}

/// Starts a peer that receives one request on each connection, counts it, and then does something
/// with the connection instead of replying.
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
            let whole = stream
                .write_all(GREETING)
                .and_then(|()| stream.read_exact(&mut greeting))
                .and_then(|()| stream.read_exact(&mut length));
            if whole.is_ok() {
                let mut message = vec![0; u64::from_be_bytes(length) as usize];
                stream.read_exact(&mut message).expect("a message");
                counted.fetch_add(1, Ordering::SeqCst);
                then(stream);
            }
        }
    });
    (address, received)
}

/// Symptom: a daemon runs out of descriptors as its deployment grows.
/// Sequence: it asks more and more peers. Cause: every connection is kept.
#[test]
fn connections_unused_for_longest_make_room() {
    let sides: Vec<_> = (0..4).map(|_| side(&ServerOptions::default())).collect();
    let counters = Arc::new(PeerCounters::default());
    let options = LinkOptions {
        open_peers_max: 2,
        ..LinkOptions::default()
    };
    let link = NngLink::new(VmName::new("vm-1"), 7, key(), options, counters.clone());
    let ask = |index: usize| {
        let outcome = link.ask(sides[index].address(), &heartbeat(), LONG_MS);
        assert!(outcome.is_ok(), "{outcome:?}");
    };
    // Peer 0 is used again and again and stays; each of the others makes room for the next.
    for index in [0, 1, 0, 2, 0, 3, 0, 1, 0] {
        ask(index);
        assert!(link.open_peers() <= 2);
    }
    assert_eq!(count(&counters.evicted), 3);
    wait_until("connections are closed", || {
        sides
            .iter()
            .map(|side| count(&side.counters.closed))
            .sum::<u64>()
            == 3
    });
    assert_eq!(count(&sides[0].counters.closed), 0);
    let rejected: u64 = sides
        .iter()
        .map(|side| side.counters.rejected_in_all())
        .sum();
    assert_eq!(rejected, 0, "a connection opened again is no replay");
}

/// Symptom: one peer that reconnects in a loop makes a VM unreachable for all.
/// Sequence: connections come without end. Cause: every one is accepted and kept.
#[test]
fn connections_above_the_limit_are_turned_away() {
    let side = side(&ServerOptions {
        connections_max: 2,
        ..ServerOptions::default()
    });
    let ask = |link: &NngLink, timeout_ms| link.ask(side.address(), &heartbeat(), timeout_ms);
    let links: Vec<_> = (0..2).map(link_of).collect();
    for link in &links {
        assert!(ask(link, LONG_MS).is_ok());
    }
    let late = link_of(2);
    wait_until("more connections than the limit are turned away", || {
        assert!(ask(&late, SHORT_MS).is_err());
        count(&side.counters.turned_away) > 2
    });
    drop(links);
    let answered = (0..100).any(|_| ask(&late, LONG_MS / 100).is_ok());
    assert!(answered, "there is room again");
}

#[test]
fn loopback_addresses_of_version_6_work_where_they_exist() {
    let listen: SocketAddr = "[::1]:0".parse().expect("an address");
    if TcpListener::bind(listen).is_err() {
        return;
    }
    let side = side(&ServerOptions {
        listen,
        ..ServerOptions::default()
    });
    let reply = link(LinkOptions::default()).ask(side.address(), &heartbeat(), LONG_MS);
    assert!(reply.is_ok(), "{reply:?}");
}
