//! Final answers that this VM gives itself, and the end of requests.

use apricotdale_core::names::RequestId;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_delivery::Closing;
use apricotdale_dispatch::Job;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::PromptPart;
use apricotdale_fleet::WantedModel;
use mio::Token;

use crate::active::ActiveRequest;
use crate::active::Phase;
use crate::daemon::Daemon;
use crate::failed_attempts::RETRY_AFTER_MS;
use crate::stream_resumption::software_text;
use crate::unanswered::RequestTrace;
use crate::unanswered::UnansweredReason;

/// Maximum number of prompt parts in one log line.
const MAX_LOGGED_PARTS: usize = 16;

impl Daemon {
    /// Refuses an active request. `unanswered` tells why it ends without a complete answer if its
    /// answer has begun.
    pub(crate) fn refuse(&mut self, key: u64, refusal: &Refusal, unanswered: UnansweredReason) {
        self.metrics.refused(refusal.reason.as_str());
        let Some(request) = self.active.get(key) else {
            return;
        };
        if self.log_budget.try_take(self.now_ms, false) {
            let job = &request.job;
            log::info!(
                request_id = request.serving.id.to_string(),
                reason = refusal.reason.as_str(),
                ran = refusal.ran.as_str(),
                detail = refusal.detail,
                route = request.route.name.to_string(),
                model = model_text(job),
                age_ms = self.now_ms - job.arrived_ms,
                tries = job.tried.len(),
                config_version = self.directory.version(),
                list_age_ms = self.store_pollers.list_age_ms(self.now_ms),
                orders_by = self.peers.lease_holder_text(),
                forecast_in_ms = self.dispatcher.forecast_in_ms(self.now_ms, job);
                "request refused"
            );
        }
        if let (Some(charge), Ran::NotRun) = (request.charge, refusal.ran) {
            self.refund(charge, key);
        }
        if let Some(token) = self.active.get(key).and_then(|request| request.caller) {
            self.refuse_or_abort(key, token, refusal, unanswered);
        }
        self.end_request(key, refusal.reason.as_str());
        self.schedule_redispatch();
    }

    /// Answers with a refusal, or aborts an answer that has begun.
    fn refuse_or_abort(
        &mut self,
        key: u64,
        token: Token,
        refusal: &Refusal,
        unanswered: UnansweredReason,
    ) {
        let close = self.decide_close(token);
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let id = &request.serving.id;
        let codec = &self.codecs.callers;
        let closing = request
            .delivery
            .close(|| codec.refusal(refusal, Some(id), close));
        match closing {
            Closing::Answer(bytes) => self.write_refusal(token, bytes),
            // A reset, so that an answer that stopped midway does not look complete.
            Closing::Abort => {
                self.close_caller(token, unanswered, true);
            }
        }
    }

    fn schedule_redispatch(&mut self) {
        self.redispatch_needed = true;
    }

    /// Removes a request that has its final answer, and logs how it ended.
    pub(crate) fn end_request(&mut self, key: u64, how: &str) {
        let Some(request) = self.active.remove(key) else {
            return;
        };
        self.upstream_permits.withdraw(key);
        let caller = request
            .caller
            .and_then(|token| self.callers.get_mut(&token));
        if let Some(caller) = caller {
            caller.watch_delivery(RequestTrace::new(&request));
        }
        self.metrics.ended(how);
        let good = how == "answered";
        if good {
            self.record_engine_end(&request);
        }
        let job = &request.job;
        if self.log_budget.try_take(self.now_ms, good) {
            log::info!(
                request_id = request.serving.id.to_string(),
                resumes = request.serving.resumes.as_ref().map_or("", RequestId::as_str),
                software = sent_software(&request),
                begun_by = request.delivery.origin().map_or("", software_text),
                reason = how,
                route = request.route.name.to_string(),
                status = request.delivery.status(),
                last_event = request.delivery.last_event(),
                tries = job.tried.len(),
                upstream = upstream_text(job),
                model = model_text(job),
                prompt_tokens = request.serving.prompt_tokens,
                longest_gap_ms = request.longest_gap_ms,
                wait_ms = request.first_sent_ms.map_or(0, |at_ms| at_ms - job.arrived_ms),
                first_answer_ms = request.first_answer_ms.map_or(0, |at_ms| at_ms - job.arrived_ms),
                took_ms = self.now_ms - job.arrived_ms;
                "request ended"
            );
        }
    }

    /// Handles requests whose deadline has passed or whose pause has ended.
    pub(crate) fn wake_due_requests(&mut self) {
        for key in self.active.due(self.now_ms) {
            let Some(request) = self.active.get_mut(key) else {
                continue;
            };
            if self.now_ms >= request.job.deadline_ms {
                self.handle_passed_deadline(key);
                continue;
            }
            match request.phase {
                Phase::Pausing { until_ms } if until_ms <= self.now_ms => {
                    request.phase = Phase::Waiting(WaitReason::Full);
                    self.dispatch(key);
                }
                Phase::Waiting(
                    WaitReason::Limit
                    | WaitReason::Permit
                    | WaitReason::Suspected
                    | WaitReason::Origin,
                ) => self.dispatch(key),
                _ => {}
            }
        }
    }

    fn handle_passed_deadline(&mut self, key: u64) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let is_sent = matches!(request.phase, Phase::Sent { .. });
        let ran = match is_sent || request.job.runs > 0 {
            true => Ran::Unknown,
            false => Ran::NotRun,
        };
        let reason = match is_sent {
            true => RefusalReason::UpstreamTimeout,
            false => RefusalReason::DeadlineTooShort,
        };
        let mut refusal = Refusal::not_run(reason, "the time is over");
        match ran {
            Ran::NotRun => refusal = refusal.retry_after(RETRY_AFTER_MS),
            _ => refusal.ran = ran,
        }
        self.cancel_attempt(key);
        self.refuse(key, &refusal, UnansweredReason::DeadlinePassed);
    }
}

/// Returns the software version of the upstream that a request was sent to, for logs; empty if it
/// is unknown.
pub(crate) fn sent_software(request: &ActiveRequest) -> &str {
    match &request.phase {
        Phase::Sent { origin, .. } => software_text(origin),
        _ => "",
    }
}

/// Returns the IDs of the first parts of a request's prompt, for logs.
pub(crate) fn parts_text(parts: &[PromptPart]) -> String {
    let ids = parts.iter().take(MAX_LOGGED_PARTS);
    let ids: Vec<String> = ids.map(|part| format!("{:x}", part.id)).collect();
    ids.join(" ")
}

/// Returns the model and adapter that a request names, for logs; empty if it names none.
pub(crate) fn model_text(job: &Job) -> String {
    match &job.wanted {
        Some(WantedModel {
            model,
            adapter: Some(adapter),
        }) => format!("{model}/{adapter}"),
        Some(WantedModel {
            model,
            adapter: None,
        }) => model.to_string(),
        None => String::new(),
    }
}

/// Returns the upstream that a request was last sent to, for logs; empty if there is none.
pub(crate) fn upstream_text(job: &Job) -> &str {
    job.tried.last().map_or("", UpstreamName::as_str)
}
