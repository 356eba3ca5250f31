//! Account of a quota owner: the bucket of one limit, and grants from it.

use crate::budget::Budget;
use crate::message::AccountUsage;
use crate::message::DeniedRequest;
use crate::message::WantedUnits;
use crate::rank_order::BucketState;
use crate::rank_order::RankOrder;

use super::BACKLOG_WINDOW_MS;
use super::MAX_RETRY_AFTER_MS;
use super::MIN_RETRY_AFTER_MS;
use super::ROOM_TTL_MS;

#[derive(Clone, Debug)]
pub(super) struct Account {
    pub budget: Budget,
    /// Units in the bucket; negative if VMs have used more than accrued.
    pub level: f64,
    /// Units at risk of the VMs that are neither refunded nor lost.
    pub in_flight: u64,
    /// Share of all VMs that report to this owner, from 0 to 1.
    pub share: f64,
    /// Units denied since `backlog_ms`.
    pub backlog: f64,
    /// When the current backlog window began.
    pub backlog_ms: u64,
    /// Time of the last overdraft of the bucket.
    pub overdrawn_ms: u64,
    /// Until when an account of units at risk counts as new.
    pub new_until_ms: u64,
    /// Further requests that the upstream accepts, and when that was known; `None` if nothing is.
    pub room: Option<(u64, u64)>,
    pub order: RankOrder,
}

impl Account {
    pub fn bucket(&self, now_ms: u64) -> f64 {
        match now_ms < self.new_until_ms {
            true => self.budget.bucket(),
            false => self.budget.bucket_of_share(self.share),
        }
    }

    /// Adds units to the bucket, or takes some if `units` is negative. What accrues replaces units that
    /// were lost: those in flight may all be rejected at once, after a silence of the upstream, and count
    /// until then.
    pub fn raise(&mut self, now_ms: u64, units: f64) {
        let capacity = self.bucket(now_ms);
        let free = match self.budget.is_at_risk() {
            true => capacity - self.in_flight as f64,
            false => capacity,
        };
        let level = self.level + units;
        self.level = level.min(free.max(self.level)).min(capacity);
    }

    pub fn bucket_state(&self, now_ms: u64) -> BucketState {
        BucketState {
            now_ms,
            level: self.level,
            capacity: self.bucket(now_ms),
            rate_per_ms: self.budget.rate_per_ms * self.share,
        }
    }

    /// Grants units to requests by rank, and takes them from the bucket. Returns how many, and the
    /// requests that get none.
    pub fn grant_by_rank(
        &mut self,
        now_ms: u64,
        requests: &[WantedUnits],
        window_ms: u64,
    ) -> (u64, Vec<DeniedRequest>) {
        let mut granted = 0;
        let mut denied = Vec::new();
        for wanted in requests {
            let bucket = self.bucket_state(now_ms);
            let units = wanted.units;
            let claim = self.order.claim(&bucket, wanted);
            let may_overdraw = now_ms >= self.overdrawn_ms + window_ms
                && units as f64 > bucket.capacity
                && self.budget.may_overdraw(self.level, self.share, units);
            if let Some(claim) = claim {
                self.order.take(wanted, claim);
                self.level -= units as f64;
                granted += units;
            } else if may_overdraw {
                self.overdrawn_ms = now_ms;
                self.order.end_turn(wanted);
                self.level -= units as f64;
                granted += units;
            } else {
                let (retry_after_ms, has_turn) = self.order.promise(&bucket, wanted);
                denied.push(DeniedRequest {
                    wanted: *wanted,
                    retry_after_ms: retry_after_ms as u32,
                    has_turn,
                });
            }
        }
        (granted, denied)
    }

    /// Returns how many of the wanted units are granted. Overdraws the bucket at most once in a
    /// window.
    pub fn grant(&mut self, now_ms: u64, usage: &AccountUsage, window_ms: u64) -> u64 {
        let wanted = usage.wanted.min(self.available_room(now_ms));
        let granted = match wanted >= usage.oldest {
            true => self.budget.grant(self.level, wanted, usage.oldest),
            false => 0,
        };
        self.use_room(now_ms, granted);
        let may_overdraw = now_ms >= self.overdrawn_ms + window_ms
            && self
                .budget
                .may_overdraw(self.level, self.share, usage.oldest);
        if granted == 0 && may_overdraw {
            self.overdrawn_ms = now_ms;
            return usage.oldest;
        }
        granted
    }

    /// Records how many further requests the upstream accepts. Those that were granted and are not
    /// accepted yet may not have reached it by then.
    pub fn record_room(&mut self, requests: u64, at_ms: u64) {
        if self.room.is_none_or(|(_, known_ms)| known_ms <= at_ms) {
            let unaccepted = (self.budget.bucket() - self.level).max(0.0) as u64;
            self.room = Some((requests.saturating_sub(unaccepted), at_ms));
        }
    }

    pub fn available_room(&self, now_ms: u64) -> u64 {
        match self.room {
            None => u64::MAX,
            Some((requests, at_ms)) if now_ms < at_ms + ROOM_TTL_MS => requests,
            Some(_) => 1,
        }
    }

    pub fn use_room(&mut self, now_ms: u64, granted: u64) {
        let available = self.available_room(now_ms);
        if let Some((requests, at_ms)) = &mut self.room
            && granted > 0
        {
            if now_ms >= *at_ms + ROOM_TTL_MS {
                *at_ms = now_ms;
            }
            *requests = available - granted;
        }
    }

    /// Returns the time after which enough units have accrued for the wanted ones and for those
    /// denied to others before.
    pub fn retry_after_ms(&mut self, now_ms: u64, wanted: f64) -> u32 {
        if now_ms >= self.backlog_ms + BACKLOG_WINDOW_MS {
            self.backlog = 0.0;
            self.backlog_ms = now_ms;
        }
        self.backlog += wanted;
        let missing_units = self.backlog - self.level;
        let retry_after_ms = missing_units / self.budget.rate_per_ms;
        retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u32
    }
}
