//! Decisions to send a request, to keep it waiting, or to refuse it.

mod support;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::refusal::Ran;
use apricotdale_core::refusal::Refusal;
use apricotdale_dispatch::DispatchDecision;
use apricotdale_dispatch::Job;
use apricotdale_dispatch::LoadForecast;
use apricotdale_dispatch::LoadSample;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::RouteKind;
use apricotdale_fleet::WantedModel;
use rstest::rstest;

use support::SLOTS;
use support::call;
use support::directory;
use support::dispatcher;
use support::stream;

#[test]
fn engine_with_model() {
    let directory = directory(&[("e0", "a", &["m0"]), ("e1", "a", &["m1"])]);
    let mut dispatcher = dispatcher();
    for _ in 0..20 {
        let verdict = dispatcher.decide(1_000, &directory, &stream("m1", false));
        assert_eq!(verdict, DispatchDecision::Send(UpstreamName::from("e1")));
    }
}

#[test]
fn missing_adapter() {
    let mut directory = directory(&[("e0", "a", &["m0"])]);
    let mut job = stream("m0", false);
    let adapter = ModelName::from("a1");
    job.wanted = Some(WantedModel {
        model: ModelName::from("m0"),
        adapter: Some(adapter.clone()),
    });
    let mut dispatcher = dispatcher();
    let verdict = dispatcher.decide(1_000, &directory, &job);
    assert_eq!(verdict, DispatchDecision::Wait(WaitReason::Missing));
    let engine = directory
        .upstream_mut(&UpstreamName::from("e0"))
        .expect("listed");
    engine
        .residence
        .record_adapter_loaded(&ModelName::from("m0"), &adapter);
    let verdict = dispatcher.decide(1_000, &directory, &job);
    assert_eq!(verdict, DispatchDecision::Send(UpstreamName::from("e0")));
}

/// Guards against requests that queue at a full engine while another has free slots: the VM sends
/// no more than the slots, less the other VMs' requests in the engine's report.
#[rstest]
#[case::local_requests(SLOTS, 0)]
#[case::reported(0, SLOTS)]
#[case::both(1, SLOTS - 1)]
fn full_engine(#[case] own: u32, #[case] others: u32) {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let job = stream("m0", false);
    let engine = UpstreamName::from("e0");
    if others > 0 {
        let sample = LoadSample {
            running: others,
            waiting: 0,
            slots: SLOTS,
            work_percent: 100,
        };
        dispatcher.reported(1_000, &job.service, &engine, sample);
    }
    for _ in 0..own {
        dispatcher.sent(1_000, &job, &engine);
    }
    let full = DispatchDecision::Wait(WaitReason::Full);
    assert_eq!(dispatcher.decide(1_001, &directory, &job), full);
    if own > 0 {
        dispatcher.ended(
            1_002,
            &job.service,
            &engine,
            UpstreamOutcome::Answered,
            Some(5),
        );
        assert_eq!(
            dispatcher.decide(1_003, &directory, &job),
            DispatchDecision::Send(engine)
        );
    }
}

/// Guards against holding requests back because of a report whose requests may have ended.
#[test]
fn expired_report() {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let job = stream("m0", false);
    let engine = UpstreamName::from("e0");
    let sample = LoadSample {
        running: SLOTS,
        waiting: 9,
        slots: SLOTS,
        work_percent: 100,
    };
    dispatcher.reported(1_000, &job.service, &engine, sample);
    assert_eq!(
        dispatcher.decide(1_100, &directory, &job),
        DispatchDecision::Wait(WaitReason::Full)
    );
    assert_eq!(
        dispatcher.decide(2_600, &directory, &job),
        DispatchDecision::Send(engine)
    );
}

#[test]
fn missing_model_waits() {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let verdict = dispatcher.decide(1_000, &directory, &stream("m2", false));
    assert_eq!(verdict, DispatchDecision::Wait(WaitReason::Missing));
}

/// Guards against holding a request until its deadline whose model can't be loaded in time: it is
/// refused at once.
#[test]
fn model_too_late() {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let forecast = LoadForecast {
        ready_ms: Some(5_900),
    };
    dispatcher.record_forecast(1_000, ModelName::from("m2"), forecast);
    match dispatcher.decide(1_000, &directory, &stream("m2", false)) {
        DispatchDecision::Refuse(refusal) => assert_eq!(refusal.ran, Ran::NotRun),
        other => panic!("{other:?}"),
    }
}

#[test]
fn model_in_time() {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let forecast = LoadForecast {
        ready_ms: Some(4_000),
    };
    dispatcher.record_forecast(1_000, ModelName::from("m2"), forecast);
    let verdict = dispatcher.decide(1_000, &directory, &stream("m2", false));
    assert_eq!(verdict, DispatchDecision::Wait(WaitReason::Missing));
}

