//! Account of a quota client: what one VM has used, wants and has been granted of one limit.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::budget::Budget;
use crate::message::AccountInFlight;
use crate::message::DeniedRequest;
use crate::message::MAX_LISTED_REQUESTS;
use crate::message::WantedUnits;
use crate::rank_order::BucketState;
use crate::rank_order::RankOrder;

#[derive(Clone, Debug)]
pub(super) struct Account {
    pub budget: Budget,
    /// Units used without a grant since this VM reports to its owner, and how many of them the
    /// owner has acknowledged.
    pub spent: i64,
    pub acknowledged: i64,
    /// Requests that await an answer of the owner, by request key.
    pub pending: BTreeMap<u64, WantedUnits>,
    pub is_near_limit: bool,
    /// Granted units with the time at which they expire, oldest first.
    pub granted: VecDeque<(u64, u64)>,
    /// Units at risk that the owner has granted since this VM reports to it.
    pub granted_total: u64,
    /// Units at risk of requests that were sent and are not settled.
    pub in_flight: u64,
    /// What was last reported of them, with the number and the time of the report; `None` if nothing
    /// was.
    pub reported_in_flight: Option<(AccountInFlight, u64, u64)>,
    /// Time until which no units are requested, and the time after which callers may retry.
    pub denied_until_ms: u64,
    pub retry_after_ms: u64,
    /// Most urgent rank to which units were denied. More urgent requests ask all the same.
    pub denied_rank: u32,
    /// Until when the owner counts as one that divides the units of the account by rank, and the
    /// requests that its last answer denied.
    pub ranked_until_ms: u64,
    pub denied: Vec<DeniedRequest>,
    /// Level of the bucket that this VM uses while it has no live owner, and its division.
    pub local_level: f64,
    pub local_order: RankOrder,
    /// Room of the upstream that has not been reported yet, and when an answer showed it.
    pub unreported_room: Option<(u32, u64)>,
}

impl Account {
    /// Returns the units of the valid grants.
    pub fn valid_units(&self, now_ms: u64) -> u64 {
        let granted = self.granted.iter();
        let valid = granted.filter(|(_, until_ms)| now_ms < *until_ms);
        valid.map(|(granted, _)| granted).sum()
    }

    /// Returns the units of pending requests beyond those granted.
    pub fn wanted(&self, now_ms: u64) -> u64 {
        let pending = self.pending.values();
        let pending: u64 = pending.map(|it| it.units).sum();
        pending.saturating_sub(self.valid_units(now_ms))
    }

    /// Returns the pending requests, the most urgent rank first, then the oldest.
    pub fn by_rank(&self) -> impl Iterator<Item = WantedUnits> {
        let mut pending: Vec<(u64, WantedUnits)> =
            self.pending.iter().map(|(key, it)| (*key, *it)).collect();
        pending.sort_by_key(|(key, it)| (it.rank, *key));
        pending.into_iter().map(|(_, it)| it)
    }

    /// Returns the pending requests that the valid grants do not cover, in their order.
    pub fn wanted_requests(&self, now_ms: u64) -> Vec<WantedUnits> {
        let mut granted = self.valid_units(now_ms);
        let wanted = self.by_rank().filter(|it| {
            let is_covered = it.units <= granted;
            granted -= it.units.min(granted);
            !is_covered
        });
        wanted.take(MAX_LISTED_REQUESTS).collect()
    }

    /// Returns the rank of the first request that the valid grants do not cover.
    pub fn first_denied_rank(&self, now_ms: u64) -> u32 {
        let wanted = self.wanted_requests(now_ms);
        wanted.first().map_or(0, |it| it.rank)
    }

    /// Returns the units of pending requests before one: those of more urgent ranks and, where the
    /// owner decides by rank, older ones of its rank.
    pub fn ahead_units(&self, now_ms: u64, key: u64, rank: u32) -> u64 {
        let is_ranked = now_ms < self.ranked_until_ms;
        let pending = self.pending.iter();
        let ahead = pending.filter(|(other, it)| {
            it.rank < rank || (is_ranked && it.rank == rank && **other < key)
        });
        ahead.map(|(_, it)| it.units).sum()
    }

    /// Returns whether units were denied to requests of this rank a moment ago.
    pub fn is_denied(&self, now_ms: u64, rank: u32) -> bool {
        now_ms < self.denied_until_ms && rank >= self.denied_rank
    }

    /// Takes the owner's denial of a request out of its last answer.
    pub fn take_denial(&mut self, wanted: WantedUnits) -> Option<DeniedRequest> {
        let mut denied = self.denied.iter();
        let index = denied.position(|it| it.wanted == wanted)?;
        Some(self.denied.remove(index))
    }

    /// Uses units of the local bucket if there are enough, in the order of ranks.
    pub fn use_local(&mut self, now_ms: u64, vms: usize, key: u64, wanted: WantedUnits) -> bool {
        let units = wanted.units;
        if !self.pending.contains_key(&key) {
            self.local_order.record(now_ms, wanted.rank, units);
        }
        let bucket = BucketState {
            now_ms,
            level: self.local_level,
            capacity: self.budget.local_bucket(vms),
            rate_per_ms: self.budget.rate_per_ms / vms as f64,
        };
        let is_granted = match self.local_order.is_mixed(now_ms) {
            true => {
                let claim = self.local_order.claim(&bucket, &wanted);
                if let Some(claim) = claim {
                    self.local_order.take(&wanted, claim);
                }
                claim.is_some()
            }
            false => self.local_level >= units as f64,
        };
        if is_granted {
            self.local_level -= units as f64;
        }
        is_granted
    }

    /// Drops the grants that are no longer valid. Units at risk that were not used are refunded.
    pub fn drop_expired_grants(&mut self, now_ms: u64) {
        let expired = self
            .granted
            .iter()
            .filter(|(_, until_ms)| *until_ms <= now_ms);
        let expired: u64 = expired.map(|(units, _)| units).sum();
        if self.budget.is_at_risk() {
            self.spent -= expired as i64;
        }
        self.granted.retain(|(_, until_ms)| now_ms < *until_ms);
    }

    /// Uses granted units if there are enough for the request and for those ahead of it.
    pub fn use_grants(&mut self, now_ms: u64, key: u64, rank: u32, units: u64) -> bool {
        self.drop_expired_grants(now_ms);
        let valid: u64 = self.granted.iter().map(|(granted, _)| granted).sum();
        if valid < units || units == 0 {
            return units == 0;
        }
        if valid - units < self.ahead_units(now_ms, key, rank) {
            return false;
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
