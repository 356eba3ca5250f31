//! Accepted connections: of callers, of the balancer's readiness checks and of metrics readers.

use std::net::IpAddr;

use apricotdale_fleet::CallerDue;
use apricotdale_fleet::CallerLimits;
use apricotdale_fleet::CallerPhase;
use apricotdale_fleet::CallerTimes;
use apricotdale_http1::BodyDecoder;
use apricotdale_http1::BodyLength;
use apricotdale_http1::Error as HttpError;
use apricotdale_http1::RequestHead;
use apricotdale_http1::parse_request_head;

use crate::stream::ReadEnd;
use crate::stream::Stream;
use crate::unanswered::RequestTrace;

/// Maximum number of bytes read while a request is answered. Reading then serves only to notice
/// that the caller has left.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// How long the remainder of a refused request is read before the connection is closed. Closing it
/// with unread bytes resets the connection, which could destroy the refusal on its way.
const LINGER_MS: u64 = 1_000;

/// Service that a connection has reached, by its listening address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerKind {
    /// Requests to upstreams.
    Serving,
    /// Readiness checks.
    Ready,
    /// Reads of metrics.
    Metrics,
}

/// Progress of the request on a connection.
#[derive(Debug)]
enum Phase {
    /// Receiving a request's head.
    Head,
    /// Receiving a request's body.
    Body {
        head: RequestHead,
        decoder: BodyDecoder,
        body: Vec<u8>,
    },
    /// Waiting for the answer to the request with this key; none before the key is assigned.
    Busy(Option<u64>),
    /// Writing what remains, then waiting for the caller to close the connection.
    Closing {
        until_ms: u64,
        is_write_closed: bool,
    },
}

/// What has been received from a caller.
#[derive(Debug)]
pub(crate) enum Received {
    /// Head and body of a request, once both are complete.
    Request { head: RequestHead, body: Vec<u8> },
    /// Bytes that are no valid request, or one that exceeds a limit.
    Refused(HttpError),
    /// Nothing complete yet.
    Nothing,
    /// The caller has left.
    Left,
}

/// One accepted connection, with the request in progress on it.
#[derive(Debug)]
pub(crate) struct Caller {
    pub stream: Stream,
    pub kind: CallerKind,
    /// Remote IP address.
    pub address: IpAddr,
    input: Vec<u8>,
    phase: Phase,
    times: CallerTimes,
    /// Whether the connection closes after the answer in progress.
    pub close_after: bool,
    /// Whether the request in progress is HEAD, whose answer has no body.
    pub is_head_request: bool,
    /// How reading ended; none while the caller has not closed the connection.
    ended: Option<ReadEnd>,
    /// Last request with a final answer of which bytes have yet to be written; none if there is
    /// none.
    undelivered: Option<RequestTrace>,
}

impl Caller {
    /// Returns an idle connection.
    pub fn new(
        now_ms: u64,
        stream: Stream,
        kind: CallerKind,
        address: IpAddr,
        in_force: &CallerLimits,
    ) -> Self {
        Self {
            stream,
            kind,
            address: address.to_canonical(),
            input: Vec::new(),
            phase: Phase::Head,
            times: CallerTimes::new(now_ms, in_force),
            close_after: false,
            is_head_request: false,
            ended: None,
            undelivered: None,
        }
    }

    /// Reads the available bytes and returns what has been received. `in_force` are the limits for
    /// requests that begin to arrive now.
    pub fn receive(&mut self, now_ms: u64, in_force: &CallerLimits) -> Received {
        loop {
            let limits = self.times.limits(in_force);
            let read_limit_bytes = match &self.phase {
                Phase::Head => limits.head_bytes + READ_AHEAD_BYTES,
                _ => READ_AHEAD_BYTES,
            };
            let end = match self.ended {
                None => self.stream.read(&mut self.input, read_limit_bytes),
                Some(end) => end,
            };
            if matches!(end, ReadEnd::Closed | ReadEnd::Broken) {
                self.ended = Some(end);
            }
            if !self.input.is_empty() && matches!(self.phase, Phase::Head) {
                let is_writing = self.has_unwritten();
                self.times.received(now_ms, in_force, is_writing);
            }
            let limits = self.times.limits(in_force);
            match self.advance(&limits) {
                Received::Nothing
                    if end == ReadEnd::Limit && self.input.len() < read_limit_bytes => {}
                Received::Nothing if self.ended.is_some() => return Received::Left,
                received => return received,
            }
        }
    }

    fn advance(&mut self, limits: &CallerLimits) -> Received {
        if let Phase::Head = &self.phase {
            match parse_request_head(&self.input, limits.head_bytes) {
                Ok(None) => return Received::Nothing,
                Err(error) => return Received::Refused(error),
                Ok(Some((head, length))) => {
                    self.input.drain(..length);
                    if matches!(head.body, BodyLength::Bytes(bytes) if bytes > limits.body_bytes) {
                        return Received::Refused(HttpError::BodyTooLarge);
                    }
                    if head.expects_continue {
                        self.stream.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
                        self.stream.flush();
                    }
                    let decoder = BodyDecoder::new(head.body);
                    self.phase = Phase::Body {
                        head,
                        decoder,
                        body: Vec::new(),
                    };
                }
            }
        }
        match &mut self.phase {
            Phase::Body { decoder, body, .. } => {
                let progress = match decoder.decode(&self.input, body) {
                    Ok(progress) => progress,
                    Err(error) => return Received::Refused(error),
                };
                self.input.drain(..progress.consumed);
                if body.len() as u64 > limits.body_bytes {
                    return Received::Refused(HttpError::BodyTooLarge);
                }
                if !progress.is_complete {
                    return Received::Nothing;
                }
                self.complete_request()
            }
            Phase::Closing { .. } => {
                self.input.clear();
                Received::Nothing
            }
            _ => Received::Nothing,
        }
    }

