//! Rate limit of log lines about requests.

/// Sustained rate of lines about answered requests. Their counts and times are also in the metrics.
const ANSWERED_LINES_PER_S: f64 = 40.0;

/// Sustained rate of lines about other outcomes.
const OTHER_LINES_PER_S: f64 = 120.0;

/// Size of the token buckets, in seconds at the sustained rate.
const BUCKET_S: f64 = 2.0;

#[derive(Debug)]
struct TokenBucket {
    lines_per_s: f64,
    tokens: f64,
    refilled_ms: u64,
}

impl TokenBucket {
    fn new(lines_per_s: f64) -> Self {
        Self {
            lines_per_s,
            tokens: lines_per_s * BUCKET_S,
            refilled_ms: 0,
        }
    }

    fn try_take(&mut self, now_ms: u64) -> bool {
        let refilled = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0 * self.lines_per_s;
        self.refilled_ms = now_ms;
        self.tokens = (self.tokens + refilled).min(self.lines_per_s * BUCKET_S);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Limits the volume of log lines under load by two token buckets, and counts the dropped lines.
#[derive(Debug)]
pub(crate) struct LogBudget {
    answered: TokenBucket,
    other: TokenBucket,
    /// Number of lines that were not written.
    pub dropped_lines: u64,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            answered: TokenBucket::new(ANSWERED_LINES_PER_S),
            other: TokenBucket::new(OTHER_LINES_PER_S),
            dropped_lines: 0,
        }
    }
}

impl LogBudget {
    /// Returns whether a line about a request may be written. `answered` tells whether it was
    /// answered.
    pub fn try_take(&mut self, now_ms: u64, answered: bool) -> bool {
        let bucket = if answered {
            &mut self.answered
        } else {
            &mut self.other
        };
        let taken = bucket.try_take(now_ms);
        self.dropped_lines += u64::from(!taken);
        taken
    }
}
