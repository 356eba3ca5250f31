//! Calls that this VM makes itself: to the store and to the engines' operating interface.

use std::net::SocketAddr;

use apricotdale_core::names::UpstreamName;
use apricotdale_holder::OrderKind;
use apricotdale_http1::ResponseHead;
use mio::Token;

use crate::daemon::Daemon;
use crate::health_checks::HealthCheck;
use crate::outbound::Part;
use crate::outbound::Peer;
use crate::outbound::Purpose;

/// Size limit of an answer's body. The platform's largest page is 1 MB before it is encoded.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Time without a further byte after which an answer that has begun to arrive is abandoned.
const STALLED_ANSWER_TIMEOUT_MS: u64 = 500;

/// Maximum time that an answer may take after its call has timed out, as long as it arrives.
const MAX_ARRIVING_ANSWER_MS: u64 = 10_000;

/// Purpose of a call, which decides who handles its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CallTag {
    /// Reads the newest configuration.
    ConfigurationNewest,
    /// Reads changes of the configuration.
    ConfigurationRead,
    /// Reads a page of the newest upstream entries.
    UpstreamsNewest,
    /// Reads changes of the upstream entries.
    UpstreamsRead,
    /// Reads a page of the list snapshot.
    SnapshotNewest,
    /// Writes the list snapshot.
    SnapshotAppend,
    /// Writes this VM's own entry.
    VmAppend,
    /// Reads a page of the VMs' entries.
    VmsNewest,
    /// Reads the order lease.
    LeaseRead,
    /// Appends a record to the order lease.
    LeaseAppend,
    /// Sends an order to an engine.
    Order(UpstreamName, OrderKind),
    /// Reads an engine's report for planning.
    Report(UpstreamName),
    /// Probes an engine from which nothing has come for too long, by reading its report.
    Probe(UpstreamName),
    /// Probes the direct path to an upstream, in the same ways.
    PathProbe(UpstreamName),
    /// Checks the health of an upstream that answers like a request.
    HealthCheck(HealthCheck),
    /// Probes an upstream that broke a connection, by reading an engine's report or only
    /// connecting.
    UpstreamProbe(UpstreamName),
    /// Reads a page of the blocked requests kept in the store.
    BlocksNewest,
    /// Writes the blocked requests.
    BlocksAppend,
    /// Reads a page of the topic that holds the learned state.
    LearnedNewest,
    /// Writes the learned state.
    LearnedAppend,
}

impl CallTag {
    /// Returns the name of the call in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::ConfigurationNewest => "configuration_newest",
            Self::ConfigurationRead => "configuration_read",
            Self::UpstreamsNewest => "upstreams_newest",
            Self::UpstreamsRead => "upstreams_read",
            Self::SnapshotNewest => "copy_newest",
            Self::SnapshotAppend => "copy_append",
            Self::VmAppend => "vm_append",
            Self::VmsNewest => "vms_newest",
            Self::LeaseRead => "lease_read",
            Self::LeaseAppend => "lease_append",
            Self::Order(..) => "order",
            Self::Report(_) => "report",
            Self::Probe(_) => "look",
            Self::PathProbe(_) => "path_probe",
            Self::HealthCheck(_) => "health_check",
            Self::UpstreamProbe(_) => "recheck",
            Self::BlocksNewest => "blocks_newest",
            Self::BlocksAppend => "blocks_append",
            Self::LearnedNewest => "learned_newest",
            Self::LearnedAppend => "learned_append",
        }
    }

    /// Returns whether the call goes to the store.
    pub fn targets_store(&self) -> bool {
        !matches!(
            self,
            Self::Order(..)
                | Self::Report(_)
                | Self::Probe(_)
                | Self::PathProbe(_)
                | Self::HealthCheck(_)
                | Self::UpstreamProbe(_)
        )
    }

    /// Returns whether the call is a read that continues from the position at which an earlier one
    /// ended. Reads of the lease are excluded, since the lease checks its positions itself.
    pub fn continues_from_position(&self) -> bool {
        matches!(
            self,
            Self::ConfigurationNewest
                | Self::ConfigurationRead
                | Self::UpstreamsNewest
                | Self::UpstreamsRead
                | Self::SnapshotNewest
                | Self::VmsNewest
                | Self::BlocksNewest
                | Self::LearnedNewest
        )
    }
}

