//! Entries, limits and verdicts of the claim table.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use apricotdale_core::claims::Claim;
use apricotdale_core::claims::KeptAnswer;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;

/// Limits of a claim table. They are part of the replicated state: all VMs must use the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOptions {
    /// Time for which a key is remembered after its call has ended, in milliseconds of log time.
    pub remember_ms: u64,
    /// Time for which a key is remembered even if the table is full. Callers may rely on this time.
    pub min_remember_ms: u64,
    /// Maximum number of keys in the table. When it is full, a new key replaces the one that ended
    /// first if `min_remember_ms` has passed for that one; otherwise its claim is rejected.
    pub max_keys: usize,
    /// Maximum number of requests that may have claimed and freed one key without running the call.
    pub max_tries: usize,
    /// Maximum size of one kept answer, in bytes. A larger one is not kept.
    pub max_answer_bytes: usize,
    /// Maximum size of all kept answers, in bytes. The oldest are evicted first.
    pub max_kept_bytes: usize,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            remember_ms: 6 * 3_600_000,
            min_remember_ms: 3_600_000,
            max_keys: 20_000,
            max_tries: 64,
            max_answer_bytes: 16 * 1024,
            max_kept_bytes: 2 * 1024 * 1024,
        }
    }
}

/// State of the call under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request that won the claim may be running the call.
    Running,
    /// The call ran. The answer is absent if it was not kept or has been evicted.
    Finished(Option<KeptAnswer>),
    /// The call may have run, and its outcome can't be determined.
    OutcomeUnknown,
    /// The call did not run, so the key can be claimed again.
    Free,
}

/// State that is remembered for one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// Hash of the call.
    pub call_hash: u64,
    /// Request that holds the claim, or held it last.
    pub request: RequestId,
    /// VM of that request.
    pub vm: VmName,
    /// Identity of the process of that request.
    pub process_id: u64,
    /// Offset of the record by which it won the claim.
    pub won_at: Offset,
    /// Time at which the log appended the last record that changed the entry, in milliseconds of
    /// Unix time.
    pub changed_ms: u64,
    /// State of the call.
    pub state: ClaimState,
    /// Requests that held the claim before and freed the key.
    pub prior_holders: BTreeSet<RequestId>,
    /// Position of the kept answer in the order of eviction; `None` if no answer is kept.
    pub(crate) answer_serial: Option<u64>,
}

impl ClaimEntry {
    /// Returns whether a claim repeats one that won this key before. Requests of two processes may
    /// have the same identity, but not if both have held the claim of one key.
    pub(crate) fn is_repeated_by(&self, claim: &Claim) -> bool {
        let is_winner = self.request == claim.request && self.process_id == claim.process_id;
        is_winner || self.prior_holders.contains(&claim.request)
    }

    /// Returns the size of the kept answer in bytes; zero if none is kept.
    pub(crate) fn kept_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Finished(Some(answer)) => answer_bytes(answer),
            _ => 0,
        }
    }

    pub(crate) fn drop_answer(&mut self) {
        self.answer_serial = None;
        if let ClaimState::Finished(answer) = &mut self.state {
            *answer = None;
        }
    }
}

/// Returns the size of an answer that counts against the limits, in bytes.
pub(crate) fn answer_bytes(answer: &KeptAnswer) -> usize {
    answer.body.len() + answer.content_type.len()
}

/// Verdict of replay on one entry of a claim batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim won: the request may run the call once.
    Won,
    /// Another request holds the claim and may be running the call.
    AlreadyRunning,
    /// The call has run. The answer is absent if it was not kept.
    Finished(Option<KeptAnswer>),
    /// The call may have run and must not run again.
    OutcomeUnknown,
    /// The key was claimed with another call.
    KeyReused,
    /// The same request has won this key before. The record is a late duplicate and gives no right
    /// to run the call.
    Repeated,
    /// The table is full, and no key in it may be forgotten yet.
    TableFull,
    /// Too many requests have claimed and freed the key without running the call.
    TooManyTries,
    /// The finish was applied.
    Ended,
    /// The finish was not applied, because its request does not hold the claim.
    NotHolder,
}

impl ClaimVerdict {
    /// Returns the code under which the verdict is counted.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::AlreadyRunning => "already_running",
            Self::Finished(_) => "finished",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::KeyReused => "key_reused",
            Self::Repeated => "repeated",
            Self::TableFull => "table_full",
            Self::TooManyTries => "too_many_tries",
            Self::Ended => "ended",
            Self::NotHolder => "not_holder",
        }
    }
}

/// Verdict on one entry of a claim batch, with the request that it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecidedClaim {
    /// Idempotency key that the entry claims or finishes.
    pub key: IdempotencyKey,
    /// Request of the entry.
    pub request: RequestId,
    /// Process that made the claim; `None` for a finish.
    pub process_id: Option<u64>,
    /// Verdict of replay.
    pub verdict: ClaimVerdict,
}
