//! What is remembered of the calls under idempotency keys.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use apricotdale_core::claims::Claim;
use apricotdale_core::claims::KeptAnswer;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;

/// `ClaimOptions` are the limits of a claim table. They are part of the state: all VMs must use the
/// same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOptions {
    /// How long a key whose call has ended is remembered, in milliseconds of the log's time.
    pub remember_ms: u64,
    /// How long it is remembered even if its place is needed. This is what callers may rely on.
    pub min_remember_ms: u64,
    /// The most keys remembered. For one more, the key that ended first goes if its least time has
    /// passed; else the claim is rejected.
    pub max_keys: usize,
    /// The most requests that may have claimed one key without running the call.
    pub max_tries: usize,
    /// The largest answer kept, in bytes.
    pub max_answer_bytes: usize,
    /// The most bytes of answers kept; the oldest are dropped first.
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

/// `ClaimState` is what became of the call under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The winner may be running the call.
    Running,
    /// The call ran. Its answer may be kept.
    Finished(Option<KeptAnswer>),
    /// The call may have run; nobody will know.
    OutcomeUnknown,
    /// The call did not run; the key is free.
    Free,
}

/// `ClaimEntry` is what is remembered of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// The hash of the call.
    pub call_hash: u64,
    /// The request that holds or held the claim.
    pub request: RequestId,
    /// The winner's VM.
    pub vm: VmName,
    /// The winner's process.
    pub process_id: u64,
    /// The record that won.
    pub won_at: Offset,
    /// When the log took the last record that counted, in milliseconds of Unix time.
    pub changed_ms: u64,
    /// What became of the call.
    pub state: ClaimState,
    /// Requests that held the claim before and freed it.
    pub prior_holders: BTreeSet<RequestId>,
    /// The place of the kept answer in the order in which answers are dropped.
    pub(crate) answer_serial: Option<u64>,
}

impl ClaimEntry {
    /// Returns whether a claim says again what was said before. Requests of two processes may bear
    /// the same name, but not two that have held the claim of one key.
    pub(crate) fn is_repeated_by(&self, claim: &Claim) -> bool {
        let is_winner = self.request == claim.request && self.process_id == claim.process_id;
        is_winner || self.prior_holders.contains(&claim.request)
    }

    /// Returns the size of the kept answer, or zero if there is none.
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

/// Returns the memory that a kept answer takes.
pub(crate) fn answer_bytes(answer: &KeptAnswer) -> usize {
    answer.body.len() + answer.content_type.len()
}

/// `ClaimVerdict` is what replay makes of one entry of a claim batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The request may run the call, once.
    Won,
    /// Another request runs the call.
    AlreadyRunning,
    /// The call has run; its answer, if it is kept.
    Finished(Option<KeptAnswer>),
    /// The call may have run and will not be run again.
    OutcomeUnknown,
    /// The key was used with another call.
    KeyReused,
    /// The request has claimed the key before. The record is a late repetition, and gives no right
    /// to run.
    Repeated,
    /// As many keys are remembered as may be.
    TableFull,
    /// As many requests have claimed the key without running the call as may.
    TooManyTries,
    /// A finish counted.
    Ended,
    /// A finish did not count: the request does not hold the claim.
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

/// `DecidedClaim` is the verdict on one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecidedClaim {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that the entry names.
    pub request: RequestId,
    /// The process that claims, or none for a finish.
    pub process_id: Option<u64>,
    /// What became of it.
    pub verdict: ClaimVerdict,
}
