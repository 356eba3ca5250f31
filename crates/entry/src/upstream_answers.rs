//! Answers of upstreams, and how they are delivered to callers.

use apricotdale_core::names::RequestId;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_delivery::AnswerSource;
use apricotdale_delivery::ContinuationMismatch;
use apricotdale_dispatch::FailedAttempt;
use apricotdale_dispatch::RetryAction;
use apricotdale_fleet::Upstream;
use apricotdale_http1::ResponseHead;
use mio::Token;

use crate::active::ActiveRequest;
use crate::active::Phase;
use crate::codec::AnswerFields;
use crate::daemon::Daemon;
use crate::outbound::Part;
use crate::outbound::Purpose;
use crate::request_ends::sent_software;
use crate::request_ends::upstream_text;
use crate::stream_resumption::software_text;

/// Space reserved for an answer's head in addition to the bytes of a part.
const HEAD_RESERVE_BYTES: usize = 512;

/// How an answer is handled, judged by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadVerdict {
    /// The answer is delivered to the caller.
    Deliver,
    /// The answer belongs to another request; this request's own may follow.
    Skip,
    /// The attempt has failed.
    Fail(FailedAttempt),
    /// The answer is the request's own, and can't continue what the caller has received.
    ContinuationMismatch(ContinuationMismatch),
}

impl Daemon {
    /// Continues receiving the answer to a caller's request. `is_open` is false if writing the
    /// request failed.
    pub(crate) fn advance_proxied_answer(&mut self, token: Token, key: u64, is_open: bool) {
        loop {
            let is_slow = self.is_caller_slow(key);
            let Some(connection) = self.outbound.get_mut(token) else {
                return;
            };
            if connection.purpose != Purpose::Proxy(key) {
                return;
            }
            if let Some(request) = self.active.get_mut(key) {
                request.last_received_ms = Some(connection.last_received_ms);
            }
            if is_slow {
                if connection.pause() {
                    self.metrics.paused_answer();
                }
                return;
            }
            match connection.next_part() {
                Part::Head(head) => {
                    self.handle_notices(token, &head);
                    self.handle_answer_head(token, key, head);
                }
                Part::Body(bytes) => self.handle_answer_body(token, key, &bytes),
                Part::End => {
                    if self.handle_answer_end(token, key) {
                        return;
                    }
                }
                Part::Wait if connection.has_more() => {
                    if !self.read_further(token) {
                        return;
                    }
                }
                Part::Wait if is_open => return,
                Part::Wait | Part::Failed => {
                    self.handle_failed_connection(token, key);
                    return;
                }
            }
        }
    }

    /// Continues reading an abandoned answer to its end.
    pub(crate) fn advance_drain(&mut self, token: Token) {
        loop {
            let Some(connection) = self.outbound.get_mut(token) else {
                return;
            };
            if connection.purpose != Purpose::Drain {
                return;
            }
            match connection.next_part() {
                Part::Head(head) => self.handle_notices(token, &head),
                Part::Body(bytes) if connection.record_drained(bytes.len()) => {}
                Part::Wait if connection.has_more() => {
                    if !self.read_further(token) {
                        return;
                    }
                }
                Part::Wait => return,
                Part::End => {
                    self.outbound
                        .release(self.now_ms, token, self.poll.registry());
                    return;
                }
                Part::Body(_) | Part::Failed => {
                    self.outbound.close(token, self.poll.registry());
                    return;
                }
            }
        }
    }

