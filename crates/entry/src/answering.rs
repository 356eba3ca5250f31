//! Upstreams' answers, and what becomes of requests without one.

use apricotdale_core::names::RequestId;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_dispatch::Attempt;
use apricotdale_dispatch::FailedTry;
use apricotdale_http1::ResponseHead;
use apricotdale_http1::append_chunk;
use apricotdale_http1::append_head_end;
use apricotdale_http1::append_header;
use apricotdale_http1::append_last_chunk;
use apricotdale_http1::append_status_line;
use mio::Token;

use crate::active::Phase;
use crate::codec::AnswerFields;
use crate::daemon::Daemon;
use crate::ending::upstream_text;
use crate::outbound::Part;
use crate::outbound::Purpose;

/// The largest answer that is held back until it is whole. A larger one goes out in pieces.
const HELD_BYTES: usize = 1024 * 1024;

/// Bytes that may wait for a slow caller before the upstream is no longer read.
const UNWRITTEN_BYTES: usize = 256 * 1024;

/// `HeadVerdict` is what becomes of an answer by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadVerdict {
    /// It is the answer.
    Take,
    /// It answers another request; this request's own may follow.
    Skip,
    /// The try has failed.
    Fail(FailedTry),
}

impl Daemon {
    /// Goes on with the answer to a caller's request.
    pub(crate) fn advance_relay(&mut self, token: Token, key: u64, stands: bool) {
        let now_ms = self.now_ms;
        loop {
            let too_full = self.caller_is_behind(key);
            let Some(connection) = self.outbound.get_mut(token) else {
                return;
            };
            if connection.purpose != Purpose::Relay(key) {
                return;
            }
            if too_full {
                connection.paused = true;
                return;
            }
            match connection.next_part() {
                Part::Head(head) => self.answer_head(token, key, head),
                Part::Body(bytes) => self.answer_body(key, &bytes),
                Part::End => {
                    if self.answer_end(token, key) {
                        return;
                    }
                }
                Part::Wait if connection.has_more() => connection.read(now_ms),
                Part::Wait if stands => return,
                Part::Wait | Part::Failed => {
                    self.connection_failed(token, key);
                    return;
                }
            }
        }
    }

    fn caller_is_behind(&self, key: u64) -> bool {
        self.active
            .get(key)
            .and_then(|request| request.caller)
            .and_then(|token| self.callers.get(&token))
            .is_some_and(|caller| caller.stream.unwritten_bytes() > UNWRITTEN_BYTES)
    }

    /// Reads an answer that nobody waits for to its end.
    pub(crate) fn advance_drain(&mut self, token: Token) {
        let now_ms = self.now_ms;
        loop {
            let Some(connection) = self.outbound.get_mut(token) else {
                return;
            };
            match connection.next_part() {
                Part::Head(_) | Part::Body(_) => {}
                Part::Wait if connection.has_more() => connection.read(now_ms),
                Part::Wait => return,
                Part::End => {
                    self.outbound
                        .release(self.now_ms, token, self.poll.registry());
                    return;
                }
                Part::Failed => {
                    self.outbound.close(token, self.poll.registry());
                    return;
                }
            }
        }
    }

    fn answer_head(&mut self, token: Token, key: u64, head: ResponseHead) {
        let fields = self.codecs.callers.answer(&head);
        self.note_idle(token, &head);
        self.log_second_answer(key, &head);
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let verdict = match judge(&head, &fields, &request.serving.id) {
            // A failure behind events that were passed on would look like the end of the stream.
            HeadVerdict::Take if request.begun && head.status >= 400 => {
                HeadVerdict::Fail(FailedTry::Failed)
            }
            verdict => verdict,
        };
        if let Phase::Sent {
            upstream,
            first_byte_ms,
            ..
        } = &mut request.phase
        {
            if verdict != HeadVerdict::Skip {
                first_byte_ms.get_or_insert(self.now_ms);
            }
            if let Some(sample) = fields.load {
                self.dispatcher
                    .reported(self.now_ms, &request.job.service, upstream, sample);
            }
        }
        match verdict {
            HeadVerdict::Take => request.answer = Some(head),
            HeadVerdict::Skip => {
                request.answer = None;
                self.metrics.failed_try("crossed_answer");
            }
            HeadVerdict::Fail(failed) => {
                if failed == FailedTry::Misdirected {
                    self.note_misdirected(key, &fields);
                }
                if let Some(connection) = self.outbound.get_mut(token) {
                    connection.purpose = Purpose::Drain;
                }
                self.try_failed(key, failed);
                self.advance_drain(token);
            }
        }
    }