    fn complete_request(&mut self) -> Received {
        match std::mem::replace(&mut self.phase, Phase::Busy(None)) {
            Phase::Body { head, body, .. } => {
                self.close_after |= head.close;
                self.is_head_request = head.method.eq_ignore_ascii_case("HEAD");
                Received::Request { head, body }
            }
            other => {
                self.phase = other;
                Received::Nothing
            }
        }
    }

    /// Sets the key of the request that is answered on this connection.
    pub fn set_request(&mut self, key: u64) {
        self.phase = Phase::Busy(Some(key));
    }

    /// Returns the key of the request that is answered on this connection; none if there is none.
    pub fn request(&self) -> Option<u64> {
        match self.phase {
            Phase::Busy(key) => key,
            _ => None,
        }
    }

    /// Returns whether part of a request has arrived.
    pub fn is_receiving(&self) -> bool {
        match self.phase {
            Phase::Head => !self.input.is_empty(),
            Phase::Body { .. } => true,
            Phase::Busy(_) | Phase::Closing { .. } => false,
        }
    }

    /// Returns whether bytes to the caller have yet to be sent.
    pub fn has_unwritten(&self) -> bool {
        self.stream.unwritten_bytes() > 0
    }

    /// Keeps the trace of a request with a final answer until the answer is written.
    pub fn watch_delivery(&mut self, trace: RequestTrace) {
        if self.has_unwritten() {
            self.undelivered = Some(trace);
        }
    }

    /// Returns the trace of the last request with a final answer, if bytes of it have yet to be
    /// written.
    pub fn undelivered(&self) -> Option<&RequestTrace> {
        self.undelivered.as_ref().filter(|_| self.has_unwritten())
    }

    /// Completes the answer in progress. Returns whether another request may follow.
    pub fn answered(&mut self, now_ms: u64) -> bool {
        self.times.answered(now_ms);
        if self.close_after || self.ended.is_some() {
            self.begin_close(now_ms);
            return false;
        }
        self.phase = Phase::Head;
        true
    }

    /// Removes the next request from the received bytes and returns its head, if all of it has
    /// arrived.
    pub fn take_next_request(&mut self, limits: &CallerLimits) -> Option<RequestHead> {
        let parsed = parse_request_head(&self.input, limits.head_bytes);
        let (head, length) = parsed.ok().flatten()?;
        let mut decoder = BodyDecoder::new(head.body);
        let progress = decoder.decode(&self.input[length..], &mut Vec::new());
        let progress = progress.ok().filter(|it| it.is_complete)?;
        self.input.drain(..length + progress.consumed);
        Some(head)
    }

    /// Begins to close the connection.
    pub fn begin_close(&mut self, now_ms: u64) {
        self.phase = Phase::Closing {
            until_ms: now_ms + LINGER_MS,
            is_write_closed: false,
        };
    }

    /// Writes the bytes that the kernel accepts. Returns whether the connection should be dropped
    /// now.
    pub fn flush(&mut self, now_ms: u64) -> bool {
        let sent_bytes = self.stream.sent_bytes;
        if !self.stream.flush() {
            return true;
        }
        if self.stream.sent_bytes > sent_bytes {
            self.times.wrote(now_ms);
        }
        let written = !self.has_unwritten();
        if written {
            self.undelivered = None;
        }
        match &mut self.phase {
            Phase::Closing {
                until_ms,
                is_write_closed,
            } if written && !*is_write_closed => {
                *until_ms = now_ms + LINGER_MS;
                *is_write_closed = true;
                self.stream.close_write_half();
                self.ended.is_some()
            }
            Phase::Closing {
                is_write_closed: true,
                ..
            } => self.ended.is_some(),
            _ => false,
        }
    }

    /// Returns what is due on the connection. `in_force` are the limits for requests that begin to
    /// arrive now; `closes_idle` tells whether idle connections are closed.
    pub fn due(&self, now_ms: u64, in_force: &CallerLimits, closes_idle: bool) -> CallerDue {
        let phase = match &self.phase {
            Phase::Busy(_) => CallerPhase::Answering,
            Phase::Body { .. } => CallerPhase::Body,
            Phase::Head | Phase::Closing { .. } if self.has_unwritten() => CallerPhase::Writing,
            Phase::Head if self.input.is_empty() => CallerPhase::Idle,
            Phase::Head => CallerPhase::Head,
            Phase::Closing { until_ms, .. } if now_ms > *until_ms => return CallerDue::Close,
            Phase::Closing { .. } => return CallerDue::Nothing,
        };
        self.times.due(now_ms, phase, in_force, closes_idle)
    }
}
