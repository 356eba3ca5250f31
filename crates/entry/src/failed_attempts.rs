//! Failed attempts to get an answer from an upstream, and what follows for the requests.

use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_dispatch::FailedAttempt;
use apricotdale_dispatch::RetryAction;
use mio::Token;

use crate::active::Phase;
use crate::daemon::Daemon;
use crate::outbound::Peer;
use crate::request_ends::model_text;
use crate::request_ends::parts_text;
use crate::request_ends::sent_software;
use crate::request_ends::upstream_text;
use crate::stream_resumption::software_text;
use crate::unanswered::UnansweredReason;

/// Retry delay stated to a refused caller. Engines reject requests for short moments only.
pub(crate) const RETRY_AFTER_MS: u64 = 300;

/// Time between two checks whether the retry budget admits a request. With many requests, the
/// budget grows by one retry every few milliseconds.
pub(crate) const BUDGET_PAUSE_MS: u64 = 50;

/// Pause of a request that was lost twice, in which it shows whether both upstreams crashed.
const LOST_AGAIN_PAUSE_MS: u64 = 50;

impl Daemon {
    /// Reports the end of an attempt to the routing policy and the watches.
    pub(crate) fn end_attempt(&mut self, key: u64, outcome: UpstreamOutcome) {
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        if let Phase::Sent {
            upstream,
            at_ms,
            first_byte_ms,
            ..
        } = &request.phase
        {
            let sent_ms = *at_ms;
            let upstream = upstream.clone();
            self.watch.ended(&upstream);
            let took_ms = first_byte_ms.map(|first_ms| first_ms - at_ms);
            self.dispatcher.ended(
                self.now_ms,
                &request.job.service,
                &upstream,
                outcome,
                took_ms,
            );
            if let Some(number) = request.trial.take() {
                let is_lost = outcome == UpstreamOutcome::Lost;
                self.crash_watch
                    .record_trial_end(self.now_ms, number, is_lost);
            }
            let was_abandoned = outcome == UpstreamOutcome::Cancelled;
            self.end_rejection_permit(key, &upstream, sent_ms, was_abandoned);
            self.end_statement_check(&upstream, outcome);
        }
    }

    /// Cancels an attempt by closing its connection, which informs the upstream.
    pub(crate) fn cancel_attempt(&mut self, key: u64) {
        self.end_attempt(key, UpstreamOutcome::Cancelled);
        let connection = match self.active.get(key).map(|request| &request.phase) {
            Some(Phase::Sent { connection, .. }) => *connection,
            _ => return,
        };
        self.outbound.close(connection, self.poll.registry());
        self.redispatch_needed = true;
    }

    pub(crate) fn handle_failed_connection(&mut self, token: Token, key: u64) {
        let sent = self.outbound.get_mut(token).is_some_and(|it| it.has_sent());
        let now_ms = self.now_ms;
        let is_direct = self
            .outbound
            .get_mut(token)
            .is_some_and(|it| it.relayed_by.is_none());
        let unreachable = self
            .outbound
            .get_mut(token)
            .is_some_and(|it| it.is_unreachable(now_ms) && it.relayed_by.is_none());
        let broken = self
            .outbound
            .get_mut(token)
            .is_some_and(|it| it.is_broken());
        let refused = self
            .outbound
            .get_mut(token)
            .is_some_and(|it| it.stream.refused && it.relayed_by.is_none());
        let failed = if sent {
            FailedAttempt::Lost
        } else {
            FailedAttempt::NotSent
        };
        self.record_failed_connection(token);
        if let Some(peer) = self.outbound.get_mut(token).map(|it| it.peer.clone()) {
            self.outbound.close(token, self.poll.registry());
            if let Peer::Upstream(upstream) = &peer {
                // Other idle connections have probably failed too, unless only new ones are refused.
                if !refused {
                    self.outbound
                        .close_idle_by_way(&peer, !is_direct, self.poll.registry());
                }
                if sent && broken {
                    self.record_lost_request(upstream, key);
                }
                if unreachable {
                    self.handle_unreachable_upstream(upstream);
                }
                if refused {
                    self.suspect_upstream_end(upstream);
                }
            }
        }
        self.handle_failed_attempt(key, failed);
    }