    /// Tells that an upstream answers a request of which the caller already has a part.
    fn log_second_answer(&mut self, key: u64, head: &ResponseHead) {
        let Some(request) = self.active.get(key).filter(|request| request.begun) else {
            return;
        };
        if self.lines.take(self.now_ms, false) {
            log::info!(
                request_id = request.serving.id.to_string(),
                upstream = upstream_text(&request.job),
                status = head.status,
                content_type = head.headers.text("Content-Type").unwrap_or_default(),
                last_event = request.events.last_id();
                "answer goes on at another upstream"
            );
        }
    }

    /// Learns from an answer that says the request was sent to the wrong place.
    fn note_misdirected(&mut self, key: u64, fields: &AnswerFields) {
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
                self.directory.note_gone(&upstream);
                self.upstream_left(&upstream, "address_used_by_another");
            }
            (false, Some(wanted)) => {
                let wanted = wanted.clone();
                self.news
                    .note_missing(self.now_ms, &mut self.directory, &upstream, &wanted);
                self.tell_turned_away(&upstream, &wanted.model);
            }
            (false, None) => {}
        }
    }

    fn answer_body(&mut self, key: u64, bytes: &[u8]) {
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let Some(head) = &request.answer else {
            return;
        };
        let is_events = request.job.kind.is_stream() && (200..300).contains(&head.status);
        if is_events {
            let events = request.events.push(bytes);
            self.pass_on(key, &events);
            return;
        }
        request.held.extend_from_slice(bytes);
        if request.begun || request.held.len() > HELD_BYTES {
            let held = std::mem::take(&mut request.held);
            self.pass_on(key, &held);
        }
    }

    /// Passes part of an answer on, with its head before the first part.
    fn pass_on(&mut self, key: u64, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let Some(caller) = request.caller else {
            return;
        };
        if request.begun {
            let gap_ms = self.now_ms - request.last_part_ms;
            request.longest_gap_ms = request.longest_gap_ms.max(gap_ms);
            self.metrics.gap(gap_ms);
        }
        request.last_part_ms = self.now_ms;
        let mut out = Vec::with_capacity(bytes.len() + 512);
        if !request.begun {
            request.begun = true;
            request.first_answer_ms = Some(self.now_ms);
            self.metrics
                .first_answer(self.now_ms - request.job.arrived_ms);
            let closes = self.closes_after(caller);
            if let Some(head) = self.active.get(key).and_then(|it| it.answer.as_ref()) {
                append_answer_head(&mut out, head, None, closes);
            }
        }
        append_chunk(&mut out, bytes);
        self.write_to_caller(caller, &out);
    }

    /// Ends an answer. Returns whether the connection is done with.
    fn answer_end(&mut self, token: Token, key: u64) -> bool {
        let Some(request) = self.active.get_mut(key) else {
            self.outbound
                .release(self.now_ms, token, self.poll.registry());
            return true;
        };
        let Some(head) = request.answer.clone() else {
            // The answer belonged to another request; this one's own may still come.
            if let Some(connection) = self.outbound.get_mut(token) {
                connection.expect_another();
            }
            return false;
        };
        self.outbound
            .release(self.now_ms, token, self.poll.registry());
        if head.status >= 500 && self.repeats_failure(key) {
            return true;
        }
        let rest = request_rest(self, key);
        self.deliver_end(key, &head, &rest);
        true
    }

    /// Decides whether an upstream's own failure is repeated elsewhere instead of passed on.
    fn repeats_failure(&mut self, key: u64) -> bool {
        let Some(request) = self.active.get_mut(key) else {
            return false;
        };
        if request.begun || !request.job.kind.is_repeatable() {
            return false;
        }
        request.job.runs += 1;
        let attempt =
            self.dispatcher
                .after_failure(self.now_ms, &request.job, FailedTry::Failed, false);
        match attempt {
            Attempt::AgainAfterMs(pause_ms) => {
                self.metrics.failed_try(FailedTry::Failed.as_str());
                self.end_try(key, UpstreamOutcome::Lost);
                self.pause(key, pause_ms);
                true
            }
            Attempt::OnceAllowed | Attempt::GiveUp => false,
        }
    }

    /// Hands the end of an answer to the caller and ends the request.
    fn deliver_end(&mut self, key: u64, head: &ResponseHead, rest: &[u8]) {
        let outcome = match head.status {
            500.. => UpstreamOutcome::Lost,
            _ => UpstreamOutcome::Answered,
        };
        self.end_try(key, outcome);
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let begun = request.begun;
        let fingerprint = request.fingerprint;
        request.first_answer_ms.get_or_insert(self.now_ms);
        if let Some(caller) = request.caller {
            let mut out = Vec::with_capacity(rest.len() + 512);
            if begun {
                append_chunk(&mut out, rest);
                append_last_chunk(&mut out);
            } else {
                self.metrics
                    .first_answer(self.now_ms - request.job.arrived_ms);
                let closes = self.closes_after(caller);
                append_answer_head(&mut out, head, Some(rest.len()), closes);
                out.extend_from_slice(rest);
            }
            self.write_to_caller(caller, &out);
            self.finish_answer(caller);
            let how = if head.status < 400 {
                self.note_answered(fingerprint);
                "answered"
            } else {
                "upstream_failed"
            };
            self.end_request(key, how);
        } else {
            self.end_request(key, "answered_to_nobody");
        }
        self.look_again = true;
    }
}

