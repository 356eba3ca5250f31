//! Clients that reset their connections right after a request.

use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::TcpStream;
use std::time::Duration;

use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteRequest;
use socket2::SockRef;

const CLIENTS: usize = 400;

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