#[test]
fn unconfigured_model() {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let verdict = dispatcher().decide(1_000, &directory, &stream("other", false));
    assert!(
        matches!(verdict, DispatchDecision::Refuse(refusal) if refusal.retry_after_ms.is_none())
    );
}

#[test]
fn deadline_reached() {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let verdict = dispatcher().decide(5_990, &directory, &stream("m0", false));
    assert!(matches!(verdict, DispatchDecision::Refuse(refusal) if refusal.ran == Ran::NotRun));
}

/// Guards against a refusal that says "not run" after a send that may have run.
#[rstest]
#[case::unconfigured("other", 1_000)]
#[case::load_too_late("m2", 1_000)]
#[case::no_time_to_run("m1", 5_800)]
#[case::deadline_reached("m0", 5_990)]
fn refusal_after_run(#[case] model: &str, #[case] now_ms: u64) {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let forecast = LoadForecast {
        ready_ms: Some(5_900),
    };
    dispatcher.record_forecast(now_ms, ModelName::from("m2"), forecast);
    let job = Job {
        runs: 1,
        ..stream(model, true)
    };
    let verdict = dispatcher.decide(now_ms, &directory, &job);
    let claims_to_know =
        |refusal: &Refusal| refusal.ran != Ran::Unknown || refusal.retry_after_ms.is_some();
    assert!(
        matches!(&verdict, DispatchDecision::Refuse(refusal) if !claims_to_know(refusal)),
        "{verdict:?}"
    );
}

#[test]
fn instances_share_calls() {
    let directory = directory(&[]);
    let mut dispatcher = dispatcher();
    let job = call(RouteKind::Idempotent);
    let mut chosen = std::collections::BTreeSet::new();
    for _ in 0..4 {
        if let DispatchDecision::Send(upstream) = dispatcher.decide(1_000, &directory, &job) {
            dispatcher.sent(1_000, &job, &upstream);
            chosen.insert(upstream.to_string());
        }
    }
    assert_eq!(chosen.len(), 2);
}

/// Guards against a crashed engine that is still listed and counts as holding its models, so that
/// they are loaded on no other engine.
#[test]
fn unreachable_engine() {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let engine = UpstreamName::from("e0");
    assert!(dispatcher.record_unreachable(1_000, &engine));
    assert!(!dispatcher.record_unreachable(1_001, &engine));
    let job = stream("m0", false);
    let missing = DispatchDecision::Wait(WaitReason::Missing);
    assert_eq!(dispatcher.decide(1_100, &directory, &job), missing);
    assert_eq!(
        dispatcher.decide(1_500, &directory, &job),
        DispatchDecision::Send(engine.clone())
    );
    dispatcher.record_unreachable(1_500, &engine);
    assert_eq!(dispatcher.decide(2_400, &directory, &job), missing);
    dispatcher.ended(
        2_400,
        &job.service,
        &engine,
        UpstreamOutcome::Answered,
        None,
    );
    assert_eq!(
        dispatcher.decide(2_401, &directory, &job),
        DispatchDecision::Send(engine)
    );
}

#[test]
fn unreachable_instances() {
    let directory = directory(&[]);
    let mut dispatcher = dispatcher();
    for name in ["p0", "p1"] {
        dispatcher.record_unreachable(1_000, &UpstreamName::from(name));
    }
    let verdict = dispatcher.decide(1_001, &directory, &call(RouteKind::Idempotent));
    assert!(matches!(verdict, DispatchDecision::Send(_)));
}

/// Guards against a second attempt at the upstream whose answer was unusable while the other one is
/// full for a moment, and against a request that waits for that one until it is too late.
#[test]
fn unusable_upstream_avoided() {
    let directory = directory(&[("e0", "a", &["m0"]), ("e1", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let job = Job {
        unusable: vec!["e0".into()],
        tried: vec!["e0".into()],
        runs: 1,
        ..stream("m0", true)
    };
    let send = |to: &str| DispatchDecision::Send(to.into());
    assert_eq!(dispatcher.decide(1_000, &directory, &job), send("e1"));
    for _ in 0..SLOTS {
        dispatcher.sent(1_000, &stream("m0", true), &"e1".into());
    }
    let wait = DispatchDecision::Wait(WaitReason::Full);
    assert_eq!(dispatcher.decide(1_000, &directory, &job), wait);
    let late_ms = job.deadline_ms - job.expected_run_ms;
    assert_eq!(dispatcher.decide(late_ms, &directory, &job), send("e0"));
}
