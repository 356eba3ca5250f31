//! Rate limits that upstreams state: which statement is in force, and where requests go then.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_dispatch::DispatchDecision;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::LimitChange;
use apricotdale_dispatch::LoadForecast;
use apricotdale_dispatch::LoadSample;
use apricotdale_dispatch::RateLimit;
use apricotdale_dispatch::StatedLimit;
use apricotdale_dispatch::StatedLimits;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::RouteKind;
use rstest::rstest;

use support::SLOTS;
use support::call;
use support::directory;
use support::dispatcher;
use support::stream;

const NOW_MS: u64 = 1_000;

fn e0() -> UpstreamName {
    UpstreamName::from("e0")
}

fn limit(per_s: f64) -> RateLimit {
    RateLimit::from_per_s(per_s).expect("a rate")
}

fn announced(per_s: Option<f64>, age_ms: u64) -> StatedLimit {
    StatedLimit {
        upstream: e0(),
        limit: per_s.map(limit),
        age_ms,
    }
}

fn state_limit(dispatcher: &mut Dispatcher, upstream: &str) {
    let upstream = UpstreamName::from(upstream);
    let limits = dispatcher.stated_limits_mut();
    limits.record_answer(NOW_MS, NOW_MS, &upstream, Some(limit(2.0)));
}

fn use_up(dispatcher: &mut Dispatcher, upstream: &str) {
    state_limit(dispatcher, upstream);
    let upstream = UpstreamName::from(upstream);
    let limits = dispatcher.stated_limits_mut();
    limits.record_denial(NOW_MS, &upstream, 400);
}

#[rstest]
#[case::one(1.0, Some(1.0))]
#[case::one_in_two_seconds(0.5, Some(0.5))]
#[case::none_at_all(0.0, Some(0.0))]
#[case::negative(-1.0, None)]
#[case::not_a_number(f64::NAN, None)]
#[case::infinite(f64::INFINITY, None)]
fn valid_rates(#[case] per_s: f64, #[case] expected: Option<f64>) {
    assert_eq!(RateLimit::from_per_s(per_s).map(RateLimit::per_s), expected);
}

/// Guards against treating an upstream with an absurdly high limit as a limited one.
#[test]
fn high_limit_ignored() {
    let mut limits = StatedLimits::new(0);
    let change = limits.record_answer(NOW_MS, NOW_MS, &e0(), Some(limit(1e12)));
    assert_eq!(change, LimitChange::None);
    assert_eq!(limits.limit(&e0()), None);
}

/// Guards against a limit that ends by an answer to a request which was sent before the limit was
/// stated and was overtaken by the statement.
#[test]
fn overtaken_answer() {
    let mut limits = StatedLimits::new(0);
    limits.record_answer(NOW_MS, NOW_MS - 50, &e0(), Some(limit(2.0)));
    let change = limits.record_answer(NOW_MS + 10, NOW_MS - 20, &e0(), None);
    assert_eq!(change, LimitChange::None);
    assert_eq!(limits.limit(&e0()), Some(limit(2.0)));
    let change = limits.record_answer(NOW_MS + 90, NOW_MS + 20, &e0(), None);
    assert_eq!(change, LimitChange::Ended);
    assert_eq!(limits.limit(&e0()), None);
}

/// Guards against an older announcement that undoes what another VM has learned since, in either
/// direction.
#[test]
fn older_announcement_ignored() {
    let mut limits = StatedLimits::new(0);
    let stated = limits.apply(NOW_MS, &announced(Some(2.0), 100));
    assert_eq!(stated, LimitChange::Stated(limit(2.0)));
    let changed = limits.apply(NOW_MS, &announced(Some(1.0), 50));
    assert_eq!(changed, LimitChange::Stated(limit(1.0)));
    for older in [announced(Some(2.0), 100), announced(None, 60)] {
        assert_eq!(limits.apply(NOW_MS, &older), LimitChange::None);
    }
    assert_eq!(
        limits.apply(NOW_MS, &announced(None, 10)),
        LimitChange::Ended
    );
    assert_eq!(
        limits.apply(NOW_MS, &announced(Some(1.0), 20)),
        LimitChange::None
    );
    assert_eq!(limits.limit(&e0()), None);
}

/// A VM announces each change that it has seen itself once; a change that it was told of is not
/// announced again.
#[test]
fn own_changes_announced() {
    let mut limits = StatedLimits::new(0);
    limits.apply(NOW_MS, &announced(Some(2.0), 100));
    assert!(!limits.has_unannounced());
    limits.record_answer(NOW_MS, NOW_MS, &e0(), Some(limit(1.0)));
    assert_eq!(
        limits.take_unannounced(NOW_MS + 5),
        [announced(Some(1.0), 5)]
    );
    limits.record_answer(NOW_MS + 10, NOW_MS, &e0(), Some(limit(1.0)));
    assert!(!limits.has_unannounced());
    assert_eq!(limits.take_refreshed(NOW_MS + 10).len(), 1);
    assert!(limits.take_refreshed(NOW_MS + 10).is_empty());
}

