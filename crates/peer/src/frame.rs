//! Wire format of messages between peers.
//!
//! A request consists of a version byte, a tag, and a body: the postcard encoding of an
//! [`Envelope`]. The tag is an HMAC-SHA256 under the cluster key over the version, the kind of
//! message and the body. The body names the sender, the address of the recipient, and a sequence
//! number. A reply consists of a version byte, a tag and the postcard encoding of a [`PeerReply`].
//! Its tag covers the request's tag, which binds the reply to that one request.

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

/// Version of the format. Daemons with different versions reject each other's messages.
pub const VERSION: u8 = 1;

/// Number of bytes before the body.
pub const HEAD_BYTES: usize = 1 + TAG_BYTES;

const REQUEST_CONTEXT: &[u8] = &[VERSION, b'q'];
const REPLY_CONTEXT: &[u8] = &[VERSION, b'r'];

/// Request together with the fields that its receiver checks before handling it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// VM that sends the request.
    pub sender: VmName,
    /// Identity of the sending process, chosen at random at its start.
    pub process_id: u64,
    /// Number that increases with each request of the process to the same recipient.
    pub sequence: u64,
    /// Address that the request is sent to, as known to the sender.
    pub recipient: SocketAddr,
    /// Request to be answered.
    pub request: PeerRequest,
}

/// Encoded request and the tag that its reply is bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Complete message, including version and tag.
    pub bytes: Vec<u8>,
    /// Authentication tag of the request, under which its reply must be decoded.
    pub tag: Tag,
}

/// Encodes and authenticates a request.
pub fn encode_request(key: &ClusterKey, envelope: &Envelope) -> Frame {
    encode(key, &[REQUEST_CONTEXT], envelope)
}

/// Encodes and authenticates the reply to the request with the given tag.
pub fn encode_reply(key: &ClusterKey, request_tag: &Tag, reply: &PeerReply) -> Vec<u8> {
    encode(key, &[REPLY_CONTEXT, request_tag], reply).bytes
}

/// Decodes an authentic request and returns it with its tag. The caller has to check that it is the
/// recipient and that the request is no replay.
///
/// # Errors
///
/// The [`Rejection`] of a message that is not an authentic, well-formed request.
pub fn decode_request(
    key: &ClusterKey,
    bytes: &[u8],
) -> std::result::Result<(Envelope, Tag), Rejection> {
    let (tag, envelope) = decode::<Envelope>(key, &[REQUEST_CONTEXT], bytes)?;
    let named_sender = match &envelope.request {
        PeerRequest::Heartbeat(heartbeat) => Some(&heartbeat.vm),
        PeerRequest::Demand(demand) => Some(&demand.vm),
        PeerRequest::Replicas(_) | PeerRequest::Snapshot(_) => None,
    };
    match named_sender {
        Some(vm) if *vm != envelope.sender => Err(Rejection::SenderMismatch),
        _ => Ok((envelope, tag)),
    }
}

/// Decodes the authentic reply to the request with the given tag.
///
/// # Errors
///
/// The [`Rejection`] of a message that is not an authentic, well-formed reply to that request.
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
    // The tag is verified before the body is decoded, so that only holders of the key can reach the
    // decoder.
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