/// An answer to a call, as far as it has been received.
#[derive(Clone, Debug)]
pub(crate) struct CallAnswer {
    pub status: u16,
    /// Era in which the store answered; none if the answer does not state one.
    pub era: Option<u64>,
    pub body: Vec<u8>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// An answer was received.
    Answered {
        /// HTTP status.
        status: u16,
        /// Complete body.
        body: Vec<u8>,
    },
    /// The call named a position in a topic, and the store has been rolled back since.
    RolledBack,
    /// The other end certainly did not receive the call.
    NotSent,
    /// The other end may have received the call.
    Unknown,
}

impl CallOutcome {
    /// Returns the name of the outcome in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered {
                status: 200..=299, ..
            } => "done",
            Self::Answered { status: 429, .. } => "limited",
            Self::Answered {
                status: 500..=599, ..
            } => "unavailable",
            Self::Answered { .. } => "rejected",
            Self::RolledBack => "set_back",
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
        }
    }
}

impl Daemon {
    /// Begins a call. Its outcome is passed to [`Daemon::finish_call`], after the timeout at the
    /// latest.
    pub(crate) fn call(
        &mut self,
        peer: Peer,
        address: SocketAddr,
        tag: CallTag,
        bytes: &[u8],
        timeout_ms: u64,
    ) {
        let connection = self.connect(&peer, address);
        self.call_on_opened(connection, tag, bytes, timeout_ms);
    }

    /// Begins a call on a direct connection. An engine counts orders as those of the VM that they come
    /// from.
    pub(crate) fn call_directly(
        &mut self,
        peer: Peer,
        address: SocketAddr,
        tag: CallTag,
        bytes: &[u8],
        timeout_ms: u64,
    ) {
        let idle = self.outbound.take_idle_direct(self.now_ms, &peer);
        let connection = idle.or_else(|| self.open_by_way(&peer, address, None));
        self.call_on_opened(connection, tag, bytes, timeout_ms);
    }

    /// Begins a call on a new direct connection, even if there are idle ones.
    pub(crate) fn call_on_direct_connection(
        &mut self,
        peer: Peer,
        address: SocketAddr,
        tag: CallTag,
        bytes: &[u8],
        timeout_ms: u64,
    ) {
        let connection = self.open_by_way(&peer, address, None);
        self.call_on_opened(connection, tag, bytes, timeout_ms);
    }

    /// Begins a call on a new connection, even if there are idle ones.
    pub(crate) fn call_on_new_connection(
        &mut self,
        peer: Peer,
        address: SocketAddr,
        tag: CallTag,
        bytes: &[u8],
        timeout_ms: u64,
    ) {
        let connection = self.open(&peer, address);
        self.call_on_opened(connection, tag, bytes, timeout_ms);
    }

    /// Begins a call on a connection, or ends it at once if none could be opened.
    fn call_on_opened(
        &mut self,
        connection: Option<Token>,
        tag: CallTag,
        bytes: &[u8],
        timeout_ms: u64,
    ) {
        match connection {
            Some(token) => self.call_on(token, tag, bytes, timeout_ms),
            None => self.finish_call(tag, CallOutcome::NotSent),
        }
    }

    fn call_on(&mut self, token: Token, tag: CallTag, bytes: &[u8], timeout_ms: u64) {
        let now_ms = self.now_ms;
        let Some(connection) = self.outbound.get_mut(token) else {
            return;
        };
        connection.begin(now_ms, Purpose::Call(tag), bytes, false);
        connection.call_until_ms = Some(now_ms + timeout_ms);
        connection.call_latest_ms = now_ms + timeout_ms + MAX_ARRIVING_ANSWER_MS;
        connection.request_era = self.store_era.now();
        self.next_call_timeout_ms = self.next_call_timeout_ms.min(now_ms + timeout_ms);
        if !connection.stream.flush() {
            connection.record_write_failure();
            self.call_failed(token);
        }
    }

