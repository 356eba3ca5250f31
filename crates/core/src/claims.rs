//! The records of the claim streams.
//!
//! A claim is on its stream before the call that it protects is sent. The claims of one key are on
//! one stream, chosen by the key's hash, and the first claim in order of offset wins.

use serde::Deserialize;
use serde::Serialize;

use crate::names::IdempotencyKey;
use crate::names::RequestId;
use crate::names::VmName;
use crate::refusal::Ran;

/// `ClaimRecord` is one entry of a claim batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// A VM is about to run a call.
    Claim(Claim),
    /// A call under a claim ended.
    Finish(Finish),
}

/// `Claim` says that a VM is about to run a call under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The caller's key, scoped by service.
    pub key: IdempotencyKey,
    /// A hash of the call's method, path and body; the same key with another call is an error.
    pub call_hash: u64,
    /// The request that claims.
    pub request: RequestId,
    /// The claiming daemon's VM.
    pub vm: VmName,
    /// The claiming daemon's process, chosen at random at its start.
    pub process_id: u64,
}

/// `Finish` says how the call under a claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The request that held the claim.
    pub request: RequestId,
    /// Whether the call ran. `NotRun` frees the key.
    pub ran: Ran,
    /// The answer, if it is small enough to be kept.
    pub answer: Option<KeptAnswer>,
}

/// `KeptAnswer` is the answer that a repeated call gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// `ClaimBatch` is one record of a claim stream: the claims that one VM gathered for a moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// The entries, in order.
    pub entries: Vec<ClaimRecord>,
}

impl ClaimBatch {
    /// Returns the batch as it is appended to the stream.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("claim batches hold only strings, numbers and lists")
    }

    /// Returns the batch that was appended, or none if the payload is no claim batch.
    pub fn decode(payload: &[u8]) -> Option<Self> {
        serde_json::from_slice(payload).ok()
    }
}
