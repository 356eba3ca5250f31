//! Failed attempts that are retried, their pauses, and their number.

use std::collections::BTreeSet;

use rstest::rstest;

use apricotdale_core::names::GroupName;
use apricotdale_core::policy::RetryDecision;
use apricotdale_core::policy::RetryPolicy;
use apricotdale_core::policy::RetryRequest;
use apricotdale_routing::BudgetedRetry;
use apricotdale_routing::Error;
use apricotdale_routing::Options;
use apricotdale_routing::RETRY_POLICIES;
use apricotdale_routing::ROUTING_POLICIES;
use apricotdale_routing::RetryOptions;
use apricotdale_routing::retry_policy;
use apricotdale_routing::routing_policy;

fn request() -> RetryRequest {
    RetryRequest {
        group: GroupName::new("planner-lm"),
        idempotent: true,
        certainly_not_run: false,
        answer_begun: false,
        tries: 1,
        left_ms: 10_000,
    }
}

fn is_retried(policy: &mut dyn RetryPolicy, now_ms: u64, request: &RetryRequest) -> bool {
    matches!(
        policy.decide(now_ms, request),
        RetryDecision::RetryAfterMs(_)
    )
}

/// Spends all of a group's budget.
fn spend_budget(policy: &mut dyn RetryPolicy, request: &RetryRequest) {
    let spent = (0..1_000)
        .take_while(|_| is_retried(policy, 0, request))
        .count();
    assert!(spent < 1_000, "the budget has no end");
}

#[rstest]
#[case::idempotent(request(), None)]
#[case::not_run(
    RetryRequest { idempotent: false, certainly_not_run: true, ..request() },
    None
)]
#[case::may_have_run(
    RetryRequest { idempotent: false, ..request() },
    Some(RetryDecision::MayHaveRun)
)]
#[case::answer_begun(
    RetryRequest { answer_begun: true, certainly_not_run: true, ..request() },
    Some(RetryDecision::AnswerBegun)
)]
#[case::last_allowed_try(RetryRequest { tries: 2, ..request() }, None)]
#[case::too_many_tries(RetryRequest { tries: 3, ..request() }, Some(RetryDecision::TooManyTries))]
#[case::no_time_left(RetryRequest { left_ms: 49, ..request() }, Some(RetryDecision::NoTimeLeft))]
#[case::just_enough_time(RetryRequest { left_ms: 50, ..request() }, None)]
fn safe_retries_only(
    #[case] request: RetryRequest,
    #[case] expected: Option<RetryDecision>,
    #[values("budgeted", "fixed")] name: &str,
) {
    let mut policy = retry_policy(name, RetryOptions::default()).expect("a known policy");
    let decision = policy.decide(0, &request);
    match expected {
        Some(expected) => assert_eq!(decision, expected),
        None => assert!(
            matches!(decision, RetryDecision::RetryAfterMs(_)),
            "{decision:?}"
        ),
    }
}

/// Guards against retries that multiply the load in an outage, under which the group can't recover.
/// Every request fails, and a limit per request alone allows a retry for each.
#[test]
fn outage_load_limit() {
    let mut policy = BudgetedRetry::new(RetryOptions::default());
    let mut retried = 0;
    for first in 0..10_000 {
        policy.record_first_attempt(first, &request().group);
        retried += u32::from(is_retried(&mut policy, first, &request()));
    }
    assert!((1_000..=1_020).contains(&retried), "{retried}");
    assert_eq!(
        policy.decide(10_000, &request()),
        RetryDecision::BudgetSpent
    );
}

#[test]
fn rarely_called_group() {
    let mut policy = BudgetedRetry::new(RetryOptions::default());
    spend_budget(&mut policy, &request());
    assert!(!is_retried(&mut policy, 5_000, &request()));
    assert!(is_retried(&mut policy, 15_000, &request()));
    let spent_after_long_idle = (0..10).filter(|_| is_retried(&mut policy, 10_000_000, &request()));
    assert_eq!(spent_after_long_idle.count(), 2);
}

#[test]
fn separate_group_budgets() {
    let mut policy = BudgetedRetry::new(RetryOptions::default());
    spend_budget(&mut policy, &request());
    let other = RetryRequest {
        group: GroupName::new("booking-app"),
        ..request()
    };
    assert!(is_retried(&mut policy, 0, &other));
}

#[test]
fn forbidden_retry_is_free() {
    let mut policy = BudgetedRetry::new(RetryOptions::default());
    let forbidden = RetryRequest {
        tries: 3,
        ..request()
    };
    for _ in 0..100 {
        policy.decide(0, &forbidden);
    }
    assert!(is_retried(&mut policy, 0, &request()));
}

fn pauses_ms(seed: u64, tries: u32, left_ms: u64) -> Vec<u64> {
    let options = RetryOptions {
        seed,
        max_tries: 10,
        max_saved: 1_000.0,
        ..RetryOptions::default()
    };
    let mut policy = BudgetedRetry::new(options);
    let request = RetryRequest {
        tries,
        left_ms,
        ..request()
    };
    let decisions = (0..500).map(|_| policy.decide(0, &request));
    let pause = |decision| match decision {
        RetryDecision::RetryAfterMs(pause_ms) => pause_ms,
        other => panic!("{other:?}"),
    };
    decisions.map(pause).collect()
}

/// Guards against retries that arrive in waves: requests that fail together need different pauses,
/// drawn from the full range.
#[rstest]
#[case::first(1, 10_000, 25)]
#[case::second(2, 10_000, 50)]
#[case::third(3, 10_000, 100)]
#[case::bounded(9, 10_000, 1_000)]
#[case::little_time_left(9, 90, 40)]
fn pause_jitter(#[case] tries: u32, #[case] left_ms: u64, #[case] bound_ms: u64) {
    let pauses = pauses_ms(1, tries, left_ms);
    assert!(pauses.iter().all(|pause_ms| *pause_ms <= bound_ms));
    let lower = pauses
        .iter()
        .filter(|pause_ms| **pause_ms < bound_ms / 2)
        .count();
    assert!(
        (150..350).contains(&lower),
        "{lower} of 500 in the lower half"
    );
    let distinct: BTreeSet<u64> = pauses.iter().copied().collect();
    assert!(distinct.len() as u64 > bound_ms / 4);
    assert_eq!(pauses, pauses_ms(1, tries, left_ms));
    assert_ne!(pauses, pauses_ms(2, tries, left_ms));
}

#[test]
fn policy_names() {
    for name in ROUTING_POLICIES {
        assert!(routing_policy(name, Options::default()).is_ok());
    }
    for name in RETRY_POLICIES {
        assert!(retry_policy(name, RetryOptions::default()).is_ok());
    }
    let unknown = routing_policy("fastest", Options::default()).err();
    assert_eq!(
        unknown,
        Some(Error::unknown_policy("fastest", ROUTING_POLICIES))
    );
}
