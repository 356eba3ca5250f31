//! Reports of a quota client: when they are sent, to which owner, and what they hold.

use xxhash_rust::xxh3::xxh3_64;

use super::ANSWER_TTL_MS;
use super::QuotaClient;
use crate::message::AccountInFlight;
use crate::message::AccountRoom;
use crate::message::AccountUsage;
use crate::message::AccountWants;
use crate::message::Report;
use crate::message::ReportExtra;
use crate::message::UNKNOWN_RANK;

/// Interval between two reports. It grows with the number of VMs, so that the owner can handle all
/// reports.
const MIN_REPORT_INTERVAL_MS: u64 = 250;
const REPORT_INTERVAL_US_PER_VM: u64 = 3_500;
const MAX_REPORT_INTERVAL_MS: u64 = 1_000;

/// Minimum interval between two reports that ask for units. It grows with the number of VMs.
const MIN_URGENT_INTERVAL_MS: u64 = 10;
const URGENT_INTERVAL_US_PER_VM: u64 = 200;

/// Time for which an answer is awaited before an urgent report is repeated.
const ANSWER_TIMEOUT_MS: u64 = 100;

/// Number of consecutive reports without an answer after which the next candidate is asked.
const MAX_UNANSWERED_REPORTS: u32 = 3;

/// The same with accounts of units at risk. These need an owner of most VMs, and more reports, of which
/// more are lost.
const MAX_UNANSWERED_AT_RISK: u32 = 6;

/// Time after which units in flight are reported again although they have not changed. The owner
/// forgets them otherwise.
const IN_FLIGHT_REPEAT_MS: u64 = 1_000;

/// Time after which a VM returns from another candidate to the first one.
const FALLBACK_OWNER_MS: u64 = 10_000;

impl QuotaClient {
    pub(super) fn report_soon(&mut self, now_ms: u64) {
        let min_delay_ms = match self.unanswered_reports {
            0 => MIN_URGENT_INTERVAL_MS.max(self.vms as u64 * URGENT_INTERVAL_US_PER_VM / 1_000),
            _ => ANSWER_TIMEOUT_MS,
        };
        let soon_ms = now_ms.max(self.last_report_ms + min_delay_ms);
        self.next_report_ms = self.next_report_ms.min(soon_ms);
    }

    /// Returns the time until the next report, with jitter that depends on the VM and the report,
    /// so that VMs which start together do not stay synchronous.
    pub(super) fn jittered_interval_ms(&self) -> u64 {
        let interval_ms = self.report_interval_ms();
        let hash = xxh3_64(&(self.incarnation ^ self.last_report_number).to_le_bytes());
        interval_ms * 3 / 4 + hash % (interval_ms / 2)
    }

    pub(super) fn report_interval_ms(&self) -> u64 {
        (self.vms as u64 * REPORT_INTERVAL_US_PER_VM / 1_000)
            .clamp(MIN_REPORT_INTERVAL_MS, MAX_REPORT_INTERVAL_MS)
    }

    /// Returns when a report is due; `u64::MAX` without limits.
    pub fn next_ms(&self) -> u64 {
        self.next_report_ms
    }