/// Guards against an incarnation that inherits the limit of the one before it.
#[test]
fn removed_upstream_forgotten() {
    let mut dispatcher = dispatcher();
    state_limit(&mut dispatcher, "e0");
    dispatcher.removed(NOW_MS, &e0());
    assert_eq!(dispatcher.stated_limits().limit(&e0()), None);
}

#[test]
fn others_preferred() {
    let directory = directory(&[("e0", "a", &["m0"]), ("e1", "b", &["m0"])]);
    let mut dispatcher = dispatcher();
    state_limit(&mut dispatcher, "e0");
    for _ in 0..20 {
        let decision = dispatcher.decide(NOW_MS, &directory, &stream("m0", false));
        assert_eq!(decision, DispatchDecision::Send(UpstreamName::from("e1")));
    }
}

#[test]
fn limited_if_others_full() {
    let directory = directory(&[("e0", "a", &["m0"]), ("e1", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    state_limit(&mut dispatcher, "e0");
    let full = LoadSample {
        running: SLOTS * 2,
        waiting: SLOTS,
        slots: SLOTS,
        work_percent: 100,
    };
    let job = stream("m0", false);
    dispatcher.reported(NOW_MS, &job.service, &UpstreamName::from("e1"), full);
    let decision = dispatcher.decide(NOW_MS, &directory, &job);
    assert_eq!(decision, DispatchDecision::Send(e0()));
    use_up(&mut dispatcher, "e0");
    let decision = dispatcher.decide(NOW_MS, &directory, &job);
    assert_eq!(decision, DispatchDecision::Wait(WaitReason::Full));
}

/// Guards against a limit that stays in force for good because the upstream gets no request by whose
/// answer it could end it.
#[test]
fn silent_upstream_checked() {
    const LATER_MS: u64 = NOW_MS + 2_000;
    let directory = directory(&[("e0", "a", &["m0"]), ("e1", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    state_limit(&mut dispatcher, "e0");
    let job = stream("m0", false);
    let decision = dispatcher.decide(LATER_MS, &directory, &job);
    assert_eq!(decision, DispatchDecision::Send(e0()));
    let limits = dispatcher.stated_limits_mut();
    limits.record_answer(LATER_MS, LATER_MS, &e0(), Some(limit(2.0)));
    let decision = dispatcher.decide(LATER_MS, &directory, &job);
    assert_eq!(decision, DispatchDecision::Send(UpstreamName::from("e1")));
}

/// Guards against requests that wait until their deadline for engines whose limits are used up,
/// while no load on another engine is planned.
#[rstest]
#[case::just_arrived(100, None, None)]
#[case::load_in_time(600, Some(2_000), None)]
#[case::load_too_late(600, Some(6_000), Some(RefusalReason::UpstreamLimited))]
#[case::no_load_planned(600, None, Some(RefusalReason::UpstreamLimited))]
fn all_used_up(
    #[case] waited_ms: u64,
    #[case] load_in_ms: Option<u64>,
    #[case] refused: Option<RefusalReason>,
) {
    let directory = directory(&[("e0", "a", &["m0"])]);
    let mut dispatcher = dispatcher();
    let job = stream("m0", false);
    let now_ms = job.arrived_ms + waited_ms;
    let limits = dispatcher.stated_limits_mut();
    limits.record_answer(now_ms, now_ms, &e0(), Some(limit(2.0)));
    limits.record_denial(now_ms, &e0(), 400);
    if let Some(in_ms) = load_in_ms {
        let ready_ms = Some(now_ms + in_ms);
        dispatcher.record_forecast(now_ms, "m0".into(), LoadForecast { ready_ms });
    }
    match (dispatcher.decide(now_ms, &directory, &job), refused) {
        (DispatchDecision::Wait(WaitReason::Missing), None) => {}
        (DispatchDecision::Refuse(refusal), Some(reason)) => {
            assert_eq!(refusal.reason, reason);
            assert_eq!(refusal.retry_after_ms, Some(400));
        }
        (decision, _) => panic!("{decision:?}"),
    }
    let decision = dispatcher.decide(now_ms + 400, &directory, &job);
    assert_eq!(decision, DispatchDecision::Send(e0()));
}

/// A plain service has no other instance that could be started, so its requests are refused at once.
#[test]
fn plain_service_refused() {
    let directory = directory(&[]);
    let mut dispatcher = dispatcher();
    for instance in ["p0", "p1"] {
        use_up(&mut dispatcher, instance);
    }
    let decision = dispatcher.decide(NOW_MS, &directory, &call(RouteKind::Idempotent));
    match decision {
        DispatchDecision::Refuse(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::UpstreamLimited);
        }
        decision => panic!("{decision:?}"),
    }
}