    fn handle_answer_head(&mut self, token: Token, key: u64, head: ResponseHead) {
        let fields = self.codecs.callers.answer(&head);
        self.record_idle_time(token, &head);
        self.log_resumed_answer(key, &head);
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let is_success = (200..300).contains(&head.status);
        let mut stated = None;
        let connection = self.outbound.get_mut(token);
        let has_carried_call = connection.is_some_and(|it| it.has_carried_call());
        let expected = ExpectedAnswer {
            id: &request.serving.id,
            may_run_again: request.job.kind.is_repeatable(),
            has_carried_call,
        };
        let verdict = match expected.classify(&head, &fields) {
            HeadVerdict::Deliver => {
                let fits = match &request.phase {
                    Phase::Sent {
                        upstream, origin, ..
                    } => {
                        let now = self.directory.upstream(upstream).map(Upstream::origin);
                        let source = AnswerSource {
                            origin: origin.corrected(now.as_ref()),
                            weights: fields.version,
                        };
                        request.delivery.head(head, &source)
                    }
                    _ => Err(ContinuationMismatch::Closed),
                };
                match fits {
                    Ok(()) => HeadVerdict::Deliver,
                    Err(mismatch) => HeadVerdict::ContinuationMismatch(mismatch),
                }
            }
            verdict => verdict,
        };
        if let Phase::Sent {
            upstream,
            at_ms,
            first_byte_ms,
            ..
        } = &mut request.phase
        {
            if verdict != HeadVerdict::Skip {
                if let Some(connection) = self.outbound.get_mut(token) {
                    connection.record_progress(self.now_ms);
                }
                if is_success && verdict == HeadVerdict::Deliver {
                    self.dispatcher.accepted(upstream, *at_ms);
                }
                first_byte_ms.get_or_insert(self.now_ms);
                stated = Some((upstream.clone(), *at_ms));
            }
            if let Some(sample) = fields.load.filter(|_| verdict != HeadVerdict::Skip) {
                self.dispatcher
                    .reported(self.now_ms, &request.job.service, upstream, sample);
            }
        }
        if let Some((upstream, sent_ms)) = stated {
            // A refusal or a failure need not repeat what the upstream states in its answers.
            let ends = is_success && verdict == HeadVerdict::Deliver;
            self.record_stated_limit(&upstream, ends.then_some(sent_ms), &fields.rate_limit);
            let is_rejection = verdict == HeadVerdict::Fail(FailedAttempt::Rejected);
            self.record_rejection_limit(
                &upstream,
                ends.then_some(sent_ms),
                &fields.rejection_limit,
            );
            let room = match fields.load {
                _ if is_rejection => 0,
                Some(sample) => sample.limited_room(),
                None => u32::MAX,
            };
            self.record_upstream_room(&upstream, room);
            self.record_acceptance(key, &upstream, sent_ms, is_rejection);
        }
        match verdict {
            HeadVerdict::Deliver => {}
            HeadVerdict::Skip => self.metrics.failed_attempt("crossed_answer"),
            HeadVerdict::Fail(failed) => {
                if failed == FailedAttempt::Misdirected {
                    self.handle_misdirected(key, &fields);
                }
                match failed.is_not_run() {
                    true => self.drain_answer(token),
                    false => self.abandon(token),
                }
                self.handle_failed_attempt(key, failed);
                self.advance_drain(token);
            }
            HeadVerdict::ContinuationMismatch(mismatch) => {
                self.reject_mismatch(token, key, mismatch)
            }
        }
    }

    fn drain_answer(&mut self, token: Token) {
        if let Some(connection) = self.outbound.get_mut(token) {
            connection.begin_drain(self.now_ms);
        }
    }

    /// Closes the connection of an upstream that may still work on a request, which informs the
    /// upstream that the request is abandoned.
    fn abandon(&mut self, token: Token) {
        self.outbound.close(token, self.poll.registry());
    }

    /// Abandons an answer that can't continue what the caller has received.
    fn reject_mismatch(&mut self, token: Token, key: u64, mismatch: ContinuationMismatch) {
        self.metrics.mismatch(mismatch.as_str());
        if let Some(request) = self.active.get(key)
            && self.log_budget.try_take(self.now_ms, false)
        {
            log::warn!(
                request_id = request.serving.id.to_string(),
                reason = mismatch.as_str(),
                upstream = upstream_text(&request.job),
                software = sent_software(request),
                begun_by = request.delivery.origin().map_or("", software_text),
                last_event = request.delivery.last_event(),
                begun = request.delivery.has_begun();
                "answer can't continue the delivered part"
            );
        }
        match mismatch {
            // The answer has ended, and its connection has been released.
            ContinuationMismatch::Unfinished | ContinuationMismatch::Empty => {}
            _ => self.abandon(token),
        }
        self.handle_failed_attempt(key, FailedAttempt::ContinuationMismatch);
    }

