//! Rate limits that upstreams state: how all VMs learn of them, and the permits by which all VMs
//! together keep to them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::LimitChange;
use apricotdale_dispatch::RateLimit;
use apricotdale_dispatch::StatedLimit;
use apricotdale_dispatch::WaitReason;
use apricotdale_organisations::Limit;
use apricotdale_quota::AccountId;
use apricotdale_quota::AccountRule;
use apricotdale_quota::Admission;
use apricotdale_quota::Answer;
use apricotdale_quota::Bounds;
use apricotdale_quota::QuotaClient;
use apricotdale_quota::QuotaOwner;
use apricotdale_quota::Report;

use crate::active::Phase;
use crate::codec::LimitField;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::rejection_permits::StartGate;
use crate::unsettled_permits::UnsettledPermit;

/// Tolerance of the upstreams' limits. None of it is used regularly: it covers what VMs do not know
/// of each other.
const PERMIT_BOUNDS: Bounds = Bounds {
    window_ms: 4_000,
    over: 0.5,
    slack: 5.0,
    sustained_share: 0.0,
};

/// Lowest rate at which permits accrue. Without any request an upstream that states a limit of 0
/// could not state that it has ended.
const MIN_PERMITS_PER_S: f64 = 0.1;

/// Number of VMs assumed until the store's entries have been read. It is large, so that this VM's
/// share of a limit is small until then.
const ASSUMED_VMS: usize = 1_000;

/// How long a request waits for a permit before another upstream is tried.
const PERMIT_TIMEOUT_MS: u64 = 100;

/// How long no permit for an upstream is requested after the owner has not answered, so that few
/// requests wait in vain.
const OWNER_RETRY_MS: u64 = 500;

/// Time between two removals of VMs that no longer report to the owner of the permits.
const FORGET_INTERVAL_MS: u64 = 10_000;

/// Maximum number of invalid statements that are logged.
const MAX_LOGGED_STATEMENTS: usize = 200;

/// Outcome of asking for a permit.
pub(crate) enum PermitOutcome {
    Granted,
    /// The owner of the permits is being asked.
    Pending {
        until_ms: u64,
    },
    Denied {
        retry_after_ms: u64,
    },
}

/// Request that asks for a permit.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    account: AccountId,
    since_ms: u64,
}

/// Permits for upstreams that state a rate limit: those of this VM's requests, and as their owner
/// those of all VMs.
#[derive(Debug)]
pub(crate) struct UpstreamPermits {
    pub(crate) client: QuotaClient,
    owner: QuotaOwner,
    pending: HashMap<u64, PendingRequest>,
    /// Accounts of the permits of sent requests that no upstream has accepted yet, by request key.
    pub(crate) at_risk: HashMap<u64, AccountId>,
    pub(crate) unsettled: Vec<UnsettledPermit>,
    pub(crate) start: StartGate,
    pub(crate) next_owner_question_ms: u64,
    /// Whether limits on rejections have changed since the accounts were set.
    pub(crate) are_rules_outdated: bool,
    pub(crate) next_announcement_ms: u64,
    pub(crate) next_refresh_ms: u64,
    pub(crate) next_table_ms: u64,
    next_forget_ms: u64,
    /// When an upstream whose permits are used up may be asked for again; none without one.
    available_ms: Option<u64>,
    logged_statements: HashSet<String>,
}

impl UpstreamPermits {
    pub fn new(incarnation: u64) -> Self {
        let mut permits = Self {
            client: QuotaClient::new(incarnation, PERMIT_BOUNDS),
            owner: QuotaOwner::new(incarnation, PERMIT_BOUNDS),
            pending: HashMap::new(),
            at_risk: HashMap::new(),
            unsettled: Vec::new(),
            start: StartGate::default(),
            next_owner_question_ms: 0,
            are_rules_outdated: false,
            next_announcement_ms: 0,
            next_refresh_ms: u64::MAX,
            next_table_ms: u64::MAX,
            next_forget_ms: 0,
            available_ms: None,
            logged_statements: HashSet::new(),
        };
        permits.set_vms(ASSUMED_VMS);
        permits
    }

    /// Sets the number of VMs that share the limits.
    pub fn set_vms(&mut self, vms: usize) {
        self.client.set_vms(vms);
        self.owner.set_vms(vms);
    }

    /// Returns when the next message or retry is due.
    pub fn next_ms(&self) -> u64 {
        let unsettled = self.unsettled.iter().map(UnsettledPermit::until_ms);
        [
            unsettled.min().unwrap_or(u64::MAX),
            self.client.next_ms(),
            self.start.next_ms(),
            self.next_refresh_ms,
            self.next_table_ms,
            self.available_ms.unwrap_or(u64::MAX),
        ]
        .into_iter()
        .min()
        .unwrap_or(u64::MAX)
    }

