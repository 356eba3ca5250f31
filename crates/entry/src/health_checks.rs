//! Health checks of upstreams at which a check takes room like a request.
//!
//! VMs share them ([`HealthChecks`]), and each one needs the permits that a request needs. Where none
//! is granted, only a connection is opened.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_dispatch::HEALTH_CHECK_TIMEOUT_MS;
use apricotdale_dispatch::HealthCheckStep;
use apricotdale_dispatch::HealthChecks;
use apricotdale_dispatch::ProbeOutcome;
use apricotdale_dispatch::RECHECK_WAIT_MS;
use apricotdale_dispatch::RateLimit;
use apricotdale_dispatch::UNRESPONSIVE_MS;
use apricotdale_fleet::Upstream;
use apricotdale_http1::ResponseHead;
use apricotdale_paths::PathFailure;
use apricotdale_quota::AccountId;
use mio::Token;

use crate::calls::CallOutcome;
use crate::calls::CallTag;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::outbound::Peer;
use crate::outbound::Purpose;
use crate::rejection_permits;
use crate::upstream_permits::PermitOutcome;

/// Time for which a VM whose requests are silent goes by what a check has shown.
const RESULT_PAUSE_MS: u64 = 1_500;

/// Number of checks in a row that an upstream answers while it is silent here, after which this VM
/// checks its own path with more than a connection.
const MAX_CONTRADICTIONS: u32 = 2;

/// What a health check is to find out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CheckPurpose {
    /// Whether the upstream is responsive, for all VMs.
    Liveness,
    /// Whether this VM reaches it.
    Path,
}

/// Health check that waits for a permit or is in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct HealthCheck {
    pub upstream: UpstreamName,
    pub purpose: CheckPurpose,
    /// Identifies its permits.
    pub key: u64,
}

/// Health checks of this VM and its questions to others.
#[derive(Debug, Default)]
pub(crate) struct CheckWork {
    shared: HealthChecks,
    /// Keys of the checks that wait for a permit or are in progress.
    keys: BTreeSet<u64>,
    /// Checks that wait for a permit, and until when.
    pending: BTreeMap<u64, (HealthCheck, u64)>,
    /// How often in a row upstreams answered checks while this VM's requests there were silent.
    contradictions: HashMap<UpstreamName, u32>,
}

impl CheckWork {
    pub fn next_ms(&self) -> u64 {
        let pending = self.pending.values().map(|(_, until_ms)| *until_ms);
        pending.min().unwrap_or(u64::MAX).min(self.shared.next_ms())
    }

    /// Returns whether a check has a key and has not ended.
    pub fn is_active(&self, key: u64) -> bool {
        self.keys.contains(&key)
    }

    /// Records that an upstream has left the fleet.
    pub fn removed(&mut self, upstream: &UpstreamName) {
        self.shared.removed(upstream);
        self.contradictions.remove(upstream);
    }
}

impl Daemon {
    /// Returns whether a health check of an upstream takes room like a request.
    pub(crate) fn check_takes_room(&self, upstream: &Upstream) -> bool {
        let service = self.directory.service(&upstream.service);
        service.is_some_and(|it| it.engine.is_none() && it.health_path.is_some())
    }

    /// The same by the name of the upstream; `false` if it is not known.
    fn check_takes_room_at(&self, upstream: &UpstreamName) -> bool {
        let upstream = self.directory.upstream(upstream);
        upstream.is_some_and(|it| self.check_takes_room(it))
    }

    /// Does what is due about health checks.
    pub(crate) fn advance_health_checks(&mut self) {
        if self.health_checks.shared.next_ms() <= self.now_ms {
            let peers = &self.peers;
            let checkers = |upstream: &UpstreamName| peers.checkers(upstream);
            let steps = self.health_checks.shared.due(self.now_ms, checkers);
            steps.into_iter().for_each(|it| self.run_check_step(it));
        }
        let pending: Vec<u64> = self.health_checks.pending.keys().copied().collect();
        pending
            .into_iter()
            .for_each(|it| self.request_check_permit(it));
    }

