//! Connections that this VM opens to upstreams and to the store.

mod drain;
mod pool;
mod reading;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_dispatch::HeadProgress;
use apricotdale_http1::BodyDecoder;
use apricotdale_http1::ResponseHead;
use apricotdale_http1::parse_response_head;
use apricotdale_paths::PathFailure;
use apricotdale_paths::RelayPhase;
use apricotdale_paths::RelayReader;

use self::drain::Drain;
pub(crate) use self::pool::OutboundPool;
use crate::calls::CallTag;
use crate::stream::ReadEnd;
use crate::stream::Stream;

/// Size limit of an answer's head.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// How long an idle connection is kept if the other end states no limit. The time is short because
/// a request sent on a connection that the other end closes at the same moment may be lost.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// Time limit for establishing a connection. Packets take a few milliseconds within a region; a
/// machine without power does not answer at all.
const CONNECT_TIMEOUT_MS: u64 = 600;

/// How much earlier than the other end this VM closes an idle connection.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Time since the send after which an interim response is one of many. Before that it may acknowledge
/// a request that then waits at its upstream.
const INTERIM_AFTER_MS: u64 = 1_000;

/// Status of a response behind which the connection carries another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// The other end of a connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Peer {
    /// The platform's store.
    Store,
    /// One incarnation of an upstream.
    Upstream(UpstreamName),
}

/// Current use of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Idle, ready for another exchange.
    Idle,
    /// Proxies the caller's request with this key.
    Proxy(u64),
    /// Carries a call that this VM makes itself.
    Call(CallTag),
    /// Reads an abandoned answer to its end.
    Drain,
}

/// Parsing state of the answer in progress.
#[derive(Debug)]
enum Parse {
    Head,
    Body(BodyDecoder),
    Complete,
}

/// Next part of an answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// Status and header fields, decoded once the head is complete.
    Head(ResponseHead),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// End of a complete answer.
    End,
    /// More bytes are needed.
    Wait,
    /// The connection ended, or sent bytes that are no valid answer.
    Failed,
}

/// Connection that another VM relays.
#[derive(Debug)]
pub(crate) struct RelayedBy {
    pub vm: VmName,
    reader: RelayReader,
    /// Bytes of the first exchange, which are sent once the relay has reached the upstream: until
    /// then the upstream certainly has none of them.
    held_back: Vec<u8>,
    /// Bytes as received, before they are decoded.
    received: Vec<u8>,
}

/// How a connection to an upstream failed, and on which part of the way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FailedPath {
    /// The direct path does not take new connections.
    Direct(PathFailure),
    /// An open direct connection was reset.
    DirectBroken,
    /// The VM that relays was not reached, or was lost.
    Relay(VmName),
    /// The VM that relays did not reach the upstream.
    RelayToUpstream(VmName),
    /// The upstream broke the connection, as far as is known.
    Upstream,
}

/// One connection that this VM opened, and the exchange on it.
#[derive(Debug)]
pub(crate) struct Outbound {
    pub stream: Stream,
    pub peer: Peer,
    pub purpose: Purpose,
    /// VM that relays the connection; none if it leads to the peer directly.
    pub relayed_by: Option<RelayedBy>,
    /// When opening the connection began.
    pub opened_ms: u64,
    /// Whether no byte has been received yet.
    is_new: bool,
    /// Whether it has carried a call of this VM, whose answer has no request ID.
    has_carried_call: bool,
    /// Whether the call in progress sends nothing and only opens the connection.
    is_connect_only: bool,
    /// Whether reading waits until the caller has taken the bytes read so far.
    pub paused: bool,
    input: Vec<u8>,
    parse: Parse,
    /// Whether the exchange in progress is a HEAD request, whose answer has no body.
    is_head_request: bool,
    /// Whether the last answer's head lets the connection be reused.
    keep_alive: bool,
    /// How reading ended; none while the other end has not closed the connection.
    ended: Option<ReadEnd>,
    /// Whether bytes may be unread for which no readiness event will come, because reading stopped
    /// at its limit or was paused.
    has_more: bool,
    /// Number of bytes received in this iteration of the loop.
    iteration_bytes: usize,
    /// When bytes last arrived or the exchange began.
    pub last_received_ms: u64,
    /// When the answer last got on, or the exchange began. Bytes alone are no progress: they may go on
    /// without ever becoming an answer.
    pub last_progress_ms: u64,
    /// Longest time without progress since it was last taken.
    longest_wait_ms: u64,
    /// How long the connection may stay idle.
    idle_ms: u64,
    idle_until_ms: u64,
    drain: Drain,
    /// Deadline for establishing the connection; none once it is established.
    connect_until_ms: Option<u64>,
    /// Deadline of the call in progress; none for callers' requests, whose deadlines are kept
    /// elsewhere.
    pub call_until_ms: Option<u64>,
    /// Latest time to which the deadline of the call in progress may be extended.
    pub call_latest_ms: u64,
    /// Era of the store that was known when the call in progress began.
    pub request_era: u64,
}

