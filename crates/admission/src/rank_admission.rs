//! Admission of a VM's arrivals by the shares that the lease holder announces.

use apricotdale_core::names::GroupName;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rank_shares::ALL_PERMILLE;
use crate::rank_shares::RankShareRow;

/// Age above which announced shares are ignored. Heartbeats come every 400 ms.
const ROWS_TTL_MS: u64 = 1_500;

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RankDecision {
    /// The request is admitted.
    Admit,
    /// The request is refused.
    Refuse {
        /// Time after which it should be retried.
        retry_after_ms: u64,
    },
}

/// Shares of one announcement, by which a VM admits its arrivals.
#[derive(Clone, Debug, Default)]
pub struct RankAdmission {
    rows: Vec<RankShareRow>,
    recorded_ms: u64,
}

impl RankAdmission {
    /// Records an announcement, which replaces the last one for all services. An announcement
    /// without rows tells that nothing is refused.
    pub fn record(&mut self, now_ms: u64, rows: Vec<RankShareRow>) {
        self.rows = rows;
        self.recorded_ms = now_ms;
    }

    /// Decides whether a request is admitted. All VMs with the same announcement decide alike for
    /// the same `id_hash`. The next announcement draws the request anew, so that a retry has the same
    /// chance as a new request.
    pub fn decide(&self, now_ms: u64, service: u32, rank: u8, id_hash: u64) -> RankDecision {
        let Some(row) = self.row(now_ms, service, rank) else {
            return RankDecision::Admit;
        };
        // The service of a request may be chosen by the same hash, so it is mixed before its use.
        let draw = xxh3_64_with_seed(&id_hash.to_le_bytes(), u64::from(row.retry_after_ms));
        if draw % u64::from(ALL_PERMILLE) < u64::from(row.permille) {
            return RankDecision::Admit;
        }
        let shortest_ms = u64::from(row.retry_after_ms);
        // The upper half of the draw is independent of the remainder that decided.
        let spread_ms = (shortest_ms * (draw >> 32)) >> 32;
        RankDecision::Refuse {
            retry_after_ms: shortest_ms + spread_ms,
        }
    }

    /// Returns the lowest share in force, in thousandths; 1,000 if nothing is refused.
    pub fn lowest_permille(&self, now_ms: u64) -> u16 {
        self.valid_rows(now_ms)
            .iter()
            .map(|row| row.permille)
            .fold(ALL_PERMILLE, u16::min)
    }

    /// Returns the row of a rank. A rank that the holder has not heard of is treated as the next
    /// more urgent one, so that it does not overtake those that are refused.
    fn row(&self, now_ms: u64, service: u32, rank: u8) -> Option<&RankShareRow> {
        self.valid_rows(now_ms)
            .iter()
            .filter(|row| row.service == service && row.rank <= rank)
            .max_by_key(|row| row.rank)
    }

    fn valid_rows(&self, now_ms: u64) -> &[RankShareRow] {
        match now_ms.saturating_sub(self.recorded_ms) <= ROWS_TTL_MS {
            true => &self.rows,
            false => &[],
        }
    }
}

/// Returns the key by which announcements name a service: the low 32 bits of the xxh3 hash of its
/// name.
pub fn service_key(service: &GroupName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}
