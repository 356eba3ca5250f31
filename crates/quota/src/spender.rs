//! The side of a VM that admits.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use apricotdale_organisations::Limit;
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::Bounds;
use crate::budget::Budget;
use crate::message::AccountId;
use crate::message::Answer;
use crate::message::Report;
use crate::message::Spent;

/// How long an answer of the keeper counts as its word.
const HEARD_MS: u64 = 1_500;

/// How much more than the time between two reports is handed over at once. What accrued before is
/// given up, so that it is not spent in a later window.
const HANDED_SLACK_MS: u64 = 250;

/// The time between two reports, and what each VM adds to it, so that the keeper can take them all
/// in.
const REPORT_MS: u64 = 250;
const REPORT_US_A_VM: u64 = 3_500;
const MAX_REPORT_MS: u64 = 1_000;

/// Over which time the first reports of VMs are spread that start together.
const FIRST_REPORT_MS: u64 = 500;

/// The shortest time between two reports where something is wanted, and what each VM adds.
const URGENT_MS: u64 = 10;
const URGENT_US_A_VM: u64 = 200;

/// How long an answer is awaited before the next report, unless that is due anyway.
const ANSWER_MS: u64 = 100;

/// The shortest time between two wants that were not granted.
const DRY_MS: u64 = 120;

/// Reports without an answer after which another keeper is asked.
const UNANSWERED: u32 = 3;

/// How long another keeper than the first is asked.
const OTHER_KEEPER_MS: u64 = 10_000;

/// `Admission` is what is decided of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Admitted,
    /// The keeper is asked; it is decided when that has answered.
    Pending,
    /// The limit is used up. It may come back after some time, or never if it is larger than the
    /// limit allows at any time.
    Refused {
        /// After which time.
        retry_after_ms: Option<u64>,
    },
}

#[derive(Clone, Debug)]
struct Account {
    budget: Budget,
    /// What was spent since this VM reports to its keeper, and what of it the keeper knows.
    spent: i64,
    known: i64,
    /// The requests for which the keeper is asked, by the caller's key.
    asked: BTreeMap<u64, u64>,
    is_scarce: bool,
    /// What was granted, and until when it is good.
    granted: VecDeque<(u64, u64)>,
    /// Until when nothing is wanted, and after which time callers should come back.
    dry_until_ms: u64,
    come_back_ms: u64,
    /// What this VM may spend while it hears no keeper.
    alone: f64,
}

/// `QuotaClient` admits the requests of one VM.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    run: u64,
    bounds: Bounds,
    vms: usize,
    accounts: BTreeMap<AccountId, Account>,
    /// Which of the VMs that may keep is asked, and until when.
    owner_rank: usize,
    choice_until_ms: u64,
    /// The run of the keeper that answers.
    keeper: Option<u64>,
    heard_ms: u64,
    /// Up to when the time of this VM was handed over or has let its own part grow.
    handed_until_ms: Option<u64>,
    handed_ms: u64,
    number: u64,
    answered: u64,
    unanswered: u32,
    next_ms: u64,
    last_ms: u64,
}

impl QuotaClient {
    /// Returns a spender that has heard of no keeper yet.
    pub fn new(run: u64, bounds: Bounds) -> Self {
        Self {
            run,
            bounds,
            vms: 1,
            accounts: BTreeMap::new(),
            owner_rank: 0,
            choice_until_ms: 0,
            keeper: None,
            heard_ms: 0,
            handed_until_ms: None,
            handed_ms: 0,
            number: 0,
            answered: 0,
            unanswered: 0,
            next_ms: 0,
            last_ms: 0,
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
            let account = match before.remove(&id) {
                Some(before) => Account { budget, ..before },
                None => Account {
                    budget,
                    spent: 0,
                    known: 0,
                    asked: BTreeMap::new(),
                    // A keeper has yet to say that it is not.
                    is_scarce: true,
                    granted: VecDeque::new(),
                    dry_until_ms: 0,
                    come_back_ms: 0,
                    alone: 0.0,
                },
            };
            self.accounts.insert(id, account);
        }
        self.next_ms = match self.accounts.is_empty() {
            true => u64::MAX,
            // VMs that start together must not report together from then on.
            false if self.last_ms == 0 => now_ms + self.run % FIRST_REPORT_MS,
            false => self.next_ms.min(now_ms + self.report_every_ms()),
        };
    }

