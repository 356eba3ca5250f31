//! Rejection of malformed, altered and unauthentic messages.

mod support;

use std::net::SocketAddr;

use rstest::rstest;

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::peer::Demand;
use apricotdale_core::peer::Heartbeat;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;
use apricotdale_peer::ClusterKey;
use apricotdale_peer::Rejection;
use apricotdale_peer::frame;
use apricotdale_peer::frame::Envelope;
use apricotdale_peer::frame::HEAD_BYTES;
use apricotdale_peer::frame::VERSION;
use support::envelope;
use support::key;

const FUZZ_ROUNDS: u64 = 20_000;

fn address() -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], 7100))
}

fn decode(bytes: &[u8]) -> Result<Envelope, Rejection> {
    frame::decode_request(&key(), bytes).map(|(envelope, _)| envelope)
}

/// Returns a request with a valid tag, whatever its body.
fn signed(body: &[u8]) -> Vec<u8> {
    let tag = key().tag(&[&[VERSION, b'q'], body]);
    let mut bytes = vec![VERSION];
    bytes.extend_from_slice(&tag);
    bytes.extend_from_slice(body);
    bytes
}

#[test]
fn encoding_round_trip() {
    let envelope = envelope(address(), 1);
    let frame = frame::encode_request(&key(), &envelope);
    assert_eq!(decode(&frame.bytes), Ok(envelope));
    let reply = PeerReply::Declined("busy".to_owned());
    let bytes = frame::encode_reply(&key(), &frame.tag, &reply);
    assert_eq!(frame::decode_reply(&key(), &frame.tag, &bytes), Ok(reply));
}

#[rstest]
#[case::empty(b"", Rejection::TooShort)]
#[case::shorter_than_the_head(&[VERSION; HEAD_BYTES - 1], Rejection::TooShort)]
#[case::zeros(&[0; 64], Rejection::WrongVersion)]
#[case::http(
    b"GET / HTTP/1.1\r\nHost: 10.1.2.3:7100\r\n\r\n",
    Rejection::WrongVersion
)]
#[case::next_version(&[VERSION + 1; 64], Rejection::WrongVersion)]
#[case::no_tag(&[VERSION; 64], Rejection::BadTag)]
fn unauthenticated_bytes_rejected(#[case] bytes: &[u8], #[case] reason: Rejection) {
    assert_eq!(decode(bytes), Err(reason));
}

/// Guards against a daemon that stops or exhausts its memory on a message of another build. A
/// holder of the key may send a body that announces far more than it contains, or that is too
/// short, too long, or of another kind.
#[rstest]
#[case::empty(vec![])]
#[case::huge_name([vec![0xff; 9], vec![0x01]].concat())]
#[case::overlong_length(vec![0xff; 64])]
#[case::name_not_text(vec![2, 0xc3, 0x28, 7, 1, 0, 10, 1, 2, 3, 0x1c, 0])]
#[case::unknown_kind([body_start(), vec![9]].concat())]
#[case::huge_list([body_start(), vec![2], vec![0xff; 9], vec![0x01]].concat())]
#[case::long_empty_list([body_start(), vec![2, 0xff, 0xff, 0xff, 0x7f]].concat())]
fn malformed_body_rejected(#[case] body: Vec<u8>) {
    assert_eq!(decode(&signed(&body)), Err(Rejection::Malformed));
}

/// Returns the body of an envelope up to its request.
fn body_start() -> Vec<u8> {
    let envelope = Envelope {
        request: PeerRequest::Replicas(apricotdale_core::peer::ReplicasQuery { engines: vec![] }),
        ..envelope(address(), 1)
    };
    let body = &frame::encode_request(&key(), &envelope).bytes[HEAD_BYTES..];
    // The last two bytes are the kind of request and the length of its empty list.
    body[..body.len() - 2].to_vec()
}

#[test]
fn trailing_bytes_rejected() {
    let frame = frame::encode_request(&key(), &envelope(address(), 1));
    let body = [&frame.bytes[HEAD_BYTES..], &[0]].concat();
    assert_eq!(decode(&signed(&body)), Err(Rejection::Malformed));
}

#[test]
fn altered_message_rejected() {
    let bytes = frame::encode_request(&key(), &envelope(address(), 1)).bytes;
    for position in 0..bytes.len() {
        assert!(
            decode(&bytes[..position]).is_err(),
            "truncated at {position}"
        );
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[position] ^= 1 << bit;
            assert!(decode(&changed).is_err(), "bit {bit} of byte {position}");
        }
    }
}

#[test]
fn random_bodies() {
    // A linear congruential generator with a fixed seed, so that every run tries the same bodies.
    let mut state = 1_u64;
    let mut next = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        state >> 33
    };
    for _ in 0..FUZZ_ROUNDS {
        let start = match next() % 2 {
            0 => Vec::new(),
            _ => body_start(),
        };
        let length = next() % 40;
        let random: Vec<u8> = (0..length).map(|_| next() as u8).collect();
        let _ = decode(&signed(&[start, random].concat()));
    }
}

#[test]
fn other_key_rejected() {
    let other = ClusterKey::new(b"key of others...").expect("a long key");
    let frame = frame::encode_request(&other, &envelope(address(), 1));
    assert_eq!(decode(&frame.bytes), Err(Rejection::BadTag));
}

/// Guards against a VM that acts on the reply to another request. While two requests are pending, a
/// reply may reach the other sender, or a request may be sent back as if it were its reply.
#[test]
fn reply_bound_to_request() {
    let first = frame::encode_request(&key(), &envelope(address(), 1));
    let second = frame::encode_request(&key(), &envelope(address(), 2));
    let reply = frame::encode_reply(&key(), &first.tag, &PeerReply::DemandNoted);
    let crossed = frame::decode_reply(&key(), &second.tag, &reply);
    assert_eq!(crossed, Err(Rejection::BadTag));
    let echoed = frame::decode_reply(&key(), &first.tag, &first.bytes);
    assert_eq!(echoed, Err(Rejection::BadTag));
    assert_eq!(decode(&reply), Err(Rejection::BadTag));
}

#[rstest]
#[case::heartbeat(PeerRequest::Heartbeat(Heartbeat {
    vm: VmName::new("vm-2"),
    process_id: 7,
    draining: true,
    replayed: Offset(0),
    digest: 0,
    digest_at: Offset(0),
}))]
#[case::demand(PeerRequest::Demand(Demand { vm: VmName::new("vm-2"), models: vec![] }))]
fn sender_mismatch(#[case] request: PeerRequest) {
    let envelope = Envelope {
        request,
        ..envelope(address(), 1)
    };
    let frame = frame::encode_request(&key(), &envelope);
    assert_eq!(decode(&frame.bytes), Err(Rejection::SenderMismatch));
}
