//! Limits on rejections that upstreams state: how all VMs learn of them, and the permits by which all
//! VMs together keep to them.

use std::collections::HashSet;
use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_dispatch::RateLimit;
use apricotdale_dispatch::StatedRejectionLimit;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_quota::AccountId;
use apricotdale_quota::AccountRule;

use crate::active::Phase;
use crate::codec::LimitField;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::upstream_permits::PermitOutcome;

/// Time for which a VM that has started waits for what upstreams have stated to others, before it sends
/// each upstream one request to find out. Others answer within milliseconds.
const TOLD_WAIT_MS: u64 = 300;

/// The same while another VM is heard that has not just started: it will answer, if late. Earlier
/// releases can't, which bounds the time.
const MAX_TOLD_WAIT_MS: u64 = 1_500;

/// Time since its last message up to which another VM counts as one that will answer. The lease holder
/// sends heartbeats every 400 ms.
const HEARD_MS: u64 = 1_000;

/// Time between two checks whether a VM that has started may send requests, and between two questions
/// to the other VMs: to all at first, then to some, then to some more rarely.
const START_CHECK_MS: u64 = 20;
const QUESTION_INTERVAL_MS: u64 = 100;
const LATE_QUESTION_INTERVAL_MS: u64 = 1_000;
const LATE_QUESTION_VMS: usize = 32;

/// The same while all VMs that are heard ask themselves, as after a start of the whole fleet: then only
/// the upstreams can answer.
const VAIN_QUESTION_INTERVAL_MS: u64 = 10_000;
const VAIN_QUESTION_VMS: usize = 4;

/// Time between two questions to the owner of the permits for what upstreams have stated.
const OWNER_QUESTION_INTERVAL_MS: u64 = 1_000;

/// Maximum time for which an upstream is passed over after a permit for it was denied. Permits are
/// refunded as soon as requests are accepted.
const MAX_DENIED_MS: u64 = 60;

/// Questions of a VM that has started, and how long its requests wait for the answer.
#[derive(Debug, Default)]
pub(crate) struct StartGate {
    is_told: bool,
    /// When it began to wait; none before the first question or request.
    since_ms: Option<u64>,
    next_question_ms: u64,
    /// Other VMs that have asked the same, and so can't answer.
    asking: HashSet<SocketAddr>,
    /// Whether the message in progress has rows on rate limits.
    has_rate_rows: bool,
}

impl StartGate {
    /// Returns when the next question is due.
    pub fn next_ms(&self) -> u64 {
        match self.since_ms {
            Some(_) if !self.is_told => self.next_question_ms,
            _ => u64::MAX,
        }
    }

    /// Records that another VM has asked, which has just started too.
    pub fn record_question(&mut self, from: SocketAddr) {
        self.asking.insert(from);
    }

    /// Records how many rows on rate limits a message has. One without any rows ends an answer.
    pub fn record_rate_rows(&mut self, rows: usize) {
        self.has_rate_rows = rows > 0;
    }
}

impl Daemon {
    /// Returns whether this VM may send requests, if only one to each upstream whose statements are
    /// not known. Otherwise lets one wait for other VMs' answers.
    pub(crate) fn knows_stated_limits(&mut self, key: u64) -> bool {
        let now_ms = self.now_ms;
        if self.is_told() {
            return true;
        }
        let start = &mut self.upstream_permits.start;
        let waited_ms = now_ms - *start.since_ms.get_or_insert(now_ms);
        let heard_from_ms = now_ms.saturating_sub(HEARD_MS);
        let is_answer_likely = || self.peers.is_heard_since(heard_from_ms, &start.asking);
        if waited_ms >= MAX_TOLD_WAIT_MS || (waited_ms >= TOLD_WAIT_MS && !is_answer_likely()) {
            return true;
        }
        if let Some(request) = self.active.get_mut(key) {
            request.phase = Phase::Waiting(WaitReason::Permit);
            self.active.wake_at(now_ms + START_CHECK_MS, key);
        }
        false
    }

    /// Returns whether this VM knows what all upstreams state. One that is alone knows what there is
    /// to know.
    pub(crate) fn is_told(&mut self) -> bool {
        if !self.upstream_permits.start.is_told && self.peers.vms() == Some(1) {
            self.record_told("alone");
        }
        self.upstream_permits.start.is_told
    }