    /// Has another VM check an upstream at which this VM's requests are silent. A VM that lacks paths
    /// checks its own.
    pub(crate) fn ask_for_check(&mut self, upstream: &UpstreamName) {
        if self.paths.is_cut() {
            self.watch
                .defer_probe(upstream, self.now_ms + RESULT_PAUSE_MS);
            return self.begin_health_check(upstream, CheckPurpose::Path);
        }
        let checkers = self.peers.checkers(upstream);
        let checks = &mut self.health_checks.shared;
        let step = checks.ask(self.now_ms, upstream, &checkers);
        step.into_iter().for_each(|it| self.run_check_step(it));
    }

    pub(crate) fn handle_check_request(&mut self, asker: &VmName, upstream: &UpstreamName) {
        if self.check_takes_room_at(upstream) {
            let checks = &mut self.health_checks.shared;
            let step = checks.record_question(self.now_ms, upstream, asker);
            step.into_iter().for_each(|it| self.run_check_step(it));
        }
    }

    /// Handles what another VM has found. Returns whether checks of the upstream are shared.
    pub(crate) fn handle_check_result(
        &mut self,
        upstream: &UpstreamName,
        is_responsive: bool,
    ) -> bool {
        let is_shared = self.check_takes_room_at(upstream);
        if is_shared {
            let checks = &mut self.health_checks.shared;
            let asked_ms = checks.record_told(self.now_ms, upstream, is_responsive);
            self.apply_check_result(upstream, is_responsive, asked_ms);
        }
        is_shared
    }

    fn run_check_step(&mut self, step: HealthCheckStep) {
        match step {
            HealthCheckStep::Check(upstream) => {
                self.begin_health_check(&upstream, CheckPurpose::Liveness);
            }
            HealthCheckStep::Ask(vm, upstream) => {
                if let Some(address) = self.peers.address_of(&vm) {
                    let from = self.peers.own_record().vm.clone();
                    let question = PeerMessage::HealthCheckRequested { from, upstream };
                    self.peers.send(address, &question);
                }
            }
            HealthCheckStep::Answer {
                vms,
                upstream,
                is_responsive,
            } => {
                let result = result_message(&upstream, is_responsive);
                let addresses = vms.iter().filter_map(|vm| self.peers.address_of(vm));
                addresses.for_each(|it| self.peers.send(it, &result));
            }
            HealthCheckStep::TellAll {
                upstream,
                is_responsive,
            } => self
                .peers
                .send_all(&result_message(&upstream, is_responsive)),
        }
    }

    /// Begins a health check as soon as its permits are granted.
    pub(crate) fn begin_health_check(&mut self, upstream: &UpstreamName, purpose: CheckPurpose) {
        let check = HealthCheck {
            upstream: upstream.clone(),
            purpose,
            key: self.active.reserve_key(),
        };
        self.health_checks.keys.insert(check.key);
        match self.may_check(&check) {
            true => {
                let key = check.key;
                let pending = &mut self.health_checks.pending;
                pending.insert(key, (check, self.now_ms));
                self.request_check_permit(key);
            }
            false => self.abandon_check(&check),
        }
    }

    /// Returns whether an upstream may be sent a health check, apart from permits. A VM that has started
    /// does not know yet which limits hold. One that lacks paths can't judge for others.
    fn may_check(&self, check: &HealthCheck) -> bool {
        let Some(known) = self.directory.upstream(&check.upstream) else {
            return false;
        };
        let limits = self.dispatcher.rejection_limits();
        let is_own_path = check.purpose == CheckPurpose::Path;
        limits.is_confirmed(&known.service, &known.name)
            && !self.dispatcher.is_resting(self.now_ms, &known.name)
            && (is_own_path || !(self.paths.is_cut() || self.paths.is_lost(&known.name)))
    }

    fn request_check_permit(&mut self, key: u64) {
        let Some((check, _)) = self.health_checks.pending.get(&key).cloned() else {
            return;
        };
        match self.check_permit(&check) {
            PermitOutcome::Granted => {
                self.health_checks.pending.remove(&key);
                self.send_health_check(check);
            }
            PermitOutcome::Pending { until_ms } => {
                self.health_checks.pending.insert(key, (check, until_ms));
            }
            PermitOutcome::Denied { .. } => {
                self.health_checks.pending.remove(&key);
                self.refund_rejection_permit(key);
                self.abandon_check(&check);
            }
        }
    }

