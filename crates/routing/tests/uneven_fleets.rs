//! Routing to engines of uneven speed, in simulations of randomly drawn fleets and by weights.

use rstest::rstest;

use apricotdale_core::policy::Candidate;
use apricotdale_core::policy::RouteRequest;
use apricotdale_routing::CorrectedLoad;
use apricotdale_routing::Options;
use apricotdale_routing::UpstreamSpeeds;

mod support;

use support::candidates;
use support::uneven_fleet::Known;
use support::uneven_fleet::UnevenFleet;
use support::uneven_fleet::simulate;

const UNKNOWN: Known = Known {
    lasting: false,
    present: false,
};

const ALL_KNOWN: Known = Known {
    lasting: true,
    present: true,
};

/// Returns how often each candidate is chosen among choices without requests in progress, in
/// percent.
fn shares(now_ms: u64, candidates: &[Candidate], speeds: &UpstreamSpeeds) -> Vec<f64> {
    const CHOICES: u32 = 4_000;
    let mut policy = CorrectedLoad::new(Options::default());
    let mut counts = vec![0; candidates.len()];
    for _ in 0..CHOICES {
        let request = RouteRequest::default();
        let chosen = policy.choose_by_speed(now_ms, &request, candidates, speeds);
        counts[chosen.expect("a candidate")] += 1;
    }
    let share = |count: u32| 100.0 * f64::from(count) / f64::from(CHOICES);
    counts.into_iter().map(share).collect()
}

/// Guards against equal shares for engines of different speed: the first of two engines has a
/// lasting speed and has stated a work time, and gets the share that its speed is of both.
#[rstest]
#[case::unknown(100, 100, 0, 50.0)]
#[case::slow(55, 100, 0, 35.5)]
#[case::fast(120, 100, 0, 54.5)]
#[case::slow_period(100, 250, 0, 28.6)]
#[case::aging_slow_period(100, 250, 300, 36.4)]
#[case::ended_slow_period(100, 250, 600, 50.0)]
#[case::slow_in_slow_period(55, 250, 0, 18.0)]
#[case::fast_period(100, 50, 0, 66.7)]
#[case::least_speed(0, 100, 0, 9.1)]
#[case::largest_work(100, 10_000, 0, 1.0)]
#[case::work_too_small(100, 9, 0, 50.0)]
#[case::work_too_large(100, 10_001, 0, 50.0)]
fn share_by_speed(
    #[case] speed_percent: u32,
    #[case] work_percent: u32,
    #[case] age_ms: u64,
    #[case] expected: f64,
) {
    let candidates = candidates(2, 1);
    let mut speeds = UpstreamSpeeds::default();
    speeds.record_lasting(&candidates[0].upstream, speed_percent);
    speeds.record_work(5_000, &candidates[0].upstream, work_percent);
    let shares = shares(5_000 + age_ms, &candidates, &speeds);
    assert!((shares[0] - expected).abs() < 2.5, "{shares:?}");
}

/// Guards against a slow period that goes on counting after the engine has stated its end.
#[test]
fn stated_end() {
    let candidates = candidates(2, 1);
    let mut speeds = UpstreamSpeeds::default();
    speeds.record_work(5_000, &candidates[0].upstream, 250);
    speeds.record_work(5_050, &candidates[0].upstream, 100);
    let shares = shares(5_050, &candidates, &speeds);
    assert!((shares[0] - 50.0).abs() < 2.5, "{shares:?}");
}

/// Returns the 99th percentile of the answers, with the speeds known and without.
fn late_answers_ms(fleet: UnevenFleet) -> (u64, u64) {
    let without = UnevenFleet {
        known: UNKNOWN,
        ..fleet
    };
    let percentiles = [fleet, without].map(|it| simulate(it).percentile_ms(99));
    (percentiles[0], percentiles[1])
}

/// Guards against first answers that wait in the queues of slow engines: VMs that hear little of an
/// engine send it as much as the fast ones, and it works on less.
#[rstest]
#[case::usual_load(60, 0.6)]
#[case::high_load(60, 0.75)]
#[case::many_vms(300, 0.6)]
fn first_answers(#[case] vms: usize, #[case] load: f64, #[values(0, 1, 2, 3, 4)] seed: u64) {
    let fleet = UnevenFleet {
        known: ALL_KNOWN,
        vms,
        load,
        uneven: true,
        seed,
    };
    let (with_ms, without_ms) = late_answers_ms(fleet);
    assert!(10 * with_ms <= 9 * without_ms, "{with_ms} {without_ms}");
}

/// Guards against speeds that do harm where each VM hears much of every engine, and balances the
/// load by what it hears.
#[rstest]
fn few_vms(#[values(0, 1, 2)] seed: u64) {
    let fleet = UnevenFleet {
        known: ALL_KNOWN,
        vms: 6,
        load: 0.75,
        uneven: true,
        seed,
    };
    let (with_ms, without_ms) = late_answers_ms(fleet);
    assert!(100 * with_ms <= 105 * without_ms, "{with_ms} {without_ms}");
}

/// Guards against other choices in a fleet of equal engines, whose statements all say 100.
#[test]
fn equal_engines() {
    let fleet = UnevenFleet {
        known: ALL_KNOWN,
        vms: 60,
        load: 0.75,
        uneven: false,
        seed: 3,
    };
    let without = simulate(UnevenFleet {
        known: UNKNOWN,
        ..fleet
    });
    assert_eq!(simulate(fleet), without);
}
