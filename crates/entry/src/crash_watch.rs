//! Detection of requests that crash upstreams, and the exchange about them between VMs.
//!
//! A broken connection alone proves little, since the upstream may still be there. So the upstream
//! is probed before the requests that were lost with it become suspects. Reports of what was in
//! progress go to a few VMs, which judge. A verdict is announced to all VMs and kept in the store
//! by the lease holder for VMs that start. Requests that are not blocked are never delayed by this.

use std::cmp::Reverse;
use std::net::IpAddr;
use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_fleet::ServingRequest;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_http1::RequestHead;
use apricotdale_quarantine::AnsweredRow;
use apricotdale_quarantine::BlockRow;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::Cleared;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::LostRequest;
use apricotdale_quarantine::ProbationRow;
use apricotdale_quarantine::RequestFeatures;
use apricotdale_quarantine::Role;
use apricotdale_quarantine::TrialQuery;
use apricotdale_quarantine::UpstreamProbe;

use crate::active::Phase;
use crate::calls::CallOutcome;
use crate::calls::CallTag;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::outbound::Peer;
use crate::unanswered::UnansweredReason;

/// Time limit for the probe of an upstream that broke a connection. Where a process has ended
/// nobody listens, which shows within one round trip.
const PROBE_TIMEOUT_MS: u64 = 300;

/// Maximum number of reports in one datagram; each contains at most four requests.
const REPORTS_PER_DATAGRAM: usize = 2;

/// Maximum number of blocks in one datagram.
const BLOCKS_PER_DATAGRAM: usize = 10;

/// Maximum number of requests and parts on probation, or of answers to them, in one datagram.
const PROBATIONS_PER_DATAGRAM: usize = 30;

/// Maximum number of fingerprints in one log line.
const MAX_LOGGED_SUSPECTS: usize = 8;

impl Daemon {
    /// Returns the refusal of a blocked request; none if the request may be sent.
    pub(crate) fn block_refusal(&self, request: &RequestFeatures) -> Option<Refusal> {
        let block = self.crash_watch.block(self.now_ms, request)?;
        let detail = blocked_detail(&block);
        let refusal = Refusal::not_run(RefusalReason::CrashesUpstreams, detail);
        Some(refusal.retry_after(block.left_ms))
    }

    /// Records a request that was lost because an upstream broke its connection.
    pub(crate) fn record_lost_request(&mut self, upstream: &UpstreamName, key: u64) {
        // A broken connection of an upstream that is leaving, removed or unresponsive is no sign of
        // a crash under a request.
        let is_serving = self
            .directory
            .upstream(upstream)
            .is_some_and(|it| it.phase == UpstreamPhase::Serving && it.leaves_in_ms.is_none());
        let Some(request) = self.active.get(key) else {
            return;
        };
        if !is_serving || self.watch.is_unresponsive(upstream) {
            return;
        }
        self.crash_watch.record_lost(
            self.now_ms,
            upstream,
            request.job.wanted.is_some(),
            LostRequest {
                features: request.features.clone(),
                caller: request.caller_hash,
                is_trial: request.trial.is_some(),
            },
        );
    }

    /// Probes an upstream that broke a connection. At an instance of a plain service only a
    /// connection is opened, since it could take the probe for a request.
    fn probe_after_crash(&mut self, recheck: &UpstreamProbe) {
        let Some(known) = self.directory.upstream(&recheck.upstream) else {
            return;
        };
        let address = known.address;
        let bytes = match recheck.is_engine {
            true if !self.dispatcher.is_resting(self.now_ms, &known.name) => {
                self.codecs.engines.report(&known.instance)
            }
            _ => Vec::new(),
        };
        let peer = Peer::Upstream(recheck.upstream.clone());
        let tag = CallTag::UpstreamProbe(recheck.upstream.clone());
        self.call_on_new_connection(peer, address, tag, &bytes, PROBE_TIMEOUT_MS);
    }

