//! Quota client: admission of requests on one VM.

mod account;
mod reports;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use apricotdale_organisations::Limit;

use self::account::Account;
use crate::budget::AccountRule;
use crate::budget::Bounds;
use crate::budget::Budget;
use crate::message::AccountId;
use crate::message::AccountTurns;
use crate::message::Answer;
use crate::message::UNKNOWN_RANK;
use crate::message::WantedUnits;
use crate::rank_order::RankOrder;

/// Time since the last answer after which an owner no longer counts as live.
const ANSWER_TTL_MS: u64 = 1_500;

/// Tolerated lateness of a report. Time beyond that is not ceded, and what accrued in it is
/// forfeited, so that it is not used in a later window.
const CEDED_SLACK_MS: u64 = 250;

/// Time over which the first reports of VMs that start together are spread.
const FIRST_REPORT_SPREAD_MS: u64 = 500;

/// Maximum time for which no units are requested after the owner denied some.
const DENIAL_TTL_MS: u64 = 120;

/// The same for units at risk, which are refunded within milliseconds. It grows with the number of
/// VMs, so that the owner can handle all reports.
const MIN_AT_RISK_DENIAL_MS: u64 = 20;
const AT_RISK_DENIAL_US_PER_VM: u64 = 400;

/// Time since an answer by rank for which requests that are denied wait for the next answer by rank.
const RANKED_TTL_MS: u64 = 2_000;

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run.
    Admitted,
    /// The owner is being asked. The request is to be decided again after the next answer.
    Pending,
    /// The limit is exhausted, or the request is too large for it.
    Refused {
        /// Time after which the caller may retry, in milliseconds; `None` if the request is larger
        /// than the limit ever allows.
        retry_after_ms: Option<u64>,
    },
    /// The limit is exhausted, and units are kept for the request's return.
    Deferred {
        /// Time in milliseconds after which the request is admitted.
        retry_after_ms: u64,
    },
}

/// Admission of the requests of one VM.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    incarnation: u64,
    bounds: Bounds,
    vms: usize,
    accounts: BTreeMap<AccountId, Account>,
    /// Accounts that were taken away since this VM reports to its owner.
    removed: BTreeSet<AccountId>,
    /// Rank of the owner candidate that receives the reports.
    owner_rank: usize,
    /// Time after which reports go to the first candidate again; ignored at rank 0.
    fallback_until_ms: u64,
    /// Incarnation of the owner that answers; `None` if none has answered recently.
    owner: Option<u64>,
    last_received_ms: u64,
    /// Time up to which the time of this VM was ceded to the owner or used for the local bucket.
    accounted_until_ms: Option<u64>,
    /// Total time ceded to the current owner.
    ceded_ms: u64,
    /// Number of the last report; 0 before the first.
    last_report_number: u64,
    /// Number of the first report to the current owner.
    joined_number: u64,
    /// Highest number of a report that was answered; 0 before the first answer.
    last_answered_number: u64,
    /// Number of reports since the last answer, or since the last choice of an owner candidate.
    unanswered_reports: u32,
    next_report_ms: u64,
    /// When the last report was sent; 0 before the first.
    last_report_ms: u64,
}

impl QuotaClient {
    /// Returns the client of a VM that knows of no owner and assumes to be the only VM.
    /// `incarnation` is drawn at random at each start of the process.
    pub fn new(incarnation: u64, bounds: Bounds) -> Self {
        Self {
            incarnation,
            bounds,
            vms: 1,
            accounts: BTreeMap::new(),
            removed: BTreeSet::new(),
            owner_rank: 0,
            fallback_until_ms: 0,
            owner: None,
            last_received_ms: 0,
            accounted_until_ms: None,
            ceded_ms: 0,
            last_report_number: 0,
            joined_number: 0,
            last_answered_number: 0,
            unanswered_reports: 0,
            next_report_ms: u64::MAX,
            last_report_ms: 0,
        }
    }

    /// Replaces the accounts by those of these limits on usage. Accounts that remain keep their state.
    pub fn set_limits(
        &mut self,
        now_ms: u64,
        limits: impl IntoIterator<Item = (AccountId, Limit)>,
    ) {
        let limits = limits.into_iter();
        self.set_accounts(now_ms, limits.map(|(id, limit)| (id, limit.into())));
    }