    /// Takes in how many VMs there are.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = vms.max(1);
    }

    /// Returns which of the VMs that may keep is asked.
    pub fn owner_rank(&self) -> usize {
        self.owner_rank
    }

    fn hears_keeper(&self, now_ms: u64) -> bool {
        self.keeper.is_some() && now_ms < self.heard_ms + HEARD_MS
    }

    /// Decides on a request that counts some units. `key` tells it from others: one for which the
    /// keeper is asked is decided again when an answer has come.
    pub fn admit(&mut self, now_ms: u64, id: AccountId, key: u64, units: u64) -> Admission {
        let admission = self.decide(now_ms, id, units);
        if let Some(account) = self.accounts.get_mut(&id) {
            match admission {
                Admission::Pending => account.asked.insert(key, units),
                _ => account.asked.remove(&key),
            };
        }
        if admission == Admission::Pending {
            self.report_soon(now_ms);
        }
        admission
    }

    fn decide(&mut self, now_ms: u64, id: AccountId, units: u64) -> Admission {
        let hears_keeper = self.hears_keeper(now_ms);
        if !hears_keeper {
            self.grow_alone(now_ms);
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
        if account.take_granted(now_ms, units) {
            return Admission::Admitted;
        }
        let untold = account.spent - account.known;
        let may_spend = (untold + units as i64) as f64 <= account.budget.untold(vms);
        match hears_keeper {
            true if !account.is_scarce && may_spend => {
                account.spent += units as i64;
                let is_half = untold as f64 > account.budget.untold(vms) / 2.0;
                if is_half {
                    self.report_soon(now_ms);
                }
                Admission::Admitted
            }
            false if account.alone >= units as f64 => {
                account.alone -= units as f64;
                Admission::Admitted
            }
            // A VM that has just started, or whose keeper has gone, finds one within a round trip or two.
            _ if now_ms >= account.dry_until_ms => Admission::Pending,
            _ => Admission::Refused {
                retry_after_ms: Some(account.come_back_ms.max(DRY_MS)),
            },
        }
    }

    /// Lets this VM's own part grow, where it hears no keeper.
    fn grow_alone(&mut self, now_ms: u64) {
        let passed_ms = self.take_time_ms(now_ms) as f64;
        for account in self.accounts.values_mut() {
            let grown = account.alone + passed_ms * account.budget.rate_per_ms / self.vms as f64;
            account.alone = grown.min(account.budget.alone(self.vms));
        }
    }

    /// Returns the time that was not handed over yet, which it is from now on.
    fn take_time_ms(&mut self, now_ms: u64) -> u64 {
        let before_ms = self.handed_until_ms.replace(now_ms).unwrap_or(now_ms);
        let passed_ms = now_ms.saturating_sub(before_ms);
        passed_ms.min(self.report_every_ms() * 5 / 4 + HANDED_SLACK_MS)
    }

    /// Gives back the units of a request that was admitted and has not run.
    pub fn give_back(&mut self, id: AccountId, units: u64) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.spent -= units as i64;
        }
    }

    /// Forgets a request for which the keeper is asked.
    pub fn withdraw(&mut self, id: AccountId, key: u64) {
        if let Some(account) = self.accounts.get_mut(&id) {
            account.asked.remove(&key);
        }
    }

    fn report_soon(&mut self, now_ms: u64) {
        let pause_ms = match self.unanswered {
            0 => URGENT_MS.max(self.vms as u64 * URGENT_US_A_VM / 1_000),
            _ => ANSWER_MS,
        };
        let soon_ms = now_ms.max(self.last_ms + pause_ms);
        self.next_ms = self.next_ms.min(soon_ms);
    }

    /// Returns the time until the next report, which differs each time and by VM, so that VMs that
    /// start together do not go on in step.
    fn pause_ms(&self) -> u64 {
        let every_ms = self.report_every_ms();
        let draw = xxh3_64(&(self.run ^ self.number).to_le_bytes());
        every_ms * 3 / 4 + draw % (every_ms / 2)
    }

    fn report_every_ms(&self) -> u64 {
        (self.vms as u64 * REPORT_US_A_VM / 1_000).clamp(REPORT_MS, MAX_REPORT_MS)
    }

    /// Returns when a report is due.
    pub fn next_ms(&self) -> u64 {
        self.next_ms
    }

    /// Returns the report that is due, for the VM that [`QuotaClient::owner_rank`] names among `keepers`.
    pub fn due_report(&mut self, now_ms: u64, keepers: usize) -> Option<Report> {
        if now_ms < self.next_ms || self.accounts.is_empty() || keepers == 0 {
            return None;
        }
        self.choose(now_ms, keepers);
        let keeper = self.keeper.filter(|_| now_ms < self.heard_ms + HEARD_MS);
        match keeper {
            None => self.keeper = None,
            // What the keeper may not have heard of yet is no more than one report hands over.
            Some(_) if self.unanswered == 0 => self.handed_ms += self.take_time_ms(now_ms),
            Some(_) => {}
        }
        self.number += 1;
        self.unanswered += 1;
        self.last_ms = now_ms;
        self.next_ms = now_ms + self.pause_ms();
        let told = self.accounts.iter().map(|(id, account)| Spent {
            account: *id,
            units: account.spent,
            wanted: account.wanted(now_ms),
            first: account.asked.values().next().copied().unwrap_or(0),
        });
        let is_news = |it: &Spent| it.wanted > 0 || it.units != self.accounts[&it.account].known;
        let spent = told.filter(is_news);
        Some(Report {
            vm: self.run,
            number: self.number,
            keeper,
            handed_ms: self.handed_ms,
            spent: match keeper {
                Some(_) => spent.collect(),
                None => Vec::new(),
            },
        })
    }

    fn choose(&mut self, now_ms: u64, keepers: usize) {
        let is_over = self.owner_rank > 0 && now_ms >= self.choice_until_ms;
        let before = self.owner_rank;
        if self.owner_rank >= keepers || is_over {
            self.owner_rank = 0;
        } else if self.unanswered >= UNANSWERED {
            self.owner_rank = (self.owner_rank + 1) % keepers;
            self.choice_until_ms = now_ms + OTHER_KEEPER_MS;
        }
        if self.owner_rank != before || self.unanswered >= UNANSWERED {
            self.unanswered = 0;
            self.keeper = None;
        }
    }

    /// Takes in an answer. Returns whether requests for which the keeper was asked are to be decided
    /// again.
    pub fn handle(&mut self, now_ms: u64, answer: &Answer) -> bool {
        if answer.number <= self.answered || answer.number > self.number {
            return false;
        }
        self.answered = answer.number;
        self.unanswered = 0;
        self.heard_ms = now_ms;
        if self.keeper != Some(answer.keeper) {
            self.begin_with(answer.keeper);
            self.next_ms = self.next_ms.min(now_ms);
        }
        for (id, account) in &mut self.accounts {
            account.is_scarce = answer.scarce.binary_search(id).is_ok();
        }
        let mut decides = false;
        for allowance in &answer.allowances {
            let Some(account) = self.accounts.get_mut(&allowance.account) else {
                continue;
            };
            account.known = allowance.known;
            if allowance.granted > 0 {
                let until_ms = now_ms + account.budget.grant_ms();
                account.granted.push_back((allowance.granted, until_ms));
                decides = true;
            }
            if let Some(retry_after_ms) = allowance.retry_after_ms {
                account.dry_until_ms = now_ms + u64::from(retry_after_ms).min(DRY_MS);
                account.come_back_ms = u64::from(retry_after_ms);
                decides = true;
            }
        }
        decides
    }

    /// Begins to report to a keeper that knows nothing of this VM.
    fn begin_with(&mut self, keeper: u64) {
        self.keeper = Some(keeper);
        self.handed_ms = 0;
        for account in self.accounts.values_mut() {
            // What the keeper before was not seen to know is told again.
            account.spent -= account.known;
            account.known = 0;
            account.alone = 0.0;
        }
    }
}

impl Account {
    /// Returns what is wanted beyond what was granted.
    fn wanted(&self, now_ms: u64) -> u64 {
        let granted = self.granted.iter();
        let held = granted.filter(|(_, until_ms)| now_ms < *until_ms);
        let held: u64 = held.map(|(granted, _)| granted).sum();
        let asked: u64 = self.asked.values().sum();
        asked.saturating_sub(held)
    }

    /// Spends what was granted, if there is enough.
    fn take_granted(&mut self, now_ms: u64, units: u64) -> bool {
        self.granted.retain(|(_, until_ms)| now_ms < *until_ms);
        let held: u64 = self.granted.iter().map(|(granted, _)| granted).sum();
        if held < units || units == 0 {
            return units == 0;
        }
        let mut left = units;
        while left > 0 {
            let Some((granted, until_ms)) = self.granted.pop_front() else {
                break;
            };
            if granted > left {
                self.granted.push_front((granted - left, until_ms));
            }
            left = left.saturating_sub(granted);
        }
        true
    }
}
