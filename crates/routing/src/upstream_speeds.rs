//! Speeds of upstreams: the lasting speed measured over all VMs, and the present one that each
//! upstream states.

use std::collections::HashMap;
use std::ops::RangeInclusive;

use apricotdale_core::names::UpstreamName;

/// Speed of an upstream that works as fast as the mean, and its work time at its usual speed, both
/// in percent.
const USUAL_PERCENT: u32 = 100;

/// Bounds of a lasting speed, so that a faulty measurement neither ends an upstream's share of the
/// requests nor gives it all of them.
const SPEED_PERCENT: RangeInclusive<u32> = 10..=1_000;

/// Bounds within which a stated work time is taken for one.
const WORK_PERCENT: RangeInclusive<u32> = 10..=10_000;

/// Age at which a stated work time no longer says anything. Slow periods last about as long, and
/// the share of those that have not ended falls linearly with the age of the statement.
const STATEMENT_VALID_MS: u64 = 600;

/// Speeds of the upstreams, by which routing weighs them.
///
/// An upstream without a known speed has a factor of exactly one, with which every choice is the
/// same as without speeds.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSpeeds {
    lasting: HashMap<UpstreamName, f64>,
    stated: HashMap<UpstreamName, StatedWork>,
}

/// Work time that an upstream states, as a multiple of its usual one.
#[derive(Clone, Copy, Debug)]
struct StatedWork {
    work: f64,
    at_ms: u64,
}

impl UpstreamSpeeds {
    /// Records the lasting speed of an upstream in percent of the mean. It holds until another one
    /// is recorded; 100 ends it.
    pub fn record_lasting(&mut self, upstream: &UpstreamName, speed_percent: u32) {
        let percent = speed_percent.clamp(*SPEED_PERCENT.start(), *SPEED_PERCENT.end());
        match percent {
            USUAL_PERCENT => self.lasting.remove(upstream),
            _ => self.lasting.insert(upstream.clone(), ratio(percent)),
        };
    }

    /// Records how long work takes at an upstream at this moment, in percent of the usual time.
    /// Values outside 10 to 10,000 count as 100.
    pub fn record_work(&mut self, now_ms: u64, upstream: &UpstreamName, work_percent: u32) {
        match work_percent {
            USUAL_PERCENT => self.stated.remove(upstream),
            percent if !WORK_PERCENT.contains(&percent) => self.stated.remove(upstream),
            percent => {
                let work = ratio(percent);
                let stated = StatedWork {
                    work,
                    at_ms: now_ms,
                };
                self.stated.insert(upstream.clone(), stated)
            }
        };
    }

    /// Drops what is known of an upstream, whose run has ended.
    pub fn forget(&mut self, upstream: &UpstreamName) {
        self.lasting.remove(upstream);
        self.stated.remove(upstream);
    }

    /// Returns the factor on an upstream's weight: its lasting speed times its present one.
    pub fn factor(&self, now_ms: u64, upstream: &UpstreamName) -> f64 {
        let lasting = self.lasting.get(upstream).copied().unwrap_or(1.0);
        let stated = self.stated.get(upstream);
        let present = stated.map_or(1.0, |stated| stated.speed(now_ms));
        lasting * present
    }
}

impl StatedWork {
    /// Returns the expected present speed as a multiple of the usual one.
    fn speed(self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms).min(STATEMENT_VALID_MS);
        let remaining = 1.0 - age_ms as f64 / STATEMENT_VALID_MS as f64;
        1.0 / (1.0 + (self.work - 1.0) * remaining)
    }
}

fn ratio(percent: u32) -> f64 {
    f64::from(percent) / f64::from(USUAL_PERCENT)
}
