//! Upstreams that crash, the requests under which they do, and what the VMs tell each other of it.
//!
//! A connection that breaks shows little: the upstream may be there. So the upstream is asked
//! before the requests lost with it are held against anybody. What was in progress is told to a few
//! VMs, which judge; a verdict is told to all, and kept in the store by the giver of orders for VMs
//! that start. Nothing here holds up a request that is not blocked.

use std::cmp::Reverse;
use std::net::IpAddr;
use std::net::SocketAddr;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_fleet::ServingRequest;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_http1::RequestHead;
use apricotdale_quarantine::BlockRow;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::LostRequest;
use apricotdale_quarantine::Role;
use apricotdale_quarantine::TrialQuery;
use apricotdale_quarantine::UpstreamProbe;

use crate::active::Phase;
use crate::calling::CallOutcome;
use crate::calling::CallTag;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::outbound::Peer;

/// How long the answer of an upstream is awaited that broke a connection. Nobody listens where a
/// process has ended, which shows within a round trip.
const RECHECK_MS: u64 = 300;

/// Reports in one datagram, each with ten requests at the most.
const REPORTS_A_DATAGRAM: usize = 4;

/// Blocks in one datagram.
const BLOCKS_A_DATAGRAM: usize = 10;

/// Requests on probation in one datagram.
const PROBATIONS_A_DATAGRAM: usize = 30;

/// Fingerprints in one line of the log.
const LOGGED_SUSPECTS: usize = 8;

impl Daemon {
    /// Returns the refusal of a request under which upstreams crash, or none if it may be sent.
    pub(crate) fn blocked(&self, fingerprint: &Fingerprint) -> Option<Refusal> {
        let left_ms = self.crash_watch.blocked_ms(self.now_ms, fingerprint)?;
        let detail = blocked_detail(fingerprint);
        let refusal = Refusal::not_run(RefusalReason::CrashesUpstreams, detail);
        Some(refusal.retry_after(left_ms))
    }