impl Outbound {
    /// Begins an exchange by writing a complete request.
    pub fn begin(&mut self, now_ms: u64, purpose: Purpose, bytes: &[u8], is_head_request: bool) {
        self.has_carried_call |= matches!(purpose, Purpose::Call(_));
        self.purpose = purpose;
        self.last_received_ms = now_ms;
        self.last_progress_ms = now_ms;
        self.longest_wait_ms = 0;
        self.parse = Parse::Head;
        self.is_head_request = is_head_request;
        self.keep_alive = true;
        self.is_connect_only = bytes.is_empty();
        self.stream.sent_bytes = 0;
        match &mut self.relayed_by {
            Some(relay) if relay.reader.phase() == RelayPhase::Opening => {
                relay.held_back = bytes.to_vec();
            }
            _ => self.stream.queue(bytes),
        }
    }

    /// Records that writing has failed, also after an orderly close by the other end: bytes of the
    /// request that arrive after that close are answered with a reset.
    pub fn record_write_failure(&mut self) {
        self.ended = Some(ReadEnd::Broken);
    }

    /// Returns whether the peer may have received bytes of the exchange.
    pub fn has_sent(&self) -> bool {
        let is_opening = self.relayed_by.as_ref().is_some_and(|relay| {
            matches!(
                relay.reader.phase(),
                RelayPhase::Opening | RelayPhase::NotReached
            )
        });
        !is_opening && self.stream.sent_bytes > 0
    }

    /// Returns whether the request of an exchange in progress has been written, in part or whole.
    pub fn is_exchanging(&self) -> bool {
        self.stream.sent_bytes > 0 && !matches!(self.parse, Parse::Complete)
    }

    /// Returns whether an answer without a request ID may be a late copy of that to a call.
    pub fn has_carried_call(&self) -> bool {
        self.has_carried_call
    }

    /// Returns whether the first bytes have been received that ever came on the connection, and
    /// remembers that they have.
    pub fn take_newness(&mut self) -> bool {
        std::mem::replace(&mut self.is_new, false)
    }

    /// Returns how a probe on the connection failed.
    pub fn probe_failure(&self, now_ms: u64) -> PathFailure {
        match self.failed_path(now_ms) {
            FailedPath::Direct(failure) => failure,
            FailedPath::DirectBroken => PathFailure::Reset,
            _ if !self.has_sent() && self.relayed_by.is_none() => PathFailure::NotEstablished,
            _ => PathFailure::Silent,
        }
    }

    /// Returns whether a call that only opens the connection has done so.
    pub fn has_only_connected(&self) -> bool {
        self.is_connect_only
            && self.ended.is_none()
            && self.stream.connection_state().is_ok_and(|it| it)
    }

    /// Returns how and where the connection failed.
    pub fn failed_path(&self, now_ms: u64) -> FailedPath {
        let late = self
            .connect_until_ms
            .is_some_and(|until_ms| until_ms <= now_ms);
        match &self.relayed_by {
            Some(relay) => match relay.reader.phase() {
                RelayPhase::Opening => FailedPath::Relay(relay.vm.clone()),
                RelayPhase::NotReached => FailedPath::RelayToUpstream(relay.vm.clone()),
                RelayPhase::Open if self.ended.is_some() => FailedPath::Relay(relay.vm.clone()),
                RelayPhase::Open | RelayPhase::Closed | RelayPhase::Broken => FailedPath::Upstream,
            },
            None if self.stream.refused => FailedPath::Direct(PathFailure::Refused),
            None if late && !self.has_sent() => FailedPath::Direct(PathFailure::NotEstablished),
            None if self.ended == Some(ReadEnd::Broken) && self.is_new => {
                FailedPath::Direct(PathFailure::Reset)
            }
            None if self.ended == Some(ReadEnd::Broken) => FailedPath::DirectBroken,
            None => FailedPath::Upstream,
        }
    }

    /// Returns whether the other end was unreachable. One that resets a connection is reachable,
    /// and has reached its limit of connections.
    pub fn is_unreachable(&self, now_ms: u64) -> bool {
        let late = self
            .connect_until_ms
            .is_some_and(|until_ms| until_ms <= now_ms);
        self.stream.refused || (late && !self.has_sent())
    }

