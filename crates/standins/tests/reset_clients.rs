//! Clients that reset their connections right after a request.

use std::collections::HashSet;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteRequest;
use apricotdale_standins::proxy::Proxy;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

const CLIENTS: usize = 400;

/// Address of the clients of a proxy.
const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));

fn connect_from(client: IpAddr, target: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::for_address(target), Type::STREAM, None).expect("a socket");
    let own = SocketAddr::new(client, 0).into();
    socket.bind(&own).expect("the address is free");
    socket.connect(&target.into()).expect("it listens");
    socket.into()
}

/// Guards against arrivals without an address, because it was read only after the reset.
#[test]
fn address_known_after_reset() {
    let site = Site::start(SiteOptions::default()).expect("site starts");
    for number in 0..CLIENTS {
        let mut client = TcpStream::connect(site.service_addresses[0]).expect("it listens");
        let request = SiteRequest::look(&format!("reset-{number}"));
        client.write_all(&request.bytes()).expect("it is open");
        let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
    }
    let arrivals = site.services[0].arrivals();
    let unknown = arrivals.iter().filter(|it| it.from.is_none()).count();
    assert_eq!(unknown, 0, "of {}", arrivals.len());
    assert!(!arrivals.is_empty());
    let local = Some(IpAddr::V4(Ipv4Addr::LOCALHOST));
    assert!(arrivals.iter().all(|it| it.from == local));
    site.stop();
}

/// Guards against proxied connections from an address that is not their client's, because it was asked
/// for only after the reset.
#[test]
fn proxied_address_kept() {
    let server = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = server.local_addr().expect("its address");
    let proxy = Proxy::start(address).expect("the proxy starts");
    let accepting = thread::spawn(move || -> Vec<IpAddr> {
        let accepted = (0..=CLIENTS).map(|_| server.accept().expect("a connection").1.ip());
        accepted.collect()
    });
    for _ in 0..CLIENTS {
        let client = connect_from(CLIENT, proxy.address());
        let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
    }
    let _last = connect_from(CLIENT, proxy.address());
    let seen: HashSet<IpAddr> = accepting.join().expect("accepted").into_iter().collect();
    assert_eq!(seen, HashSet::from([CLIENT]));
}
