//! Messages that reach a listener and are not meant for it.

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
use support::Side;
use support::envelope;
use support::heartbeat;
use support::key;
use support::link;
use support::side;
use support::wait_until;

const LIMIT_BYTES: usize = 4 * 1024;

/// The greeting of nng's requesters over TCP.
const GREETING: &[u8] = b"\0SP\0\0\x30\0\0";

fn limited() -> Side {
    side(&ServerOptions {
        message_limit_bytes: LIMIT_BYTES,
        ..ServerOptions::default()
    })
}

fn stranger(side: &Side) -> Socket {
    let socket = Socket::new(Protocol::Req0).expect("a socket");
    let timeout = Duration::from_millis(LONG_MS);
    socket
        .set_opt::<RecvTimeout>(Some(timeout))
        .expect("a timeout");
    socket
        .dial(&format!("tcp://{}", side.address()))
        .expect("a peer");
    socket
}

fn assert_still_answers(side: &Side) {
    let handled = side.handled();
    let reply = link(LinkOptions::default()).ask(side.address(), &heartbeat(), LONG_MS);
    assert!(reply.is_ok(), "{reply:?}");
    assert_eq!(side.handled(), handled + 1);
}

/// Symptom: a VM takes a stranger's word, or stops answering after one.
/// Sequence: something that speaks nng's protocol sends bytes that are no message of this cluster.
/// Cause: they reach the handler, or the worker that read them ends.
#[rstest]
#[case::empty(vec![], Rejection::TooShort)]
#[case::short(vec![1; 5], Rejection::TooShort)]
#[case::other_version(vec![9; 100], Rejection::WrongVersion)]
#[case::no_tag(vec![1; 100], Rejection::BadTag)]
#[case::too_long(vec![1; LIMIT_BYTES + 1], Rejection::TooLong)]
fn stray_message_is_counted_and_ignored(#[case] bytes: Vec<u8>, #[case] reason: Rejection) {
    let side = limited();
    let rounds = 2 * ServerOptions::default().workers as u64;
    for sent in 1..=rounds {
        let socket = stranger(&side);
        socket.send(&bytes[..]).expect("a connection");
        wait_until("the message is counted", || {
            side.counters.rejected(reason) == sent
        });
    }
    assert_eq!(side.counters.rejected_in_all(), rounds);
    assert_eq!(side.handled(), 0);
    assert_still_answers(&side);
}

/// Symptom: a model is loaded for requests that nobody sent.
/// Sequence: a demand or heartbeat is recorded and sent again, to the same VM or to another.
/// Cause: its tag is right, and nothing else is looked at.
#[test]
fn replayed_message_is_counted_and_ignored() {
    let (first, second) = (limited(), limited());
    let frame = frame::encode_request(&key(), &envelope(first.address(), 1));
    let socket = stranger(&first);
    socket.send(&frame.bytes[..]).expect("a connection");
    assert!(socket.recv().is_ok(), "the first copy is answered");

    socket.send(&frame.bytes[..]).expect("a connection");
    wait_until("the second copy is counted", || {
        first.counters.rejected(Rejection::Replayed) == 1
    });
    assert_eq!(first.handled(), 1);

    let socket = stranger(&second);
    socket.send(&frame.bytes[..]).expect("a connection");
    wait_until("the copy sent elsewhere is counted", || {
        second.counters.rejected(Rejection::WrongRecipient) == 1
    });
    assert_eq!(second.handled(), 0);
    assert_still_answers(&first);
    assert_still_answers(&second);
}

/// Symptom: a daemon stops, or takes gigabytes, when a port scanner comes by.
/// Sequence: something that speaks another protocol connects, or one that speaks nng's announces a
/// message larger than memory, or hangs up in the middle. Cause: the listener trusts what it reads.
#[rstest]
#[case::nothing(b"".to_vec())]
#[case::http(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec())]
#[case::zeros(vec![0; 64 * 1024])]
#[case::ones(vec![0xff; 64 * 1024])]
#[case::half_a_greeting(GREETING[..5].to_vec())]
#[case::other_protocol(b"\0SP\0\0\x10\0\0".to_vec())]
#[case::endless_length([GREETING, &[0xff; 8]].concat())]
#[case::large_length([GREETING, &(1_u64 << 40).to_be_bytes()].concat())]
#[case::cut_message([GREETING, &100_u64.to_be_bytes(), b"only this"].concat())]
#[case::no_request_id([GREETING, &2_u64.to_be_bytes(), b"ab"].concat())]
#[case::endless_hops([GREETING, &400_u64.to_be_bytes(), &[1; 400]].concat())]
fn garbage_on_the_listener_is_survived(#[case] bytes: Vec<u8>) {
    let side = limited();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(side.address()).expect("a listener");
        // The server may hang up before it has read all.
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.read_to_end(&mut Vec::new());
    }
    assert_eq!(side.handled(), 0);
    assert_still_answers(&side);
}