    /// Replaces the accounts and their rules. Accounts that remain keep their state.
    pub fn set_accounts(
        &mut self,
        now_ms: u64,
        rules: impl IntoIterator<Item = (AccountId, AccountRule)>,
    ) {
        let mut before = std::mem::take(&mut self.accounts);
        for (id, rule) in rules {
            let budget = Budget::new(rule, self.bounds);
            let account = match before.remove(&id) {
                Some(before) => Account { budget, ..before },
                None => Account {
                    budget,
                    spent: 0,
                    acknowledged: 0,
                    pending: BTreeMap::new(),
                    // True until an owner states otherwise.
                    is_near_limit: true,
                    granted: VecDeque::new(),
                    granted_total: 0,
                    in_flight: 0,
                    reported_in_flight: None,
                    denied_until_ms: 0,
                    retry_after_ms: 0,
                    denied_rank: 0,
                    ranked_until_ms: 0,
                    denied: Vec::new(),
                    local_level: 0.0,
                    local_order: RankOrder::default(),
                    unreported_room: None,
                },
            };
            self.accounts.insert(id, account);
        }
        self.removed.extend(before.into_keys());
        let returns = self.accounts.keys().any(|id| self.removed.contains(id));
        if let Some(owner) = self.owner.filter(|_| returns) {
            // The owner still has the totals of before.
            self.start_with_owner(owner);
        }
        self.next_report_ms = match self.accounts.is_empty() {
            true => u64::MAX,
            // Spreads the reports of VMs that start together.
            false if self.last_report_ms == 0 => now_ms + self.incarnation % FIRST_REPORT_SPREAD_MS,
            false => self.next_report_ms.min(now_ms + self.report_interval_ms()),
        };
    }

    /// Sets the number of VMs in the fleet.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Returns the rank of the candidate that is asked, 0 for the first one.
    pub fn owner_rank(&self) -> usize {
        self.owner_rank
    }

    fn has_live_owner(&self, now_ms: u64) -> bool {
        self.owner.is_some() && now_ms < self.last_received_ms + ANSWER_TTL_MS
    }

    /// Decides on a request that counts `units`, of an account whose requests have no ranks. See
    /// [`QuotaClient::admit_by_rank`].
    pub fn admit(&mut self, now_ms: u64, id: AccountId, key: u64, units: u64) -> Admission {
        let wanted = WantedUnits {
            rank: UNKNOWN_RANK,
            units,
            tag: 0,
        };
        self.admit_by_rank(now_ms, id, key, wanted)
    }

    /// Decides on a request that wants units. `key` identifies the request, and is larger for later
    /// ones: a pending one is to be decided again with the same key after the next answer. Accounts
    /// without a limit admit all.
    pub fn admit_by_rank(
        &mut self,
        now_ms: u64,
        id: AccountId,
        key: u64,
        wanted: WantedUnits,
    ) -> Admission {
        let admission = self.decide(now_ms, id, key, wanted);
        let Some(account) = self.accounts.get_mut(&id) else {
            return admission;
        };
        match admission {
            Admission::Pending => {
                account.pending.insert(key, wanted);
                match account.is_denied(now_ms, wanted.rank) {
                    true => self.next_report_ms = self.next_report_ms.min(account.denied_until_ms),
                    false => self.report_soon(now_ms),
                }
            }
            _ => drop(account.pending.remove(&key)),
        }
        admission
    }

    fn decide(&mut self, now_ms: u64, id: AccountId, key: u64, wanted: WantedUnits) -> Admission {
        let WantedUnits { rank, units, .. } = wanted;
        let has_live_owner = self.has_live_owner(now_ms);
        if !has_live_owner {
            self.accrue_local(now_ms);
        }
        let vms = self.vms;
        let Some(account) = self.accounts.get_mut(&id) else {
            return Admission::Admitted;
        };
        if !account.budget.fits(units) {
            return Admission::Refused {
                retry_after_ms: None,
            };
        }
        if let Some(denied) = account.take_denial(wanted) {
            let retry_after_ms = denied.retry_after_ms.into();
            return match denied.has_turn {
                true => Admission::Deferred { retry_after_ms },
                false => Admission::Refused {
                    retry_after_ms: Some(retry_after_ms),
                },
            };
        }
        if account.use_grants(now_ms, key, rank, units) {
            if account.budget.is_at_risk() {
                account.in_flight += units;
            }
            return Admission::Admitted;
        }
        let unreported = account.spent - account.acknowledged;
        let may_spend = (unreported + units as i64) as f64 <= account.budget.max_unreported(vms);
        match has_live_owner {
            true if !account.is_near_limit && may_spend => {
                account.spent += units as i64;
                let is_half_used = unreported as f64 > account.budget.max_unreported(vms) / 2.0;
                if is_half_used {
                    self.report_soon(now_ms);
                }
                Admission::Admitted
            }
            false if account.use_local(now_ms, vms, key, wanted) => Admission::Admitted,
            // A VM that has just started, or whose owner has failed, finds one within a round trip
            // or two.
            _ if !account.is_denied(now_ms, rank) => Admission::Pending,
            _ if account.budget.is_at_risk() => Admission::Refused {
                retry_after_ms: Some(account.denied_until_ms - now_ms),
            },
            // The owner decides by rank on all that have come until the denial ends.
            _ if now_ms < account.ranked_until_ms => Admission::Pending,
            _ => Admission::Refused {
                retry_after_ms: Some(account.retry_after_ms.max(DENIAL_TTL_MS)),
            },
        }
    }

    /// Fills the local buckets with this VM's share of what accrues, while it has no live owner.
    fn accrue_local(&mut self, now_ms: u64) {
        let passed_ms = self.claim_elapsed_ms(now_ms) as f64;
        for account in self.accounts.values_mut() {
            let accrued = passed_ms * account.budget.rate_per_ms / self.vms as f64;
            let capacity = account.budget.local_bucket(self.vms);
            account.local_order.accrue(now_ms, accrued, capacity);
            account.local_level = (account.local_level + accrued).min(capacity);
        }
    }

