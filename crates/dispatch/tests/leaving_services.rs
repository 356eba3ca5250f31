//! Requests to services whose upstreams leave.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_dispatch::DispatchDecision;
use apricotdale_dispatch::Job;
use apricotdale_fleet::RouteKind;
use rstest::rstest;

use support::call;
use support::directory;
use support::dispatcher;
use support::stream;

/// Guards against callers who wait until their deadline for upstreams that all leave.
#[rstest]
#[case::stream(stream("m0", true), 0, ["e0", "e1"])]
#[case::call(call(RouteKind::NonIdempotent), 0, ["p0", "p1"])]
#[case::has_run(stream("m0", true), 1, ["e0", "e1"])]
fn refused_at_once(#[case] job: Job, #[case] runs: u32, #[case] upstreams: [&str; 2]) {
    let job = Job { runs, ..job };
    let mut directory = directory(&[("e0", "a", &["m0"]), ("e1", "a", &["m1"])]);
    let mut dispatcher = dispatcher();
    for name in upstreams {
        let decision = dispatcher.decide(1_000, &directory, &job);
        assert!(!matches!(decision, DispatchDecision::Refuse(_)), "{name}");
        directory.record_leave_notice(&UpstreamName::from(name));
    }
    let DispatchDecision::Refuse(refusal) = dispatcher.decide(1_000, &directory, &job) else {
        panic!("it waits");
    };
    assert_eq!(refusal.reason, RefusalReason::UpstreamLeaving);
    assert_eq!(refusal.ran == Ran::NotRun, runs == 0);
    assert_eq!(refusal.retry_after_ms.is_some(), runs == 0);
}
