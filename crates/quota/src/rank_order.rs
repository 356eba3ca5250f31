//! Division of an account's units among requests of different ranks.
//!
//! A [`RankOrder`] only decides who gets units that are there. It never makes any, so that the bound of
//! the limit does not depend on it.

use std::collections::BTreeMap;

use crate::message::WantedUnits;

/// Time since its last request for which a rank counts as present. With one rank alone nothing is
/// divided.
const RANK_TTL_MS: u64 = 10_000;

/// Time since its last request for which units accrue for a less urgent rank.
const FLOOR_TTL_MS: u64 = 4_000;

/// Length of the windows in which wanted units are added up.
const RATE_WINDOW_MS: u64 = 500;

/// Time for which the units that more urgent ranks will want are kept, and their maximum as a share of
/// the bucket. VMs ask every 10 to 60 ms.
const RESERVE_MS: f64 = 250.0;
const MAX_RESERVE_SHARE: f64 = 0.5;

/// Share of what accrues that less urgent ranks get in any case, and the maximum of what is kept for
/// them as a share of the bucket.
const FLOOR_SHARE: f64 = 0.1;
const MAX_FLOOR_SHARE: f64 = 0.5;

/// Share of what accrues that is promised to denied requests. With all of it, requests that arrive for
/// the first time would be denied for as long as denied ones return.
const TURN_SHARE: f64 = 0.5;

/// Minimum time after which a denied request is promised its units, and maximum time after which they
/// begin to be collected.
const MIN_TURN_MS: u64 = 150;
const MAX_TURN_MS: u64 = 4_000;

/// Earliness and lateness with which a denied request still gets what was promised.
const EARLY_MS: u64 = 20;
const GRACE_MS: u64 = 500;

/// Maximum number of promises to the requests of one account.
const MAX_TURNS: usize = 512;

/// Part of the bucket that is promised to a request that is larger than it. It is overdrawn from a
/// slightly lower level.
const MAX_TURN_BUCKET_SHARE: f64 = 0.95;

/// Level of a bucket, and what accrues in it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketState {
    pub now_ms: u64,
    pub level: f64,
    pub capacity: f64,
    pub rate_per_ms: f64,
}

/// On what grounds a request gets its units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// They were promised to it, by the index of its turn.
    Turn(usize),
    /// No rank before it needs them.
    Share,
    /// They have accrued for its rank.
    Floor,
}

/// Demand of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankDemand {
    last_ms: u64,
    /// Number of the window in progress, and the units wanted in it and in the one before.
    window: u64,
    current: f64,
    former: f64,
    /// Units that have accrued for the rank alone.
    floor: f64,
}

impl RankDemand {
    fn advance(&mut self, now_ms: u64) {
        let window = now_ms / RATE_WINDOW_MS;
        self.former = match window.saturating_sub(self.window) {
            0 => self.former,
            1 => self.current,
            _ => 0.0,
        };
        if window > self.window {
            self.current = 0.0;
            self.window = window;
        }
    }

    /// Returns the units wanted in a millisecond.
    fn rate_per_ms(&self, now_ms: u64) -> f64 {
        let mut demand = *self;
        demand.advance(now_ms);
        demand.former.max(demand.current) / RATE_WINDOW_MS as f64
    }
}

/// Units promised to a denied request for its return.
#[derive(Clone, Copy, Debug)]
struct Turn {
    wanted: WantedUnits,
    /// Units that are kept at the beginning and at the end.
    base: f64,
    needed: f64,
    from_ms: u64,
    due_ms: u64,
}

impl Turn {
    /// Returns the units that are kept for the request now.
    fn held(&self, now_ms: u64) -> f64 {
        let length_ms = self.due_ms.saturating_sub(self.from_ms).max(1) as f64;
        let passed_ms = now_ms.saturating_sub(self.from_ms) as f64;
        self.base + (self.needed - self.base) * (passed_ms / length_ms).min(1.0)
    }
}

