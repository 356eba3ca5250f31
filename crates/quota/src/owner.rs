//! Quota owner: token buckets of all organisations.

mod account;

use std::collections::BTreeMap;

use apricotdale_organisations::Limit;

use self::account::Account;
use crate::budget::AccountRule;
use crate::budget::Bounds;
use crate::budget::Budget;
use crate::message::AccountId;
use crate::message::AccountInFlight;
use crate::message::AccountTurns;
use crate::message::AccountUsage;
use crate::message::Allowance;
use crate::message::Answer;
use crate::message::Report;
use crate::message::UNKNOWN_RANK;
use crate::message::WantedUnits;
use crate::rank_order::RankOrder;

/// Time since its last report after which a VM no longer counts as a member.
const MEMBER_TTL_MS: u64 = 2_000;

/// Time since its last report for which a VM's reported usage is kept.
const MEMBER_RETENTION_MS: u64 = 60_000;

/// Time for which units in flight count after a VM last reported them. VMs repeat them each second.
const IN_FLIGHT_TTL_MS: u64 = 3_000;

/// Time between two removals of the units in flight that VMs no longer report.
const EXPIRY_INTERVAL_MS: u64 = 250;

/// Time over which denied units are added up.
const BACKLOG_WINDOW_MS: u64 = 500;

/// Bounds of the time after which denied callers may retry.
const MIN_RETRY_AFTER_MS: f64 = 150.0;
const MAX_RETRY_AFTER_MS: f64 = 4_000.0;

/// Time for which the stated room of an upstream is relied on. After that one request finds out.
const ROOM_TTL_MS: u64 = 200;

/// Time after an account of units at risk has come into being in which its bucket is that of an owner
/// of all VMs, since most of them have yet to report.
const NEW_ACCOUNT_MS: u64 = 1_500;

#[derive(Clone, Debug, Default)]
struct Member {
    /// When the last report was received.
    last_received_ms: u64,
    /// Number of the newest report.
    number: u64,
    /// Total time ceded, as of the newest report.
    ceded_ms: u64,
    usages: BTreeMap<AccountId, i64>,
    /// Number of the VM's first report since it last changed to this owner.
    joined: u64,
    /// Units at risk granted since then.
    granted: BTreeMap<AccountId, u64>,
    /// Units at risk that are neither refunded nor lost, and when that was known; `None` of a VM that
    /// does not report them.
    in_flight: Option<BTreeMap<AccountId, (u64, u64)>>,
}

/// Token buckets of all organisations that have a limit.
#[derive(Clone, Debug)]
pub struct QuotaOwner {
    incarnation: u64,
    bounds: Bounds,
    accounts: BTreeMap<AccountId, Account>,
    members: BTreeMap<u64, Member>,
    /// Number of VMs in the fleet, at least 1.
    vms: usize,
    /// When units in flight of VMs that no longer report are next dropped.
    next_expiry_ms: u64,
}

impl QuotaOwner {
    /// Returns an owner with empty buckets, since the grants of a former owner are not known.
    /// `incarnation` is drawn at random at each start of the process.
    pub fn new(incarnation: u64, bounds: Bounds) -> Self {
        Self {
            incarnation,
            bounds,
            accounts: BTreeMap::new(),
            members: BTreeMap::new(),
            vms: 1,
            next_expiry_ms: 0,
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
            let new_until_ms = match rule {
                AccountRule::Usage(_) => 0,
                AccountRule::AtRisk { since_ms, .. } => since_ms + NEW_ACCOUNT_MS,
            };
            let account = before.remove(&id).map_or(
                Account {
                    budget,
                    level: match now_ms < new_until_ms {
                        true => budget.bucket(),
                        false => 0.0,
                    },
                    in_flight: 0,
                    share: 0.0,
                    backlog: 0.0,
                    backlog_ms: now_ms,
                    // A former owner may have overdrawn the bucket just now.
                    overdrawn_ms: now_ms,
                    new_until_ms,
                    room: None,
                    order: RankOrder::default(),
                },
                |before| Account {
                    budget,
                    level: before.level.min(budget.bucket()),
                    ..before
                },
            );
            self.accounts.insert(id, account);
        }
    }

    /// Sets the number of VMs in the fleet.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Returns the share of all VMs that report to this owner. If VMs report to several owners,
    /// each has this share of the bucket, and loses it when the VMs change to another owner.
    fn share(&self, now_ms: u64) -> f64 {
        let members = self.members.values();
        let members = members
            .filter(|it| now_ms < it.last_received_ms + MEMBER_TTL_MS)
            .count();
        members as f64 / self.vms.max(members).max(1) as f64
    }