/// Takes the bytes of an answer that are still held back.
fn request_rest(daemon: &mut Daemon, key: u64) -> Vec<u8> {
    let Some(request) = daemon.active.get_mut(key) else {
        return Vec::new();
    };
    let mut rest = request.events.rest();
    rest.append(&mut request.held);
    rest
}

fn judge(head: &ResponseHead, fields: &AnswerFields, id: &RequestId) -> HeadVerdict {
    let success = (200..300).contains(&head.status);
    match &fields.request {
        Some(other) if other != id => HeadVerdict::Skip,
        _ if fields.misdirected => HeadVerdict::Fail(FailedTry::Misdirected),
        _ if fields.not_run => HeadVerdict::Fail(FailedTry::TurnedAway),
        // Without the identity or the signature it may be anybody's answer.
        None => HeadVerdict::Fail(FailedTry::Lost),
        Some(_) if !fields.signed || fields.encoded => HeadVerdict::Fail(FailedTry::Lost),
        Some(_) if success || head.status >= 400 => HeadVerdict::Take,
        Some(_) => HeadVerdict::Fail(FailedTry::Lost),
    }
}

/// Appends the head of an answer as the caller gets it, with a length or in chunks.
fn append_answer_head(
    out: &mut Vec<u8>,
    head: &ResponseHead,
    length_bytes: Option<usize>,
    closes: bool,
) {
    append_status_line(out, head.status);
    for (name, value) in head.headers.end_to_end() {
        append_header(out, name, value);
    }
    match length_bytes {
        Some(bytes) => append_header(out, "Content-Length", bytes.to_string().as_bytes()),
        None => append_header(out, "Transfer-Encoding", b"chunked"),
    }
    if closes {
        append_header(out, "Connection", b"close");
    }
    append_head_end(out);
}
