//! A stop of the server does not cut off requests in progress.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

use apricotdale_http::Options;
use apricotdale_http::Responder;
use apricotdale_http::ResponseHead;
use support::Echo;
use support::FunctionHandler;
use support::TEST_TIMEOUT;
use support::connect;
use support::read_to_close;
use support::read_until;
use support::start;

/// Guards against a stop that closes connections with requests in progress: a stream has begun when
/// the server is stopped.
#[test]
fn stream_completes() {
    let (release, released) = mpsc::channel::<()>();
    let released = Mutex::new(released);
    let server = start(
        Options::default(),
        FunctionHandler(move |_, responder: Responder<'_>| {
            let mut stream = responder.start(ResponseHead::new(200)).expect("a stream");
            stream.send_piece(b"first").expect("a piece");
            let _ = released
                .lock()
                .expect("no panic")
                .recv_timeout(TEST_TIMEOUT);
            stream.send_piece(b"second").expect("a piece");
            stream.finish().expect("an end");
        }),
    );
    let mut client = connect(&server);
    client
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    read_until(&mut client, "first\r\n");
    server.stop();
    assert!(!server.wait_idle(Duration::ZERO), "the request is over");
    release.send(()).expect("the handler waits");
    assert_eq!(read_to_close(&mut client), "6\r\nsecond\r\n0\r\n\r\n");
    assert!(server.wait_idle(TEST_TIMEOUT));
    assert_eq!(server.connections(), 0);
}

#[test]
fn idle_connections_closed() {
    let server = start(Options::default(), Echo);
    let mut idle = connect(&server);
    idle.write_all(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    read_until(&mut idle, "GET /1 ");
    server.stop();
    assert_eq!(read_to_close(&mut idle), "");
    assert!(server.wait_idle(TEST_TIMEOUT));
    // The accepting thread closes the listener shortly after the stop.
    while TcpStream::connect(server.address()).is_ok() {}
}
