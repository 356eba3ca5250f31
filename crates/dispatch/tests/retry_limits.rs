//! Failed sends that may be retried.

mod support;

use apricotdale_dispatch::DispatchDecision;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::DispatcherOptions;
use apricotdale_dispatch::FailedAttempt;
use apricotdale_dispatch::Job;
use apricotdale_dispatch::RetryAction;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::RouteKind;
use rstest::rstest;

use support::call;
use support::directory;
use support::dispatcher;
use support::stream;

/// Returns a job that was sent once and, if it may have run, counts one run.
fn sent_job(job: Job, failed: FailedAttempt) -> Job {
    let runs = u32::from(!failed.is_not_run());
    Job {
        tried: vec!["p0".into()],
        runs,
        ..job
    }
}

fn is_retried(job: &Job, failed: FailedAttempt, begun: bool) -> bool {
    matches!(
        dispatcher().after_failure(2_000, job, failed, begun),
        RetryAction::AfterMs(_)
    )
}

/// Guards against a non-idempotent call that runs twice. Only a call that certainly did not run, or
/// one that may run more than once, is sent again.
#[rstest]
fn retryable_failures(
    #[values(
        FailedAttempt::Rejected,
        FailedAttempt::Misdirected,
        FailedAttempt::NotSent,
        FailedAttempt::Lost,
        FailedAttempt::Failed
    )]
    failed: FailedAttempt,
    #[values(
        RouteKind::Idempotent,
        RouteKind::NonIdempotent,
        RouteKind::Stream { resumable: true },
        RouteKind::Stream { resumable: false }
    )]
    kind: RouteKind,
) {
    let job = sent_job(Job { kind, ..call(kind) }, failed);
    let expected = failed.is_not_run() || kind.is_repeatable();
    assert_eq!(is_retried(&job, failed, false), expected);
}

/// Guards against a second run of a request that ran once and was rejected by the next upstream.
#[test]
fn earlier_run_counts() {
    let job = Job {
        runs: 1,
        ..sent_job(call(RouteKind::NonIdempotent), FailedAttempt::Rejected)
    };
    assert!(!is_retried(&job, FailedAttempt::Rejected, false));
}

#[test]
fn attempt_limit() {
    let job = Job {
        runs: 2,
        ..sent_job(call(RouteKind::Idempotent), FailedAttempt::Lost)
    };
    assert!(!is_retried(&job, FailedAttempt::Lost, false));
}

#[rstest]
#[case::resumable(true, true)]
#[case::once(false, false)]
fn begun_stream(#[case] resumable: bool, #[case] expected: bool) {
    let job = sent_job(stream("m0", resumable), FailedAttempt::Lost);
    assert_eq!(is_retried(&job, FailedAttempt::Lost, true), expected);
}

/// Guards against retries that multiply the load on the remaining instances in an outage. Retries
/// are taken from a budget that first sends earn.
#[test]
fn retry_budget() {
    let mut dispatcher = dispatcher();
    let mut repeated = 0;
    for _ in 0..200 {
        let job = sent_job(call(RouteKind::Idempotent), FailedAttempt::Lost);
        dispatcher.arrived(2_000, &job);
        let attempt = dispatcher.after_failure(2_000, &job, FailedAttempt::Lost, false);
        repeated += u32::from(attempt != RetryAction::GiveUp);
    }
    assert!((20..=40).contains(&repeated), "{repeated}");
}

#[test]
fn deadline_before_retry() {
    let job = Job {
        deadline_ms: 2_020,
        ..sent_job(call(RouteKind::Idempotent), FailedAttempt::Lost)
    };
    assert!(!is_retried(&job, FailedAttempt::Lost, false));
}

