//! Retry policy with a fixed pause, as a baseline for comparison.

use apricotdale_core::names::GroupName;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RetryRequest;

use crate::options::RetryOptions;

/// Returns why a request must not be retried, or `None` if it may be.
pub(crate) fn refusal_reason(
    request: &RetryRequest,
    options: &RetryOptions,
) -> Option<RetryDecision> {
    let may_retry = request.idempotent || request.certainly_not_run;
    match request {
        _ if request.answer_begun => Some(RetryDecision::AnswerBegun),
        _ if !may_retry => Some(RetryDecision::MayHaveRun),
        _ if request.tries >= options.max_tries => Some(RetryDecision::TooManyTries),
        _ if request.left_ms < options.min_left_ms => Some(RetryDecision::NoTimeLeft),
        _ => None,
    }
}

/// Retry policy that retries whatever may be retried after a fixed pause, without a budget. It is a
/// baseline for comparison with [`BudgetedRetry`](crate::BudgetedRetry).
#[derive(Debug)]
pub struct FixedRetry {
    options: RetryOptions,
}

impl FixedRetry {
    /// Returns the policy with the given tunables.
    pub fn new(options: RetryOptions) -> Self {
        Self { options }
    }
}

impl RetryPolicy for FixedRetry {
    fn record_first_attempt(&mut self, _now_ms: u64, _group: &GroupName) {}

    fn decide(&mut self, _now_ms: u64, request: &RetryRequest) -> RetryDecision {
        if let Some(decision) = refusal_reason(request, &self.options) {
            return decision;
        }
        let time_left_ms = request.left_ms - self.options.min_left_ms;
        RetryDecision::RetryAfterMs(self.options.base_pause_ms.min(time_left_ms))
    }
}
