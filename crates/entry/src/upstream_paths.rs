//! Paths of this VM to upstreams: what its connections show, what other VMs say, and what follows.

use std::collections::HashMap;
use std::collections::HashSet;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_fleet::Upstream;
use apricotdale_paths::PathAnswer;
use apricotdale_paths::PathChange;
use apricotdale_paths::PathFailure;
use mio::Token;

use crate::calls::CallTag;
use crate::daemon::Daemon;
use crate::engine_probes::SUSPENSION_MS;
use crate::health_checks::CheckPurpose;
use crate::messages::PeerMessage;
use crate::messages::VmRecord;
use crate::outbound::FailedPath;
use crate::outbound::Peer;
use crate::request_moves::MoveReason;

/// Number of VMs that are asked at once which upstreams they reach.
const ASKED_VMS: usize = 8;

/// Largest number of upstream names in one datagram.
const NAMES_PER_DATAGRAM: usize = 60;

/// Time limit for the answer to a probe of an engine. It answers within a round trip and the opening
/// of a connection, about 5 ms, regardless of its work.
const ENGINE_PROBE_TIMEOUT_MS: u64 = 150;

/// Time limit for opening a connection as a probe.
const CONNECTION_PROBE_TIMEOUT_MS: u64 = 600;

/// Time after which a connection that was only opened counts as accepted: a host that resets new
/// connections does so within a round trip.
const ACCEPTED_AFTER_MS: u64 = 40;

/// Time between two checks whether an upstream that refused a connection has ended, which it has if no
/// other VM reaches it by then.
const END_CONFIRMATION_MS: u64 = 120;

/// Time after which an upstream has not ended that another VM still reaches. What the other VM last
/// said may be from before the end.
const MAX_END_CONFIRMATION_MS: u64 = 2_000;

/// What each known VM adds to the time over which probes are spread that all VMs start because of
/// one message.
const DOUBT_SPREAD_US_PER_VM: u64 = 1_000;

/// Retry delay stated to a caller whose request only VMs without room could pass on. The caller's
/// next attempt probably reaches another VM.
const NO_ROOM_RETRY_AFTER_MS: u64 = 200;

/// Upstream that refused a connection, and has ended unless another VM reaches it.
#[derive(Debug)]
struct SuspectedEnd {
    upstream: UpstreamName,
    since_ms: u64,
    next_check_ms: u64,
}

/// What this VM still has to do about paths.
#[derive(Debug, Default)]
pub(crate) struct PathWork {
    suspected_ends: Vec<SuspectedEnd>,
    /// Upstreams that another VM has said not to reach, until this VM knows better.
    doubted: HashSet<UpstreamName>,
    /// Upstreams that this VM reaches, to be told to VMs that asked.
    answers: HashMap<VmName, Vec<UpstreamName>>,
}

impl PathWork {
    fn next_ms(&self) -> u64 {
        let ends = self.suspected_ends.iter().map(|it| it.next_check_ms);
        ends.min().unwrap_or(u64::MAX)
    }
}

impl Daemon {
    /// Returns when paths need attention.
    pub(crate) fn next_path_work_ms(&self) -> u64 {
        self.paths.next_ms().min(self.path_work.next_ms())
    }

    /// Records what the failure of a connection shows of the path.
    pub(crate) fn record_failed_connection(&mut self, token: Token) {
        let now_ms = self.now_ms;
        let Some(connection) = self.outbound.get_mut(token) else {
            return;
        };
        let Peer::Upstream(upstream) = connection.peer.clone() else {
            return;
        };
        self.metrics.path_failure(connection.failure_kind(now_ms));
        match connection.failed_path(now_ms) {
            FailedPath::Direct(failure) => {
                let begun_ms = connection.opened_ms;
                if let Some(known) = self.directory.upstream(&upstream) {
                    self.paths
                        .record_failure(now_ms, begun_ms, &upstream, &known.service, failure);
                }
            }
            FailedPath::DirectBroken => self.paths.record_broken(now_ms, &upstream),
            FailedPath::Relay(vm) => self.paths.record_relay_failure(now_ms, &vm, None),
            FailedPath::RelayToUpstream(vm) => {
                self.paths
                    .record_relay_failure(now_ms, &vm, Some(&upstream));
            }
            FailedPath::Upstream => {}
        }
    }

