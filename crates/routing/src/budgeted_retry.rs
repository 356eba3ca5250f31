//! Retry policy with a budget per group.

use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_core::names::GroupName;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RetryRequest;

use crate::fixed_retry::refusal_reason;
use crate::options::RetryOptions;

/// Retry policy that retries only what may be retried, after a random pause, and within a budget
/// that all requests to a group share.
///
/// Without the budget, an outage multiplies the load by the number of attempts when the group can
/// bear it least. The budget limits the factor to one plus the share of retries that a first
/// attempt earns.
#[derive(Debug)]
pub struct BudgetedRetry {
    options: RetryOptions,
    budgets: HashMap<GroupName, Budget>,
    random: ChaCha8Rng,
}

/// Token bucket with one token per retry.
#[derive(Debug)]
struct Budget {
    tokens: f64,
    at_ms: u64,
}

impl Budget {
    /// Adds the tokens that accrue with time, up to [`RetryOptions::idle_saved`].
    fn advance(&mut self, now_ms: u64, options: &RetryOptions) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms);
        self.at_ms = self.at_ms.max(now_ms);
        let earned = options.earned_per_s * elapsed_ms as f64 / 1_000.0;
        let missing = (options.idle_saved - self.tokens).max(0.0);
        self.tokens += earned.min(missing);
    }

    fn earn(&mut self, options: &RetryOptions) {
        self.tokens = (self.tokens + options.earned_per_first_try).min(options.max_saved);
    }

    fn spend(&mut self) -> bool {
        let is_enough = self.tokens >= 1.0;
        if is_enough {
            self.tokens -= 1.0;
        }
        is_enough
    }
}

impl BudgetedRetry {
    /// Returns the policy with the given tunables.
    pub fn new(options: RetryOptions) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            budgets: HashMap::new(),
            options,
        }
    }

    /// Replaces the tunables. Tokens above the new maximum are dropped.
    pub fn set_options(&mut self, options: RetryOptions) {
        for budget in self.budgets.values_mut() {
            budget.tokens = budget.tokens.min(options.max_saved);
        }
        self.options = options;
    }

    fn budget(&mut self, now_ms: u64, group: &GroupName) -> &mut Budget {
        let full_budget = Budget {
            tokens: self.options.max_saved,
            at_ms: now_ms,
        };
        let budget = self.budgets.entry(group.clone()).or_insert(full_budget);
        budget.advance(now_ms, &self.options);
        budget
    }

    /// Draws a pause between zero and a limit that doubles with each attempt and leaves enough time
    /// for the next one. Without jitter, all requests that failed together would be retried
    /// together.
    fn pause_ms(&mut self, request: &RetryRequest) -> u64 {
        let options = &self.options;
        let doublings = request.tries.saturating_sub(1).min(u64::BITS - 1);
        let bound_ms = options.base_pause_ms.saturating_mul(1 << doublings);
        let time_left_ms = request.left_ms.saturating_sub(options.min_left_ms);
        let bound_ms = bound_ms.min(options.max_pause_ms).min(time_left_ms);
        self.random.random_range(0..=bound_ms)
    }
}

impl RetryPolicy for BudgetedRetry {
    fn record_first_attempt(&mut self, now_ms: u64, group: &GroupName) {
        let options = self.options.clone();
        self.budget(now_ms, group).earn(&options);
    }

    fn decide(&mut self, now_ms: u64, request: &RetryRequest) -> RetryDecision {
        if let Some(decision) = refusal_reason(request, &self.options) {
            return decision;
        }
        if !self.budget(now_ms, &request.group).spend() {
            return RetryDecision::BudgetSpent;
        }
        RetryDecision::RetryAfterMs(self.pause_ms(request))
    }
}
