//! Faults that the proxy injects into connections.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use apricotdale_standins::proxy::LinkFault;
use apricotdale_standins::proxy::Proxy;
use rstest::rstest;

/// Time within which an expected byte must arrive.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which no byte may arrive on a blocked connection.
const SILENCE_WAIT: Duration = Duration::from_millis(300);

/// Starts a server that echoes every byte, and a proxy in front of it.
fn echo_proxy() -> Proxy {
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

fn send_byte(stream: &mut TcpStream, timeout: Duration) -> Option<u8> {
    stream.set_read_timeout(Some(timeout)).expect("a timeout");
    stream.write_all(b"x").ok()?;
    read_byte(stream)
}

fn read_byte(stream: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    matches!(stream.read(&mut byte), Ok(1)).then_some(byte[0])
}

#[test]
fn bytes_forwarded() {
    let proxy = echo_proxy();
    let mut stream = connect(&proxy);
    assert_eq!(send_byte(&mut stream, ARRIVAL_TIMEOUT), Some(b'x'));
    assert_eq!(send_byte(&mut stream, ARRIVAL_TIMEOUT), Some(b'x'));
}

#[rstest]
#[case::both(LinkFault::Cut)]
#[case::to_server(LinkFault::CutToServer)]
#[case::to_client(LinkFault::CutToClient)]
fn blocked_bytes_resume(#[case] fault: LinkFault) {
    let proxy = echo_proxy();
    let mut stream = connect(&proxy);
    assert_eq!(send_byte(&mut stream, ARRIVAL_TIMEOUT), Some(b'x'));
    proxy.set_fault(fault);
    assert_eq!(send_byte(&mut stream, SILENCE_WAIT), None);
    proxy.set_fault(LinkFault::None);
    stream
        .set_read_timeout(Some(ARRIVAL_TIMEOUT))
        .expect("a timeout");
    assert_eq!(read_byte(&mut stream), Some(b'x'));
}

#[test]
fn silenced_connection() {
    let proxy = echo_proxy();
    let mut stream = connect(&proxy);
    assert_eq!(send_byte(&mut stream, ARRIVAL_TIMEOUT), Some(b'x'));
    proxy.silence_open();
    assert_eq!(send_byte(&mut stream, SILENCE_WAIT), None);
    assert_eq!(send_byte(&mut connect(&proxy), ARRIVAL_TIMEOUT), Some(b'x'));
}

#[test]
fn connections_reset() {
    let proxy = echo_proxy();
    let mut stream = connect(&proxy);
    assert_eq!(send_byte(&mut stream, ARRIVAL_TIMEOUT), Some(b'x'));
    proxy.reset_open();
    stream
        .set_read_timeout(Some(ARRIVAL_TIMEOUT))
        .expect("a timeout");
    let error = stream.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    assert_eq!(send_byte(&mut connect(&proxy), ARRIVAL_TIMEOUT), Some(b'x'));
}

#[test]
fn connection_refused() {
    let proxy = echo_proxy();
    proxy.set_fault(LinkFault::Refused);
    assert_eq!(send_byte(&mut connect(&proxy), ARRIVAL_TIMEOUT), None);
    proxy.set_fault(LinkFault::None);
    assert_eq!(send_byte(&mut connect(&proxy), ARRIVAL_TIMEOUT), Some(b'x'));
}

#[test]
fn no_server() {
    let proxy = echo_proxy();
    proxy.retarget(None);
    assert_eq!(send_byte(&mut connect(&proxy), ARRIVAL_TIMEOUT), None);
}

#[test]
fn proxy_down() {
    let proxy = echo_proxy();
    let mut stream = connect(&proxy);
    assert_eq!(send_byte(&mut stream, ARRIVAL_TIMEOUT), Some(b'x'));
    proxy.go_down();
    assert_eq!(read_byte(&mut stream), None);
    let refused = TcpStream::connect(proxy.address()).expect_err("nobody listens");
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    let other = echo_proxy();
    proxy.come_up(other.address()).expect("it listens again");
    assert_eq!(send_byte(&mut connect(&proxy), ARRIVAL_TIMEOUT), Some(b'x'));
}
