//! The gateway's interface to claims.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use apricotdale_core::claims::Claim;
use apricotdale_core::claims::ClaimRecord;
use apricotdale_core::claims::Finish;
use apricotdale_core::claims::KeptAnswer;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::VmName;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::ClaimDecision;
use apricotdale_core::serving::ClaimKeeper;
use apricotdale_core::serving::ClaimRequest;
use apricotdale_core::serving::Clock;
use apricotdale_state::claims::ClaimEntry;
use apricotdale_state::claims::ClaimState;
use apricotdale_state::claims::ClaimVerdict;

use super::claim_stream::ClaimStream;
use super::claim_stream::ClaimWait;
use crate::appender::EpochCell;
use crate::replayed::Replayed;

/// Longest wait for a claim. A log that does not answer for this long is down, and the caller is
/// refused then rather than near its deadline.
const CLAIM_WAIT_MS: u64 = 5_000;

/// Divisor of the remaining time: the claim may use one half, and the other half is left for the
/// call.
const CLAIM_TIME_DIVISOR: u64 = 2;

/// Retry-after time of refusals while the log is down.
const LOG_RETRY_MS: u64 = 5_000;

/// Retry-after time of refusals while the call under the key runs.
const RUNNING_RETRY_MS: u64 = 1_000;

/// Ensures that a call under an idempotency key runs at most once over all VMs.
pub struct NodeClaimKeeper {
    /// Name of the VM that this process runs on.
    pub vm: VmName,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    pub process_id: u64,
    /// Claim streams. All VMs must have the same ones in the same order.
    pub streams: Vec<Arc<ClaimStream>>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// Control state, which shows which processes have ended.
    pub replayed: Arc<Replayed>,
    /// Epoch of this process. While it is empty, other VMs would treat this process's claims as
    /// those of a process that has ended.
    pub epoch: Arc<EpochCell>,
}

impl NodeClaimKeeper {
    fn stream(&self, key: &IdempotencyKey) -> &Arc<ClaimStream> {
        let hash = xxh3_64(key.as_str().as_bytes());
        let index = hash % self.streams.len() as u64;
        &self.streams[index as usize]
    }

    /// Decides by the replayed table, without a new record. A key that is taken stays taken, so a
    /// duplicate is answered even while the log is down.
    fn decide_known(
        &self,
        claim_request: &ClaimRequest,
        entry: &ClaimEntry,
    ) -> Option<ClaimDecision> {
        match &entry.state {
            ClaimState::Free => None,
            _ if entry.call_hash != claim_request.call_hash => Some(key_reused()),
            ClaimState::Running => Some(self.decide_running(entry)),
            ClaimState::Finished(answer) => Some(finished(answer.clone())),
            ClaimState::OutcomeUnknown => Some(outcome_unknown()),
        }
    }

    /// Returns the decision for a duplicate while the first call runs, or if the process that ran
    /// it has ended and can't record the outcome any more.
    fn decide_running(&self, entry: &ClaimEntry) -> ClaimDecision {
        let is_member = self
            .replayed
            .read(|state| state.members().has_process(entry.process_id));
        if !is_member {
            return outcome_unknown();
        }
        let detail = "the call under this key is in progress";
        let refusal = Refusal::unknown(RefusalReason::KeyInProgress, detail);
        ClaimDecision::Refuse(refusal.retry_after(RUNNING_RETRY_MS))
    }

    fn decide(&self, claim_request: &ClaimRequest, verdict: ClaimVerdict) -> ClaimDecision {
        match verdict {
            ClaimVerdict::Won => ClaimDecision::Run,
            ClaimVerdict::Finished(answer) => finished(answer),
            ClaimVerdict::OutcomeUnknown => outcome_unknown(),
            ClaimVerdict::KeyReused => key_reused(),
            ClaimVerdict::AlreadyRunning => {
                match self.stream(&claim_request.key).entry(&claim_request.key) {
                    Some(entry) => self.decide_running(&entry),
                    None => outcome_unknown(),
                }
            }
            ClaimVerdict::TableFull => overloaded("as many keys are remembered as may be"),
            ClaimVerdict::TooManyTries => overloaded("too many requests claimed this key in vain"),
            ClaimVerdict::Repeated | ClaimVerdict::Ended | ClaimVerdict::NotHolder => {
                let detail = "the claim was decided for another record of the same request";
                ClaimDecision::Refuse(Refusal::not_run(RefusalReason::Internal, detail))
            }
        }
    }
}

impl ClaimKeeper for NodeClaimKeeper {
    fn claim(&self, claim_request: &ClaimRequest) -> ClaimDecision {
        let stream = self.stream(&claim_request.key);
        let known = stream
            .entry(&claim_request.key)
            .and_then(|entry| self.decide_known(claim_request, &entry));
        if let Some(decision) = known {
            return decision;
        }
        if self.epoch.get().is_none() {
            return log_unavailable("this VM has not joined, so its claims would not count");
        }
        let left_ms = claim_request
            .deadline_ms
            .saturating_sub(self.clock.monotonic_ms());
        let wait_ms = (left_ms / CLAIM_TIME_DIVISOR).min(CLAIM_WAIT_MS);
        stream.begin_wait(&claim_request.request);
        stream.queue(ClaimRecord::Claim(Claim {
            key: claim_request.key.clone(),
            call_hash: claim_request.call_hash,
            request: claim_request.request.clone(),
            vm: self.vm.clone(),
            process_id: self.process_id,
        }));
        match stream.wait(&claim_request.request, Duration::from_millis(wait_ms)) {
            ClaimWait::Decided(verdict) => self.decide(claim_request, verdict),
            ClaimWait::NotAppended => log_unavailable("the log refused the claim"),
            ClaimWait::TimedOut => {
                stream.free(&claim_request.key, &claim_request.request);
                log_unavailable("the log did not decide the claim in time")
            }
        }
    }

    fn finish(
        &self,
        key: &IdempotencyKey,
        request: &RequestId,
        ran: Ran,
        answer: Option<KeptAnswer>,
    ) {
        let finish = Finish {
            key: key.clone(),
            request: request.clone(),
            ran,
            answer,
        };
        self.stream(key).finish(finish);
    }
}

fn finished(answer: Option<KeptAnswer>) -> ClaimDecision {
    match answer {
        Some(answer) => ClaimDecision::Answer(answer),
        None => {
            let detail = "the call under this key has run; its answer is not kept";
            ClaimDecision::Refuse(Refusal::ran(RefusalReason::KeyAlreadyRan, detail))
        }
    }
}

fn outcome_unknown() -> ClaimDecision {
    let detail = "the call under this key may have run and will not be run again";
    ClaimDecision::Refuse(Refusal::unknown(RefusalReason::KeyOutcomeUnknown, detail))
}

fn key_reused() -> ClaimDecision {
    let detail = "the key was used with another call";
    ClaimDecision::Refuse(Refusal::not_run(RefusalReason::KeyReused, detail))
}

fn overloaded(detail: &str) -> ClaimDecision {
    let refusal = Refusal::not_run(RefusalReason::Overloaded, detail);
    ClaimDecision::Refuse(refusal.retry_after(LOG_RETRY_MS))
}

fn log_unavailable(detail: &str) -> ClaimDecision {
    let refusal = Refusal::not_run(RefusalReason::LogUnavailable, detail);
    ClaimDecision::Refuse(refusal.retry_after(LOG_RETRY_MS))
}
