//! Records in which upstreams that state a rate limit get requests.

mod support;

use apricotdale_soak::Disturbance;
use apricotdale_soak::Invariant;
use apricotdale_soak::Kind;
use apricotdale_soak::Place;
use apricotdale_soak::Record;
use apricotdale_soak::StatedLimitSeen;
use apricotdale_soak::fullest_stated_window;
use rstest::rstest;

use support::attempt;
use support::broken_invariants;
use support::disturbance;
use support::run;
use support::valid_record;

const STATED_MS: u64 = 20_000;

/// Returns a record of an engine that states 1 request a second and gets requests at these times.
fn record(times: impl IntoIterator<Item = u64>, disturbances: Vec<Disturbance>) -> Record {
    let mut record = valid_record();
    for (number, at_ms) in times.into_iter().enumerate() {
        let id = format!("s-{number}");
        let mut attempt = attempt(&id, Kind::Look, 200);
        (attempt.sent_ms, attempt.ended_ms) = (at_ms - 10, at_ms + 10);
        record.attempts.push(attempt);
        let mut run = run(&id);
        (run.upstream, run.at_ms) = ("i-1".to_owned(), at_ms);
        record.runs.push(run);
    }
    record.stated_limits = vec![StatedLimitSeen {
        upstream: "i-1".to_owned(),
        milli_per_s: 1_000,
        from_ms: STATED_MS,
        until_ms: STATED_MS + 9_000,
    }];
    record.disturbances = disturbances;
    record
}

/// Guards against a check that misses a broken limit, or that reports requests before the limit
/// binds, after its end, or by VMs that may not know it.
#[rstest]
#[case::allowed(23_000, 11, 300, None, false)]
#[case::too_many(23_000, 12, 300, None, true)]
#[case::spread(23_000, 15, 400, None, false)]
#[case::before_it_binds(20_000, 9, 300, None, false)]
#[case::after_its_end(29_100, 40, 50, None, false)]
#[case::vm_disturbed(23_000, 12, 300, Some(Place::Vm(0)), false)]
#[case::other_vm_disturbed(23_000, 12, 300, Some(Place::Vm(1)), true)]
#[case::store_disturbed(23_000, 12, 300, Some(Place::Store), true)]
fn requests_in_window(
    #[case] from_ms: u64,
    #[case] count: u64,
    #[case] interval_ms: u64,
    #[case] place: Option<Place>,
    #[case] broken: bool,
) {
    let times = (0..count).map(|number| from_ms + number * interval_ms);
    let disturbances = place.map(|place| disturbance(place, from_ms, from_ms + 100));
    let record = record(times, disturbances.into_iter().collect());
    let expected: &[Invariant] = match broken {
        true => &[Invariant::WithinStatedLimits],
        false => &[],
    };
    assert_eq!(broken_invariants(&record), expected);
}

#[test]
fn fullest_window_found() {
    let record = record([23_000, 27_500, 27_600], Vec::new());
    let window = fullest_stated_window(&record).expect("the limit was binding");
    assert_eq!((window.from_ms, window.ran, window.most), (27_500, 2, 11));
}
