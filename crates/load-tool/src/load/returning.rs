//! Which refused callers come back, and when.

use std::time::Duration;

use crate::load::record::Record;
use crate::load::scale::Scale;

/// What a refusal says of a request that did not run.
pub const NOT_RUN: &str = "not_run";

/// When a refused caller comes back if the refusal does not say, in the deployment's time, as in the
/// policy replay.
const RETURN_MS: u64 = 5_000;

/// `Returning` decides which refused callers come back. As in the policy replay every other one
/// does, once, when the refusal said. Its second try is not measured, but it shows the system that
/// the model is still asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Returning {
    unsaid: Duration,
    until: Duration,
}

impl Returning {
    /// Returns the decision for a run.
    pub fn new(scale: &Scale) -> Self {
        Self {
            unsaid: Duration::from_millis(scale.time_ms(RETURN_MS)),
            until: scale.moment(1.0),
        }
    }

    /// Returns when the caller of a request comes back, or none if it does not.
    pub fn moment(&self, record: &Record) -> Option<Duration> {
        let refusal = record.ending.refusal()?;
        if refusal.ran != NOT_RUN || !record.planned.is_multiple_of(2) {
            return None;
        }
        let moment = record.ended + record.retry_after.unwrap_or(self.unsaid);
        (moment < self.until).then_some(moment)
    }
}
