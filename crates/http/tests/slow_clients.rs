//! Clients that are slow, or that open too many connections.

mod support;

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use apricotdale_http::Error;
use apricotdale_http::Options;
use apricotdale_http::Responder;
use apricotdale_http::ResponseHead;
use rstest::rstest;
use support::Echo;
use support::FunctionHandler;
use support::TEST_TIMEOUT;
use support::connect;
use support::exchange;
use support::read_to_close;
use support::start;

const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
const TRICKLE_INTERVAL: Duration = Duration::from_millis(5);

/// Sends single bytes with a short wait for a response between them.
fn trickle(client: &mut TcpStream, start: &str) -> String {
    client.write_all(start.as_bytes()).expect("sent");
    client
        .set_read_timeout(Some(TRICKLE_INTERVAL))
        .expect("a timeout");
    let began = Instant::now();
    let mut answer = Vec::new();
    while began.elapsed() < TEST_TIMEOUT {
        match client.read_to_end(&mut answer) {
            Ok(_) => return String::from_utf8(answer).expect("text"),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => panic!("the connection broke: {error}"),
        }
        // A write after the response may fail. The response is read in any case.
        let _ = client.write_all(b"x");
    }
    panic!("the server waits for ever");
}

/// Guards against a timeout that starts anew with each read: clients that send a byte now and then
/// would occupy all connections.
#[rstest]
#[case::head("GET / HTTP/1.1\r\nHost: a\r\nX-Slow: ")]
#[case::body("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")]
#[case::chunk("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n")]
fn trickling_client(#[case] request: &str) {
    let options = Options {
        head_timeout: SHORT_TIMEOUT,
        body_timeout: SHORT_TIMEOUT,
        max_head_bytes: 1_000_000,
        ..Options::default()
    };
    let server = start(options, Echo);
    let answer = trickle(&mut connect(&server), request);
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
}

#[test]
fn idle_connection_closed() {
    let options = Options {
        idle_timeout: SHORT_TIMEOUT,
        ..Options::default()
    };
    let server = start(options, Echo);
    assert_eq!(read_to_close(&mut connect(&server)), "");
}

/// Guards against a write without a time limit: a client asks for a stream and reads nothing, the
/// buffers fill up, and the thread would wait for ever.
#[test]
fn unread_stream() {
    let (ended, has_ended) = mpsc::channel();
    let options = Options {
        write_timeout: SHORT_TIMEOUT,
        ..Options::default()
    };
    let server = start(
        options,
        FunctionHandler(move |_, responder: Responder<'_>| {
            let mut stream = responder.start(ResponseHead::new(200)).expect("a stream");
            let piece = vec![b'x'; 1 << 20];
            let failure = loop {
                if let Err(error) = stream.send_piece(&piece) {
                    break error;
                }
            };
            ended.send(failure).expect("the test waits");
        }),
    );
    let mut client = connect(&server);
    client
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    let failure = has_ended.recv_timeout(TEST_TIMEOUT).expect("an end");
    assert!(matches!(failure, Error::WriteTimeout), "{failure}");
}

/// Guards against clients that wait while all connections are in use: one client holds the only
/// connection, and the next must be sent an error at once.
#[test]
fn connection_limit() {
    let options = Options {
        max_connections: 1,
        ..Options::default()
    };
    let server = start(options, Echo);
    let mut holder = connect(&server);
    holder
        .write_all(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    support::read_until(&mut holder, "GET /1 ");
    let answer = exchange(&server, b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("Connection: close\r\n"), "{answer}");
    holder
        .write_all(b"GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    support::read_until(&mut holder, "GET /3 ");
}