    /// Notes a request that was lost because an upstream broke its connection.
    pub(crate) fn note_broken_send(&mut self, upstream: &UpstreamName, key: u64) {
        // One that leaves, was removed or fell silent before does not end under its requests.
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
                fingerprint: request.fingerprint,
                caller: request.caller_hash,
                is_trial: request.is_trial,
            },
        );
    }

    /// Asks an upstream that broke a connection whether it is still there. A plain service's
    /// instance is only connected to: it could take a question for a request.
    fn recheck(&mut self, recheck: &UpstreamProbe) {
        let Some(known) = self.directory.upstream(&recheck.upstream) else {
            return;
        };
        let address = known.address;
        let bytes = match recheck.is_engine {
            true => self.codecs.engines.report(&known.instance),
            false => Vec::new(),
        };
        let peer = Peer::Upstream(recheck.upstream.clone());
        let tag = CallTag::UpstreamProbe(recheck.upstream.clone());
        self.call_anew(peer, address, tag, &bytes, RECHECK_MS);
    }

    /// Takes in what an upstream said that broke a connection. One that answers has not ended; if
    /// another answers in its place, it has.
    pub(crate) fn recheck_ended(&mut self, upstream: &UpstreamName, outcome: &CallOutcome) {
        let CallOutcome::Answered { status, body } = outcome else {
            self.crash_watch.record_unanswered(self.now_ms, upstream);
            return;
        };
        let born_ms = self.directory.upstream(upstream).map(|it| it.born_ms);
        let report = self.codecs.engines.report_answer(*status, body);
        match report {
            Ok(report) if born_ms.is_some_and(|born_ms| report.born_ms <= born_ms) => {
                self.crash_watch.record_alive(upstream);
            }
            Ok(_) => self.record_ended(upstream),
            Err(_) if *status == 421 => self.record_ended(upstream),
            Err(_) => {}
        }
    }

    /// Takes in that an upstream has ended.
    pub(crate) fn record_ended(&mut self, upstream: &UpstreamName) {
        let Some(lost) = self.crash_watch.record_ended(self.now_ms, upstream) else {
            return;
        };
        let mut lost = lost;
        lost.sort_by_key(|it| Reverse(it.copies));
        let texts = lost.iter().take(LOGGED_SUSPECTS);
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
            self.do_due_about_crashes();
        }
        self.advance_block_store();
    }

    fn do_due_about_crashes(&mut self) {
        let own = self.peers.own_record().vm.clone();
        let judges = self.peers.judges();
        let role = Role {
            judge: judges.iter().position(|(vm, _)| *vm == own),
            judges: judges.len(),
            vms: self.peers.others() + 1,
            is_lease_holder: self.ordering.held_lease_end(self.now_ms).is_some(),
        };
        let due = self.crash_watch.due(self.now_ms, role);
        due.probes.iter().for_each(|it| self.recheck(it));
        self.look_again |= due.may_continue;
        if let Some((vm, address)) = judges.get(due.trial_judge) {
            let is_other = *vm != own;
            let asker = self.run;
            for ask in due.trial_queries {
                self.peers
                    .send(*address, &PeerMessage::TrialWanted { asker, ask });
            }
            for end in due.trial_ends.into_iter().filter(|_| is_other) {
                self.peers
                    .send(*address, &PeerMessage::TrialOver { asker, end });
            }
        }
        for part in due.probations.chunks(PROBATIONS_A_DATAGRAM) {
            log::info!(fingerprints = texts_of(part); "requests on probation");
            self.peers.send_all(&PeerMessage::Probations(part.to_vec()));
        }
        if !due.reports.is_empty() {
            for (_, address) in judges.into_iter().filter(|(vm, _)| *vm != own) {
                self.send_reports(address, &due.reports);
            }
        }
        for row in &due.new_blocks {
            self.metrics.begun_block();
            self.block_began(row, "found");
        }
        for part in due.blocks.chunks(BLOCKS_A_DATAGRAM) {
            self.peers.send_all(&PeerMessage::Blocks(part.to_vec()));
        }
        self.block_store.record_ended(due.ended);
    }

    /// Decides for another VM whether it may send a request on probation.
    pub(crate) fn decide_trial(&mut self, from: SocketAddr, asker: u64, ask: &TrialQuery) {
        let vms = self.peers.others() + 1;
        let answer = self.crash_watch.decide_trial(self.now_ms, asker, ask, vms);
        self.peers.send(from, &PeerMessage::TrialDecided(answer));
    }

    /// Notes that a trial could not be sent.
    pub(crate) fn note_unsent_trial(&mut self, key: u64) {
        let Some(request) = self.active.get_mut(key) else {
            return;
        };
        let is_sent = matches!(request.phase, Phase::Sent { .. });
        if !is_sent && std::mem::take(&mut request.is_trial) {
            self.crash_watch
                .record_trial_end(self.now_ms, request.fingerprint, false);
        }
    }

    fn send_reports(&self, address: SocketAddr, reports: &[CrashReport]) {
        for part in reports.chunks(REPORTS_A_DATAGRAM) {
            self.peers
                .send(address, &PeerMessage::Crashes(part.to_vec()));
        }
    }

    /// Ends what is in progress of a request that is blocked from now on. An answer that has begun
    /// goes on: if it ends well, the request was blamed for what happened beside it.
    pub(crate) fn block_began(&mut self, row: &BlockRow, how: &str) {
        let upstreams: Vec<&str> = row.upstreams.iter().map(UpstreamName::as_str).collect();
        log::warn!(
            fingerprint = row.fingerprint.to_string(),
            upstreams = upstreams.join(" "),
            times = row.times,
            left_ms = row.left_ms,
            how;
            "request blocked"
        );
        self.block_store.note_begun(row);
        let keys: Vec<u64> = self
            .active
            .iter()
            .filter(|(_, request)| {
                !request.delivery.has_begun() && request.fingerprint == row.fingerprint
            })
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.refuse_blocked(key, row);
        }
    }

    fn refuse_blocked(&mut self, key: u64, row: &BlockRow) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let is_sent = matches!(request.phase, Phase::Sent { .. });
        let detail = blocked_detail(&row.fingerprint);
        let reason = RefusalReason::CrashesUpstreams;
        let refusal = match is_sent || request.job.runs > 0 {
            true => Refusal::unknown(reason, detail),
            false => Refusal::not_run(reason, detail).retry_after(row.left_ms),
        };
        self.cancel_try(key);
        self.refuse(key, &refusal);
    }

    /// Takes in what another VM had in progress at upstreams that crashed.
    pub(crate) fn take_crash_reports(&mut self, reports: &[CrashReport]) {
        self.crash_watch.record_reports(self.now_ms, reports);
    }

    /// Notes a request that was answered.
    pub(crate) fn record_answered(&mut self, fingerprint: Fingerprint) {
        if self.crash_watch.record_answered(self.now_ms, fingerprint) {
            self.log_cleared(&fingerprint, "answered");
            self.peers.send_all(&PeerMessage::Cleared(fingerprint));
        }
    }

    /// Takes in that a blocked request was answered.
    pub(crate) fn request_cleared(&mut self, fingerprint: &Fingerprint, how: &str) {
        if self.crash_watch.record_cleared(self.now_ms, fingerprint) {
            self.log_cleared(fingerprint, how);
        }
    }

    /// Tells a VM which requests are on probation.
    pub(crate) fn tell_probations_to(&self, address: SocketAddr) {
        for part in self.crash_watch.probations().chunks(PROBATIONS_A_DATAGRAM) {
            self.peers
                .send(address, &PeerMessage::Probations(part.to_vec()));
        }
    }

    fn log_cleared(&mut self, fingerprint: &Fingerprint, how: &str) {
        self.block_store.record_ended(vec![*fingerprint]);
        self.look_again = true;
        log::info!(fingerprint = fingerprint.to_string(), how; "request no longer blocked");
    }

    /// Takes in blocks that another VM tells of.
    pub(crate) fn take_blocks(&mut self, rows: &[BlockRow]) {
        for row in rows {
            if self.crash_watch.record_block(self.now_ms, row) {
                self.block_began(row, "told");
            }
        }
    }

    /// Tells a VM the blocks in force.
    pub(crate) fn tell_blocks_to(&self, address: SocketAddr) {
        let rows = self.crash_watch.blocks(self.now_ms);
        for part in rows.chunks(BLOCKS_A_DATAGRAM) {
            self.peers
                .send(address, &PeerMessage::Blocks(part.to_vec()));
        }
    }

    /// Tells a judge that has started what this VM had in progress at upstreams that crashed.
    pub(crate) fn tell_own_reports_to(&self, address: SocketAddr, vm: &VmName) {
        let reports = self.crash_watch.local_reports(self.now_ms);
        if !reports.is_empty() && self.peers.judges().iter().any(|(judge, _)| judge == vm) {
            self.send_reports(address, &reports);
        }
    }

    /// Asks the giver of orders for the blocks in force: this VM may have missed some.
    pub(crate) fn ask_for_blocks(&mut self) {
        if let Some((_, address, _)) = self.peers.holder {
            self.peers.send(address, &PeerMessage::BlocksWanted);
        }
    }

    pub(crate) fn note_quarantine_size(&mut self) {
        let blocked = self.crash_watch.blocks(self.now_ms).len();
        self.metrics.blocked.set(blocked as i64);
        self.metrics
            .suspects
            .set(self.crash_watch.suspects() as i64);
        let on_probation = self.crash_watch.probations().len();
        self.metrics.on_probation.set(on_probation as i64);
    }
}

/// Returns what stands for a caller, who is known by the address only.
pub(crate) fn caller_hash(caller: IpAddr) -> CallerHash {
    match caller {
        IpAddr::V4(address) => CallerHash::of(&address.octets()),
        IpAddr::V6(address) => CallerHash::of(&address.octets()),
    }
}

/// Returns what tells whether two requests are the same one.
pub(crate) fn fingerprint(
    serving: &ServingRequest,
    head: &RequestHead,
    body: &[u8],
) -> Fingerprint {
    let target = [serving.host.as_str(), serving.target.as_str()];
    Fingerprint::of(None, &head.method, &target, body)
}

fn texts_of(fingerprints: &[Fingerprint]) -> String {
    let texts: Vec<String> = fingerprints.iter().map(ToString::to_string).collect();
    texts.join(" ")
}

fn blocked_detail(fingerprint: &Fingerprint) -> String {
    format!("upstreams crashed under request {fingerprint}")
}