    /// Retries or ends a request whose attempt has failed.
    pub(crate) fn handle_failed_attempt(&mut self, key: u64, failed: FailedAttempt) {
        self.metrics.failed_attempt(failed.as_str());
        let outcome = match failed {
            FailedAttempt::Rejected | FailedAttempt::Misdirected => UpstreamOutcome::Refused,
            FailedAttempt::NotSent => UpstreamOutcome::Unreachable,
            FailedAttempt::Lost | FailedAttempt::Failed | FailedAttempt::ContinuationMismatch => {
                UpstreamOutcome::Lost
            }
        };
        let was_trial = self.active.get(key).is_some_and(|it| it.trial.is_some());
        self.end_attempt(key, outcome);
        self.log_failed_attempt(key, failed);
        self.redispatch_needed = true;
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        request.job.runs += u32::from(!failed.is_not_run());
        if matches!(
            failed,
            FailedAttempt::Lost | FailedAttempt::ContinuationMismatch
        ) {
            request
                .job
                .unusable
                .extend(request.job.tried.last().cloned());
        }
        let has_begun = request.delivery.has_begun();
        // A trial run, or a request that was blocked before, gets no second attempt until this one
        // has been judged.
        let is_suspect = was_trial || self.crash_watch.knows(&request.features);
        let may_retry = request.delivery.may_continue() && (failed.is_not_run() || !is_suspect);
        let unanswered = match () {
            _ if !request.delivery.may_continue() => UnansweredReason::NotContinuable,
            _ if !may_retry => UnansweredReason::SuspectedAfterFailure,
            _ => UnansweredReason::RetryDenied,
        };
        let decision = match may_retry && request.caller.is_some() {
            true => self
                .dispatcher
                .after_failure(self.now_ms, &request.job, failed, has_begun),
            false => RetryAction::GiveUp,
        };
        match decision {
            RetryAction::AfterMs(pause_ms) => {
                let is_lost_again = failed == FailedAttempt::Lost && request.job.runs > 1;
                let rejected_by = request.job.tried.last();
                let is_resting = failed == FailedAttempt::Rejected
                    && rejected_by.is_some_and(|it| self.dispatcher.is_resting(self.now_ms, it));
                let pause_ms = match () {
                    _ if is_lost_again => pause_ms.max(LOST_AGAIN_PAUSE_MS),
                    // It goes to another upstream, which is not known to be short of room.
                    _ if is_resting => 0,
                    _ => pause_ms,
                };
                self.pause_request(key, pause_ms);
            }
            RetryAction::OnceBudgetAllows => {
                request.job.awaits_retry_budget = true;
                self.pause_request(key, BUDGET_PAUSE_MS);
            }
            RetryAction::GiveUp => self.refuse_after_failures(key, failed, unanswered),
        }
    }

    /// Handles that an upstream refused a connection or did not accept one in time.
    pub(crate) fn handle_unreachable_upstream(&mut self, upstream: &UpstreamName) {
        if self.paths.is_relayed(upstream) {
            return;
        }
        if self.dispatcher.record_unreachable(self.now_ms, upstream) {
            log::info!(upstream = upstream.to_string(); "upstream is unreachable");
            self.redispatch_needed = true;
        }
    }

    fn log_failed_attempt(&mut self, key: u64, failed: FailedAttempt) {
        if !self.log_budget.try_take(self.now_ms, false) {
            return;
        }
        let Some(request) = self.active.get(key) else {
            return;
        };
        log::info!(
            request_id = request.serving.id.to_string(),
            reason = failed.as_str(),
            fingerprint = request.features.request.to_string(),
            parts = parts_text(&request.serving.parts),
            upstream = upstream_text(&request.job),
            software = sent_software(request),
            begun_by = request.delivery.origin().map_or("", software_text),
            model = model_text(&request.job),
            tries = request.job.tried.len(),
            begun = request.delivery.has_begun(),
            age_ms = self.now_ms - request.job.arrived_ms;
            "send without an answer"
        );
    }

    pub(crate) fn pause_request(&mut self, key: u64, pause_ms: u64) {
        let until_ms = self.now_ms + pause_ms;
        if let Some(request) = self.active.get_mut(key) {
            request.phase = Phase::Pausing { until_ms };
            self.active.wake_at(until_ms, key);
        }
    }

    fn refuse_after_failures(
        &mut self,
        key: u64,
        failed: FailedAttempt,
        unanswered: UnansweredReason,
    ) {
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let refusal = match request.job.runs {
            0 => {
                let reason = match failed {
                    FailedAttempt::NotSent => RefusalReason::NotReady,
                    _ => RefusalReason::NoCapacity,
                };
                let detail = "no upstream took the request";
                Refusal::not_run(reason, detail).retry_after(RETRY_AFTER_MS)
            }
            _ => Refusal::unknown(
                RefusalReason::UpstreamLost,
                "the upstream's answer was lost",
            ),
        };
        self.refuse(key, &refusal, unanswered);
    }
}