    /// Records that bytes came on a connection to an upstream.
    pub(crate) fn record_received(&mut self, token: Token, upstream: &UpstreamName) {
        let now_ms = self.now_ms;
        self.watch.heard(now_ms, upstream);
        let Some(connection) = self.outbound.get_mut(token) else {
            return;
        };
        if connection.relayed_by.is_some() {
            return;
        }
        let is_new = connection.take_newness();
        let known = self.directory.upstream(upstream).filter(|_| is_new);
        let service = known.map(|known| &known.service);
        self.paths.record_received(now_ms, upstream, service);
    }

    /// Suspects that an upstream has ended, since it refused a connection. If another VM reaches it,
    /// only the path of this VM is lost.
    pub(crate) fn suspect_upstream_end(&mut self, upstream: &UpstreamName) {
        let others = self.peers.others();
        let pending = &mut self.path_work.suspected_ends;
        if others == 0 {
            self.handle_upstream_end(upstream);
        } else if pending.iter().all(|it| it.upstream != *upstream) {
            pending.push(SuspectedEnd {
                upstream: upstream.clone(),
                since_ms: self.now_ms,
                next_check_ms: self.now_ms + END_CONFIRMATION_MS,
            });
        }
    }

    fn confirm_upstream_ends(&mut self) {
        let now_ms = self.now_ms;
        for mut suspected in std::mem::take(&mut self.path_work.suspected_ends) {
            let upstream = &suspected.upstream;
            let is_relayed = self.paths.is_relayed(upstream);
            match self.paths.is_lost(upstream) {
                true if now_ms < suspected.next_check_ms => {
                    self.path_work.suspected_ends.push(suspected);
                }
                true if !is_relayed => self.handle_upstream_end(upstream),
                true if now_ms < suspected.since_ms + MAX_END_CONFIRMATION_MS => {
                    suspected.next_check_ms = now_ms + END_CONFIRMATION_MS;
                    self.path_work.suspected_ends.push(suspected);
                }
                _ => {}
            }
        }
    }

    /// Handles another VM's failed probe of an upstream. It shows that VM's path; this VM probes for
    /// itself.
    pub(crate) fn handle_peer_probe_failure(&mut self, upstream: &UpstreamName) {
        if self.handle_check_result(upstream, false) || self.directory.upstream(upstream).is_none()
        {
            return;
        }
        let spread_ms = self.peers.others() as u64 * DOUBT_SPREAD_US_PER_VM / 1_000;
        let delay_ms = self.incarnation % (spread_ms + 1);
        self.paths.record_doubt(self.now_ms, upstream, delay_ms);
        self.path_work.doubted.insert(upstream.clone());
    }

    /// Handles another VM's statement that an upstream answers again, which this VM checks if it
    /// sends the upstream nothing.
    pub(crate) fn handle_peer_probe_success(&mut self, upstream: &UpstreamName) {
        if self.handle_check_result(upstream, true) {
            return;
        }
        if self.dispatcher.is_unreachable(self.now_ms, upstream) {
            self.paths.record_doubt(self.now_ms, upstream, 0);
        }
    }

    /// Does what is due about paths.
    pub(crate) fn advance_paths(&mut self) {
        let now_ms = self.now_ms;
        if now_ms >= self.path_work.next_ms() {
            self.confirm_upstream_ends();
        }
        if now_ms >= self.paths.next_ms() {
            let is_any_lost = self.paths.is_any_lost();
            let serving = self.directory.upstreams().filter(|_| is_any_lost);
            let known: Vec<UpstreamName> = serving.map(|it| it.name.clone()).collect();
            let due = self.paths.due(now_ms, &known);
            due.probes.iter().for_each(|it| self.probe_path(it));
            self.ask_for_paths(&due.query, &due.known_relays);
            self.compare_paths();
        }
        self.apply_path_changes();
        self.send_path_answers();
    }

    fn compare_paths(&mut self) {
        if !self.paths.is_any_lost() {
            return;
        }
        let directory = &self.directory;
        let engines = directory.upstreams().filter(|upstream| {
            let service = directory.service(&upstream.service);
            service.is_some_and(|service| service.engine.is_some())
        });
        self.paths
            .compare(self.now_ms, engines.map(|upstream| &upstream.name));
    }

    /// Probes the direct path to an upstream. Where paths take connections without bringing answers, only
    /// an answer shows that one is open.
    fn probe_path(&mut self, upstream: &UpstreamName) {
        let takes_room = self
            .directory
            .upstream(upstream)
            .is_some_and(|it| self.check_takes_room(it));
        let is_silent = self.paths.lost_failure(upstream) == Some(PathFailure::Silent);
        match takes_room && (is_silent || self.paths.is_cut()) {
            true => self.begin_health_check(upstream, CheckPurpose::Path),
            false => self.probe_connection(upstream),
        }
    }

