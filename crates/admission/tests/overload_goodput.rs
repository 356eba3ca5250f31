//! Requests answered in time under overload, in a simulation of one queue.

use rstest::rstest;

use apricotdale_admission::Options;
use apricotdale_admission::admission_policy;
use apricotdale_core::policy::AdmissionPolicy;
use apricotdale_core::policy::Arrival;

mod support;

use support::Simulation;
use support::Source;
use support::offers;

const SLOTS: u32 = 8;

fn earliest_deadline() -> Box<dyn AdmissionPolicy> {
    admission_policy("earliest_deadline", Options::default()).expect("a known policy")
}

fn quick(caller: &'static str, per_s: f64) -> Source {
    Source {
        class: "quick",
        caller,
        per_s,
        run_ms: 500,
        expected_ms: 500,
        target_ms: 1_300,
        from_ms: 0,
        to_ms: 120_000,
    }
}

fn replan(per_s: f64) -> Source {
    Source {
        class: "re-plan",
        run_ms: 8_000,
        expected_ms: 8_000,
        target_ms: 60_000,
        ..quick("fyn", per_s)
    }
}

/// Guards against keeping requests waiting until their deadlines under overload, only to refuse
/// them then: a forecast of the wait must refuse them on arrival.
#[rstest]
fn overload(#[values(1.5, 2.0, 4.0)] load: f64) {
    let offers = offers(11, &[quick("fyn", load * 16.0)]);
    let outcome = Simulation::run(earliest_deadline().as_mut(), &[(0, SLOTS, None)], &offers);
    let counts = outcome.of_class(&offers, "quick");
    let fits = 16 * 120;
    assert!(counts.in_time >= fits * 95 / 100, "{counts:?}");
    assert_eq!(
        (counts.late, counts.refused_after_deadline),
        (0, 0),
        "{counts:?}"
    );
    let mean_wait_ms = counts.waits_for_refusal_ms / u64::from(counts.refused);
    assert!(mean_wait_ms < 20, "{counts:?}");
    assert!(outcome.max_running <= SLOTS as usize);
}

/// Guards against relying on expected run times that are a third, or three times, of the real ones:
/// requests would wait and be refused late, or slots would be idle.
#[rstest]
fn wrong_expectations(#[values(0.3, 3.0)] factor: f64) {
    let source = Source {
        expected_ms: (500.0 * factor) as u64,
        ..quick("fyn", 32.0)
    };
    let offers = offers(12, &[source]);
    let outcome = Simulation::run(earliest_deadline().as_mut(), &[(0, SLOTS, None)], &offers);
    let counts = outcome.of_class(&offers, "quick");
    assert!(counts.in_time >= 16 * 120 * 95 / 100, "{counts:?}");
    let mean_wait_ms = counts.waits_for_refusal_ms / u64::from(counts.refused);
    assert!(mean_wait_ms < 20, "{counts:?}");
}

/// Guards against starving re-plans, whose deadlines are far away, by a constant overload of quick
/// requests.
#[rstest]
fn quick_overload(#[values(40.0, 100.0)] per_s: f64) {
    let offers = offers(13, &[quick("fyn", per_s), replan(0.1)]);
    let outcome = Simulation::run(earliest_deadline().as_mut(), &[(0, SLOTS, None)], &offers);
    let replans = outcome.of_class(&offers, "re-plan");
    assert_eq!(replans.in_time, replans.offered, "{replans:?}");
    let mut waits_ms = replans.waits_to_start_ms;
    waits_ms.sort_unstable();
    assert!(waits_ms[waits_ms.len() / 2] < 30_000, "{waits_ms:?}");
    let quick = outcome.of_class(&offers, "quick");
    assert!(quick.in_time >= 16 * 120 * 75 / 100, "{quick:?}");
}

/// Guards against refusing quick requests for minutes while re-plans at a multiple of the capacity
/// take every slot for eight seconds each: some slots must stay free for requests that can't wait
/// for a long run to end.
#[rstest]
fn replan_overload(#[values(4.0, 20.0)] per_s: f64) {
    let offers = offers(14, &[quick("fyn", 2.0), replan(per_s)]);
    let outcome = Simulation::run(earliest_deadline().as_mut(), &[(0, SLOTS, None)], &offers);
    // Until the first quick request has arrived, re-plans may have taken every slot for one run.
    let seen = |arrival: &Arrival| arrival.deadline_ms > 12_000 + 1_300;
    let quick = outcome.counts(&offers, |arrival| {
        arrival.class.as_str() == "quick" && seen(arrival)
    });
    assert!(quick.in_time * 100 >= quick.offered * 98, "{quick:?}");
    let replans = outcome.of_class(&offers, "re-plan");
    assert!(replans.in_time >= 8 * 120 / 8 * 75 / 100, "{replans:?}");
}

/// Guards against one caller whose batch job displaces the other callers of its class.
#[test]
fn flooding_caller() {
    let sources = [
        quick("flood", 60.0),
        quick("small", 1.0),
        quick("other", 2.0),
    ];
    let offers = offers(15, &sources);
    let outcome = Simulation::run(earliest_deadline().as_mut(), &[(0, SLOTS, None)], &offers);
    for caller in ["small", "other"] {
        let counts = outcome.of_caller(&offers, caller);
        assert!(
            counts.in_time * 100 >= counts.offered * 98,
            "{caller} {counts:?}"
        );
    }
    let flood = outcome.of_caller(&offers, "flood");
    assert!(flood.in_time >= 13 * 120 * 90 / 100, "{flood:?}");
}

#[test]
fn single_caller() {
    let offers = offers(16, &[quick("flood", 15.0)]);
    let outcome = Simulation::run(earliest_deadline().as_mut(), &[(0, SLOTS, None)], &offers);
    let counts = outcome.of_caller(&offers, "flood");
    assert!(counts.in_time * 100 >= counts.offered * 98, "{counts:?}");
}

/// Guards against keeping admitted requests waiting until their deadlines for slots that were lost
/// with a replica.
#[test]
fn lost_slots() {
    let offers = offers(17, &[replan(2.0)]);
    let capacities = [(0, SLOTS, None), (60_000, 1, None)];
    let outcome = Simulation::run(earliest_deadline().as_mut(), &capacities, &offers);
    let counts = outcome.of_class(&offers, "re-plan");
    assert_eq!(
        (counts.late, counts.refused_after_deadline),
        (0, 0),
        "{counts:?}"
    );
    let refused_at_loss = outcome.refused_between(60_000, 60_100);
    assert!(
        refused_at_loss >= 20,
        "{refused_at_loss} refused, {counts:?}"
    );
}
