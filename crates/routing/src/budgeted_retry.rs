//! The chosen retry policy.

use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_core::names::GroupName;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RetryRequest;

use crate::fixed_retry::forbidden;
use crate::options::RetryOptions;

/// `BudgetedRetry` is the chosen retry policy: it repeats only what may be repeated, within a
/// budget that all requests to a group share, after a random pause.
///
/// Without the budget an outage multiplies the load by the number of tries at the moment when the
/// group can bear it least. The budget bounds the multiple to one plus the earned share.
#[derive(Debug)]
pub struct BudgetedRetry {
    options: RetryOptions,
    budgets: HashMap<GroupName, Budget>,
    random: ChaCha8Rng,
}

/// `Budget` is a bucket of tokens, one a retry.
#[derive(Debug)]
struct Budget {
    saved: f64,
    at_ms: u64,
}

impl Budget {
    /// Adds what time has earned. Time alone fills the bucket to a few tokens only.
    fn advance(&mut self, now_ms: u64, options: &RetryOptions) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms);
        self.at_ms = self.at_ms.max(now_ms);
        let earned = options.earned_per_s * elapsed_ms as f64 / 1_000.0;
        let room = (options.idle_saved - self.saved).max(0.0);
        self.saved += earned.min(room);
    }

    fn earn(&mut self, options: &RetryOptions) {
        self.saved = (self.saved + options.earned_per_first_try).min(options.max_saved);
    }

    fn spend(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}

impl BudgetedRetry {
    /// Returns the policy.
    pub fn new(options: RetryOptions) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            budgets: HashMap::new(),
            options,
        }
    }

    /// Replaces the tunables. What a group has saved beyond the new most is lost.
    pub fn set_options(&mut self, options: RetryOptions) {
        for budget in self.budgets.values_mut() {
            budget.saved = budget.saved.min(options.max_saved);
        }
        self.options = options;
    }

    fn budget(&mut self, now_ms: u64, group: &GroupName) -> &mut Budget {
        let fresh = Budget {
            saved: self.options.max_saved,
            at_ms: now_ms,
        };
        let budget = self.budgets.entry(group.clone()).or_insert(fresh);
        budget.advance(now_ms, &self.options);
        budget
    }

    /// Draws a pause between zero and a bound that doubles with each try, and that leaves enough
    /// time for the try after it. Pauses that were not random would bring all failed requests of
    /// one moment back at one moment.
    fn pause_ms(&mut self, request: &RetryRequest) -> u64 {
        let options = &self.options;
        let doublings = request.tries.saturating_sub(1).min(u64::BITS - 1);
        let bound_ms = options.base_pause_ms.saturating_mul(1 << doublings);
        let longest_ms = request.left_ms.saturating_sub(options.min_left_ms);
        let bound_ms = bound_ms.min(options.max_pause_ms).min(longest_ms);
        self.random.random_range(0..=bound_ms)
    }
}

impl RetryPolicy for BudgetedRetry {
    fn record_first_attempt(&mut self, now_ms: u64, group: &GroupName) {
        let options = self.options.clone();
        self.budget(now_ms, group).earn(&options);
    }

    fn decide(&mut self, now_ms: u64, request: &RetryRequest) -> RetryDecision {
        if let Some(decision) = forbidden(request, &self.options) {
            return decision;
        }
        if !self.budget(now_ms, &request.group).spend() {
            return RetryDecision::BudgetSpent;
        }
        RetryDecision::RetryAfterMs(self.pause_ms(request))
    }
}
