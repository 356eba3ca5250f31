//! Records of the claim streams, which limit a call under an idempotency key to one run.
//!
//! A claim is appended to its stream before the call that it protects is sent. All claims of one
//! key go to one stream, chosen by the hash of the key, and the claim with the lowest offset wins.

use serde::Deserialize;
use serde::Serialize;

use crate::names::IdempotencyKey;
use crate::names::RequestId;
use crate::names::VmName;
use crate::refusal::Ran;

/// One entry of a [`ClaimBatch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// A VM is about to run a call.
    Claim(Claim),
    /// A call under a claim has ended.
    Finish(Finish),
}

/// Announces that a VM is about to run a call under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Key that the caller gave, prefixed by the service so that services do not share keys.
    pub key: IdempotencyKey,
    /// Hash of the call's method, path and body. The same key with another hash is an error.
    pub call_hash: u64,
    /// Request that makes the claim.
    pub request: RequestId,
    /// VM of the claiming daemon.
    pub vm: VmName,
    /// Random identity that the claiming daemon process chose when it started.
    pub process_id: u64,
}

/// Reports how the call under a claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// Key of the claim, prefixed by the service.
    pub key: IdempotencyKey,
    /// Request that made the claim.
    pub request: RequestId,
    /// Whether the call ran. `NotRun` frees the key for another claim.
    pub ran: Ran,
    /// Answer of the call; absent if the call has none or it is too large to be kept.
    pub answer: Option<KeptAnswer>,
}

/// Answer that is stored so that a repeated call receives it without running again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}

/// One record of a claim stream: the entries that one VM collected over a short time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Entries in the order in which they are decided.
    pub entries: Vec<ClaimRecord>,
}

impl ClaimBatch {
    /// Encodes the batch as the payload of a log record.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("claim batches hold only strings, numbers and lists")
    }

    /// Decodes the payload of a log record, or returns `None` if it is not a claim batch.
    pub fn decode(payload: &[u8]) -> Option<Self> {
        serde_json::from_slice(payload).ok()
    }
}