    /// Logs an upstream's answer to a request of which the caller already has a part.
    fn log_resumed_answer(&mut self, key: u64, head: &ResponseHead) {
        let has_begun = |request: &&ActiveRequest| request.delivery.has_begun();
        let Some(request) = self.active.get(key).filter(has_begun) else {
            return;
        };
        if self.log_budget.try_take(self.now_ms, false) {
            log::info!(
                request_id = request.serving.id.to_string(),
                upstream = upstream_text(&request.job),
                status = head.status,
                content_type = head.headers.text("Content-Type").unwrap_or_default(),
                software = sent_software(request),
                begun_by = request.delivery.origin().map_or("", software_text),
                resumes = request.serving.resumes.as_ref().map_or("", RequestId::as_str),
                last_event = request.delivery.last_event();
                "answer resumed at another upstream"
            );
        }
    }

    /// Corrects the directory after an answer that says that the request was sent to the wrong
    /// upstream.
    fn handle_misdirected(&mut self, key: u64, fields: &AnswerFields) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let Phase::Sent { upstream, .. } = &request.phase else {
            return;
        };
        let upstream = upstream.clone();
        let known = self.directory.upstream(&upstream);
        let is_other = match (&fields.answered_by, known) {
            (Some(other), Some(known)) => *other != known.instance,
            _ => false,
        };
        match (is_other, &request.job.wanted) {
            (true, _) => {
                self.directory.record_gone(&upstream);
                self.stop_sending_to(&upstream, "address_used_by_another");
            }
            (false, Some(wanted)) => {
                let wanted = wanted.clone();
                self.residence_updates.record_missing(
                    self.now_ms,
                    &mut self.directory,
                    &upstream,
                    &wanted,
                );
                self.report_missing_model(&upstream, &wanted.model);
            }
            (false, None) => {}
        }
    }

    fn handle_answer_body(&mut self, token: Token, key: u64, bytes: &[u8]) {
        let closes = self.caller_connection_closes(key);
        let share_bytes = self.answer_share_bytes();
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        request.delivery.limit_buffer(share_bytes);
        let had_begun = request.delivery.has_begun();
        let mut out = Vec::with_capacity(bytes.len() + HEAD_RESERVE_BYTES);
        let fits = request.delivery.body(bytes, closes, &mut out);
        // Of a stream only events that the caller gets count.
        let is_progress = !out.is_empty() || !request.route.kind.is_stream();
        if let Some(connection) = self.outbound.get_mut(token).filter(|_| is_progress) {
            connection.record_progress(self.now_ms);
        }
        if !out.is_empty() {
            self.deliver(key, had_begun, &out);
        }
        if let Err(mismatch) = fits {
            self.reject_mismatch(token, key, mismatch);
        }
    }

    /// Returns whether the connection of a request's caller closes after the answer.
    fn caller_connection_closes(&self, key: u64) -> bool {
        let caller = self.active.get(key).and_then(|request| request.caller);
        caller.is_some_and(|token| self.closes_after(token))
    }

    /// Writes part of an answer to the caller, unless the caller has left.
    fn deliver(&mut self, key: u64, had_begun: bool, bytes: &[u8]) {
        self.record_wait(key, had_begun);
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let Some(caller) = request.caller else {
            return;
        };
        if had_begun {
            let gap_ms = self.now_ms - request.last_part_ms;
            request.longest_gap_ms = request.longest_gap_ms.max(gap_ms);
            self.metrics.gap(gap_ms);
        } else {
            request.first_answer_ms = Some(self.now_ms);
            self.metrics
                .first_answer(self.now_ms - request.job.arrived_ms);
        }
        request.last_part_ms = self.now_ms;
        self.write_to_caller(caller, bytes);
        if !had_begun {
            self.record_begun_answer(key);
            self.decide_close(caller);
            self.record_stream_origin(key);
        }
    }

    /// Handles the end of an answer. Returns whether the request is done with the connection.
    fn handle_answer_end(&mut self, token: Token, key: u64) -> bool {
        let Some(request) = self.active.get(key) else {
            self.outbound
                .release(self.now_ms, token, self.poll.registry());
            return true;
        };
        if let Some(connection) = self.outbound.get_mut(token) {
            connection.record_progress(self.now_ms);
        }
        let Some(status) = request.delivery.status() else {
            // The answer belonged to another request; this request's own may still come.
            if let Some(connection) = self.outbound.get_mut(token) {
                connection.await_next_answer();
            }
            return false;
        };
        self.outbound
            .release(self.now_ms, token, self.poll.registry());
        if status >= 500 && self.retry_failed_answer(key) {
            return true;
        }
        let closes = self.caller_connection_closes(key);
        let Some(request) = self.active.get_mut(key) else {
            return true;
        };
        let had_begun = request.delivery.has_begun();
        let mut out = Vec::new();
        match request.delivery.end(closes, &mut out) {
            Ok(()) => self.deliver_end(key, status, had_begun, &out),
            Err(mismatch) => self.reject_mismatch(token, key, mismatch),
        }
        true
    }

    /// Retries a request elsewhere after an upstream's own failure, if it may be retried. Returns
    /// whether it is; otherwise the failure is passed on.
    fn retry_failed_answer(&mut self, key: u64) -> bool {
        let Some(request) = self.active.get_mut(key) else {
            return false;
        };
        if request.delivery.has_begun() || !request.job.kind.is_repeatable() {
            return false;
        }
        request.job.runs += 1;
        let decision =
            self.dispatcher
                .after_failure(self.now_ms, &request.job, FailedAttempt::Failed, false);
        match decision {
            RetryAction::AfterMs(pause_ms) => {
                self.metrics.failed_attempt(FailedAttempt::Failed.as_str());
                self.end_attempt(key, UpstreamOutcome::Lost);
                self.pause_request(key, pause_ms);
                true
            }
            RetryAction::OnceBudgetAllows | RetryAction::GiveUp => false,
        }
    }

    /// Delivers the end of an answer to the caller and ends the request.
    fn deliver_end(&mut self, key: u64, status: u16, had_begun: bool, bytes: &[u8]) {
        let outcome = match status {
            500.. => UpstreamOutcome::Lost,
            _ => UpstreamOutcome::Answered,
        };
        self.record_wait(key, had_begun);
        self.end_attempt(key, outcome);
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let features = request.features.clone();
        request.first_answer_ms.get_or_insert(self.now_ms);
        if let Some(caller) = request.caller {
            if !had_begun {
                self.metrics
                    .first_answer(self.now_ms - request.job.arrived_ms);
                self.decide_close(caller);
            }
            self.write_to_caller(caller, bytes);
            self.finish_answer(caller);
            let how = if status < 400 {
                self.record_answered(&features);
                "answered"
            } else {
                "upstream_failed"
            };
            self.end_request(key, how);
        } else {
            self.end_request(key, "answered_to_nobody");
        }
        self.redispatch_needed = true;
    }
}