    /// Handles the outcome of such a probe. An upstream that answers has not ended; if another one
    /// answers at its address, it has.
    pub(crate) fn handle_crash_probe(&mut self, upstream: &UpstreamName, outcome: &CallOutcome) {
        let CallOutcome::Answered { status, body } = outcome else {
            self.crash_watch.record_unanswered(self.now_ms, upstream);
            return;
        };
        let born_ms = self.directory.upstream(upstream).map(|it| it.born_ms);
        let report = self.decode_report(*status, body);
        match report {
            Ok(report) if born_ms.is_some_and(|born_ms| report.born_ms <= born_ms) => {
                self.crash_watch.record_alive(upstream);
            }
            Ok(_) => self.handle_upstream_end(upstream),
            Err(_) if *status == 421 => self.handle_upstream_end(upstream),
            Err(_) => {}
        }
    }

    /// Handles the end of an upstream, which is a crash if requests were lost with it.
    pub(crate) fn handle_upstream_end(&mut self, upstream: &UpstreamName) {
        let Some(lost) = self.crash_watch.record_ended(self.now_ms, upstream) else {
            return;
        };
        let mut lost = lost;
        lost.sort_by_key(|it| Reverse(it.copies));
        let texts = lost.iter().take(MAX_LOGGED_SUSPECTS);
        let texts: Vec<String> = texts
            .map(|it| format!("{}x{}", it.fingerprint, it.copies))
            .collect();
        self.metrics.crashed_upstream();
        log::warn!(
            upstream = upstream.to_string(),
            requests = lost.iter().map(|it| it.copies).sum::<u32>(),
            fingerprints = texts.join(" ");
            "upstream crashed"
        );
    }

    /// Does what is due about crashed upstreams and blocked requests.
    pub(crate) fn advance_crash_watch(&mut self) {
        if self.crash_watch.is_due(self.now_ms) {
            self.run_crash_watch();
        }
        self.advance_block_store();
    }

    fn run_crash_watch(&mut self) {
        let own = self.peers.own_record().vm.clone();
        let judges = self.peers.judges();
        let role = Role {
            judge: judges.iter().position(|(vm, _)| *vm == own),
            judges: judges.len(),
            vms: self.peers.others() + 1,
            is_lease_holder: self.engine_orders.held_lease_end(self.now_ms).is_some(),
        };
        let due = self.crash_watch.due(self.now_ms, role);
        due.probes.iter().for_each(|it| self.probe_after_crash(it));
        self.redispatch_needed |= due.may_continue;
        if let Some((vm, address)) = judges.get(due.trial_judge) {
            let is_other = *vm != own;
            let asker = self.incarnation;
            for query in due.trial_queries {
                self.peers
                    .send(*address, &PeerMessage::TrialRequested { asker, query });
            }
            for end in due.trial_ends.into_iter().filter(|_| is_other) {
                self.peers
                    .send(*address, &PeerMessage::TrialOver { asker, end });
            }
        }
        for part in due.probations.chunks(PROBATIONS_PER_DATAGRAM) {
            let fingerprints = texts_of(part.iter().map(|row| &row.fingerprint));
            log::info!(fingerprints; "requests on probation");
            self.peers.send_all(&PeerMessage::Probations(part.to_vec()));
        }
        for part in due.released {
            self.record_ended_probation(&part, "explained");
            self.peers.send_all(&PeerMessage::ProbationEnded(part));
        }
        if !due.reports.is_empty() {
            for (_, address) in judges.into_iter().filter(|(vm, _)| *vm != own) {
                self.send_reports(address, &due.reports);
            }
        }
        for row in &due.new_blocks {
            self.metrics.new_block();
            self.apply_new_block(row, "found");
        }
        for part in due.blocks.chunks(BLOCKS_PER_DATAGRAM) {
            self.peers.send_all(&PeerMessage::Blocks(part.to_vec()));
        }
        self.block_store.record_ended_blocks(due.ended);
    }

    /// Decides as a judge whether another VM may send a request on probation.
    pub(crate) fn decide_trial(&mut self, from: SocketAddr, asker: u64, ask: &TrialQuery) {
        let vms = self.peers.others() + 1;
        let answer = self.crash_watch.decide_trial(self.now_ms, asker, ask, vms);
        self.peers.send(from, &PeerMessage::TrialDecided(answer));
    }

    /// Ends the trial run of a request that could not be sent.
    pub(crate) fn end_unsent_trial(&mut self, key: u64) {
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        if !matches!(request.phase, Phase::Sent { .. })
            && let Some(number) = request.trial.take()
        {
            self.crash_watch
                .record_trial_end(self.now_ms, number, false);
        }
    }

