//! First requests of a VM that has started to upstreams whose statements it does not know.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::RateLimit;
use apricotdale_dispatch::RejectionLimits;
use apricotdale_dispatch::StatedRejectionLimit;

const NOW_MS: u64 = 10_000;

fn service() -> GroupName {
    GroupName::from("llm")
}

fn upstream(index: usize) -> UpstreamName {
    UpstreamName::from(format!("i-{index}").as_str())
}

fn limit() -> Option<RateLimit> {
    RateLimit::from_per_s(6.0)
}

/// Guards against a second request to an upstream whose first answer is awaited, and against upstreams
/// that are passed over because of another one.
#[test]
fn one_at_a_time() {
    let mut limits = RejectionLimits::new(0);
    limits.begin_check(&service(), &upstream(0));
    assert!(limits.is_held_back(NOW_MS + 60_000, &upstream(0)));
    assert!(!limits.is_held_back(NOW_MS, &upstream(1)));
    limits.record_answer(NOW_MS + 700, NOW_MS, &service(), &upstream(0), None);
    assert!(!limits.is_held_back(NOW_MS + 700, &upstream(0)));
    limits.begin_check(&service(), &upstream(0));
    assert!(
        !limits.is_held_back(NOW_MS + 700, &upstream(0)),
        "confirmed"
    );
}

/// Guards against one request after the other to an upstream that rejects each without a statement.
#[test]
fn rejected_without_statement() {
    let mut limits = RejectionLimits::new(0);
    limits.begin_check(&service(), &upstream(0));
    assert!(limits.end_check(NOW_MS, &upstream(0), true));
    assert!(limits.is_held_back(NOW_MS + 999, &upstream(0)));
    assert!(!limits.is_held_back(NOW_MS + 1_000, &upstream(0)));
    limits.begin_check(&service(), &upstream(0));
    assert!(limits.is_held_back(NOW_MS + 1_000, &upstream(0)));
}

/// Guards against an upstream that gets nothing because it could not be reached for the first request.
#[test]
fn not_reached() {
    let mut limits = RejectionLimits::new(0);
    limits.begin_check(&service(), &upstream(0));
    assert!(limits.end_check(NOW_MS, &upstream(0), false));
    assert!(!limits.is_held_back(NOW_MS, &upstream(0)));
}

/// Guards against waiting for an answer once another VM has told the limit: permits bound the requests
/// then.
#[test]
fn told_meanwhile() {
    let mut limits = RejectionLimits::new(0);
    limits.begin_check(&service(), &upstream(0));
    let told = StatedRejectionLimit {
        service: service(),
        upstream: Some(upstream(0)),
        limit: limit(),
        age_ms: 0,
        stated_for_ms: 5_000,
    };
    limits.apply(NOW_MS, &told, true);
    assert!(!limits.is_held_back(NOW_MS, &upstream(0)));
    limits.begin_check(&service(), &upstream(1));
    assert!(
        !limits.is_held_back(NOW_MS, &upstream(1)),
        "limit of its service"
    );
}

/// Guards against single requests once it is known that nothing is stated.
#[test]
fn all_known() {
    let mut limits = RejectionLimits::new(0);
    limits.begin_check(&service(), &upstream(0));
    limits.complete();
    limits.begin_check(&service(), &upstream(1));
    for index in 0..2 {
        assert!(!limits.is_held_back(NOW_MS, &upstream(index)));
    }
}