    fn record_told(&mut self, how: &str) {
        let start = &mut self.upstream_permits.start;
        if std::mem::replace(&mut start.is_told, true) {
            return;
        }
        let waited_ms = start.since_ms.map_or(0, |it| self.now_ms - it);
        log::info!(how, waited_ms; "statements on rejections known");
        start.asking.clear();
        self.dispatcher.rejection_limits_mut().complete();
        self.redispatch_needed = true;
    }

    /// Asks the other VMs what upstreams have stated to them, until one answers or the upstreams
    /// themselves have.
    pub(crate) fn ask_for_stated_limits(&mut self) {
        let now_ms = self.now_ms;
        let start = &self.upstream_permits.start;
        let is_due = now_ms >= start.next_question_ms && self.peers.vms().is_some();
        if start.is_told || !is_due || self.is_told() {
            return;
        }
        if self.has_asked_all_upstreams() {
            self.record_told("answered");
            return;
        }
        let heard_from_ms = now_ms.saturating_sub(HEARD_MS);
        let asking = &self.upstream_permits.start.asking;
        let is_answer_likely = self.peers.is_heard_since(heard_from_ms, asking);
        let start = &mut self.upstream_permits.start;
        let is_first = start.next_question_ms == 0;
        let waited_ms = now_ms - *start.since_ms.get_or_insert(now_ms);
        let interval_ms = match waited_ms {
            ..MAX_TOLD_WAIT_MS => QUESTION_INTERVAL_MS,
            _ if is_answer_likely => LATE_QUESTION_INTERVAL_MS,
            _ => VAIN_QUESTION_INTERVAL_MS,
        };
        start.next_question_ms = now_ms + interval_ms;
        let question = PeerMessage::StatedLimitsRequested { is_first };
        let is_vain = waited_ms >= MAX_TOLD_WAIT_MS && !is_answer_likely;
        match waited_ms {
            ..TOLD_WAIT_MS => self.peers.send_all(&question),
            _ if is_vain => self.peers.send_to_next(VAIN_QUESTION_VMS, &question),
            _ => self.peers.send_to_next(LATE_QUESTION_VMS, &question),
        }
    }

    /// Returns whether all upstreams that can be asked have answered this VM.
    fn has_asked_all_upstreams(&self) -> bool {
        let limits = self.dispatcher.rejection_limits();
        let mut serving = self
            .directory
            .upstreams()
            .filter(|it| it.phase == UpstreamPhase::Serving)
            .filter(|it| !self.dispatcher.is_unreachable(self.now_ms, &it.name))
            .peekable();
        self.directory.is_listed()
            && serving.peek().is_some()
            && serving.all(|it| limits.is_confirmed(&it.service, &it.name))
    }

    /// Returns whether a request may be sent to an upstream as far as it is known what that states.
    fn may_check_statement(&mut self, key: u64, upstream: &UpstreamName) -> bool {
        let limits = self.dispatcher.rejection_limits();
        let is_checked = limits.is_complete() || !limits.is_awaited(upstream);
        if let Some(request) = self.active.get_mut(key).filter(|_| !is_checked) {
            request.phase = Phase::Waiting(WaitReason::Permit);
        }
        is_checked
    }

    /// Records that an upstream is sent a request: the only one, if it is not known what it states.
    pub(crate) fn begin_statement_check(&mut self, upstream: &UpstreamName) {
        let service = self.directory.upstream(upstream).map(|it| &it.service);
        if let Some(service) = service {
            let limits = self.dispatcher.rejection_limits_mut();
            limits.begin_check(service, upstream);
        }
    }

    /// Records that an attempt at an upstream has ended.
    pub(crate) fn end_statement_check(
        &mut self,
        upstream: &UpstreamName,
        outcome: UpstreamOutcome,
    ) {
        let may_be_rejected = !matches!(
            outcome,
            UpstreamOutcome::Answered | UpstreamOutcome::Unreachable
        );
        let limits = self.dispatcher.rejection_limits_mut();
        self.redispatch_needed |= limits.end_check(self.now_ms, upstream, may_be_rejected);
    }

    /// Applies the limits on rejections that another VM has announced.
    pub(crate) fn apply_announced_rejection_limits(&mut self, announced: &[StatedRejectionLimit]) {
        if announced.is_empty() && !self.upstream_permits.start.has_rate_rows {
            self.record_told("told");
        }
        for row in announced {
            let is_listed = match &row.upstream {
                Some(upstream) => self.directory.upstream(upstream).is_some(),
                None => false,
            };
            let limits = self.dispatcher.rejection_limits_mut();
            if limits.apply(self.now_ms, row, is_listed) {
                self.handle_rejection_limit_change(&row.service, row.upstream.as_ref(), "told");
            }
        }
    }