    /// Asks for the permits that the limits of an upstream demand of each message that it may reject.
    fn check_permit(&mut self, check: &HealthCheck) -> PermitOutcome {
        let (now_ms, upstream) = (self.now_ms, &check.upstream);
        let account = rejection_permits::account(upstream);
        let is_held = self.upstream_permits.at_risk.get(&check.key) == Some(&account);
        if !is_held && self.rejection_limit_of(upstream).is_some() {
            match self.upstream_permits.request(now_ms, check.key, account) {
                PermitOutcome::Granted => {
                    self.upstream_permits.at_risk.insert(check.key, account);
                }
                outcome => return outcome,
            }
        }
        match self.dispatcher.stated_limits().limit(upstream) {
            Some(_) => {
                let account = AccountId::of(upstream.as_str());
                self.upstream_permits.request(now_ms, check.key, account)
            }
            None => PermitOutcome::Granted,
        }
    }

    fn send_health_check(&mut self, check: HealthCheck) {
        let upstream = self.directory.upstream(&check.upstream);
        let service = upstream.and_then(|it| self.directory.service(&it.service));
        let path = service.and_then(|it| it.health_path.as_deref());
        let (Some(upstream), Some(path)) = (upstream, path) else {
            self.refund_rejection_permit(check.key);
            self.abandon_check(&check);
            return;
        };
        let bytes = self.codecs.engines.health(path, &upstream.instance);
        let address = upstream.address;
        let peer = Peer::Upstream(check.upstream.clone());
        self.watch.track(&check.upstream);
        let tag = CallTag::HealthCheck(check);
        self.call_on_direct_connection(peer, address, tag, &bytes, HEALTH_CHECK_TIMEOUT_MS);
    }

    /// Gives up a check that may not be sent now. A path is probed by a connection instead.
    fn abandon_check(&mut self, check: &HealthCheck) {
        self.health_checks.keys.remove(&check.key);
        match check.purpose {
            CheckPurpose::Liveness => self.finish_check(&check.upstream, None),
            CheckPurpose::Path => self.probe_connection(&check.upstream),
        }
    }

    /// Handles the end of a check whose connection did not fail.
    pub(crate) fn health_check_ended(&mut self, check: &HealthCheck, outcome: &CallOutcome) {
        let is_answered = matches!(outcome, CallOutcome::Answered { .. });
        self.health_checks.keys.remove(&check.key);
        self.refund_rejection_permit(check.key);
        match check.purpose {
            CheckPurpose::Liveness => {
                self.finish_check(&check.upstream, is_answered.then_some(true));
            }
            CheckPurpose::Path => self.paths.abandon_probe(&check.upstream),
        }
    }

    /// Handles the end of a check whose connection failed or whose time is over. An upstream that
    /// breaks the connection is responsive.
    pub(crate) fn health_check_failed(
        &mut self,
        check: &HealthCheck,
        sent_ms: Option<u64>,
        timed_out: bool,
    ) {
        self.health_checks.keys.remove(&check.key);
        match sent_ms {
            None => self.refund_rejection_permit(check.key),
            Some(sent_ms) => {
                self.end_rejection_permit(check.key, &check.upstream, sent_ms, timed_out);
            }
        }
        if check.purpose == CheckPurpose::Liveness {
            let is_known = !timed_out || !self.paths.is_cut();
            self.finish_check(&check.upstream, is_known.then_some(!timed_out));
        }
    }

    /// Returns whether the failure of a check shows something of this VM's path. An upstream that takes
    /// the connection and does not answer is reached.
    pub(crate) fn is_path_failure(check: &HealthCheck, failure: PathFailure) -> bool {
        check.purpose == CheckPurpose::Path || failure != PathFailure::Silent
    }

    fn finish_check(&mut self, upstream: &UpstreamName, is_responsive: Option<bool>) {
        let now_ms = self.now_ms;
        let checks = &mut self.health_checks.shared;
        let (step, asked_ms) = checks.record_check(now_ms, upstream, is_responsive);
        match (asked_ms, is_responsive) {
            (Some(_), None) => self.watch.defer_probe(upstream, now_ms + RESULT_PAUSE_MS),
            (_, Some(is_responsive)) => self.apply_check_result(upstream, is_responsive, asked_ms),
            (None, None) => {}
        }
        step.into_iter().for_each(|it| self.run_check_step(it));
    }

