//! Errors that are sent while the client is still sending.

mod support;

use std::io::Write;
use std::net::TcpStream;

use apricotdale_http::Options;
use support::Echo;
use support::TEST_TIMEOUT;
use support::connect;
use support::read_to_close;
use support::read_until;
use support::start;

/// Sends many small pieces, so that a reset by the server shows in a later one.
fn send_pieces(client: &mut TcpStream) -> std::io::Result<()> {
    (0..256).try_for_each(|_| client.write_all(&[b'x'; 128]))
}

/// Guards against a client that sees a broken connection instead of the reason: the server responds
/// to the head with an error while the client sends its body. A connection that is closed with
/// unread bytes is reset, and over a network the reset can overtake the response.
#[test]
fn send_after_error() {
    let options = Options {
        max_body_bytes: 100,
        linger_timeout: TEST_TIMEOUT,
        ..Options::default()
    };
    let server = start(options, Echo);
    let mut client = connect(&server);
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 32768\r\n\r\n";
    client.write_all(head.as_bytes()).expect("sent");
    let answer = read_to_close(&mut client);
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    send_pieces(&mut client).expect("the server still reads");
}

/// Guards against the same for a connection above the limit.
#[test]
fn send_after_rejection() {
    let options = Options {
        max_connections: 1,
        linger_timeout: TEST_TIMEOUT,
        ..Options::default()
    };
    let server = start(options, Echo);
    let mut holder = connect(&server);
    holder
        .write_all(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    read_until(&mut holder, "GET /1 ");
    let mut client = connect(&server);
    let answer = read_to_close(&mut client);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    // Once another connection is rejected, the accepting thread is done with the first.
    read_to_close(&mut connect(&server));
    send_pieces(&mut client).expect("the connection is still there");
}