/// The answer that a request awaits on its connection.
#[derive(Clone, Copy, Debug)]
struct ExpectedAnswer<'a> {
    id: &'a RequestId,
    may_run_again: bool,
    /// Whether the connection has carried a call, whose answer has no ID and may come once more.
    has_carried_call: bool,
}

impl ExpectedAnswer<'_> {
    /// Judges an answer by its head.
    fn classify(&self, head: &ResponseHead, fields: &AnswerFields) -> HeadVerdict {
        let success = (200..300).contains(&head.status);
        match &fields.request {
            Some(other) if other != self.id => HeadVerdict::Skip,
            None if self.has_carried_call => HeadVerdict::Skip,
            // Without an ID, nothing shows that the answer is that to this request.
            None => HeadVerdict::Fail(FailedAttempt::Lost),
            Some(_) if fields.misdirected => HeadVerdict::Fail(FailedAttempt::Misdirected),
            Some(_) if fields.not_run => HeadVerdict::Fail(FailedAttempt::Rejected),
            Some(_) if !fields.signed || fields.encoded => HeadVerdict::Fail(FailedAttempt::Lost),
            // Passed on, the status would promise what the upstream does not state.
            Some(_) if promises_not_run(head.status) && !self.may_run_again => {
                HeadVerdict::Fail(FailedAttempt::Lost)
            }
            Some(_) if success || head.status >= 400 => HeadVerdict::Deliver,
            Some(_) => HeadVerdict::Fail(FailedAttempt::Lost),
        }
    }
}

/// Returns whether callers take a status for the promise that their request has not run.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