    /// Applies what a check has shown. `asked_ms` is when this VM has asked, if it has.
    fn apply_check_result(
        &mut self,
        upstream: &UpstreamName,
        is_responsive: bool,
        asked_ms: Option<u64>,
    ) {
        match is_responsive {
            true => self.apply_responsiveness(upstream, asked_ms),
            false => self.apply_silence(upstream, asked_ms),
        }
    }

    fn apply_responsiveness(&mut self, upstream: &UpstreamName, asked_ms: Option<u64>) {
        let now_ms = self.now_ms;
        let is_silent_here = asked_ms.is_some_and(|it| self.watch.is_silent_since(upstream, it));
        if asked_ms.is_some() || self.watch.is_unresponsive(upstream) {
            self.watch.record_probe(now_ms, upstream, true);
            // Evidence against connections that bring nothing, like an answer to this VM.
            self.watch.heard(now_ms, upstream);
        }
        match self.paths.is_lost(upstream) {
            true => self.paths.record_doubt(now_ms, upstream, 0),
            false if self.dispatcher.is_unreachable(now_ms, upstream) => {
                self.resume_engine(upstream);
            }
            false => {}
        }
        if asked_ms.is_none() {
            return;
        }
        let contradictions = &mut self.health_checks.contradictions;
        if !is_silent_here {
            contradictions.remove(upstream);
            return;
        }
        let contradictions = contradictions.entry(upstream.clone()).or_default();
        *contradictions += 1;
        match *contradictions >= MAX_CONTRADICTIONS || self.paths.is_any_lost() {
            true => self.begin_health_check(upstream, CheckPurpose::Path),
            false => self.paths.record_doubt(now_ms, upstream, 0),
        }
    }

    /// Sends an unresponsive upstream nothing for a while, unless it has just sent something here.
    fn apply_silence(&mut self, upstream: &UpstreamName, asked_ms: Option<u64>) {
        let now_ms = self.now_ms;
        let (is_confirmed, how) = match asked_ms {
            Some(_) => {
                let outcome = self.watch.record_probe(now_ms, upstream, false);
                (outcome == ProbeOutcome::Unresponsive, "asked")
            }
            None => {
                let heard_ms = self.watch.last_heard_ms(upstream);
                let is_heard = |at_ms: u64| now_ms <= at_ms + HEALTH_CHECK_TIMEOUT_MS;
                (!heard_ms.is_some_and(is_heard), "told")
            }
        };
        self.health_checks.contradictions.remove(upstream);
        self.watch.defer_probe(upstream, now_ms + RECHECK_WAIT_MS);
        if is_confirmed {
            self.suspend_engine(upstream, UNRESPONSIVE_MS, how);
        }
    }

    /// Records that an upstream has rejected a health check for want of room, if the head of a call's
    /// answer says so.
    pub(crate) fn record_rejected_check(&mut self, token: Token, head: &ResponseHead) {
        let connection = self.outbound.get_mut(token);
        let Some((Peer::Upstream(upstream), Purpose::Call(tag))) =
            connection.map(|it| (it.peer.clone(), it.purpose.clone()))
        else {
            return;
        };
        let is_rejection = head.status == 503 && self.codecs.callers.answer(head).not_run;
        if !is_rejection {
            return;
        }
        let limit = self.rejection_limit_of(&upstream);
        self.metrics.rejected_check(limit.is_some());
        if self.log_budget.try_take(self.now_ms, false) {
            log::info!(
                upstream = upstream.to_string(), call = tag.as_str(),
                per_s = limit.map(RateLimit::per_s);
                "upstream rejected a health check"
            );
        }
        if let CallTag::HealthCheck(check) = tag {
            self.settle_rejection_permit(check.key);
            if let Some(limit) = limit {
                self.announce_rejection(&upstream, limit);
            }
        }
    }

    fn rejection_limit_of(&self, upstream: &UpstreamName) -> Option<RateLimit> {
        let service = &self.directory.upstream(upstream)?.service;
        self.dispatcher.rejection_limits().limit(service, upstream)
    }
}

fn result_message(upstream: &UpstreamName, is_responsive: bool) -> PeerMessage {
    match is_responsive {
        true => PeerMessage::EngineResponsive(upstream.clone()),
        false => PeerMessage::EngineUnresponsive(upstream.clone()),
    }
}