    /// Probes the direct path to an upstream without taking room there.
    pub(crate) fn probe_connection(&mut self, upstream: &UpstreamName) {
        let Some(known) = self.directory.upstream(upstream) else {
            self.paths.removed(upstream);
            return;
        };
        let address = known.address;
        let (bytes, timeout_ms) = self.path_probe(known);
        let peer = Peer::Upstream(upstream.clone());
        let tag = CallTag::PathProbe(upstream.clone());
        self.call_on_direct_connection(peer, address, tag, &bytes, timeout_ms);
    }

    /// Returns what a probe of an upstream sends, and the time limit for the answer. Any answer
    /// shows that the upstream is reached. At an instance of a plain service, which answers health
    /// checks like requests, and at an upstream that has asked for rest, a connection is only opened.
    pub(crate) fn path_probe(&self, upstream: &Upstream) -> (Vec<u8>, u64) {
        let service = self.directory.service(&upstream.service);
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        let is_resting = self.dispatcher.is_resting(self.now_ms, &upstream.name);
        match is_engine && !is_resting {
            true => {
                let report = self.codecs.engines.report(&upstream.instance);
                (report, ENGINE_PROBE_TIMEOUT_MS)
            }
            false => (Vec::new(), CONNECTION_PROBE_TIMEOUT_MS),
        }
    }

    /// Has a probe that only opens a connection end soon, once the connection is open.
    pub(crate) fn shorten_connect_probe(&mut self, token: Token) {
        let until_ms = self.now_ms + ACCEPTED_AFTER_MS;
        let Some(connection) = self.outbound.get_mut(token) else {
            return;
        };
        if connection.has_only_connected() {
            connection.call_until_ms = connection.call_until_ms.map(|at_ms| at_ms.min(until_ms));
            self.next_call_timeout_ms = self.next_call_timeout_ms.min(until_ms);
        }
    }

    /// Handles the outcome of a probe on a new direct connection.
    pub(crate) fn path_probe_ended(
        &mut self,
        begun_ms: u64,
        upstream: &UpstreamName,
        outcome: Result<(), PathFailure>,
    ) {
        let Some(known) = self.directory.upstream(upstream) else {
            return;
        };
        let effect =
            self.paths
                .record_probe(self.now_ms, begun_ms, upstream, &known.service, outcome);
        for vm in effect.tell {
            let answer = self.path_work.answers.entry(vm).or_default();
            answer.push(upstream.clone());
        }
        let was_doubted = self.path_work.doubted.remove(upstream);
        match outcome {
            Err(PathFailure::Silent | PathFailure::NotEstablished) if was_doubted => {
                self.suspend_engine(upstream, SUSPENSION_MS, "told");
            }
            Ok(()) if self.dispatcher.is_unreachable(self.now_ms, upstream) => {
                self.resume_engine(upstream);
            }
            _ => {}
        }
    }

    /// Asks other VMs which of the upstreams they reach: those that are known to reach some, and a
    /// few others in turn.
    fn ask_for_paths(&mut self, upstreams: &[UpstreamName], known_relays: &[VmName]) {
        for part in upstreams.chunks(NAMES_PER_DATAGRAM) {
            let query = PeerMessage::PathQuery {
                from: self.peers.own_record().clone(),
                upstreams: part.to_vec(),
            };
            let known = known_relays.iter().take(ASKED_VMS / 2);
            let known: Vec<_> = known.filter_map(|vm| self.peers.address_of(vm)).collect();
            known.iter().for_each(|it| self.peers.send(*it, &query));
            self.peers.send_to_next(ASKED_VMS - known.len(), &query);
        }
    }

    /// Answers another VM's question which upstreams this VM reaches.
    pub(crate) fn handle_path_query(&mut self, from: VmRecord, upstreams: &[UpstreamName]) {
        self.peers.record_sender(self.now_ms, &from);
        let known = upstreams.iter().filter(|upstream| {
            // A name that this VM does not know can't be probed.
            self.directory.upstream(upstream).is_some()
        });
        let known: Vec<UpstreamName> = known.cloned().collect();
        let reached = self.paths.record_query(self.now_ms, &from.vm, &known);
        if !reached.is_empty() {
            let answer = self.path_work.answers.entry(from.vm).or_default();
            answer.extend(reached);
        }
    }