    fn send_reports(&self, address: SocketAddr, reports: &[CrashReport]) {
        for part in reports.chunks(REPORTS_PER_DATAGRAM) {
            self.peers
                .send(address, &PeerMessage::Crashes(part.to_vec()));
        }
    }

    /// Ends the attempts of a request that has just been blocked. An answer that has begun
    /// continues: if it completes, the request was wrongly suspected.
    pub(crate) fn apply_new_block(&mut self, row: &BlockRow, how: &str) {
        let upstreams: Vec<&str> = row.upstreams.iter().map(UpstreamName::as_str).collect();
        log::warn!(
            fingerprint = row.fingerprint.to_string(),
            features = texts_of(&row.features),
            upstreams = upstreams.join(" "),
            times = row.times,
            left_ms = row.left_ms,
            how;
            "request blocked"
        );
        self.block_store.record_new_block(row);
        let keys: Vec<u64> = self
            .active
            .iter()
            .filter(|(_, request)| {
                !request.delivery.has_begun()
                    && self
                        .crash_watch
                        .block(self.now_ms, &request.features)
                        .is_some()
            })
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.refuse_newly_blocked(key, row);
        }
    }

    fn refuse_newly_blocked(&mut self, key: u64, row: &BlockRow) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let is_sent = matches!(request.phase, Phase::Sent { .. });
        let detail = blocked_detail(row);
        let reason = RefusalReason::CrashesUpstreams;
        let refusal = match is_sent || request.job.runs > 0 {
            true => Refusal::unknown(reason, detail),
            false => Refusal::not_run(reason, detail).retry_after(row.left_ms),
        };
        self.cancel_attempt(key);
        self.refuse(key, &refusal, UnansweredReason::Blocked);
    }

    /// Handles another VM's reports of requests in progress at crashed upstreams.
    pub(crate) fn handle_crash_reports(&mut self, reports: &[CrashReport]) {
        self.crash_watch.record_reports(self.now_ms, reports);
    }

    /// Records that the answer to a request was completed. If the request or a part of it was
    /// blocked or on probation, the other VMs are informed.
    pub(crate) fn record_answered(&mut self, request: &RequestFeatures) {
        let cleared = self.crash_watch.record_answered(self.now_ms, request);
        self.apply_cleared(&cleared, "answered");
        if cleared.reported.is_empty() {
            return;
        }
        for (_, address) in self.peers.judges() {
            self.send_answers(address, &cleared.reported);
        }
    }

    /// Applies the announcement that a request or part was answered at another VM.
    pub(crate) fn handle_cleared_request(&mut self, feature: &Fingerprint, how: &str) {
        let cleared = self.crash_watch.record_cleared(self.now_ms, feature);
        self.apply_lifted_blocks(&cleared, how);
    }

    /// Handles the announcement that a part is no longer on probation since a block explains the
    /// crashes.
    pub(crate) fn handle_ended_probation(&mut self, part: &Fingerprint) {
        self.crash_watch.record_released(self.now_ms, part);
        self.record_ended_probation(part, "explained elsewhere");
    }

    /// Handles another VM's announcement of what it has put on probation, and reports to it what
    /// this VM knows to be answered since.
    pub(crate) fn handle_probations(&mut self, from: SocketAddr, rows: &[ProbationRow]) {
        let answered = self.crash_watch.record_probations(self.now_ms, rows);
        self.send_answers(from, &answered);
    }

    /// Handles the answers that another VM reports to this one as a judge.
    pub(crate) fn handle_peer_answers(&mut self, rows: &[AnsweredRow]) {
        let cleared = self.crash_watch.record_peer_answers(self.now_ms, rows);
        self.apply_cleared(&cleared, "answered elsewhere");
    }

    /// Applies what an answer has cleared, and announces it to all VMs.
    fn apply_cleared(&mut self, cleared: &Cleared, how: &str) {
        self.apply_lifted_blocks(cleared, how);
        for feature in &cleared.announced {
            self.peers.send_all(&PeerMessage::Cleared(*feature));
        }
    }

    fn apply_lifted_blocks(&mut self, cleared: &Cleared, how: &str) {
        let reported = cleared.reported.iter().map(|row| &row.fingerprint);
        for feature in cleared.announced.iter().chain(reported) {
            self.record_ended_probation(feature, how);
        }
        self.block_store
            .record_ended_blocks(cleared.lifted.ended.clone());
        for row in &cleared.lifted.remaining {
            self.apply_new_block(row, how);
        }
    }

    fn record_ended_probation(&mut self, feature: &Fingerprint, how: &str) {
        self.block_store.record_ended_blocks(vec![*feature]);
        self.redispatch_needed = true;
        log::info!(fingerprint = feature.to_string(), how; "request no longer blocked");
    }

    fn send_answers(&self, address: SocketAddr, rows: &[AnsweredRow]) {
        for part in rows.chunks(PROBATIONS_PER_DATAGRAM) {
            self.peers
                .send(address, &PeerMessage::Answered(part.to_vec()));
        }
    }

    /// Sends another VM the requests on probation.
    pub(crate) fn send_probations_to(&self, address: SocketAddr) {
        for part in self
            .crash_watch
            .probations(self.now_ms)
            .chunks(PROBATIONS_PER_DATAGRAM)
        {
            self.peers
                .send(address, &PeerMessage::Probations(part.to_vec()));
        }
    }

    /// Applies blocks that another VM has announced.
    pub(crate) fn apply_announced_blocks(&mut self, rows: &[BlockRow]) {
        for row in rows {
            if self.crash_watch.record_block(self.now_ms, row) {
                self.apply_new_block(row, "told");
            }
        }
    }

    /// Sends another VM the blocks in force.
    pub(crate) fn send_blocks_to(&self, address: SocketAddr) {
        let rows = self.crash_watch.blocks(self.now_ms);
        for part in rows.chunks(BLOCKS_PER_DATAGRAM) {
            self.peers
                .send(address, &PeerMessage::Blocks(part.to_vec()));
        }
    }

    /// Sends a judge that has started the local reports about crashed upstreams.
    pub(crate) fn send_local_reports_to(&self, address: SocketAddr, vm: &VmName) {
        let reports = self.crash_watch.local_reports(self.now_ms);
        if !reports.is_empty() && self.peers.judges().iter().any(|(judge, _)| judge == vm) {
            self.send_reports(address, &reports);
        }
    }

    /// Requests the blocks in force from the lease holder, since this VM may have missed some.
    pub(crate) fn request_blocks(&mut self) {
        if let Some((_, address, _)) = self.peers.lease_holder {
            self.peers.send(address, &PeerMessage::BlocksRequested);
        }
    }

    pub(crate) fn update_quarantine_gauges(&mut self) {
        let blocked = self.crash_watch.blocks(self.now_ms).len();
        self.metrics.blocked.set(blocked as i64);
        self.metrics
            .suspects
            .set(self.crash_watch.suspects() as i64);
        let on_probation = self.crash_watch.probations(self.now_ms).len();
        self.metrics.on_probation.set(on_probation as i64);
    }
}

