//! Requests of all VMs at an engine, as the lease holder announces them.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_dispatch::DispatchDecision;
use apricotdale_dispatch::LoadSample;
use apricotdale_dispatch::WaitReason;
use rstest::rstest;

use support::SLOTS;
use support::directory;
use support::dispatcher;
use support::stream;

/// Guards against sending to an engine that other VMs have filled, as long as that is recent.
#[rstest]
#[case::below(SLOTS - 1, 1_100, false)]
#[case::full(SLOTS, 1_100, true)]
#[case::over(SLOTS * 2, 1_100, true)]
#[case::expired(SLOTS, 2_600, false)]
fn announced_load_fills(#[case] requests: u32, #[case] now_ms: u64, #[case] is_full: bool) {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let engine = UpstreamName::from("e0");
    dispatcher.record_shared_load(1_000, &engine, Some(requests));
    let expected = match is_full {
        true => DispatchDecision::Wait(WaitReason::Full),
        false => DispatchDecision::Send(engine),
    };
    let decision = dispatcher.decide(now_ms, &directory, &stream("m0", false));
    assert_eq!(decision, expected);
}

/// Guards against an old announcement that hides what the engine has stated since, and the reverse.
#[rstest]
#[case::statement_newer(1_000, 1_200, false)]
#[case::announcement_newer(1_200, 1_000, true)]
fn newest_load_counts(#[case] announced_ms: u64, #[case] stated_ms: u64, #[case] is_full: bool) {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let job = stream("m0", false);
    let engine = UpstreamName::from("e0");
    dispatcher.record_shared_load(announced_ms, &engine, Some(SLOTS));
    let sample = LoadSample {
        running: 0,
        waiting: 0,
        slots: SLOTS,
    };
    dispatcher.reported(stated_ms, &job.service, &engine, sample);
    let decision = dispatcher.decide(1_300, &directory, &job);
    assert_eq!(
        decision == DispatchDecision::Wait(WaitReason::Full),
        is_full
    );
}

/// Guards against counting this VM's own requests twice, or not at all once they have ended.
#[rstest]
fn own_requests_counted() {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let job = stream("m0", false);
    let engine = UpstreamName::from("e0");
    dispatcher.sent(900, &job, &engine);
    dispatcher.record_shared_load(1_000, &engine, Some(SLOTS - 1));
    assert_eq!(
        dispatcher.decide(1_001, &directory, &job),
        DispatchDecision::Send(engine.clone())
    );
    dispatcher.sent(1_001, &job, &engine);
    let full = DispatchDecision::Wait(WaitReason::Full);
    assert_eq!(dispatcher.decide(1_002, &directory, &job), full);
    let answered = UpstreamOutcome::Answered;
    dispatcher.ended(1_003, &job.service, &engine, answered, Some(5));
    assert_eq!(
        dispatcher.decide(1_004, &directory, &job),
        DispatchDecision::Send(engine)
    );
}

/// Guards against an engine that stays full after the holder has ceased to announce it.
#[rstest]
fn unannounced_engine_open() {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let engine = UpstreamName::from("e0");
    dispatcher.record_shared_load(1_000, &engine, Some(SLOTS));
    dispatcher.record_shared_load(1_400, &engine, None);
    let decision = dispatcher.decide(1_401, &directory, &stream("m0", false));
    assert_eq!(decision, DispatchDecision::Send(engine));
}
