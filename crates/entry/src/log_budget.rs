//! Rate limit of log lines about requests.

/// Sustained rate of lines about answered requests. Their counts and times are also in the metrics.
const GOOD_LINES_PER_S: f64 = 40.0;

/// Sustained rate of lines about other outcomes.
const BAD_LINES_PER_S: f64 = 120.0;

/// Size of the token buckets, in seconds at the sustained rate.
const SAVED_S: f64 = 2.0;

#[derive(Debug)]
struct Bucket {
    per_s: f64,
    saved: f64,
    at_ms: u64,
}

impl Bucket {
    fn new(per_s: f64) -> Self {
        Self {
            per_s,
            saved: per_s * SAVED_S,
            at_ms: 0,
        }
    }

    fn take(&mut self, now_ms: u64) -> bool {
        let earned = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0 * self.per_s;
        self.at_ms = now_ms;
        self.saved = (self.saved + earned).min(self.per_s * SAVED_S);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Limits the volume of log lines under load by two token buckets, and counts the dropped lines.
#[derive(Debug)]
pub(crate) struct LineBudget {
    good: Bucket,
    bad: Bucket,
    /// Number of lines that were not written.
    pub dropped: u64,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self {
            good: Bucket::new(GOOD_LINES_PER_S),
            bad: Bucket::new(BAD_LINES_PER_S),
            dropped: 0,
        }
    }
}

impl LineBudget {
    /// Returns whether a line about a request may be written. `good` tells whether it was answered.
    pub fn take(&mut self, now_ms: u64, good: bool) -> bool {
        let bucket = if good { &mut self.good } else { &mut self.bad };
        let taken = bucket.take(now_ms);
        self.dropped += u64::from(!taken);
        taken
    }
}
