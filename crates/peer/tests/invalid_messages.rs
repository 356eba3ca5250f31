//! Invalid and misdirected messages that reach a server.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::RecvTimeout;
use rstest::rstest;

use apricotdale_core::peer::PeerLink;
use apricotdale_peer::LinkOptions;
use apricotdale_peer::Rejection;
use apricotdale_peer::ServerOptions;
use apricotdale_peer::frame;
use support::LONG_MS;
use support::TestServer;
use support::envelope;
use support::heartbeat;
use support::key;
use support::link;
use support::test_server;
use support::wait_until;

const LIMIT_BYTES: usize = 4 * 1024;

/// Greeting of nng's requesters over TCP.
const GREETING: &[u8] = b"\0SP\0\0\x30\0\0";

fn limited() -> TestServer {
    test_server(&ServerOptions {
        message_limit_bytes: LIMIT_BYTES,
        ..ServerOptions::default()
    })
}

fn raw_socket(test_server: &TestServer) -> Socket {
    let socket = Socket::new(Protocol::Req0).expect("a socket");
    let timeout = Duration::from_millis(LONG_MS);
    socket
        .set_opt::<RecvTimeout>(Some(timeout))
        .expect("a timeout");
    socket
        .dial(&format!("tcp://{}", test_server.address()))
        .expect("a peer");
    socket
}

fn assert_still_answers(test_server: &TestServer) {
    let handled = test_server.handled();
    let reply = link(LinkOptions::default()).ask(test_server.address(), &heartbeat(), LONG_MS);
    assert!(reply.is_ok(), "{reply:?}");
    assert_eq!(test_server.handled(), handled + 1);
}

/// Guards against a VM that acts on an unauthenticated message, or stops answering after one. A
/// process that speaks nng's protocol may send bytes that are no message of this deployment; they
/// must neither reach the handler nor end the worker that read them.
#[rstest]
#[case::empty(vec![], Rejection::TooShort)]
#[case::short(vec![1; 5], Rejection::TooShort)]
#[case::other_version(vec![9; 100], Rejection::WrongVersion)]
#[case::no_tag(vec![1; 100], Rejection::BadTag)]
#[case::too_long(vec![1; LIMIT_BYTES + 1], Rejection::TooLong)]
fn invalid_message_ignored(#[case] bytes: Vec<u8>, #[case] reason: Rejection) {
    let test_server = limited();
    let rounds = 2 * ServerOptions::default().workers as u64;
    for sent in 1..=rounds {
        let socket = raw_socket(&test_server);
        socket.send(&bytes[..]).expect("a connection");
        wait_until("the message is counted", || {
            test_server.counters.rejected(reason) == sent
        });
    }
    assert_eq!(test_server.counters.rejected_in_all(), rounds);
    assert_eq!(test_server.handled(), 0);
    assert_still_answers(&test_server);
}

/// Guards against a model that is loaded for requests that nobody sent. A recorded demand or
/// heartbeat can be sent again, to the same VM or to another, with its valid tag.
#[test]
fn replayed_message_ignored() {
    let (first, second) = (limited(), limited());
    let frame = frame::encode_request(&key(), &envelope(first.address(), 1));
    let socket = raw_socket(&first);
    socket.send(&frame.bytes[..]).expect("a connection");
    assert!(socket.recv().is_ok(), "the first copy is answered");

    socket.send(&frame.bytes[..]).expect("a connection");
    wait_until("the second copy is counted", || {
        first.counters.rejected(Rejection::Replayed) == 1
    });
    assert_eq!(first.handled(), 1);

    let socket = raw_socket(&second);
    socket.send(&frame.bytes[..]).expect("a connection");
    wait_until("the copy sent elsewhere is counted", || {
        second.counters.rejected(Rejection::WrongRecipient) == 1
    });
    assert_eq!(second.handled(), 0);
    assert_still_answers(&first);
    assert_still_answers(&second);
}

/// Guards against a daemon that stops or exhausts its memory when a port scanner connects. Another
/// protocol may be spoken, a message longer than the memory may be announced, or the connection may
/// be closed in the middle.
#[rstest]
#[case::nothing(b"".to_vec())]
#[case::http(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec())]
#[case::zeros(vec![0; 64 * 1024])]
#[case::ones(vec![0xff; 64 * 1024])]
#[case::partial_greeting(GREETING[..5].to_vec())]
#[case::other_protocol(b"\0SP\0\0\x10\0\0".to_vec())]
#[case::huge_length([GREETING, &[0xff; 8]].concat())]
#[case::large_length([GREETING, &(1_u64 << 40).to_be_bytes()].concat())]
#[case::truncated_message([GREETING, &100_u64.to_be_bytes(), b"only this"].concat())]
#[case::no_request_id([GREETING, &2_u64.to_be_bytes(), b"ab"].concat())]
#[case::endless_hops([GREETING, &400_u64.to_be_bytes(), &[1; 400]].concat())]
fn garbage_survived(#[case] bytes: Vec<u8>) {
    let test_server = limited();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(test_server.address()).expect("a listener");
        // The server may close the connection before it has read everything.
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut Vec::new());
    }
    assert_eq!(test_server.handled(), 0);
    assert_still_answers(&test_server);
}