    /// Continues receiving the answer to a call.
    pub(crate) fn advance_call(&mut self, token: Token) {
        loop {
            let Some(connection) = self.outbound.get_mut(token) else {
                return;
            };
            match connection.next_part() {
                Part::Head(head) => {
                    self.record_idle_time(token, &head);
                    self.record_limit_of_call(token, &head);
                    self.record_rejected_check(token, &head);
                    self.handle_notices(token, &head);
                    let answer = CallAnswer {
                        status: head.status,
                        era: self.codecs.store.era(&head),
                        body: Vec::new(),
                    };
                    self.call_answers.insert(token, answer);
                }
                Part::Body(bytes) => {
                    let answer = self.call_answers.get_mut(&token);
                    let too_large = answer.is_none_or(|answer| {
                        answer.body.extend_from_slice(&bytes);
                        answer.body.len() > ANSWER_LIMIT_BYTES
                    });
                    if too_large {
                        self.call_failed(token);
                        return;
                    }
                    self.extend_arriving_call(token);
                }
                Part::End => {
                    let purpose = connection.purpose.clone();
                    let request_era = connection.request_era;
                    let is_direct = connection.relayed_by.is_none();
                    let opened_ms = connection.opened_ms;
                    let answer = self.call_answers.remove(&token);
                    self.outbound
                        .release(self.now_ms, token, self.poll.registry());
                    match &purpose {
                        Purpose::Call(
                            CallTag::Probe(upstream)
                            | CallTag::PathProbe(upstream)
                            | CallTag::HealthCheck(HealthCheck { upstream, .. }),
                        ) if is_direct => self.path_probe_ended(opened_ms, upstream, Ok(())),
                        _ => {}
                    }
                    if let (Purpose::Call(tag), Some(answer)) = (purpose, answer) {
                        let outcome = self.era_checked_outcome(&tag, request_era, answer);
                        self.finish_call(tag, outcome);
                    }
                    return;
                }
                Part::Wait if connection.has_more() => {
                    if !self.read_further(token) {
                        return;
                    }
                }
                Part::Wait => return,
                Part::Failed => {
                    self.call_failed(token);
                    return;
                }
            }
        }
    }

    /// Extends the timeout of a store read while its answer arrives. Abandoning it would discard what
    /// has been received, and the next read would need as long again: on a slow link no read would
    /// ever complete.
    fn extend_arriving_call(&mut self, token: Token) {
        let now_ms = self.now_ms;
        let Some(connection) = self.outbound.get_mut(token) else {
            return;
        };
        let is_read = matches!(
            &connection.purpose,
            Purpose::Call(tag) if tag.continues_from_position()
        );
        if let Some(until_ms) = connection.call_until_ms.filter(|_| is_read) {
            let arriving_until_ms = now_ms + STALLED_ANSWER_TIMEOUT_MS;
            let latest_ms = connection.call_latest_ms;
            connection.call_until_ms = Some(until_ms.max(arriving_until_ms.min(latest_ms)));
        }
    }

