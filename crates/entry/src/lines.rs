//! How many lines are logged.

/// Lines of requests that ended well, a second. Their counts and times are in the metrics too.
const GOOD_LINES_PER_S: f64 = 40.0;

/// Lines of requests that did not, a second.
const BAD_LINES_PER_S: f64 = 120.0;

/// Seconds of lines that may be saved up for a burst.
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

/// `LineBudget` bounds the log's volume under load. Each dropped line is counted.
#[derive(Debug)]
pub(crate) struct LineBudget {
    good: Bucket,
    bad: Bucket,
    /// Lines that were not written.
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
    /// Returns whether a line about a request may be written.
    pub fn take(&mut self, now_ms: u64, good: bool) -> bool {
        let bucket = if good { &mut self.good } else { &mut self.bad };
        let taken = bucket.take(now_ms);
        self.dropped += u64::from(!taken);
        taken
    }
}
