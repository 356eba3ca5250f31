//! Division of the units of a limit between the owner's bucket, grants and the VMs.

use apricotdale_organisations::Limit;

/// Tolerance with which limits are enforced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of the operators' window in which usage is counted.
    pub window_ms: u64,
    /// Tolerated excess, as a share of what a window allows.
    pub over: f64,
    /// Tolerated excess in units, in addition to `over`.
    pub slack: f64,
    /// Share of the excess, from 0 to 1, that may be used in every window, in favour of the callers.
    /// The remainder covers what VMs do not know of each other.
    pub sustained_share: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            window_ms: 8_000,
            over: 0.1,
            slack: 0.0,
            sustained_share: 0.5,
        }
    }
}

/// What the units of an account count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AccountRule {
    /// Usage: every admitted unit counts.
    Usage(Limit),
    /// Risk: an admitted unit counts unless it is refunded.
    AtRisk {
        /// Maximum number of units in a second that are not refunded.
        max_per_s: f64,
        /// When the account came into being. Soon after that no former owner has granted units of it.
        since_ms: u64,
    },
}

impl From<Limit> for AccountRule {
    fn from(limit: Limit) -> Self {
        Self::Usage(limit)
    }
}

/// Shares of the units at risk in a second. The bucket bounds what awaits its refund at once, the rate
/// what replaces units that were not refunded; the remainder covers grants that are used late.
const AT_RISK_BUCKET_SHARE: f64 = 0.7;
const AT_RISK_RATE_SHARE: f64 = 0.25;

/// Minimum rate in units per second at which units at risk are replaced. Without any the account of an
/// upstream that tolerates no rejection would stay empty once a unit was lost.
const MIN_AT_RISK_PER_S: f64 = 0.1;

/// Share of the VMs that must report to an owner for its bucket to hold a whole unit in any case. Two
/// owners never have it at the same time.
const MAJORITY: f64 = 0.5;

/// Time for which a granted unit at risk is valid.
const AT_RISK_GRANT_TTL_MS: u64 = 200;

/// Shares of the excess that is not used in every window. Together with a second `UNREPORTED_SHARE`, for VMs that are killed
/// before they report, they add up to less than 1. What is left covers VMs that briefly assume
/// different numbers of VMs.
const BUCKET_SHARE: f64 = 0.35;
const UNREPORTED_SHARE: f64 = 0.2;
const GRANT_SHARE: f64 = 0.1;
const LOCAL_SHARE: f64 = 0.05;
const OVERDRAFT_SHARE: f64 = 0.2;

/// Fill level, as a share of the bucket, from which a request larger than the bucket is granted.
const MIN_OVERDRAFT_FILL: f64 = 0.9;

/// Maximum time for which a grant is valid.
const MAX_GRANT_TTL_MS: u64 = 2_000;

/// Units that one organisation may use, and their division.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Budget {
    /// Rate of the limit, increased by the excess that may be used in every window.
    pub rate_per_ms: f64,
    /// Maximum number of units that may be used in excess of that rate.
    excess: f64,
    /// Capacity of the bucket of units at risk; `None` for usage.
    at_risk_bucket: Option<f64>,
}

impl Budget {
    pub fn new(rule: AccountRule, bounds: Bounds) -> Self {
        match rule {
            AccountRule::Usage(limit) => Self::of_usage(limit, bounds),
            AccountRule::AtRisk { max_per_s, .. } => Self {
                rate_per_ms: (max_per_s * AT_RISK_RATE_SHARE).max(MIN_AT_RISK_PER_S) / 1_000.0,
                excess: 0.0,
                at_risk_bucket: Some((max_per_s * AT_RISK_BUCKET_SHARE).max(1.0)),
            },
        }
    }

    fn of_usage(limit: Limit, bounds: Bounds) -> Self {
        let rate_per_ms = limit.rate_per_s / 1_000.0;
        let allowed = rate_per_ms * bounds.window_ms as f64 + limit.burst;
        let excess = limit.burst + bounds.over * allowed + bounds.slack;
        Self {
            rate_per_ms: rate_per_ms + excess * bounds.sustained_share / bounds.window_ms as f64,
            excess: excess * (1.0 - bounds.sustained_share),
            at_risk_bucket: None,
        }
    }

    /// Returns whether units count unless they are refunded, so that each one needs a grant.
    pub fn is_at_risk(&self) -> bool {
        self.at_risk_bucket.is_some()
    }

    /// Returns the capacity of the owner's bucket if all VMs report to it.
    pub fn bucket(&self) -> f64 {
        self.at_risk_bucket.unwrap_or(self.excess * BUCKET_SHARE)
    }

    /// Returns the capacity of the bucket of an owner that a share of the VMs reports to.
    pub fn bucket_of_share(&self, share: f64) -> f64 {
        let bucket = self.bucket() * share;
        match self.is_at_risk() && share > MAJORITY {
            true => bucket.max(1.0),
            false => bucket,
        }
    }

    /// Returns whether the level covers all that a share of the VMs may have admitted and not
    /// reported.
    pub fn has_headroom(&self, level: f64, share: f64) -> bool {
        !self.is_at_risk() && level >= self.excess * UNREPORTED_SHARE * share
    }

    /// Returns how many of the wanted units are granted: all, or what the level covers if that
    /// suffices for the oldest pending request, or none.
    pub fn grant(&self, level: f64, wanted: u64, oldest: u64) -> u64 {
        match wanted {
            _ if level >= wanted as f64 => wanted,
            _ if level >= oldest as f64 => level as u64,
            _ => 0,
        }
    }

    /// Returns whether a request larger than the bucket may be granted and paid for afterwards.
    pub fn may_overdraw(&self, level: f64, share: f64, units: u64) -> bool {
        !self.is_at_risk()
            && level >= self.bucket() * share * MIN_OVERDRAFT_FILL
            && self.fits(units)
    }

    /// Returns whether a request of this size can be admitted at all.
    pub fn fits(&self, units: u64) -> bool {
        units as f64 <= (self.bucket() + self.excess * OVERDRAFT_SHARE).max(1.0)
    }

    /// Returns how many units one VM may admit that the owner has not acknowledged.
    pub fn max_unreported(&self, vms: usize) -> f64 {
        self.excess * UNREPORTED_SHARE / vms.max(1) as f64
    }

    /// Returns the capacity of the bucket that a VM uses while it has no live owner.
    pub fn local_bucket(&self, vms: usize) -> f64 {
        self.excess * LOCAL_SHARE / vms.max(1) as f64
    }

    /// Returns how long a grant is valid.
    pub fn grant_ttl_ms(&self) -> u64 {
        if self.is_at_risk() {
            return AT_RISK_GRANT_TTL_MS;
        }
        let ms = self.excess * GRANT_SHARE / self.rate_per_ms;
        (ms as u64).min(MAX_GRANT_TTL_MS)
    }
}