/// Returns the hash that identifies a caller. Callers are known by their address only.
pub(crate) fn caller_hash(caller: IpAddr) -> CallerHash {
    match caller {
        IpAddr::V4(address) => CallerHash::of(&address.octets()),
        IpAddr::V6(address) => CallerHash::of(&address.octets()),
    }
}

/// Returns the fingerprints of a request and of its prompt parts. Equal ones mean the same request
/// or part.
pub(crate) fn request_features(
    serving: &ServingRequest,
    service: &GroupName,
    head: &RequestHead,
    body: &[u8],
) -> RequestFeatures {
    let target = [serving.host.as_str(), serving.target.as_str()];
    let fingerprint = Fingerprint::of(None, &head.method, &target, body);
    let Some(wanted) = &serving.model else {
        return fingerprint.into();
    };
    let parts: Vec<u64> = serving.parts.iter().map(|part| part.id).collect();
    RequestFeatures::new(fingerprint, service.as_str(), wanted.model.as_str(), &parts)
}

fn texts_of<'a>(fingerprints: impl IntoIterator<Item = &'a Fingerprint>) -> String {
    let texts: Vec<String> = fingerprints.into_iter().map(ToString::to_string).collect();
    texts.join(" ")
}

fn blocked_detail(block: &BlockRow) -> String {
    match block.features.as_slice() {
        [only] => format!("upstreams crashed under {only}"),
        features => format!("upstreams crashed under all of {}", texts_of(features)),
    }
}