    /// Returns the time since the last call, bounded by the length of a late report interval.
    fn claim_elapsed_ms(&mut self, now_ms: u64) -> u64 {
        let before_ms = self.accounted_until_ms.replace(now_ms).unwrap_or(now_ms);
        let passed_ms = now_ms.saturating_sub(before_ms);
        passed_ms.min(self.report_interval_ms() * 5 / 4 + CEDED_SLACK_MS)
    }

    /// Refunds the units of a request that was admitted and has not run.
    pub fn give_back(&mut self, id: AccountId, units: u64) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.spent -= units as i64;
        }
    }

    /// Refunds a unit at risk and reports it soon, since other VMs may wait for it. Returns whether a
    /// pending request of this VM can use it instead.
    pub fn refund(&mut self, now_ms: u64, id: AccountId) -> bool {
        let Some(account) = self.accounts.get_mut(&id) else {
            return false;
        };
        account.in_flight = account.in_flight.saturating_sub(1);
        if !account.pending.is_empty() {
            let until_ms = now_ms + account.budget.grant_ttl_ms();
            account.granted.push_back((1, until_ms));
            return true;
        }
        account.spent -= 1;
        self.report_soon(now_ms);
        false
    }

    /// Records that a unit at risk will not be refunded, since its request was rejected or lost.
    pub fn settle(&mut self, id: AccountId) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
    }

    /// Records how many further requests the upstream of an account accepts, for the next report.
    pub fn record_room(&mut self, now_ms: u64, id: AccountId, requests: u32) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.unreported_room = Some((requests, now_ms));
            self.report_soon(now_ms);
        }
    }

    /// Removes a pending request that no longer waits.
    pub fn withdraw(&mut self, id: AccountId, key: u64) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.pending.remove(&key);
        }
    }

    /// Handles an answer of an owner. Returns whether pending requests are to be decided again.
    pub fn handle(&mut self, now_ms: u64, answer: &Answer) -> bool {
        let is_new =
            answer.number > self.last_answered_number && answer.number >= self.joined_number;
        if !is_new || answer.number > self.last_report_number {
            return false;
        }
        self.last_answered_number = answer.number;
        self.unanswered_reports = 0;
        self.last_received_ms = now_ms;
        if self.owner != Some(answer.owner) {
            self.start_with_owner(answer.owner);
            self.next_report_ms = self.next_report_ms.min(now_ms);
        }
        for (id, account) in &mut self.accounts {
            account.denied.clear();
            account.is_near_limit =
                account.budget.is_at_risk() || answer.near_limit.binary_search(id).is_ok();
        }
        let mut may_decide = false;
        let at_risk_denial_ms = self.vms as u64 * AT_RISK_DENIAL_US_PER_VM / 1_000;
        for allowance in &answer.allowances {
            let Some(account) = self.accounts.get_mut(&allowance.account) else {
                continue;
            };
            account.acknowledged = allowance.acknowledged;
            let granted = match account.budget.is_at_risk() {
                true => allowance.granted.saturating_sub(account.granted_total),
                false => allowance.granted,
            };
            if granted > 0 {
                account.granted_total += granted;
                let until_ms = now_ms + account.budget.grant_ttl_ms();
                account.granted.push_back((granted, until_ms));
                may_decide = true;
            }
            if let Some(retry_after_ms) = allowance.retry_after_ms {
                let ttl_ms = match account.budget.is_at_risk() {
                    true => MIN_AT_RISK_DENIAL_MS.max(at_risk_denial_ms),
                    false => u64::from(retry_after_ms).min(DENIAL_TTL_MS),
                };
                account.denied_until_ms = now_ms + ttl_ms;
                account.denied_rank = account.first_denied_rank(now_ms);
                account.retry_after_ms = u64::from(retry_after_ms);
                may_decide = true;
            }
        }
        for AccountTurns { account, denied } in &answer.turns {
            let Some(account) = self.accounts.get_mut(account) else {
                continue;
            };
            let ranks = denied.iter().map(|it| it.wanted.rank);
            account.denied_rank = ranks.min().unwrap_or(account.denied_rank);
            account.ranked_until_ms = now_ms + RANKED_TTL_MS;
            account.denied.clone_from(denied);
        }
        may_decide
    }

    /// Starts to report to an owner that has no state of this VM.
    fn start_with_owner(&mut self, owner: u64) {
        self.owner = Some(owner);
        self.ceded_ms = 0;
        self.joined_number = self.last_report_number + 1;
        self.removed.clear();
        for account in self.accounts.values_mut() {
            // Units that the former owner has not acknowledged are reported again.
            account.spent -= account.acknowledged;
            account.acknowledged = 0;
            account.granted_total = 0;
            account.reported_in_flight = None;
            account.local_level = 0.0;
            account.ranked_until_ms = 0;
        }
    }
}
