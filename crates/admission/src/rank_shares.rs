//! Shares of the arrivals of each rank that a service's capacity admits.

use serde::Deserialize;
use serde::Serialize;

/// Divisor of the capacity for the floor of the ranks that capacity does not reach.
const FLOOR_DIVISOR: f64 = 10.0;

/// Share that admits every request.
pub(crate) const ALL_PERMILLE: u16 = 1_000;

/// Shortest retry time. With a shorter one, retries meet VMs that still hold the announcement by
/// which they were refused, and are refused again.
const MIN_RETRY_MS: u32 = 1_500;

/// Longest retry time that is stated, whatever the backlog.
const MAX_RETRY_MS: u32 = 30_000;

/// Number of announcements in which the same backlog gives different retry times. At one every
/// 400 ms they take longer than the longest retry time with its spread. With 16, many third tries
/// met the draw by which their first had been refused.
const DRAWS: u32 = 256;

/// Shares of one service, computed by the lease holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankShares {
    /// Highest number of requests in progress and waiting within the last second, divided by the
    /// slots, in thousandths.
    pub pressure_permille: u32,
    /// Share of each rank with requests in the last 10 s, the most urgent first.
    pub ranks: Vec<RankShare>,
    /// Number of the computation, which tells the draws of requests apart.
    pub(crate) draw: u32,
}

/// Share of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankShare {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Admitted part of the arrivals, in thousandths.
    pub permille: u16,
    /// Time in which the engines work off the waiting requests of this rank and of more urgent ones.
    pub backlog_ms: u32,
}

/// Share of one rank of one service, as the lease holder announces it to all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankShareRow {
    /// Key of the service, by [`service_key`](crate::service_key).
    pub service: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Admitted part of the arrivals, in thousandths.
    pub permille: u16,
    /// Shortest time after which a refused request should be retried. It differs between successive
    /// announcements, and requests are drawn anew when it changes.
    pub retry_after_ms: u32,
}

impl RankShares {
    /// Returns whether requests of any rank are refused.
    pub fn is_binding(&self) -> bool {
        self.ranks.iter().any(|share| share.permille < ALL_PERMILLE)
    }

    /// Returns the rows to announce for the service with this key; none if nothing is refused.
    pub fn rows(&self, service: u32) -> Vec<RankShareRow> {
        if !self.is_binding() {
            return Vec::new();
        }
        let row = |share: &RankShare| RankShareRow {
            service,
            rank: share.rank,
            permille: share.permille,
            retry_after_ms: retry_after_ms(share.backlog_ms, self.draw),
        };
        self.ranks.iter().map(row).collect()
    }
}

/// Returns the retry time for a backlog. With one and the same value for as long as the backlog is
/// the same, a request that was drawn for refusal once would be refused at each retry.
fn retry_after_ms(backlog_ms: u32, draw: u32) -> u32 {
    let whole_ms = backlog_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
    whole_ms.next_multiple_of(DRAWS) + draw % DRAWS
}

/// Divides `budget_per_s` among ranks with `offered_per_s`, the most urgent first. Returns the
/// admitted requests per second of each.
///
/// The budget serves the ranks in order. Those behind the first rank that it does not serve whole
/// keep together at most a tenth of `capacity_per_s`, and an equal part of it each.
pub(crate) fn divide(capacity_per_s: f64, budget_per_s: f64, offered_per_s: &[f64]) -> Vec<f64> {
    let floor_per_s = capacity_per_s / FLOOR_DIVISOR;
    let mut admitted = offered_per_s.to_vec();
    let mut left_per_s = budget_per_s;
    for (index, &offered) in offered_per_s.iter().enumerate() {
        let behind = &offered_per_s[index + 1..];
        let kept_per_s = behind.iter().sum::<f64>().min(floor_per_s);
        if offered <= left_per_s - kept_per_s {
            left_per_s -= offered;
            continue;
        }
        // What is left may be no more than the floor. It is then shared equally: the rank that comes
        // first would otherwise get nothing and those behind it all.
        let equal_per_s = equal_parts(left_per_s, &offered_per_s[index..])[0];
        admitted[index] = equal_per_s.max(left_per_s - kept_per_s);
        let parts = equal_parts(left_per_s - admitted[index], behind);
        admitted[index + 1..].copy_from_slice(&parts);
        break;
    }
    admitted
}

/// Divides `total` equally; who wants less than an equal part gets what it wants.
fn equal_parts(total: f64, wanted: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by(|&left, &right| wanted[left].total_cmp(&wanted[right]));
    let mut parts = vec![0.0; wanted.len()];
    let mut left = total;
    for (assigned, &index) in order.iter().enumerate() {
        parts[index] = wanted[index].min(left / (wanted.len() - assigned) as f64);
        left -= parts[index];
    }
    parts
}

/// Returns the share that admits `admitted` of `offered`. A rank without arrivals is admitted.
pub(crate) fn permille(admitted: f64, offered: f64) -> u16 {
    match admitted < offered {
        true => (admitted / offered * f64::from(ALL_PERMILLE)) as u16,
        false => ALL_PERMILLE,
    }
}
