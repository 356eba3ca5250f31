//! The keeper's side.

use std::collections::BTreeMap;

use apricotdale_organisations::Limit;

use crate::budget::Bounds;
use crate::budget::Budget;
use crate::message::AccountId;
use crate::message::Allowance;
use crate::message::Answer;
use crate::message::Report;
use crate::message::Spent;

/// How long a VM counts as a member after its last report.
const MEMBER_MS: u64 = 2_000;

/// How long what a VM has reported is remembered.
const FORGET_MS: u64 = 60_000;

/// The time over which wants that were not granted are added up.
const BACKLOG_MS: u64 = 500;

/// The shortest and the longest time after which to come back.
const MIN_AFTER_MS: f64 = 150.0;
const MAX_AFTER_MS: f64 = 4_000.0;

#[derive(Clone, Copy, Debug)]
struct Account {
    budget: Budget,
    level: f64,
    /// The part of the VMs that report here.
    part: f64,
    /// What was wanted and not granted since a time.
    backlog: f64,
    backlog_ms: u64,
    /// When the bucket was last overdrawn.
    overdrawn_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Member {
    heard_ms: u64,
    number: u64,
    handed_ms: u64,
    spent: BTreeMap<AccountId, i64>,
}

/// `QuotaOwner` keeps the accounts of all organisations that have a limit.
#[derive(Clone, Debug)]
pub struct QuotaOwner {
    run: u64,
    bounds: Bounds,
    accounts: BTreeMap<AccountId, Account>,
    members: BTreeMap<u64, Member>,
    /// How many VMs there are.
    vms: usize,
}

impl QuotaOwner {
    /// Returns a keeper whose buckets are empty: what one before it has granted is not known.
    pub fn new(run: u64, bounds: Bounds) -> Self {
        Self {
            run,
            bounds,
            accounts: BTreeMap::new(),
            members: BTreeMap::new(),
            vms: 1,
        }
    }

    /// Takes in the limits in force.
    pub fn set_limits(
        &mut self,
        now_ms: u64,
        limits: impl IntoIterator<Item = (AccountId, Limit)>,
    ) {
        let mut before = std::mem::take(&mut self.accounts);
        for (id, limit) in limits {
            let budget = Budget::new(limit, self.bounds);
            let account = before.remove(&id).map_or(
                Account {
                    budget,
                    level: 0.0,
                    part: 0.0,
                    backlog: 0.0,
                    backlog_ms: now_ms,
                    // One before it may have just done so.
                    overdrawn_ms: now_ms,
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

    /// Takes in how many VMs there are.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Returns the part of the VMs that report here. Where VMs report to several keepers, each has so
    /// much of the bucket, and no more of it is left behind when they leave.
    fn part(&self, now_ms: u64) -> f64 {
        let members = self.members.values();
        let members = members
            .filter(|it| now_ms < it.heard_ms + MEMBER_MS)
            .count();
        members as f64 / self.vms.max(members).max(1) as f64
    }

    /// Lets the part of one VM grow by the time that it has handed over.
    fn accrue(&mut self, now_ms: u64, handed_ms: u64) {
        let part_ms = handed_ms as f64 / self.vms as f64;
        let part = self.part(now_ms);
        for account in self.accounts.values_mut() {
            let level = account.level + account.budget.rate_per_ms * part_ms;
            account.part = part;
            account.level = level.min(account.bucket());
        }
    }

    /// Takes in a report and returns its answer; none for one that came late.
    pub fn handle(&mut self, now_ms: u64, report: &Report) -> Option<Answer> {
        let is_member = report.keeper == Some(self.run);
        if is_member {
            let member = self.members.entry(report.vm).or_default();
            if report.number <= member.number {
                return None;
            }
            member.number = report.number;
            member.heard_ms = now_ms;
            let handed_ms = report.handed_ms.saturating_sub(member.handed_ms);
            member.handed_ms = report.handed_ms;
            self.accrue(now_ms, handed_ms);
        }
        let allowances = match is_member {
            true => report
                .spent
                .iter()
                .map(|spent| self.settle(now_ms, report.vm, spent))
                .collect(),
            false => Vec::new(),
        };
        // Whoever asks whether a keeper is here is no member yet, and admits by this answer, too.
        let asking = match is_member {
            true => 0.0,
            false => 1.0 / self.vms as f64,
        };
        let is_calm = |it: &Account| it.budget.is_calm(it.level, it.part + asking);
        let accounts = self.accounts.iter();
        let scarce = accounts.filter(|(_, it)| !is_calm(it));
        Some(Answer {
            keeper: self.run,
            number: report.number,
            allowances,
            scarce: scarce.map(|(id, _)| *id).collect(),
        })
    }

    fn settle(&mut self, now_ms: u64, vm: u64, spent: &Spent) -> Allowance {
        let member = self.members.entry(vm).or_default();
        let known = member.spent.entry(spent.account).or_default();
        let more = spent.units - *known;
        *known = spent.units;
        let mut allowance = Allowance {
            account: spent.account,
            known: spent.units,
            granted: 0,
            retry_after_ms: None,
        };
        let window_ms = self.bounds.window_ms;
        let Some(account) = self.accounts.get_mut(&spent.account) else {
            // A VM has a newer configuration. It is told to ask again.
            allowance.retry_after_ms = (spent.wanted > 0).then_some(MIN_AFTER_MS as u32);
            return allowance;
        };
        account.level = (account.level - more as f64).min(account.bucket());
        if spent.wanted == 0 {
            return allowance;
        }
        allowance.granted = account.grant(now_ms, spent, window_ms);
        account.level -= allowance.granted as f64;
        let lacking = spent.wanted.saturating_sub(allowance.granted);
        if lacking > 0 {
            allowance.retry_after_ms = Some(account.retry_after_ms(now_ms, lacking as f64));
        }
        allowance
    }

    /// Forgets VMs that have not reported for long.
    pub fn remove_inactive(&mut self, now_ms: u64) {
        self.members
            .retain(|_, member| now_ms < member.heard_ms + FORGET_MS);
    }

    /// Returns the part of each bucket that is left, for metrics.
    pub fn levels(&self) -> impl Iterator<Item = (AccountId, f64)> {
        let accounts = self.accounts.iter();
        accounts.map(|(id, it)| (*id, it.level / it.budget.bucket().max(1.0)))
    }
}

impl Account {
    fn bucket(&self) -> f64 {
        self.budget.bucket() * self.part
    }

    /// Returns what is granted of what is wanted. The bucket is overdrawn once in a window at most.
    fn grant(&mut self, now_ms: u64, spent: &Spent, window_ms: u64) -> u64 {
        let granted = self.budget.grant(self.level, spent.wanted, spent.first);
        let may_overdraw = now_ms >= self.overdrawn_ms + window_ms
            && self.budget.may_overdraw(self.level, self.part, spent.first);
        if granted == 0 && may_overdraw {
            self.overdrawn_ms = now_ms;
            return spent.first;
        }
        granted
    }

    /// Returns after which time enough has accrued for what is wanted and for what others wanted
    /// before.
    fn retry_after_ms(&mut self, now_ms: u64, wanted: f64) -> u32 {
        if now_ms >= self.backlog_ms + BACKLOG_MS {
            self.backlog = 0.0;
            self.backlog_ms = now_ms;
        }
        self.backlog += wanted;
        let lacking = self.backlog - self.level;
        let retry_after_ms = lacking / self.budget.rate_per_ms;
        retry_after_ms.clamp(MIN_AFTER_MS, MAX_AFTER_MS) as u32
    }
}