/// Guards against exceeding the operators' limit on retries when engines reject many requests.
/// Each VM retries as long as it has saved retries. The limit was exceeded with 71 VMs that each
/// used the share of one of 9 VMs.
#[rstest]
#[case::few(9, 58.0)]
#[case::many(71, 182.0)]
#[case::more(410, 900.0)]
fn fleet_retry_limit(#[case] vms: u32, #[case] spare_repeats: f64) {
    const WINDOW_MS: u64 = 10_000;
    const EVERY_MS: u64 = 100;
    let options = |vm: u32| DispatcherOptions {
        spare_repeats,
        repeats_window_ms: WINDOW_MS,
        ..DispatcherOptions::new(u64::from(vm), "zone-a".into())
    };
    let mut fleet: Vec<Dispatcher> = (0..vms).map(|vm| Dispatcher::new(options(vm))).collect();
    let (mut asked, mut repeated) = (0.0, 0.0);
    for at_ms in (0..WINDOW_MS).step_by(EVERY_MS as usize) {
        for dispatcher in &mut fleet {
            dispatcher.set_vms(vms);
            let job = Job {
                deadline_ms: at_ms + 5_000,
                ..sent_job(call(RouteKind::Idempotent), FailedAttempt::Rejected)
            };
            // Each VM gets one request a second, of which every send fails.
            if at_ms % 1_000 == 0 {
                dispatcher.arrived(at_ms, &job);
                asked += 1.0;
            }
            let attempt = dispatcher.after_failure(at_ms, &job, FailedAttempt::Rejected, false);
            repeated += f64::from(u8::from(matches!(attempt, RetryAction::AfterMs(_))));
        }
    }
    let bound = 0.2 * asked + spare_repeats;
    assert!(repeated <= bound, "{repeated} repeats, {bound} allowed");
    assert!(
        repeated >= 0.5 * bound,
        "{repeated} repeats are far below {bound}"
    );
}

/// Guards against refusing requests that no upstream has run while the retry budget is used up,
/// though seconds are left before their deadline. They wait for the budget instead.
#[test]
fn wait_for_budget() {
    let directory = directory(&[]);
    let mut dispatcher = dispatcher();
    let job = sent_job(call(RouteKind::NonIdempotent), FailedAttempt::Rejected);
    let attempts = std::iter::repeat_with(|| {
        dispatcher.after_failure(2_000, &job, FailedAttempt::Rejected, false)
    });
    let first_spent = attempts
        .take(100)
        .find(|it| !matches!(it, RetryAction::AfterMs(_)));
    assert_eq!(first_spent, Some(RetryAction::OnceBudgetAllows));
    let job_awaiting_retry = Job {
        awaits_retry_budget: true,
        ..job.clone()
    };
    let spent = dispatcher.decide(2_000, &directory, &job_awaiting_retry);
    assert_eq!(spent, DispatchDecision::Wait(WaitReason::Budget));
    for _ in 0..20 {
        dispatcher.arrived(2_000, &job);
    }
    let earned = dispatcher.decide(2_000, &directory, &job_awaiting_retry);
    assert!(matches!(earned, DispatchDecision::Send(_)), "{earned:?}");
}

/// Guards against keeping a request that may have run waiting for a retry that may never come.
#[test]
fn lost_request_fails() {
    let mut dispatcher = dispatcher();
    let job = sent_job(call(RouteKind::Idempotent), FailedAttempt::Lost);
    let attempts = std::iter::repeat_with(|| {
        dispatcher.after_failure(2_000, &job, FailedAttempt::Lost, false)
    });
    let first_spent = attempts
        .take(100)
        .find(|it| !matches!(it, RetryAction::AfterMs(_)));
    assert_eq!(first_spent, Some(RetryAction::GiveUp));
}

/// Guards against ending a request that may run again, ran elsewhere before and then reached no
/// upstream, though time is left. Nothing was lost in the attempt that failed, so it waits for the
/// retry budget. One that may run only once ends, since it may not be sent again.
#[rstest]
#[case::call(RouteKind::Idempotent, RetryAction::OnceBudgetAllows)]
#[case::stream(RouteKind::Stream { resumable: true }, RetryAction::OnceBudgetAllows)]
#[case::runs_once(RouteKind::NonIdempotent, RetryAction::GiveUp)]
fn unsent_retry_waits(
    #[values(FailedAttempt::NotSent, FailedAttempt::Rejected)] failed: FailedAttempt,
    #[case] kind: RouteKind,
    #[case] expected: RetryAction,
) {
    let mut dispatcher = dispatcher();
    let job = Job {
        runs: 1,
        ..sent_job(call(kind), failed)
    };
    let attempts = std::iter::repeat_with(|| dispatcher.after_failure(2_000, &job, failed, false));
    let first_spent = attempts
        .take(100)
        .find(|it| !matches!(it, RetryAction::AfterMs(_)));
    assert_eq!(first_spent, Some(expected));
}