/// Order in which the requests of an account get its units: by rank, then age.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankOrder {
    ranks: BTreeMap<u32, RankDemand>,
    turns: Vec<Turn>,
}

impl RankOrder {
    /// Records that a request wants units, and drops what is out of date.
    pub fn record(&mut self, now_ms: u64, rank: u32, units: u64) {
        self.ranks
            .retain(|_, demand| now_ms < demand.last_ms + RANK_TTL_MS);
        self.turns.retain(|turn| now_ms < turn.due_ms + GRACE_MS);
        let demand = self.ranks.entry(rank).or_default();
        demand.advance(now_ms);
        demand.last_ms = now_ms;
        demand.current += units as f64;
    }

    /// Returns whether requests of more than one rank have come lately.
    pub fn is_mixed(&self, now_ms: u64) -> bool {
        let present = self.ranks.values();
        let present = present.filter(|demand| now_ms < demand.last_ms + RANK_TTL_MS);
        present.count() > 1
    }

    /// Returns the present ranks behind the most urgent one.
    fn behind(&self, now_ms: u64) -> impl Iterator<Item = u32> {
        let present = self.ranks.iter();
        let present = present.filter(move |(_, demand)| now_ms < demand.last_ms + FLOOR_TTL_MS);
        present.map(|(rank, _)| *rank).skip(1)
    }

    /// Divides what has accrued: a part is kept for the less urgent ranks.
    pub fn accrue(&mut self, now_ms: u64, units: f64, capacity: f64) {
        if self.ranks.len() < 2 {
            return;
        }
        let behind: Vec<u32> = self.behind(now_ms).collect();
        let count = behind.len().max(1) as f64;
        for (rank, demand) in &mut self.ranks {
            demand.floor = match behind.contains(rank) {
                true => {
                    let max_floor = capacity.max(0.0) * MAX_FLOOR_SHARE / count;
                    (demand.floor + units * FLOOR_SHARE / count).min(max_floor)
                }
                false => 0.0,
            };
        }
    }

    /// Returns the units that are kept from a rank: what more urgent ranks will want, what less urgent
    /// ones have in any case, and what was promised to requests of its own rank and before.
    fn kept_from(&self, bucket: &BucketState, rank: u32) -> f64 {
        let now_ms = bucket.now_ms;
        let urgent = self.ranks.range(..rank);
        let urgent: f64 = urgent.map(|(_, it)| it.rate_per_ms(now_ms)).sum();
        let reserve = (urgent * RESERVE_MS).min(bucket.capacity.max(0.0) * MAX_RESERVE_SHARE);
        reserve + self.floors_behind(rank) + self.promised(now_ms, |turn| turn.wanted.rank <= rank)
    }

    fn floors_behind(&self, rank: u32) -> f64 {
        let behind = self.ranks.iter().filter(|(other, _)| **other > rank);
        behind.map(|(_, it)| it.floor.max(0.0)).sum()
    }

    fn promised(&self, now_ms: u64, is_counted: impl Fn(&Turn) -> bool) -> f64 {
        let valid = self.turns.iter().filter(|it| now_ms < it.due_ms + GRACE_MS);
        let counted = valid.filter(|turn| is_counted(turn));
        counted.map(|turn| turn.held(now_ms)).sum()
    }

    /// Returns all units that are kept for some rank, which VMs must not use without a grant.
    pub fn kept(&self, bucket: &BucketState) -> f64 {
        match self.ranks.last_key_value() {
            Some((least, _)) if self.is_mixed(bucket.now_ms) => {
                self.kept_from(bucket, *least) + self.ranks[least].floor.max(0.0)
            }
            _ => 0.0,
        }
    }

