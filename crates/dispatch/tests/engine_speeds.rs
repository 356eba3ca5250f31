//! Choice among engines of different speeds.

mod support;

use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::DispatchDecision;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::LoadSample;
use rstest::rstest;

use support::SLOTS;
use support::directory;
use support::dispatcher;
use support::stream;

const NOW_MS: u64 = 1_000;

/// Largest deviation of a share that the number of choices allows.
const TOLERANCE_PERCENT: f64 = 3.5;

fn slow() -> UpstreamName {
    UpstreamName::from("e0")
}

/// Returns how many of the requests for a model that two engines hold the first one gets, in
/// percent. The requests end before the next one.
fn share_of_first(dispatcher: &mut Dispatcher, now_ms: u64) -> f64 {
    const CHOICES: u32 = 2_000;
    let directory = directory(&[("e0", "a", &["m0"]), ("e1", "a", &["m0"])]);
    let mut chosen = 0;
    for _ in 0..CHOICES {
        match dispatcher.decide(now_ms, &directory, &stream("m0", false)) {
            DispatchDecision::Send(upstream) => chosen += u32::from(upstream == slow()),
            other => panic!("{other:?}"),
        }
    }
    100.0 * f64::from(chosen) / f64::from(CHOICES)
}

fn report(dispatcher: &mut Dispatcher, now_ms: u64, engine: &str, work_percent: u32) {
    let service = stream("m0", false).service;
    let sample = LoadSample {
        running: 0,
        waiting: 0,
        slots: SLOTS,
        work_percent,
    };
    dispatcher.reported(now_ms, &service, &UpstreamName::from(engine), sample);
}

fn assert_share(share: f64, expected: f64) {
    assert!((share - expected).abs() < TOLERANCE_PERCENT, "{share}");
}

/// Guards against a slow engine that gets as many requests as the others from VMs that hear too
/// little of it to notice.
#[rstest]
#[case::usual(100, 50.0)]
#[case::slow(55, 35.5)]
#[case::fast(120, 54.5)]
fn lasting_speed(#[case] speed_percent: u32, #[case] expected: f64) {
    let mut dispatcher = dispatcher();
    dispatcher.record_speed(&slow(), speed_percent);
    assert_share(share_of_first(&mut dispatcher, NOW_MS), expected);
}

/// Guards against requests that are sent to an engine in a slow period that it states, and against
/// a statement that counts longer than such periods last.
#[rstest]
#[case::new_statement(0, 28.6)]
#[case::aging_statement(300, 36.4)]
#[case::outdated_statement(600, 50.0)]
fn stated_work(#[case] age_ms: u64, #[case] expected: f64) {
    let mut dispatcher = dispatcher();
    report(&mut dispatcher, NOW_MS, "e0", 250);
    report(&mut dispatcher, NOW_MS, "e1", 100);
    assert_share(share_of_first(&mut dispatcher, NOW_MS + age_ms), expected);
}

/// Guards against a lasting speed that is lost when failures of this VM's path are forgiven.
#[test]
fn kept_when_forgiven() {
    let mut dispatcher = dispatcher();
    dispatcher.record_speed(&slow(), 55);
    dispatcher.forgive(NOW_MS, &slow());
    assert_share(share_of_first(&mut dispatcher, NOW_MS), 35.5);
}

/// Guards against the speed of an earlier run of an engine that is taken for that of its next one.
#[test]
fn forgotten_when_removed() {
    let mut dispatcher = dispatcher();
    dispatcher.record_speed(&slow(), 55);
    report(&mut dispatcher, NOW_MS, "e0", 250);
    dispatcher.removed(NOW_MS, &slow());
    assert_share(share_of_first(&mut dispatcher, NOW_MS), 50.0);
}

/// Guards against a speed that hides the only engine that can run a request: speeds choose among
/// engines, and never make a request wait.
#[test]
fn only_engine() {
    let directory = directory(&[("e0", "a", &["m0"]), ("e1", "a", &["m1"])]);
    let mut dispatcher = dispatcher();
    dispatcher.record_speed(&slow(), 0);
    report(&mut dispatcher, NOW_MS, "e0", 10_000);
    for _ in 0..20 {
        let decision = dispatcher.decide(NOW_MS, &directory, &stream("m0", false));
        assert_eq!(decision, DispatchDecision::Send(slow()));
    }
}