    fn send_path_answers(&mut self) {
        if self.path_work.answers.is_empty() || self.planned_stop.has_begun() {
            return;
        }
        for (vm, reached) in std::mem::take(&mut self.path_work.answers) {
            let Some(address) = self.peers.address_of(&vm) else {
                continue;
            };
            for part in reached.chunks(NAMES_PER_DATAGRAM) {
                let answer = PathAnswer {
                    zone: self.settings.zone.clone(),
                    reached: part.to_vec(),
                    load_permille: self.loop_load.permille(),
                    relayed: self.relayed.len() as u32,
                    has_room: self.has_room_to_relay(),
                };
                let from = self.peers.own_record().clone();
                self.peers
                    .send(address, &PeerMessage::PathAnswer { from, answer });
            }
        }
    }

    /// Applies what another VM says of its paths.
    pub(crate) fn apply_path_answer(&mut self, from: VmRecord, answer: PathAnswer) {
        self.peers.record_sender(self.now_ms, &from);
        self.paths.record_answer(self.now_ms, &from.vm, answer);
        self.redispatch_needed |= self.paths.is_any_lost();
    }

    fn apply_path_changes(&mut self) {
        for change in self.paths.take_changes() {
            match change {
                PathChange::Lost(upstream, failure) => self.handle_lost_path(&upstream, failure),
                PathChange::Relayed(upstream) => self.handle_relayed_path(&upstream),
                PathChange::NotRelayed(upstream) => {
                    log::info!(upstream = upstream.to_string(); "no other VM reaches the upstream");
                    self.handle_unreachable_upstream(&upstream);
                }
                PathChange::Restored(upstream) => self.handle_restored_path(&upstream),
            }
        }
    }

    fn handle_lost_path(&mut self, upstream: &UpstreamName, failure: PathFailure) {
        let how = failure.as_str();
        log::info!(upstream = upstream.to_string(), how; "path to upstream lost");
        if matches!(failure, PathFailure::Silent | PathFailure::NotEstablished) {
            let peer = Peer::Upstream(upstream.clone());
            self.outbound
                .close_idle_by_way(&peer, false, self.poll.registry());
        }
    }

    /// Resumes sending to an upstream that another VM reaches. What failed on this VM's path is not
    /// held against it. Requests that wait there for bytes that can't come are moved if they may be.
    fn handle_relayed_path(&mut self, upstream: &UpstreamName) {
        log::info!(upstream = upstream.to_string(); "connections to upstream are relayed");
        self.dispatcher.resume(upstream);
        self.dispatcher.forgive(self.now_ms, upstream);
        self.redispatch_needed = true;
        let since_ms = self.now_ms.saturating_sub(ENGINE_PROBE_TIMEOUT_MS);
        let peer = Peer::Upstream(upstream.clone());
        for (token, key) in self.outbound.silent_direct_requests(&peer, since_ms) {
            self.move_request(token, key, MoveReason::LostPath);
        }
    }

    fn handle_restored_path(&mut self, upstream: &UpstreamName) {
        log::info!(upstream = upstream.to_string(); "path to upstream is back");
        self.dispatcher.resume(upstream);
        self.dispatcher.forgive(self.now_ms, upstream);
        let peer = Peer::Upstream(upstream.clone());
        self.outbound
            .close_idle_by_way(&peer, true, self.poll.registry());
        self.redispatch_needed = true;
    }

    /// Returns the refusal of a request that can't be sent now although other VMs reach upstreams
    /// for it: they have no room to pass it on.
    pub(crate) fn no_room_refusal(&self, key: u64) -> Option<Refusal> {
        if !self.paths.is_any_lost() {
            return None;
        }
        let job = &self.active.get(key)?.job;
        let mut capable = self.dispatcher.capable(&self.directory, job).peekable();
        capable.peek()?;
        let now_ms = self.now_ms;
        let is_known =
            job.runs == 0 && capable.all(|it| self.paths.is_reached_without_room(now_ms, &it.name));
        let detail = "this VM has no path to the upstreams, and others have no room";
        is_known.then(|| {
            Refusal::not_run(RefusalReason::UpstreamUnavailable, detail)
                .retry_after(NO_ROOM_RETRY_AFTER_MS)
        })
    }

    pub(crate) fn update_path_gauges(&mut self) {
        let (lost, relayed) = self.paths.counts();
        let resting = self.dispatcher.resting(self.now_ms);
        self.metrics.resting_upstreams.set(resting as i64);
        self.metrics.lost_paths.set(lost as i64);
        self.metrics.relayed_paths.set(relayed as i64);
        self.metrics
            .relayed_connections
            .set(self.relayed.len() as i64);
    }
}