    /// Returns on what grounds a request gets its units now; `None` if it does not.
    pub fn claim(&self, bucket: &BucketState, request: &WantedUnits) -> Option<Claim> {
        let WantedUnits { rank, units, .. } = *request;
        let (now_ms, wanted) = (bucket.now_ms, units as f64);
        let mut turns = self.turns.iter();
        let turn = turns.position(|turn| {
            let from_ms = turn.due_ms.saturating_sub(EARLY_MS);
            turn.wanted == *request && (from_ms..turn.due_ms + GRACE_MS).contains(&now_ms)
        });
        let before = self.promised(now_ms, |turn| turn.wanted.rank < rank);
        let floor = self.ranks.get(&rank).map_or(0.0, |it| it.floor);
        let full_floor = bucket.capacity * MAX_FLOOR_SHARE / self.ranks.len().max(1) as f64;
        match turn {
            _ if bucket.level < wanted => None,
            Some(turn) if bucket.level - before >= wanted => Some(Claim::Turn(turn)),
            _ if bucket.level - self.kept_from(bucket, rank) >= wanted => Some(Claim::Share),
            _ if floor > 0.0 && floor >= wanted.min(full_floor) => Some(Claim::Floor),
            _ => None,
        }
    }

    /// Records that a request has got its units.
    pub fn take(&mut self, request: &WantedUnits, claim: Claim) {
        let WantedUnits { rank, units, .. } = *request;
        if let Claim::Turn(turn) = claim {
            self.turns.remove(turn);
        }
        if let Some(demand) = self.ranks.get_mut(&rank) {
            demand.floor = match claim {
                Claim::Floor => demand.floor - units as f64,
                // What a rank gets anyhow counts as part of what it gets in any case.
                Claim::Share | Claim::Turn(_) => {
                    (demand.floor - units as f64).max(demand.floor.min(0.0))
                }
            };
        }
    }

    /// Drops the promise to a request that has got its units in another way.
    pub fn end_turn(&mut self, request: &WantedUnits) {
        let mut turns = self.turns.iter();
        if let Some(turn) = turns.position(|turn| turn.wanted == *request) {
            self.turns.remove(turn);
        }
    }

    /// Promises units to a denied request, behind those promised to its rank and before. Returns the
    /// time after which it may return, and whether it is let in then.
    pub fn promise(&mut self, bucket: &BucketState, request: &WantedUnits) -> (u64, bool) {
        let WantedUnits { rank, units, .. } = *request;
        let now_ms = bucket.now_ms;
        // A caller that comes early, or whose turn was used up by more urgent requests.
        self.end_turn(request);
        let urgent = self.ranks.range(..rank);
        let urgent: f64 = urgent.map(|(_, it)| it.rate_per_ms(now_ms)).sum();
        let behind = self.behind(now_ms).count().max(1) as f64;
        let floor_per_ms = bucket.rate_per_ms * FLOOR_SHARE / behind;
        let rate_per_ms = (bucket.rate_per_ms - urgent).max(floor_per_ms) * TURN_SHARE;
        let needed = (units as f64).min(bucket.capacity.max(1.0) * MAX_TURN_BUCKET_SHARE);
        let before = self.turns.iter().filter(|turn| turn.wanted.rank <= rank);
        let from_ms = before.map(|turn| turn.due_ms).fold(now_ms, u64::max);
        // Units that are there already would lie idle behind other turns.
        let base = match from_ms == now_ms {
            true => (bucket.level - self.kept_from(bucket, rank)).clamp(0.0, needed),
            false => 0.0,
        };
        let length_ms = (needed - base) / rate_per_ms.max(f64::MIN_POSITIVE);
        let due_ms = from_ms.saturating_add(length_ms as u64);
        let due_ms = due_ms.max(now_ms + MIN_TURN_MS);
        // The beginning is what counts, so that long requests find a turn as often as short ones.
        let is_late = from_ms > now_ms + MAX_TURN_MS || due_ms > now_ms + 2 * MAX_TURN_MS;
        if is_late || self.turns.len() >= MAX_TURNS {
            return (MAX_TURN_MS, false);
        }
        self.turns.push(Turn {
            wanted: *request,
            base,
            needed,
            from_ms,
            due_ms,
        });
        (due_ms - now_ms, true)
    }
}
