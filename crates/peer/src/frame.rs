//! The form of a message on the wire.
//!
//! A request is a version byte, a tag, and a body: the postcard form of an [`Envelope`]. The tag is
//! an HMAC-SHA256 under the cluster key over the version, the kind of message and the body, and the
//! body names the sender, the address it was sent to, and a sequence. A reply is a version byte, a
//! tag and the postcard form of a [`PeerReply`]; its tag covers the request's tag, so it is the
//! answer to that one request and to no other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::counters::Rejection;
use crate::key::ClusterKey;
use crate::key::TAG_BYTES;
use crate::key::Tag;
use apricotdale_core::names::VmName;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;

/// The version of the format. Daemons of different versions don't talk.
pub const VERSION: u8 = 1;

/// The bytes before the body.
pub const HEAD_BYTES: usize = 1 + TAG_BYTES;

const REQUEST_CONTEXT: &[u8] = &[VERSION, b'q'];
const REPLY_CONTEXT: &[u8] = &[VERSION, b'r'];

/// `Envelope` is a request with what its receiver checks before it looks at it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's VM.
    pub sender: VmName,
    /// The sender's process, chosen at random at its start.
    pub process_id: u64,
    /// Grows with each request of the process to the same recipient.
    pub sequence: u64,
    /// The address that the sender means to reach.
    pub recipient: SocketAddr,
    /// The request.
    pub request: PeerRequest,
}

/// `Frame` is an encoded request, with the tag that its reply is bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The bytes on the wire.
    pub bytes: Vec<u8>,
    /// The request's tag.
    pub tag: Tag,
}

/// Returns a request as it goes on the wire.
pub fn encode_request(key: &ClusterKey, envelope: &Envelope) -> Frame {
    encode(key, &[REQUEST_CONTEXT], envelope)
}

/// Returns a reply as it goes on the wire.
pub fn encode_reply(key: &ClusterKey, request_tag: &Tag, reply: &PeerReply) -> Vec<u8> {
    encode(key, &[REPLY_CONTEXT, request_tag], reply).bytes
}

/// Returns an authentic request and its tag. Whether it is meant for the receiver and not a replay
/// is for the receiver to check.
///
/// # Errors
///
/// The reason why it is none.
pub fn decode_request(
    key: &ClusterKey,
    bytes: &[u8],
) -> std::result::Result<(Envelope, Tag), Rejection> {
    let (tag, envelope) = decode::<Envelope>(key, &[REQUEST_CONTEXT], bytes)?;
    let claimed = match &envelope.request {
        PeerRequest::Heartbeat(heartbeat) => Some(&heartbeat.vm),
        PeerRequest::Demand(demand) => Some(&demand.vm),
        PeerRequest::Replicas(_) | PeerRequest::Snapshot(_) => None,
    };
    match claimed {
        Some(vm) if *vm != envelope.sender => Err(Rejection::SenderMismatch),
        _ => Ok((envelope, tag)),
    }
}

/// Returns the reply to the request with the given tag.
///
/// # Errors
///
/// The reason why it is none.
pub fn decode_reply(
    key: &ClusterKey,
    request_tag: &Tag,
    bytes: &[u8],
) -> std::result::Result<PeerReply, Rejection> {
    let (_, reply) = decode(key, &[REPLY_CONTEXT, request_tag], bytes)?;
    Ok(reply)
}

fn encode<T: Serialize>(key: &ClusterKey, context: &[&[u8]], message: &T) -> Frame {
    let mut bytes = vec![0; HEAD_BYTES];
    bytes[0] = VERSION;
    let mut bytes = postcard::to_extend(message, bytes)
        .expect("peer messages hold only what postcard can write");
    let tag = key.tag(&with_body(context, &bytes[HEAD_BYTES..]));
    bytes[1..HEAD_BYTES].copy_from_slice(&tag);
    Frame { bytes, tag }
}

fn decode<T: DeserializeOwned>(
    key: &ClusterKey,
    context: &[&[u8]],
    bytes: &[u8],
) -> std::result::Result<(Tag, T), Rejection> {
    let Some((head, body)) = bytes.split_at_checked(HEAD_BYTES) else {
        return Err(Rejection::TooShort);
    };
    if head[0] != VERSION {
        return Err(Rejection::WrongVersion);
    }
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&head[1..]);
    // The tag is checked before the body is looked at, so that only holders of the key can reach
    // the decoder.
    if !key.verifies(&with_body(context, body), &tag) {
        return Err(Rejection::BadTag);
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok((tag, message)),
        Ok(_) | Err(_) => Err(Rejection::Malformed),
    }
}

fn with_body<'a>(context: &[&'a [u8]], body: &'a [u8]) -> Vec<&'a [u8]> {
    let mut parts = context.to_vec();
    parts.push(body);
    parts
}
