//! Random search over orders of crashes, messages, restarts and retries at many VMs.
//!
//! Each VM is a [`CrashWatch`]. Engines, links between VMs and clocks are simulated: datagrams are
//! late, lost and duplicated, and VMs are paused, restarted and cut off. Requests come in many
//! copies, whose callers retry. Some of them crash each engine that runs them. Models have one
//! engine or several. An engine that has crashed is replaced after a load, for which copies wait at
//! their VMs.

mod courses;
mod fleet;
mod messages;
mod parts;
mod policies;

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use crate::courses::CRASHERS;
use crate::courses::Course;
use crate::courses::dense_course;
use crate::courses::sparse_course;
use crate::fleet::Fleet;
use crate::policies::Policy;
use crate::policies::crasher;

const MAX_LATE_SENDS: usize = 3;

/// Number of courses on which the strategies are compared.
const COMPARED_COURSES: usize = 60;

fn max_late_sends(fleet: &Fleet) -> usize {
    let late = (0..CRASHERS).map(|which| fleet.late_sends(which));
    late.max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(33),
        failure_persistence: None,
        ..ProptestConfig::with_cases(96)
    })]

    /// Guards against a request that continues to crash engines, under any order of events.
    #[test]
    fn crashers_stopped(course in dense_course()) {
        let late = max_late_sends(&course.simulate(Policy::OnePerFleet));
        prop_assert!(late <= MAX_LATE_SENDS, "sent {late} times too late");
    }

    /// Guards against blocking requests that were in progress beside crashing ones.
    #[test]
    fn bystanders_unblocked(course in sparse_course()) {
        let fleet = course.simulate(Policy::OnePerFleet);
        let late = max_late_sends(&fleet);
        prop_assert!(late <= MAX_LATE_SENDS, "sent {late} times too late");
        let blocked = &fleet.harmless_blocked;
        prop_assert!(blocked.is_empty(), "{blocked:?}");
    }
}

/// Sums over some courses.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    courses: usize,
    violated: usize,
    engines_ended: usize,
    copies_ended: usize,
    harmless_lost: usize,
    harmless_blocked: usize,
    waited_ms: u64,
}

fn outcome(policy: Policy, courses: &[Course]) -> Outcome {
    let mut outcome = Outcome::default();
    for course in courses {
        let fleet = course.simulate(policy);
        outcome.courses += 1;
        outcome.violated += usize::from(max_late_sends(&fleet) > MAX_LATE_SENDS);
        let ends = (0..CRASHERS).filter_map(|which| fleet.ended.get(&crasher(which)));
        for ends in ends {
            outcome.copies_ended += ends.len();
            let moments: BTreeSet<u64> = ends.iter().map(|(at_ms, _)| *at_ms).collect();
            outcome.engines_ended += moments.len();
        }
        outcome.harmless_lost += fleet.harmless_lost.len();
        outcome.harmless_blocked += fleet.harmless_blocked.len();
        outcome.waited_ms += fleet.waited_ms;
    }
    outcome
}

/// Guards against blocking harmless requests where many copies run at few engines.
#[test]
fn false_blocks() {
    let mut runner = TestRunner::deterministic();
    let strategy = dense_course();
    let courses: Vec<Course> = (0..COMPARED_COURSES)
        .map(|_| strategy.new_tree(&mut runner).expect("a course").current())
        .collect();
    for policy in [Policy::CountOnly, Policy::OnePerVm, Policy::OnePerFleet] {
        let outcome = outcome(policy, &courses);
        println!("{policy:?}: {outcome:?}");
        if policy == Policy::OnePerFleet {
            assert_eq!(outcome.violated, 0);
            assert!(outcome.harmless_lost > 1_000);
            assert!(outcome.harmless_blocked * 200 <= outcome.harmless_lost);
        }
    }
}
