//! Callers' connections: receiving requests, writing answers and closing.

use std::io;

use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_fleet::CallerDue;
use apricotdale_http1::Error as HttpError;
use apricotdale_http1::RequestHead;
use apricotdale_http1::append_head_end;
use apricotdale_http1::append_header;
use apricotdale_http1::append_status_line;
use mio::Token;

use crate::active::Phase;
use crate::caller::Caller;
use crate::caller::CallerKind;
use crate::caller::Received;
use crate::daemon::Daemon;
use crate::stream::Stream;
use crate::unanswered::UnansweredReason;

/// Maximum number of callers' connections, besides those to upstreams. A VM has 3,900 descriptors
/// for sockets.
const MAX_CALLERS: usize = 3_000;

const HEAD_END: &[u8] = b"\r\n\r\n";

impl Daemon {
    /// Continues a caller's connection: writes, reads and handles complete requests.
    pub(crate) fn serve_caller(&mut self, token: Token) {
        loop {
            let limits = self.directory.configuration().limits;
            let now_ms = self.now_ms;
            let Some(caller) = self.callers.get_mut(&token) else {
                return;
            };
            if caller.flush(now_ms) {
                self.drop_caller(token, UnansweredReason::WriteFailed);
                return;
            }
            self.resume_reading(token);
            let Some(caller) = self.callers.get_mut(&token) else {
                return;
            };
            match caller.receive(now_ms, &limits) {
                Received::Request { head, body } => self.handle_request(token, head, body),
                Received::Refused(error) => self.refuse_invalid_bytes(token, error),
                Received::Left => {
                    self.drop_caller(token, UnansweredReason::CallerLeft);
                    return;
                }
                Received::Nothing => return,
            }
        }
    }

    /// Resumes reading from an upstream once the caller has taken the bytes read so far.
    fn resume_reading(&mut self, token: Token) {
        let Some(key) = self.callers.get(&token).and_then(|caller| caller.request()) else {
            return;
        };
        let Some(Phase::Sent { connection, .. }) = self.active.get(key).map(|it| &it.phase) else {
            return;
        };
        let connection = *connection;
        let was_paused = self
            .outbound
            .get_mut(connection)
            .is_some_and(|it| it.resume(self.now_ms));
        if was_paused {
            self.advance_proxied_answer(connection, key, true);
        }
    }

    /// Drops the callers' connections that have timed out, and the idle ones late in a planned stop.
    pub(crate) fn drop_timed_out_callers(&mut self) {
        let limits = self.directory.configuration().limits;
        let closes_idle = self.planned_stop.closes_idle(self.now_ms);
        let due: Vec<(Token, CallerDue)> = self
            .callers
            .iter()
            .map(|(token, caller)| (*token, caller.due(self.now_ms, &limits, closes_idle)))
            .filter(|(_, due)| *due != CallerDue::Nothing)
            .collect();
        for (token, due) in due {
            match due {
                CallerDue::Nothing => {}
                CallerDue::Close => self.drop_caller(token, UnansweredReason::NotTaken),
                CallerDue::Refuse => self.refuse_late_request(token),
            }
        }
    }

    /// Refuses a request of which only a part has arrived in time. Its caller may send it again, also
    /// if it may run only once.
    fn refuse_late_request(&mut self, token: Token) {
        let detail = "the request did not arrive in time";
        let refusal = Refusal::not_run(RefusalReason::RequestTimeout, detail);
        self.refuse_connection(token, refusal);
        self.answered.push(token);
    }

    /// Drops a caller's connection. Its request is cancelled if it may be retried or streams; one
    /// that may run only once continues to its end.
    pub(crate) fn drop_caller(&mut self, token: Token, reason: UnansweredReason) {
        if let Some(key) = self.close_caller(token, reason, false) {
            self.caller_left(key, reason == UnansweredReason::CallerLeft);
        }
    }

    fn caller_left(&mut self, key: u64, left: bool) {
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        request.caller = None;
        let may_be_cut = request.job.kind.is_repeatable() || request.job.kind.is_stream();
        let is_sent = matches!(request.phase, Phase::Sent { .. });
        if !is_sent || may_be_cut {
            self.cancel_attempt(key);
            self.end_request(
                key,
                if left {
                    "caller_left"
                } else {
                    "caller_dropped"
                },
            );
        }
    }

    /// Writes a refusal. The answer to a HEAD request has no body.
    pub(crate) fn write_refusal(&mut self, token: Token, mut bytes: Vec<u8>) {
        let is_head_request = self
            .callers
            .get(&token)
            .is_some_and(|it| it.is_head_request);
        if is_head_request {
            remove_body(&mut bytes);
        }
        self.write_to_caller(token, &bytes);
        self.finish_answer(token);
    }

    fn refuse_invalid_bytes(&mut self, token: Token, error: HttpError) {
        let reason = match error {
            HttpError::HeadTooLarge => RefusalReason::HeadTooLarge,
            HttpError::BodyTooLarge => RefusalReason::BodyTooLarge,
            _ => RefusalReason::BadRequest,
        };
        self.refuse_connection(token, Refusal::not_run(reason, error.to_string()));
    }

