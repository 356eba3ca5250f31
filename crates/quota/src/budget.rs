//! How what may be used beyond the rate is divided.

use apricotdale_organisations::Limit;

/// `Bounds` is how closely limits are held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The operators' window in which use is counted.
    pub window_ms: u64,
    /// The part of what a window allows that may be used beyond it.
    pub over: f64,
    /// Units that may be used beyond that.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            window_ms: 8_000,
            over: 0.1,
            slack: 0.0,
        }
    }
}

/// The part of what a window allows beyond the rate that may be used in every window, in favour of the
/// callers. The rest is for what VMs do not know of each other.
const SUSTAINED: f64 = 0.5;

/// Parts of that rest. With `UNTOLD` once more, for VMs that are killed before
/// they tell, they add up to less than one: the rest covers VMs that count each other differently for
/// a moment.
const BUCKET: f64 = 0.35;
const UNTOLD: f64 = 0.2;
const GRANTED: f64 = 0.1;
const ALONE: f64 = 0.05;
const OVERDRAFT: f64 = 0.2;

/// The part of a bucket at which a request is granted that is larger than the bucket.
const NEARLY_FULL: f64 = 0.9;

/// The longest time for which a grant is good.
const MAX_GRANT_MS: u64 = 2_000;

/// `Budget` is what one organisation may use, divided over the places where it is held.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Budget {
    /// The limit's rate, and the part of its tolerance that is used all the time.
    pub rate_per_ms: f64,
    /// What may be used beyond that, at the most.
    beyond: f64,
}

impl Budget {
    pub fn new(limit: Limit, bounds: Bounds) -> Self {
        let rate_per_ms = limit.rate_per_s / 1_000.0;
        let allowed = rate_per_ms * bounds.window_ms as f64 + limit.burst;
        let beyond = limit.burst + bounds.over * allowed + bounds.slack;
        Self {
            rate_per_ms: rate_per_ms + beyond * SUSTAINED / bounds.window_ms as f64,
            beyond: beyond * (1.0 - SUSTAINED),
        }
    }

    /// Returns the size of the keeper's bucket.
    pub fn bucket(&self) -> f64 {
        self.beyond * BUCKET
    }

    /// Returns whether a bucket covers all that a part of the VMs may have admitted and not told.
    pub fn is_calm(&self, level: f64, part: f64) -> bool {
        level >= self.beyond * UNTOLD * part
    }

    /// Returns what a bucket grants of what is wanted, no less than the first request wants.
    pub fn grant(&self, level: f64, wanted: u64, first: u64) -> u64 {
        match wanted {
            _ if level >= wanted as f64 => wanted,
            _ if level >= first as f64 => level as u64,
            _ => 0,
        }
    }

    /// Returns whether a request that is larger than the bucket may be paid back after it.
    pub fn may_overdraw(&self, level: f64, part: f64, units: u64) -> bool {
        level >= self.bucket() * part * NEARLY_FULL && self.fits(units)
    }

    /// Returns whether a request could ever be admitted.
    pub fn fits(&self, units: u64) -> bool {
        units as f64 <= (self.bucket() + self.beyond * OVERDRAFT).max(1.0)
    }

    /// Returns what one VM may admit before it is told that the keeper knows of it.
    pub fn untold(&self, vms: usize) -> f64 {
        self.beyond * UNTOLD / vms.max(1) as f64
    }

    /// Returns the bucket of a VM that hears no keeper.
    pub fn alone(&self, vms: usize) -> f64 {
        self.beyond * ALONE / vms.max(1) as f64
    }

    /// Returns how long a grant is good.
    pub fn grant_ms(&self) -> u64 {
        let ms = self.beyond * GRANTED / self.rate_per_ms;
        (ms as u64).min(MAX_GRANT_MS)
    }
}