    /// Returns in which way the connection failed, for metrics.
    pub fn failure_kind(&self, now_ms: u64) -> &'static str {
        match self.ended {
            _ if self.stream.refused => "refused",
            _ if self.is_unreachable(now_ms) => "not_established",
            Some(ReadEnd::Broken) => "reset",
            Some(_) => "closed",
            None => "silent",
        }
    }

    /// Returns whether the other end closed or reset the connection.
    pub fn is_broken(&self) -> bool {
        self.ended.is_some()
    }

    /// Pauses reading until the caller has taken the bytes read so far. Returns whether reading was
    /// active before.
    pub fn pause(&mut self) -> bool {
        self.has_more = true;
        self.input.shrink_to_fit();
        !std::mem::replace(&mut self.paused, true)
    }

    /// Resumes reading, from which time on the other end counts as silent if nothing comes. Returns
    /// whether reading was paused.
    pub fn resume(&mut self, now_ms: u64) -> bool {
        let was_paused = std::mem::take(&mut self.paused);
        if was_paused {
            self.last_received_ms = now_ms;
            self.last_progress_ms = now_ms;
        }
        was_paused
    }

    /// Records that the answer in progress got on: its head is complete, or a part of its body is one
    /// that the caller can use.
    pub fn record_progress(&mut self, now_ms: u64) {
        let waited_ms = now_ms.saturating_sub(self.last_progress_ms);
        self.longest_wait_ms = self.longest_wait_ms.max(waited_ms);
        self.last_progress_ms = now_ms;
    }

    /// Returns the longest time without progress since the last call.
    pub fn take_longest_wait_ms(&mut self) -> u64 {
        std::mem::take(&mut self.longest_wait_ms)
    }

    /// Returns whether bytes have come since the answer last got on.
    pub fn has_received_in_vain(&self) -> bool {
        self.last_received_ms > self.last_progress_ms
    }

    /// Returns what has come of a response head that is not complete.
    pub fn head_progress(&self) -> HeadProgress {
        let goes_on = self.last_received_ms >= self.last_progress_ms + INTERIM_AFTER_MS;
        match self.parse {
            Parse::Head if !self.input.is_empty() => HeadProgress::Partial,
            Parse::Head if goes_on => HeadProgress::Interim,
            _ => HeadProgress::None,
        }
    }

    /// Parses the next part of the answer from the bytes read so far.
    pub fn next_part(&mut self) -> Part {
        match &mut self.parse {
            Parse::Head => self.next_head(),
            Parse::Body(decoder) => {
                let mut body = Vec::new();
                let Ok(progress) = decoder.decode(&self.input, &mut body) else {
                    return Part::Failed;
                };
                self.input.drain(..progress.consumed);
                let at_close = decoder.is_complete_at_close();
                match self.ended {
                    _ if !body.is_empty() => Part::Body(body),
                    _ if progress.is_complete => self.end(),
                    // Whether writing the rest of the request fails shows whether the other end has
                    // closed only its sending direction, or the connection has broken.
                    Some(ReadEnd::Closed) if at_close && self.stream.unwritten_bytes() > 0 => {
                        Part::Wait
                    }
                    Some(ReadEnd::Closed) if at_close => self.end(),
                    Some(_) => Part::Failed,
                    None => Part::Wait,
                }
            }
            Parse::Complete => Part::Wait,
        }
    }

    fn next_head(&mut self) -> Part {
        let mut consumed = 0;
        let part = loop {
            let input = &self.input[consumed..];
            match parse_response_head(input, HEAD_LIMIT_BYTES, self.is_head_request) {
                Ok(Some((head, length))) => {
                    consumed += length;
                    // No request asks for another protocol.
                    if head.status == SWITCHING_PROTOCOLS {
                        break Part::Failed;
                    }
                    // Interim answers precede the final one.
                    if head.status < 200 {
                        continue;
                    }
                    self.keep_alive = !head.close;
                    self.parse = Parse::Body(BodyDecoder::new(head.body));
                    break Part::Head(head);
                }
                Ok(None) if self.ended.is_some() => break Part::Failed,
                Ok(None) => break Part::Wait,
                Err(_) => break Part::Failed,
            }
        };
        self.input.drain(..consumed);
        part
    }

    fn end(&mut self) -> Part {
        self.parse = Parse::Complete;
        Part::End
    }

    /// Returns whether an idle connection was closed or has received bytes of no request.
    pub fn is_unusable_when_idle(&self) -> bool {
        let is_leaving = self
            .relayed_by
            .as_ref()
            .is_some_and(|relay| relay.reader.is_leaving());
        is_leaving || self.ended.is_some() || !self.input.is_empty()
    }

    /// Expects another answer, since the last one belonged to another request.
    pub fn await_next_answer(&mut self) {
        self.parse = Parse::Head;
    }

    /// Sets the idle time from the limit that the other end states.
    pub fn set_idle_time(&mut self, idle_ms: u64) {
        self.idle_ms = idle_ms.saturating_sub(IDLE_MARGIN_MS);
    }

    /// Returns whether another exchange may use this connection after a complete answer. Extra
    /// bytes behind the answer would be taken for the next one. The unwritten bytes of a request
    /// that was answered early would be sent before the next request.
    fn is_reusable(&self) -> bool {
        self.keep_alive
            && self.ended.is_none()
            && self.input.is_empty()
            && self.stream.unwritten_bytes() == 0
            && matches!(self.parse, Parse::Complete)
            && !self
                .relayed_by
                .as_ref()
                .is_some_and(|relay| relay.reader.is_leaving())
    }
}
