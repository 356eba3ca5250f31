//! Which failed sends are repeated.

mod support;

use apricotdale_dispatch::Attempt;
use apricotdale_dispatch::FailedTry;
use apricotdale_dispatch::Job;
use apricotdale_fleet::RouteKind;
use rstest::rstest;

use support::call;
use support::dispatcher;
use support::stream;

/// Returns a job that was sent once and, if it may have run, ran once.
fn sent(job: Job, failed: FailedTry) -> Job {
    let runs = u32::from(!failed.is_not_run());
    Job {
        tried: vec!["p0".into()],
        runs,
        ..job
    }
}

fn repeats(job: &Job, failed: FailedTry, begun: bool) -> bool {
    matches!(
        dispatcher().after_failure(2_000, job, failed, begun),
        Attempt::AgainAfterMs(_)
    )
}

/// Symptom: a booking runs twice. Only a call that certainly did not run, or one that may run more
/// than once, is sent again.
#[rstest]
fn what_may_be_repeated(
    #[values(
        FailedTry::TurnedAway,
        FailedTry::Misdirected,
        FailedTry::NotSent,
        FailedTry::Lost,
        FailedTry::Failed
    )]
    failed: FailedTry,
    #[values(
        RouteKind::Idempotent,
        RouteKind::NonIdempotent,
        RouteKind::Stream { resumable: true },
        RouteKind::Stream { resumable: false }
    )]
    kind: RouteKind,
) {
    let job = sent(Job { kind, ..call(kind) }, failed);
    let expected = failed.is_not_run() || kind.is_repeatable();
    assert_eq!(repeats(&job, failed, false), expected);
}

/// A request that ran once and was then turned away elsewhere still may not run again.
#[test]
fn earlier_run_counts() {
    let job = Job {
        runs: 1,
        ..sent(call(RouteKind::NonIdempotent), FailedTry::TurnedAway)
    };
    assert!(!repeats(&job, FailedTry::TurnedAway, false));
}

#[test]
fn attempts_bound_the_runs() {
    let job = Job {
        runs: 2,
        ..sent(call(RouteKind::Idempotent), FailedTry::Lost)
    };
    assert!(!repeats(&job, FailedTry::Lost, false));
}

#[rstest]
#[case::resumable(true, true)]
#[case::once(false, false)]
fn stream_that_has_begun(#[case] resumable: bool, #[case] expected: bool) {
    let job = sent(stream("m0", resumable), FailedTry::Lost);
    assert_eq!(repeats(&job, FailedTry::Lost, true), expected);
}

/// Symptom: an outage multiplies the load on the instances that are left. Repeats come from a
/// budget that the requests earn.
#[test]
fn budget_bounds_the_repeats() {
    let mut dispatcher = dispatcher();
    let mut repeated = 0;
    for _ in 0..200 {
        let job = sent(call(RouteKind::Idempotent), FailedTry::Lost);
        dispatcher.arrived(2_000, &job);
        let attempt = dispatcher.after_failure(2_000, &job, FailedTry::Lost, false);
        repeated += u32::from(attempt != Attempt::GiveUp);
    }
    assert!((20..=40).contains(&repeated), "{repeated}");
}

#[test]
fn no_time_for_another() {
    let job = Job {
        deadline_ms: 2_020,
        ..sent(call(RouteKind::Idempotent), FailedTry::Lost)
    };
    assert!(!repeats(&job, FailedTry::Lost, false));
}