    /// Adds to each bucket what accrues for one VM in the time that it has ceded.
    fn accrue(&mut self, now_ms: u64, ceded_ms: u64) {
        let share_ms = ceded_ms as f64 / self.vms as f64;
        let share = self.share(now_ms);
        for account in self.accounts.values_mut() {
            let accrued = account.budget.rate_per_ms * share_ms;
            account.share = share;
            let capacity = account.bucket(now_ms);
            account.order.accrue(now_ms, accrued, capacity);
            account.raise(now_ms, accrued);
        }
    }

    /// Handles a report and returns its answer, or `None` if a later report was handled already.
    pub fn handle(&mut self, now_ms: u64, report: &Report) -> Option<Answer> {
        let is_member = report.owner == Some(self.incarnation);
        if is_member {
            let member = self.members.entry(report.vm).or_default();
            if report.number <= member.number {
                return None;
            }
            if member.joined != report.extra.joined {
                // The VM counts from the beginning since it has reported to another owner.
                remove_in_flight(&mut self.accounts, member);
                *member = Member {
                    joined: report.extra.joined,
                    ..Member::default()
                };
            }
            member.number = report.number;
            member.last_received_ms = now_ms;
            let ceded_ms = report.ceded_ms.saturating_sub(member.ceded_ms);
            member.ceded_ms = report.ceded_ms;
            for row in report.extra.in_flight.iter().flatten() {
                record_in_flight(now_ms, &mut self.accounts, member, row);
            }
            if report.extra.in_flight.is_some() {
                member.in_flight.get_or_insert_default();
            }
            self.expire_in_flight(now_ms);
            self.accrue(now_ms, ceded_ms);
        }
        for room in &report.extra.rooms {
            if let Some(account) = self.accounts.get_mut(&room.account) {
                let at_ms = now_ms.saturating_sub(room.age_ms.into());
                account.record_room(room.requests.into(), at_ms);
            }
        }
        let mut turns = Vec::new();
        let usages = report.usages.iter().filter(|_| is_member);
        let allowances = usages
            .map(|usage| {
                let mut wants = report.extra.wants.iter();
                let wants = wants.find(|it| it.account == usage.account);
                let wants = wants.map(|it| it.requests.as_slice());
                self.record_usage(now_ms, report.vm, usage, wants, &mut turns)
            })
            .collect();
        // A VM that asks whether there is an owner is not a member yet, but admits by this answer.
        let asking_share = match is_member {
            true => 0.0,
            false => 1.0 / self.vms as f64,
        };
        let has_headroom = |it: &Account| {
            let level = it.level - it.order.kept(&it.bucket_state(now_ms));
            it.budget.has_headroom(level, it.share + asking_share)
        };
        let accounts = self.accounts.iter();
        // VMs need a grant for each unit at risk, whatever the level.
        let near_limit = accounts.filter(|(_, it)| !it.budget.is_at_risk() && !has_headroom(it));
        Some(Answer {
            owner: self.incarnation,
            number: report.number,
            allowances,
            near_limit: near_limit.map(|(id, _)| *id).collect(),
            turns,
        })
    }