    /// Records what an answer states about how many requests its upstream may reject. `sent_ms` is when
    /// the request was sent; none if the answer can't end a stated limit.
    pub(crate) fn record_rejection_limit(
        &mut self,
        upstream: &UpstreamName,
        sent_ms: Option<u64>,
        field: &LimitField,
    ) {
        let is_complete = self.dispatcher.rejection_limits().is_complete();
        self.redispatch_needed |= !is_complete;
        let (limit, sent_ms) = match (field, sent_ms) {
            (LimitField::Stated(limit), _) => (Some(*limit), self.now_ms),
            (LimitField::Absent, Some(sent_ms)) => (None, sent_ms),
            (LimitField::Absent, None) => return,
            (LimitField::Invalid(text), _) => {
                self.dispatcher.rejection_limits_mut().confirm(upstream);
                self.log_invalid_limit(upstream, text, "is no rate");
                return;
            }
        };
        let Some(service) = self
            .directory
            .upstream(upstream)
            .map(|it| it.service.clone())
        else {
            return;
        };
        let limits = self.dispatcher.rejection_limits_mut();
        if limits.record_answer(self.now_ms, sent_ms, &service, upstream, limit) {
            self.handle_rejection_limit_change(&service, Some(upstream), "answered");
        }
    }

    fn handle_rejection_limit_change(
        &mut self,
        service: &GroupName,
        upstream: Option<&UpstreamName>,
        how: &str,
    ) {
        if self.log_budget.try_take(self.now_ms, false) {
            let limits = self.dispatcher.rejection_limits();
            let limit = upstream.and_then(|upstream| limits.limit(service, upstream));
            let per_s = limit.map(RateLimit::per_s);
            let upstream = upstream.map_or_else(String::new, UpstreamName::to_string);
            let service = service.to_string();
            log::info!(service, upstream, per_s, how; "limit on rejections changed");
        }
        self.upstream_permits.are_rules_outdated = true;
        self.redispatch_needed = true;
    }

    /// Returns the accounts of the upstreams for which a limit on rejections holds.
    pub(crate) fn rejection_rules(&self) -> Vec<(AccountId, AccountRule)> {
        let limits = self.dispatcher.rejection_limits();
        if !limits.is_any() {
            self.metrics.rejection_limited_upstreams.set(0);
            return Vec::new();
        }
        let limited = self.directory.upstreams().filter_map(|upstream| {
            let limit = limits.limit(&upstream.service, &upstream.name)?;
            let rule = AccountRule::AtRisk {
                max_per_s: limit.per_s(),
                since_ms: limits.stated_since_ms(&upstream.service)?,
            };
            Some((account(&upstream.name), rule))
        });
        let rules: Vec<(AccountId, AccountRule)> = limited.collect();
        let count = rules.len() as i64;
        self.metrics.rejection_limited_upstreams.set(count);
        rules
    }

    /// Returns whether a request may be sent to an upstream that may have to reject it. If not, the
    /// request waits for a permit or for another upstream.
    pub(crate) fn has_rejection_permit(&mut self, key: u64, upstream: &UpstreamName) -> bool {
        let now_ms = self.now_ms;
        if !self.may_check_statement(key, upstream) {
            return false;
        }
        let account = account(upstream);
        if self.upstream_permits.at_risk.get(&key) == Some(&account) {
            return true;
        }
        self.refund_rejection_permit(key);
        let limits = self.dispatcher.rejection_limits();
        let service = self.directory.upstream(upstream).map(|it| &it.service);
        if service.is_none_or(|service| limits.limit(service, upstream).is_none()) {
            return true;
        }
        if self.upstream_permits.are_rules_outdated {
            self.apply_stated_limits();
        }
        let outcome = self.upstream_permits.request(now_ms, key, account);
        match outcome {
            PermitOutcome::Granted => {
                self.upstream_permits.at_risk.insert(key, account);
            }
            PermitOutcome::Denied { retry_after_ms } => {
                let until_ms = now_ms + retry_after_ms.min(MAX_DENIED_MS);
                let limits = self.dispatcher.rejection_limits_mut();
                limits.hold_back(upstream, until_ms);
                self.exchange_limits_with_owner();
            }
            PermitOutcome::Pending { .. } => {}
        }
        self.handle_permit_outcome(key, &outcome)
    }

