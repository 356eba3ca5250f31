//! What the proxy does to connections.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use apricotdale_soak::LinkFault;
use apricotdale_soak::Proxy;
use rstest::rstest;

/// How long something may take that should happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// How long nothing must come where nothing may.
const QUIET: Duration = Duration::from_millis(300);

/// Starts a server that sends back what it gets, and a proxy in front of it.
fn echo() -> Proxy {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let (mut from, mut to) = (&stream, &stream);
                let _ = std::io::copy(&mut from, &mut to);
            });
        }
    });
    Proxy::start(address).expect("a proxy")
}

fn connect(proxy: &Proxy) -> TcpStream {
    TcpStream::connect(proxy.address()).expect("the proxy listens")
}

fn ask(stream: &mut TcpStream, patience: Duration) -> Option<u8> {
    stream.set_read_timeout(Some(patience)).expect("a timeout");
    stream.write_all(b"x").ok()?;
    read(stream)
}

fn read(stream: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    matches!(stream.read(&mut byte), Ok(1)).then_some(byte[0])
}

#[test]
fn bytes_pass() {
    let proxy = echo();
    let mut stream = connect(&proxy);
    assert_eq!(ask(&mut stream, PATIENCE), Some(b'x'));
    assert_eq!(ask(&mut stream, PATIENCE), Some(b'x'));
}

#[rstest]
#[case::both(LinkFault::Cut)]
#[case::to_server(LinkFault::CutToServer)]
#[case::to_client(LinkFault::CutToClient)]
fn held_up_bytes_go_on(#[case] fault: LinkFault) {
    let proxy = echo();
    let mut stream = connect(&proxy);
    assert_eq!(ask(&mut stream, PATIENCE), Some(b'x'));
    proxy.set_fault(fault);
    assert_eq!(ask(&mut stream, QUIET), None);
    proxy.set_fault(LinkFault::None);
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    assert_eq!(read(&mut stream), Some(b'x'));
}

#[test]
fn silent_connection_stays_silent() {
    let proxy = echo();
    let mut stream = connect(&proxy);
    assert_eq!(ask(&mut stream, PATIENCE), Some(b'x'));
    proxy.silence_open();
    assert_eq!(ask(&mut stream, QUIET), None);
    assert_eq!(ask(&mut connect(&proxy), PATIENCE), Some(b'x'));
}

#[test]
fn open_connections_are_reset() {
    let proxy = echo();
    let mut stream = connect(&proxy);
    assert_eq!(ask(&mut stream, PATIENCE), Some(b'x'));
    proxy.reset_open();
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let error = stream.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    assert_eq!(ask(&mut connect(&proxy), PATIENCE), Some(b'x'));
}

#[test]
fn refused_connection_carries_nothing() {
    let proxy = echo();
    proxy.set_fault(LinkFault::Refused);
    assert_eq!(ask(&mut connect(&proxy), PATIENCE), None);
    proxy.set_fault(LinkFault::None);
    assert_eq!(ask(&mut connect(&proxy), PATIENCE), Some(b'x'));
}

#[test]
fn no_server_behind() {
    let proxy = echo();
    proxy.retarget(None);
    assert_eq!(ask(&mut connect(&proxy), PATIENCE), None);
}

#[test]
fn nobody_listens_while_down() {
    let proxy = echo();
    let mut stream = connect(&proxy);
    assert_eq!(ask(&mut stream, PATIENCE), Some(b'x'));
    proxy.go_down();
    assert_eq!(read(&mut stream), None);
    let refused = TcpStream::connect(proxy.address()).expect_err("nobody listens");
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    let other = echo();
    proxy.come_up(other.address()).expect("it listens again");
    assert_eq!(ask(&mut connect(&proxy), PATIENCE), Some(b'x'));
}
