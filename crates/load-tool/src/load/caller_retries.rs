//! Retries by callers that were refused.

use std::time::Duration;

use crate::load::record::Record;
use crate::load::scale::Scale;

/// Value of a refusal's `ran` for a request that did not run.
pub const NOT_RUN: &str = "not_run";

/// Retry delay of a caller if the refusal names none, in the deployment's time and as in the policy
/// replay.
const DEFAULT_RETRY_DELAY_MS: u64 = 5_000;

/// Rule by which refused callers retry. As in the policy replay, every other caller retries once,
/// after the delay named by the refusal. The retry is not measured, but it shows the system that
/// there is still demand for the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerRetries {
    default_delay: Duration,
    until: Duration,
}

impl CallerRetries {
    /// Returns the rule for a run with the given scale.
    pub fn new(scale: &Scale) -> Self {
        Self {
            default_delay: Duration::from_millis(scale.time_ms(DEFAULT_RETRY_DELAY_MS)),
            until: scale.moment(1.0),
        }
    }

    /// Returns when the caller of a request retries, since the start of the run. None if it does
    /// not: the request was not refused or may have run, or the retry would be after the run.
    pub fn retry_at(&self, record: &Record) -> Option<Duration> {
        let refusal = record.ending.refusal()?;
        if refusal.ran != NOT_RUN || !record.planned.is_multiple_of(2) {
            return None;
        }
        let retry_at = record.ended + record.retry_after.unwrap_or(self.default_delay);
        (retry_at < self.until).then_some(retry_at)
    }
}