    /// Exchanges what upstreams have stated with the owner of the permits, which has denied one: it
    /// denies what it has no account for, since the limit has ended or the owner has not heard of it.
    fn exchange_limits_with_owner(&mut self) {
        let permits = &mut self.upstream_permits;
        if self.now_ms < permits.next_owner_question_ms {
            return;
        }
        permits.next_owner_question_ms = self.now_ms + OWNER_QUESTION_INTERVAL_MS;
        let rank = permits.client.owner_rank();
        let own = &self.peers.own_record().vm;
        let owners = self.peers.quota_owners();
        if let Some((_, address)) = owners.get(rank).filter(|(vm, _)| vm != own) {
            let question = PeerMessage::StatedLimitsRequested { is_first: false };
            self.peers.send(*address, &question);
            self.send_all_stated_limits(Some(*address));
        }
    }

    /// Refunds the permit of a request that its upstream has accepted, or that was not sent.
    pub(crate) fn refund_rejection_permit(&mut self, key: u64) {
        let permits = &mut self.upstream_permits;
        if let Some(account) = permits.at_risk.remove(&key) {
            self.redispatch_needed |= permits.client.refund(self.now_ms, account);
        }
    }

    /// Records how many further requests an upstream accepts, for the owner of the permits.
    pub(crate) fn record_upstream_room(&mut self, upstream: &UpstreamName, requests: u32) {
        if self.dispatcher.rejection_limits().is_any() {
            let client = &mut self.upstream_permits.client;
            client.record_room(self.now_ms, account(upstream), requests);
        }
    }

    /// Records that an upstream has begun to answer a request, or rejected it for want of room.
    /// `sent_ms` is when the request was sent.
    pub(crate) fn record_acceptance(
        &mut self,
        key: u64,
        upstream: &UpstreamName,
        sent_ms: u64,
        is_rejection: bool,
    ) {
        if !is_rejection {
            self.refund_rejection_permit(key);
            return;
        }
        let had_permit = self.upstream_permits.at_risk.contains_key(&key);
        self.settle_rejection_permit(key);
        let Some(service) = self
            .directory
            .upstream(upstream)
            .map(|it| it.service.clone())
        else {
            return;
        };
        let limits = self.dispatcher.rejection_limits();
        let Some(limit) = limits.limit(&service, upstream) else {
            return;
        };
        let was_known = limits.was_known(&service, sent_ms);
        self.metrics.limited_rejection(was_known);
        if self.log_budget.try_take(self.now_ms, false) {
            log::info!(
                upstream = upstream.to_string(), per_s = limit.per_s(), was_known, had_permit,
                sent_ms_ago = self.now_ms.saturating_sub(sent_ms);
                "upstream with a limit on rejections rejected a request"
            );
        }
        self.announce_rejection(upstream, limit);
    }

    /// Sends an upstream that has rejected something nothing for a moment, and has the other VMs do so.
    pub(crate) fn announce_rejection(&mut self, upstream: &UpstreamName, limit: RateLimit) {
        let limits = self.dispatcher.rejection_limits_mut();
        limits.record_rejection(self.now_ms, upstream);
        let upstream = upstream.clone();
        self.peers
            .send_all(&PeerMessage::Rejected { upstream, limit });
    }

    /// Applies another VM's announcement that an upstream with a limit on rejections rejected a
    /// request.
    pub(crate) fn apply_announced_rejection(&mut self, upstream: &UpstreamName, limit: RateLimit) {
        let service = self
            .directory
            .upstream(upstream)
            .map(|it| it.service.clone());
        let Some(service) = service else {
            return;
        };
        let limits = self.dispatcher.rejection_limits_mut();
        limits.record_rejection(self.now_ms, upstream);
        // The sender announces the limit itself; a record as an own answer would be announced again.
        let row = StatedRejectionLimit {
            service,
            upstream: Some(upstream.clone()),
            limit: Some(limit),
            age_ms: 0,
            stated_for_ms: 0,
        };
        if limits.apply(self.now_ms, &row, true) {
            self.handle_rejection_limit_change(&row.service, Some(upstream), "told");
        }
    }

    /// Applies the limit of a service to an upstream of it that is new to this VM.
    pub(crate) fn apply_rejection_limit_to(&mut self, upstream: &UpstreamName) {
        let limits = self.dispatcher.rejection_limits();
        let service = self.directory.upstream(upstream).map(|it| &it.service);
        if service.is_some_and(|service| limits.limit(service, upstream).is_some()) {
            self.upstream_permits.are_rules_outdated = true;
        }
    }
}

/// Returns the account of the requests to an upstream that it has not accepted yet.
pub(crate) fn account(upstream: &UpstreamName) -> AccountId {
    AccountId::of(&format!("rejections/{upstream}"))
}
