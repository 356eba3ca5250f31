//! Engines of the platform that work at different speeds and state how slow they are.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use apricotdale_standins::platform::Answer;
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::EnginePace;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteRequest;
use apricotdale_standins::platform::SlowPeriods;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const HOUR_MS: u64 = 3_600_000;

const EVENTS: u64 = 5;
const GAP_MS: u64 = 40;

const ALWAYS_SLOW: SlowPeriods = SlowPeriods {
    work_percent: 250,
    period_ms: 600,
    share_percent: 100,
    seed: 0,
};

/// Returns the answer of an engine to a stream, and how long it took.
fn answer(pace: Option<EnginePace>) -> (Answer, Duration) {
    let engine = EngineOptions {
        models: vec!["m0".to_owned()],
        events: EVENTS,
        gap_ms: GAP_MS,
        pace,
        ..EngineOptions::default()
    };
    let options = SiteOptions {
        engines: vec![engine],
        instances: 0,
        ..SiteOptions::default()
    };
    let site = Site::start(options).expect("the site starts");
    let address = site.engine_addresses[0];
    let mut caller = Caller::connect(address, TEST_TIMEOUT).expect("the stand-in listens");
    let sent = Instant::now();
    let answer = caller.ask(&SiteRequest::patient("p1", "m0"));
    (answer.expect("an HTTP answer"), sent.elapsed())
}

/// Guards against a figure that engines state although it was not configured, and against one that
/// is missing or wrong where it was.
#[rstest]
#[case::without_pace(None, "1,0,8")]
#[case::unstated(Some(EnginePace {
    slow_periods: Some(ALWAYS_SLOW),
    ..EnginePace::default()
}), "1,0,8")]
#[case::usual(Some(EnginePace {
    states_work: true,
    ..EnginePace::default()
}), "1,0,8,100")]
#[case::slow_machine(Some(EnginePace {
    speed_percent: 55,
    states_work: true,
    ..EnginePace::default()
}), "1,0,8,100")]
#[case::slow_period(Some(EnginePace {
    slow_periods: Some(ALWAYS_SLOW),
    states_work: true,
    ..EnginePace::default()
}), "1,0,8,250")]
fn stated_load(#[case] pace: Option<EnginePace>, #[case] load: &str) {
    let (answer, _) = answer(pace);
    assert!(answer.is_success());
    assert_eq!(
        answer.header("Apricotdale-Server-Load").as_deref(),
        Some(load)
    );
    assert_eq!(answer.event_ids(), (1..=EVENTS).collect::<Vec<u64>>());
}

/// Guards against a pace that is stated and not kept. Only the least time is checked: a busy
/// machine takes longer.
#[rstest]
#[case::slow_machine(50, None, 0, 2 * EVENTS * GAP_MS)]
#[case::slow_period(100, Some(ALWAYS_SLOW), 0, 5 * EVENTS * GAP_MS / 2)]
#[case::both(50, Some(ALWAYS_SLOW), 0, 5 * EVENTS * GAP_MS)]
#[case::first_event(50, None, 100, 2 * (100 + EVENTS * GAP_MS))]
fn work_time(
    #[case] speed_percent: u32,
    #[case] slow_periods: Option<SlowPeriods>,
    #[case] first_event_ms: u64,
    #[case] least_ms: u64,
) {
    let pace = EnginePace {
        speed_percent,
        first_event_ms,
        slow_periods,
        states_work: false,
    };
    let (answer, took) = answer(Some(pace));
    assert!(answer.is_success());
    assert!(took >= Duration::from_millis(least_ms), "{took:?}");
}

/// Guards against slow periods that are shorter or longer than configured, take another share of
/// the time, or come at regular times.
#[rstest]
fn drawn_periods(#[values(1, 2, 3)] seed: u64) {
    let periods = SlowPeriods {
        seed,
        ..SlowPeriods::default()
    };
    let slow: Vec<u64> = (0..HOUR_MS).filter(|at| periods.is_slow(*at)).collect();
    assert_eq!(slow.len() as u64, HOUR_MS * 15 / 100);
    let runs = slow.chunk_by(|left, right| left + 1 == *right);
    assert!(runs.clone().all(|run| run.len() % 600 == 0));
    let starts: Vec<u64> = runs.map(|run| run[0]).collect();
    let mut gaps: Vec<u64> = starts.windows(2).map(|pair| pair[1] - pair[0]).collect();
    gaps.sort_unstable();
    gaps.dedup();
    assert!(gaps.len() > 300, "{}", gaps.len());
}

/// Guards against engines that are all slow at the same times.
#[test]
fn separate_seeds() {
    let of = |seed| SlowPeriods {
        seed,
        ..SlowPeriods::default()
    };
    let both = (0..HOUR_MS).filter(|at| of(1).is_slow(*at) && of(2).is_slow(*at));
    let share_percent = both.count() as u64 * 100 / HOUR_MS;
    assert!(share_percent < 5, "{share_percent}");
}