    fn set_rules(&mut self, now_ms: u64, rules: &[(AccountId, AccountRule)]) {
        self.client.set_accounts(now_ms, rules.iter().copied());
        self.owner.set_accounts(now_ms, rules.iter().copied());
        if rules.is_empty() {
            return;
        }
        // The first refresh and table are sent at once.
        for next_ms in [&mut self.next_refresh_ms, &mut self.next_table_ms] {
            if *next_ms == u64::MAX {
                *next_ms = now_ms;
            }
        }
    }

    /// Asks an account for a permit to send a request.
    pub fn request(&mut self, now_ms: u64, key: u64, account: AccountId) -> PermitOutcome {
        if self
            .pending
            .get(&key)
            .is_some_and(|it| it.account != account)
        {
            self.withdraw(key);
        }
        match self.client.admit(now_ms, account, key, 1) {
            Admission::Admitted => {
                self.pending.remove(&key);
                PermitOutcome::Granted
            }
            Admission::Pending => {
                let pending = self.pending.entry(key).or_insert(PendingRequest {
                    account,
                    since_ms: now_ms,
                });
                let until_ms = pending.since_ms + PERMIT_TIMEOUT_MS;
                if now_ms < until_ms {
                    return PermitOutcome::Pending { until_ms };
                }
                self.withdraw(key);
                PermitOutcome::Denied {
                    retry_after_ms: OWNER_RETRY_MS,
                }
            }
            Admission::Refused { retry_after_ms } => {
                self.pending.remove(&key);
                PermitOutcome::Denied {
                    retry_after_ms: retry_after_ms.unwrap_or(OWNER_RETRY_MS),
                }
            }
            Admission::Deferred { retry_after_ms } => {
                self.pending.remove(&key);
                PermitOutcome::Denied { retry_after_ms }
            }
        }
    }

    /// Withdraws what a request has asked for and does not need any more.
    pub fn withdraw(&mut self, key: u64) {
        if let Some(pending) = self.pending.remove(&key) {
            self.client.withdraw(pending.account, key);
        }
    }
}

impl Daemon {
    /// Records what an answer states about the rate limit of its upstream. `sent_ms` is when the
    /// request was sent; none if the answer can't end a stated limit.
    pub(crate) fn record_stated_limit(
        &mut self,
        upstream: &UpstreamName,
        sent_ms: Option<u64>,
        field: &LimitField,
    ) {
        let (limit, sent_ms) = match (field, sent_ms) {
            (LimitField::Stated(limit), sent_ms) => (Some(*limit), sent_ms.unwrap_or(self.now_ms)),
            (LimitField::Absent, Some(sent_ms)) => (None, sent_ms),
            (LimitField::Absent, None) => return,
            (LimitField::Invalid(text), _) => {
                self.log_invalid_limit(upstream, text, "is no rate");
                return;
            }
        };
        if let Some(limit) = limit.filter(|limit| !limit.is_binding()) {
            let text = limit.per_s().to_string();
            self.log_invalid_limit(upstream, &text, "binds nobody");
        }
        let limits = self.dispatcher.stated_limits_mut();
        let change = limits.record_answer(self.now_ms, sent_ms, upstream, limit);
        self.handle_limit_change(upstream, change, "answered");
    }

    pub(crate) fn log_invalid_limit(&mut self, upstream: &UpstreamName, text: &str, reason: &str) {
        let logged = &mut self.upstream_permits.logged_statements;
        let statement = format!("{upstream} {text}");
        if logged.len() < MAX_LOGGED_STATEMENTS && logged.insert(statement) {
            log::warn!(upstream = upstream.to_string(), limit = text, reason; "rate limit ignored");
        }
    }

    /// Applies the rate limits that another VM has announced.
    pub(crate) fn apply_announced_limits(&mut self, announced: &[StatedLimit]) {
        let start = &mut self.upstream_permits.start;
        start.record_rate_rows(announced.len());
        for limit in announced {
            // The statement of an upstream that has left would never be dropped.
            if self.directory.upstream(&limit.upstream).is_none() {
                continue;
            }
            let limits = self.dispatcher.stated_limits_mut();
            let change = limits.apply(self.now_ms, limit);
            self.handle_limit_change(&limit.upstream, change, "told");
        }
    }

    fn handle_limit_change(&mut self, upstream: &UpstreamName, change: LimitChange, how: &str) {
        let upstream = upstream.to_string();
        match change {
            LimitChange::None => return,
            // An upstream may state another limit in each answer.
            LimitChange::Stated(limit) if self.log_budget.try_take(self.now_ms, false) => {
                log::info!(upstream, per_s = limit.per_s(), how; "upstream states a rate limit")
            }
            LimitChange::Stated(_) => {}
            LimitChange::Ended => {
                log::info!(upstream, how; "upstream no longer states a rate limit")
            }
        }
        self.apply_stated_limits();
        self.redispatch_needed = true;
    }

