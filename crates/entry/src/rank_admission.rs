//! Admission of arriving requests by rank, by the shares that the lease holder announces.

use apricotdale_admission::RankAdmission;
use apricotdale_admission::RankDecision;
use apricotdale_admission::RankShareRow;
use apricotdale_admission::service_key;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_dispatch::Job;
use apricotdale_fleet::ServingRequest;

use crate::daemon::Daemon;
use crate::request_dispatch::request_hash;

/// Share that admits every request.
const ALL_PERMILLE: u16 = 1_000;

/// Shares in force, and what has been logged of them.
#[derive(Debug, Default)]
pub(crate) struct RankGate {
    admission: RankAdmission,
    /// Whether the shares bind, as last logged.
    is_binding: bool,
    /// Number of requests refused since the shares began to bind.
    refused: u64,
}

impl Daemon {
    /// Applies the shares of the ranks that the lease holder has announced. They replace the earlier
    /// ones of all services, so that an empty list ends all refusals by rank.
    pub fn apply_rank_shares(&mut self, rows: Vec<RankShareRow>) {
        self.rank_gate.admission.record(self.now_ms, rows);
        self.advance_rank_gate();
    }

    /// Updates the metric of the shares, and logs when they begin and end to bind.
    pub(crate) fn advance_rank_gate(&mut self) {
        let gate = &mut self.rank_gate;
        let lowest_permille = gate.admission.lowest_permille(self.now_ms);
        let is_binding = lowest_permille < ALL_PERMILLE;
        self.metrics
            .lowest_rank_permille
            .set(i64::from(lowest_permille));
        let was_binding = std::mem::replace(&mut gate.is_binding, is_binding);
        let holder = self.peers.lease_holder_text();
        match (was_binding, is_binding) {
            (false, true) => {
                gate.refused = 0;
                log::info!(lowest_permille, holder; "arrivals are admitted by rank");
            }
            (true, false) => {
                log::info!(refused = gate.refused, holder; "arrivals are no longer admitted by rank");
            }
            _ => {}
        }
    }

    /// Returns the refusal of a request whose rank's share is used up; none if it is admitted.
    /// Streams that are resumed have been admitted before.
    pub(crate) fn rank_refusal(&mut self, serving: &ServingRequest, job: &Job) -> Option<Refusal> {
        if serving.last_event.is_some() || !self.is_engine_service(&job.service) {
            return None;
        }
        let rank = u8::try_from(job.rank).unwrap_or(u8::MAX);
        let service = service_key(&job.service);
        let hash = request_hash(&serving.id);
        let admission = &self.rank_gate.admission;
        match admission.decide(self.now_ms, service, rank, hash) {
            RankDecision::Admit => None,
            RankDecision::Refuse { retry_after_ms } => {
                self.rank_gate.refused += 1;
                self.metrics.rank_refusal(rank);
                let detail =
                    format!("the engines can't answer more requests of rank {rank} in time");
                let refusal = Refusal::not_run(RefusalReason::Overloaded, detail);
                Some(refusal.retry_after(retry_after_ms))
            }
        }
    }
}
