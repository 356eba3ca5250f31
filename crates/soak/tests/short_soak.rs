//! Short soaks with fixed seeds. Longer soaks with other seeds are run with the program `soak`.

use std::collections::BTreeSet;

use apricotdale_soak::Attempt;
use apricotdale_soak::Planned;
use apricotdale_soak::Soak;
use apricotdale_soak::SoakOptions;
use apricotdale_soak::Trouble;
use apricotdale_soak::check;
use apricotdale_soak::entry_program;
use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::StreamFault;
use rstest::rstest;

/// Engines of a soak. In a release, several of each software version must serve for a while, or no
/// stream goes on at another engine.
const ENGINES: usize = 6;

/// Attempts to resume a stream that a soak must have.
const MIN_RESUMED: usize = 10;

/// Time at which continuations are spoiled in addition to the plan, before the faults that may leave no
/// two engines for a stream.
const SPOILED_FROM_MS: u64 = 700;

/// Time between two of these faults.
const SPOILED_INTERVAL_MS: usize = 100;

/// Returns faults that cut streams and spoil their continuations at other engines.
fn spoiled_continuations() -> impl Iterator<Item = Planned> {
    let spoiled = [
        StreamFault::SkipsLater,
        StreamFault::BeginsAnew,
        StreamFault::OtherVersion,
    ];
    let times = (SPOILED_FROM_MS..).step_by(SPOILED_INTERVAL_MS);
    times.zip(spoiled).map(|(at_ms, then)| Planned {
        at_ms,
        trouble: Trouble::EnginesAnswer {
            fault: AnswerFault::CutThen { events: 2, then },
            count: 1,
        },
    })
}

#[rstest]
#[case::kills_and_pauses(1, 0)]
#[case::many_at_once(3, 3)]
fn invariants_hold(#[case] seed: u64, #[case] min_faulty_continuations: usize) {
    let options = SoakOptions {
        length_ms: 7_000,
        engines: ENGINES,
        ..SoakOptions::new(entry_program().expect("the program is built"), seed)
    };
    let mut plan = options.plan();
    if min_faulty_continuations > 0 {
        plan.faults.splice(0..0, spoiled_continuations());
    }
    let soak = Soak::carry_out_plan(&options, plan).expect("the soak can be carried out");
    let violations = check(&soak.record);
    assert!(violations.is_empty(), "{violations:#?}\n{:#?}", soak.plan);
    assert!(soak.record.attempts.len() > 200);
    // Requests from an unknown address would escape the promises about engines' notices.
    let unknown = soak.record.arrivals.iter().filter(|it| it.vm.is_none());
    assert_eq!(unknown.count(), 0);
    assert!(soak.record.arrivals.len() > 100);
    // A soak without a refused key or an exceeded limit has not exercised organisations.
    for status in [401, 429] {
        let mut attempts = soak.record.attempts.iter();
        assert!(attempts.any(|it| it.status() == status), "no {status}");
    }
    // Without these, streams of two software versions could not have been mixed up.
    let events = soak.record.attempts.iter().filter_map(Attempt::events);
    let versions: BTreeSet<&str> = events.flat_map(|it| it.software_versions()).collect();
    assert!(versions.len() > 1, "only {versions:?} served");
    let resumed = soak.record.attempts.iter().filter(|it| it.after_event > 0);
    let resumed = resumed.count();
    assert!(resumed >= MIN_RESUMED, "{resumed} resumed");
    let continued = soak.record.continued();
    println!("{continued:?}");
    assert!(
        continued.faulty >= min_faulty_continuations,
        "{continued:?}"
    );
}