    /// Ends a call whose connection failed or that has timed out.
    pub(crate) fn call_failed(&mut self, token: Token) {
        let received = self.call_answers.remove(&token);
        self.record_failed_connection(token);
        let Some(connection) = self.outbound.get_mut(token) else {
            return;
        };
        let sent = connection.has_sent();
        let is_direct = connection.relayed_by.is_none();
        let opened_ms = connection.opened_ms;
        let unreachable = is_direct && connection.is_unreachable(self.now_ms);
        let refused = is_direct && connection.stream.refused;
        let has_only_connected = connection.has_only_connected();
        let probe_failure = connection.probe_failure(self.now_ms);
        let timed_out = connection
            .call_until_ms
            .is_some_and(|until_ms| until_ms <= self.now_ms);
        let peer = connection.peer.clone();
        let purpose = self.outbound.close(token, self.poll.registry());
        // Several connections to a peer can fall silent together without a reset: the next call
        // must not wait on another silent one.
        if !refused {
            self.outbound
                .close_idle_by_way(&peer, !is_direct, self.poll.registry());
        }
        match &peer {
            Peer::Upstream(upstream) if unreachable => {
                self.handle_unreachable_upstream(upstream);
                if refused {
                    self.suspect_upstream_end(upstream);
                }
            }
            _ => {}
        }
        if let Some(Purpose::Call(CallTag::Probe(upstream) | CallTag::PathProbe(upstream))) =
            &purpose
        {
            let outcome = match has_only_connected {
                true => Ok(()),
                false => Err(probe_failure),
            };
            let is_path_probe = matches!(purpose, Some(Purpose::Call(CallTag::PathProbe(_))));
            if is_direct {
                self.path_probe_ended(opened_ms, upstream, outcome);
            }
            if !is_path_probe {
                let is_silent = timed_out && outcome.is_err();
                self.metrics
                    .call("look", if is_silent { "silent" } else { "reset" });
                self.probe_ended(upstream, !is_silent);
            }
        } else if let Some(Purpose::Call(CallTag::HealthCheck(check))) = &purpose {
            self.metrics
                .call("health_check", if timed_out { "silent" } else { "reset" });
            if Self::is_path_failure(check, probe_failure) {
                self.path_probe_ended(opened_ms, &check.upstream, Err(probe_failure));
            }
            self.health_check_failed(check, sent.then_some(opened_ms), timed_out);
        } else if let Some(Purpose::Call(tag)) = purpose {
            if let Some(answer) = received.filter(|_| tag.targets_store()) {
                self.metrics.discarded_read(tag.as_str(), answer.body.len());
            }
            let outcome = match sent {
                true => CallOutcome::Unknown,
                false => CallOutcome::NotSent,
            };
            self.finish_call(tag, outcome);
        }
    }

    /// Applies the idle time that the other end states for the connection.
    pub(crate) fn record_idle_time(&mut self, token: Token, head: &ResponseHead) {
        let fields = self.codecs.callers.answer(head);
        if let (Some(idle_ms), Some(connection)) = (fields.idle_ms, self.outbound.get_mut(token)) {
            connection.set_idle_time(idle_ms);
        }
    }

    /// Records the limits that an upstream states in the answer to a call. Such answers need not repeat
    /// them, so one without a limit ends none.
    fn record_limit_of_call(&mut self, token: Token, head: &ResponseHead) {
        let peer = self.outbound.get_mut(token).map(|it| it.peer.clone());
        if let Some(Peer::Upstream(upstream)) = peer {
            let fields = self.codecs.callers.answer(head);
            self.record_stated_limit(&upstream, None, &fields.rate_limit);
            self.record_rejection_limit(&upstream, None, &fields.rejection_limit);
        }
    }

    /// Passes a call's outcome to the part of the daemon that made the call.
    fn finish_call(&mut self, tag: CallTag, outcome: CallOutcome) {
        self.metrics.call(tag.as_str(), outcome.as_str());
        match tag {
            CallTag::Order(engine, kind) => self.order_ended(&engine, &kind, outcome),
            CallTag::Report(engine) => self.report_ended(&engine, outcome),
            CallTag::Probe(upstream) => self.probe_ended(&upstream, true),
            // Otherwise the outcome is recorded where the connection ends.
            CallTag::PathProbe(upstream) => self.paths.abandon_probe(&upstream),
            CallTag::HealthCheck(check) => self.health_check_ended(&check, &outcome),
            CallTag::UpstreamProbe(upstream) => self.handle_crash_probe(&upstream, &outcome),
            CallTag::BlocksNewest => self.handle_blocks_page(outcome),
            CallTag::BlocksAppend => self.finish_blocks_write(outcome),
            CallTag::LearnedNewest => self.handle_learned_page(outcome),
            CallTag::LearnedAppend => self.finish_learned_write(outcome),
            CallTag::LeaseRead | CallTag::LeaseAppend => self.lease_call_ended(&tag, outcome),
            _ => self.finish_poll(&tag, outcome),
        }
    }
}