    /// Records what a VM has used, and grants what its pending requests want: by rank if requests of
    /// several ranks have come lately. `wants` are the requests; `None` if the VM does not list them.
    fn record_usage(
        &mut self,
        now_ms: u64,
        vm: u64,
        usage: &AccountUsage,
        wants: Option<&[WantedUnits]>,
        turns: &mut Vec<AccountTurns>,
    ) -> Allowance {
        let member = self.members.entry(vm).or_default();
        let recorded = member.usages.entry(usage.account).or_default();
        let more = usage.units - *recorded;
        *recorded = usage.units;
        let mut allowance = Allowance {
            account: usage.account,
            acknowledged: usage.units,
            granted: 0,
            retry_after_ms: None,
        };
        let window_ms = self.bounds.window_ms;
        let Some(account) = self.accounts.get_mut(&usage.account) else {
            // The VM has a newer configuration than this owner, and has to ask again.
            allowance.retry_after_ms = (usage.wanted > 0).then_some(MIN_RETRY_AFTER_MS as u32);
            return allowance;
        };
        account.raise(now_ms, -more as f64);
        if usage.wanted == 0 {
            return allowance;
        }
        if !account.budget.is_at_risk() {
            let unlisted = unlisted_requests(usage);
            let requests = wants.unwrap_or(&unlisted);
            for it in requests {
                account.order.record(now_ms, it.rank, it.units);
            }
            if account.order.is_mixed(now_ms) {
                let (granted, denied) = account.grant_by_rank(now_ms, requests, window_ms);
                let retries = denied.iter().map(|it| it.retry_after_ms);
                allowance.granted = granted;
                allowance.retry_after_ms = retries.min();
                let account = usage.account;
                turns.extend(wants.map(|_| AccountTurns { account, denied }));
                return allowance;
            }
        }
        allowance.granted = account.grant(now_ms, usage, window_ms);
        account.level -= allowance.granted as f64;
        if account.budget.is_at_risk() {
            let total = member.granted.entry(usage.account).or_default();
            *total += allowance.granted;
            if let Some(in_flight) = &mut member.in_flight {
                let (units, at_ms) = in_flight.entry(usage.account).or_default();
                *units += allowance.granted;
                *at_ms = now_ms;
                account.in_flight += allowance.granted;
            }
            let missing_units = usage.wanted.saturating_sub(allowance.granted);
            allowance.granted = *total;
            let is_missing = missing_units > 0;
            allowance.retry_after_ms = is_missing.then_some(MIN_RETRY_AFTER_MS as u32);
            return allowance;
        }
        let missing_units = usage.wanted.saturating_sub(allowance.granted);
        if missing_units > 0 {
            allowance.retry_after_ms = Some(account.retry_after_ms(now_ms, missing_units as f64));
        }
        allowance
    }

    /// Drops the units in flight that VMs no longer report.
    fn expire_in_flight(&mut self, now_ms: u64) {
        if now_ms < self.next_expiry_ms {
            return;
        }
        self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
        for in_flight in self
            .members
            .values_mut()
            .filter_map(|it| it.in_flight.as_mut())
        {
            in_flight.retain(|id, (units, at_ms)| {
                let is_kept = *units > 0 && now_ms < *at_ms + IN_FLIGHT_TTL_MS;
                if let Some(account) = self.accounts.get_mut(id).filter(|_| !is_kept) {
                    account.in_flight = account.in_flight.saturating_sub(*units);
                }
                is_kept
            });
        }
    }

    /// Removes the state of VMs that have not reported for a minute.
    pub fn remove_inactive(&mut self, now_ms: u64) {
        self.members
            .retain(|_, member| now_ms < member.last_received_ms + MEMBER_RETENTION_MS);
    }

    /// Returns the fill level of each bucket as a share of its capacity, for metrics.
    pub fn levels(&self) -> impl Iterator<Item = (AccountId, f64)> {
        let accounts = self.accounts.iter();
        accounts.map(|(id, it)| (*id, it.level / it.budget.bucket().max(1.0)))
    }
}

/// Records the units in flight of a VM, with those that it has been granted and has not received yet.
fn record_in_flight(
    now_ms: u64,
    accounts: &mut BTreeMap<AccountId, Account>,
    member: &mut Member,
    row: &AccountInFlight,
) {
    let granted = member.granted.get(&row.account).copied().unwrap_or(0);
    let units = u64::from(row.units) + granted.saturating_sub(row.granted);
    let in_flight = member.in_flight.get_or_insert_default();
    let before = in_flight.insert(row.account, (units, now_ms));
    let before = before.map_or(0, |(units, _)| units);
    if let Some(account) = accounts.get_mut(&row.account) {
        account.in_flight = (account.in_flight + units).saturating_sub(before);
    }
}

fn remove_in_flight(accounts: &mut BTreeMap<AccountId, Account>, member: &mut Member) {
    for (id, (units, _)) in member.in_flight.take().unwrap_or_default() {
        if let Some(account) = accounts.get_mut(&id) {
            account.in_flight = account.in_flight.saturating_sub(units);
        }
    }
}

/// Returns the requests of a VM that does not list them: the oldest one, and the others as one.
fn unlisted_requests(usage: &AccountUsage) -> Vec<WantedUnits> {
    let oldest = usage.oldest.min(usage.wanted);
    let requests = [oldest, usage.wanted - oldest].into_iter();
    requests
        .filter(|units| *units > 0)
        .map(|units| WantedUnits {
            rank: UNKNOWN_RANK,
            units,
            tag: 0,
        })
        .collect()
}