    /// Returns the report if it is due. Its recipient is the VM with rank
    /// [`QuotaClient::owner_rank`] among `candidates` VMs, which the call may change.
    pub fn due_report(&mut self, now_ms: u64, candidates: usize) -> Option<Report> {
        if now_ms < self.next_report_ms || self.accounts.is_empty() || candidates == 0 {
            return None;
        }
        self.select_owner(now_ms, candidates);
        let owner = self
            .owner
            .filter(|_| now_ms < self.last_received_ms + ANSWER_TTL_MS);
        match owner {
            None => self.owner = None,
            // While a report is unacknowledged no further time is ceded, which bounds what can be
            // lost.
            Some(_) if self.unanswered_reports == 0 => {
                self.ceded_ms += self.claim_elapsed_ms(now_ms)
            }
            Some(_) => {}
        }
        self.last_report_number += 1;
        self.unanswered_reports += 1;
        self.last_report_ms = now_ms;
        self.next_report_ms = now_ms + self.jittered_interval_ms();
        for account in self.accounts.values_mut() {
            account.drop_expired_grants(now_ms);
        }
        let all_usages = self.accounts.iter().map(|(id, account)| AccountUsage {
            account: *id,
            units: account.spent,
            wanted: account.wanted(now_ms),
            oldest: account.by_rank().next().map_or(0, |it| it.units),
        });
        let has_changed = |it: &AccountUsage| {
            it.wanted > 0 || it.units != self.accounts[&it.account].acknowledged
        };
        let usages = all_usages.filter(has_changed);
        let usages: Vec<AccountUsage> = match owner {
            Some(_) => usages.collect(),
            None => Vec::new(),
        };
        let wants = usages.iter().filter_map(|usage: &AccountUsage| {
            let account = &self.accounts[&usage.account];
            let mut pending = account.pending.values();
            let is_listed = usage.wanted > 0 && pending.any(|it| it.rank != UNKNOWN_RANK);
            is_listed.then(|| AccountWants {
                account: usage.account,
                requests: account.wanted_requests(now_ms),
            })
        });
        let wants: Vec<AccountWants> = wants.collect();
        let accounts = self.accounts.iter_mut();
        let rooms = accounts.filter_map(|(id, account)| {
            let (requests, at_ms) = account.unreported_room.take()?;
            Some(AccountRoom {
                account: *id,
                requests,
                age_ms: now_ms.saturating_sub(at_ms) as u32,
            })
        });
        let rooms = rooms.collect();
        let in_flight = match owner {
            Some(_) => self.changed_in_flight(now_ms),
            None => Vec::new(),
        };
        Some(Report {
            vm: self.incarnation,
            number: self.last_report_number,
            owner,
            ceded_ms: self.ceded_ms,
            usages,
            extra: ReportExtra {
                joined: self.joined_number,
                rooms,
                wants,
                in_flight: Some(in_flight),
            },
        })
    }

    /// Returns the units in flight that the owner does not know yet.
    pub(super) fn changed_in_flight(&mut self, now_ms: u64) -> Vec<AccountInFlight> {
        let (number, answered_number) = (self.last_report_number, self.last_answered_number);
        let mut changed = Vec::new();
        for (id, account) in &mut self.accounts {
            let units = account.in_flight + account.valid_units(now_ms);
            let row = AccountInFlight {
                account: *id,
                units: units.try_into().unwrap_or(u32::MAX),
                granted: account.granted_total,
            };
            let is_known = match account.reported_in_flight {
                Some((reported, at, at_ms)) => {
                    let is_fresh = row.units == 0 || now_ms < at_ms + IN_FLIGHT_REPEAT_MS;
                    reported == row && at <= answered_number && is_fresh
                }
                None => row.units == 0 && row.granted == 0,
            };
            if account.budget.is_at_risk() && !is_known {
                account.reported_in_flight = Some((row, number, now_ms));
                changed.push(row);
            }
        }
        changed
    }

    pub(super) fn select_owner(&mut self, now_ms: u64, candidates: usize) {
        let has_at_risk = self.accounts.values().any(|it| it.budget.is_at_risk());
        let max_unanswered = match has_at_risk {
            true => MAX_UNANSWERED_AT_RISK,
            false => MAX_UNANSWERED_REPORTS,
        };
        let fallback_ended = self.owner_rank > 0 && now_ms >= self.fallback_until_ms;
        let before = self.owner_rank;
        if self.owner_rank >= candidates || fallback_ended {
            self.owner_rank = 0;
        } else if self.unanswered_reports >= max_unanswered {
            self.owner_rank = (self.owner_rank + 1) % candidates;
            self.fallback_until_ms = now_ms + FALLBACK_OWNER_MS;
        }
        if self.owner_rank != before || self.unanswered_reports >= max_unanswered {
            self.unanswered_reports = 0;
            self.owner = None;
        }
    }
}