    /// Answers with a refusal and closes the connection, since its further bytes can't be parsed.
    fn refuse_connection(&mut self, token: Token, refusal: Refusal) {
        self.metrics.refused(refusal.reason.as_str());
        let now_ms = self.now_ms;
        let bytes = self.codecs.callers.refusal(&refusal, None, true);
        if let Some(caller) = self.callers.get_mut(&token) {
            caller.stream.queue(&bytes);
            caller.begin_close(now_ms);
        }
    }

    fn handle_request(&mut self, token: Token, head: RequestHead, body: Vec<u8>) {
        match self.callers.get(&token).map(|caller| caller.kind) {
            Some(CallerKind::Serving) => self.handle_serving_request(token, head, body),
            Some(CallerKind::Ready) => self.answer_ready(token),
            Some(CallerKind::Metrics) => self.answer_metrics(token),
            None => {}
        }
    }

    fn answer_ready(&mut self, token: Token) {
        let ready = self.is_ready_for_requests() && !self.planned_stop.has_begun();
        self.answer_text(token, if ready { 200 } else { 503 }, "");
    }

    fn answer_metrics(&mut self, token: Token) {
        self.metrics.active.set(self.active.len() as i64);
        self.metrics.callers.set(self.callers.len() as i64);
        self.metrics.outbound.set(self.outbound.len() as i64);
        self.metrics
            .dropped_lines
            .set(self.log_budget.dropped_lines as i64);
        self.update_quarantine_gauges();
        self.update_configuration_gauges();
        self.update_path_gauges();
        let text = self.metrics.render();
        self.answer_text(token, 200, &text);
    }

    fn answer_text(&mut self, token: Token, status: u16, text: &str) {
        let mut bytes = Vec::new();
        append_status_line(&mut bytes, status);
        append_header(&mut bytes, "Content-Type", b"text/plain; charset=utf-8");
        append_header(
            &mut bytes,
            "Content-Length",
            text.len().to_string().as_bytes(),
        );
        append_head_end(&mut bytes);
        bytes.extend_from_slice(text.as_bytes());
        self.write_to_caller(token, &bytes);
        self.finish_answer(token);
    }

    /// Writes to a caller. A broken connection is handled later.
    pub(crate) fn write_to_caller(&mut self, token: Token, bytes: &[u8]) {
        if let Some(caller) = self.callers.get_mut(&token) {
            caller.stream.queue(bytes);
            caller.stream.flush();
        }
    }

    /// Returns whether the caller's connection closes after an answer whose head is written now.
    pub(crate) fn closes_after(&self, token: Token) -> bool {
        self.planned_stop.has_begun()
            || self
                .callers
                .get(&token)
                .is_some_and(|caller| caller.close_after)
    }

    /// Decides whether the caller's connection closes after the answer whose head is written now,
    /// and returns the decision. A caller that was not told may send another request.
    pub(crate) fn decide_close(&mut self, token: Token) -> bool {
        let closes = self.closes_after(token);
        if let Some(caller) = self.callers.get_mut(&token) {
            caller.close_after = closes;
        }
        closes
    }

    /// Completes an answer on a caller's connection. If the connection closes, further requests that
    /// have been read are refused.
    pub(crate) fn finish_answer(&mut self, token: Token) {
        let now_ms = self.now_ms;
        let limits = self.directory.configuration().limits;
        let closes = self.planned_stop.closes_idle(now_ms);
        let Some(caller) = self.callers.get_mut(&token) else {
            return;
        };
        // The head of a long answer may have been written before the stop, without announcing it.
        caller.close_after |= closes;
        if !caller.answered(now_ms) {
            while let Some(head) = caller.take_next_request(&limits) {
                let id = self.codecs.callers.decode(&head).ok().map(|it| it.id);
                let detail = "the connection closes after the answer before";
                let refusal = Refusal::not_run(RefusalReason::Draining, detail);
                self.metrics.refused(refusal.reason.as_str());
                let mut bytes = self.codecs.callers.refusal(&refusal, id.as_ref(), true);
                if head.method.eq_ignore_ascii_case("HEAD") {
                    remove_body(&mut bytes);
                }
                caller.stream.queue(&bytes);
            }
        }
        caller.flush(now_ms);
        self.answered.push(token);
    }

    pub(crate) fn accept(&mut self, token: Token) {
        loop {
            let Some((listener, kind)) = self.listeners.get(&token) else {
                return;
            };
            let kind = *kind;
            match listener.accept() {
                Ok((socket, from)) if self.callers.len() + 2 * self.relayed.len() < MAX_CALLERS => {
                    let token = self.new_token();
                    match Stream::accepted(socket, self.poll.registry(), token) {
                        Ok(stream) => {
                            let limits = self.directory.configuration().limits;
                            let caller = Caller::new(self.now_ms, stream, kind, from.ip(), &limits);
                            self.callers.insert(token, caller);
                            self.serve_caller(token);
                        }
                        Err(error) => {
                            log::warn!(reason = error.to_string(); "accepted connection can't be registered")
                        }
                    }
                }
                // The connection is closed without reading a request, so that the caller retries
                // elsewhere.
                Ok(_) => self.metrics.refused("too_many_connections"),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!(reason = error.to_string(); "connection can't be accepted");
                    return;
                }
            }
        }
    }
}

fn remove_body(answer: &mut Vec<u8>) {
    let end = answer.windows(HEAD_END.len()).position(|it| it == HEAD_END);
    if let Some(end) = end {
        answer.truncate(end + HEAD_END.len());
    }
}