    /// Applies the stated limits to the permits.
    pub(crate) fn apply_stated_limits(&mut self) {
        self.upstream_permits.are_rules_outdated = false;
        let limits = self.dispatcher.stated_limits().limits();
        let mut rules: Vec<(AccountId, AccountRule)> = limits
            .map(|(upstream, limit)| {
                let account = AccountId::of(upstream.as_str());
                (account, AccountRule::Usage(permit_limit(limit)))
            })
            .collect();
        self.metrics.limited_upstreams.set(rules.len() as i64);
        rules.extend(self.rejection_rules());
        self.upstream_permits.set_rules(self.now_ms, &rules);
    }

    /// Returns whether a request may be sent to an upstream within the limits that hold for it. If not,
    /// the request waits for a permit or for another upstream.
    pub(crate) fn has_upstream_permit(&mut self, key: u64, upstream: &UpstreamName) -> bool {
        let has_limit = self.dispatcher.stated_limits().limit(upstream).is_some();
        if !self.has_rejection_permit(key, upstream) {
            return false;
        }
        if !has_limit {
            self.upstream_permits.withdraw(key);
            return true;
        }
        let account = AccountId::of(upstream.as_str());
        let outcome = self.upstream_permits.request(self.now_ms, key, account);
        if let PermitOutcome::Denied { retry_after_ms } = outcome {
            let limits = self.dispatcher.stated_limits_mut();
            limits.record_denial(self.now_ms, upstream, retry_after_ms);
        }
        let is_granted = self.handle_permit_outcome(key, &outcome);
        if !is_granted {
            self.refund_rejection_permit(key);
        }
        is_granted
    }

    /// Lets a request wait that was not granted a permit. Returns whether it was.
    pub(crate) fn handle_permit_outcome(&mut self, key: u64, outcome: &PermitOutcome) -> bool {
        let Some(request) = self.active.get_mut(key) else {
            return false;
        };
        match outcome {
            PermitOutcome::Granted => {
                self.metrics.permit("granted");
                return true;
            }
            PermitOutcome::Pending { until_ms } => {
                if request.phase != Phase::Waiting(WaitReason::Permit) {
                    self.metrics.permit("requested");
                }
                request.phase = Phase::Waiting(WaitReason::Permit);
                self.active.wake_at(*until_ms, key);
            }
            PermitOutcome::Denied { .. } => {
                self.metrics.permit("denied");
                request.phase = Phase::Waiting(WaitReason::Permit);
                self.redispatch_needed = true;
            }
        }
        false
    }

    /// Sends the announcements and reports that are due.
    pub(crate) fn advance_upstream_permits(&mut self) {
        let now_ms = self.now_ms;
        self.ask_for_stated_limits();
        self.settle_abandoned_permits();
        if self.upstream_permits.are_rules_outdated {
            self.apply_stated_limits();
        }
        let permits = &mut self.upstream_permits;
        let limits = self.dispatcher.stated_limits();
        if permits.available_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            self.redispatch_needed = true;
        }
        let rejections = self.dispatcher.rejection_limits();
        permits.available_ms = [
            limits.next_available_ms(now_ms),
            rejections.next_available_ms(now_ms),
            self.dispatcher.next_rest_change_ms(now_ms),
        ]
        .into_iter()
        .flatten()
        .min();
        self.announce_stated_limits();
        if now_ms < self.upstream_permits.client.next_ms() {
            return;
        }
        let owners = self.peers.quota_owners();
        let client = &mut self.upstream_permits.client;
        if let Some(report) = client.due_report(now_ms, owners.len()) {
            let (vm, address) = &owners[client.owner_rank()];
            match *vm == self.peers.own_record().vm {
                true => self.handle_permit_report(None, &report),
                false => self
                    .peers
                    .send(*address, &PeerMessage::PermitReport(report)),
            }
        }
        if now_ms >= self.upstream_permits.next_forget_ms {
            self.upstream_permits.next_forget_ms = now_ms + FORGET_INTERVAL_MS;
            self.upstream_permits.owner.remove_inactive(now_ms);
            self.settle_orphaned_permits();
        }
    }

    /// Handles a VM's report as the owner of the permits. `from` is the sender; none for this VM
    /// itself.
    pub(crate) fn handle_permit_report(&mut self, from: Option<SocketAddr>, report: &Report) {
        let Some(answer) = self.upstream_permits.owner.handle(self.now_ms, report) else {
            return;
        };
        match from {
            Some(from) => self.peers.send(from, &PeerMessage::PermitAnswer(answer)),
            None => self.apply_permit_answer(&answer),
        }
    }

    /// Applies the permits that their owner has granted.
    pub(crate) fn apply_permit_answer(&mut self, answer: &Answer) {
        self.redispatch_needed |= self.upstream_permits.client.handle(self.now_ms, answer);
    }
}

fn permit_limit(limit: RateLimit) -> Limit {
    Limit {
        rate_per_s: limit.per_s().max(MIN_PERMITS_PER_S),
        burst: 0.0,
    }
}
