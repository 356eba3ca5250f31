//! Processes that were frozen and woke up.

use rstest::rstest;

use apricotdale_membership::Moment;
use apricotdale_membership::PauseDetector;
use apricotdale_membership::PauseVerdict;

mod support;

use support::at;

const LIMIT_MS: u64 = 2_000;

fn moment(monotonic_ms: u64, unix_ms: u64) -> Moment {
    Moment {
        monotonic_ms,
        unix_ms,
    }
}

#[rstest]
#[case::ticks_go_on(moment(1_000, 1_000), None)]
#[case::just_below_the_limit(moment(2_000, 2_000), None)]
#[case::process_was_stopped(moment(9_000, 9_000), Some(9_000))]
#[case::machine_was_suspended(moment(100, 9_000), Some(9_000))]
#[case::unix_time_was_set_forward(moment(1_000, 3_600_000), Some(3_600_000))]
#[case::unix_time_was_set_back(moment(1_000, 0), None)]
#[case::stopped_and_set_back(moment(9_000, 0), Some(9_000))]
fn a_freeze_shows_on_either_clock(#[case] next: Moment, #[case] paused_ms: Option<u64>) {
    let mut detector = PauseDetector::new(LIMIT_MS);
    assert_eq!(detector.observe(moment(0, 0)), PauseVerdict::Running);
    let expected = paused_ms.map_or(PauseVerdict::Running, |paused_ms| PauseVerdict::Paused {
        paused_ms,
    });
    assert_eq!(detector.observe(next), expected);
}

/// Symptom: a VM that was frozen carries out an order that another one has taken over.
/// Sequence: it is frozen between a tick and the act, and goes on where it stopped.
/// Cause: it acts on what it believed before the freeze.
#[test]
fn a_process_that_wakes_reads_the_log_before_it_acts() {
    let mut detector = PauseDetector::new(LIMIT_MS);
    assert!(detector.may_act(at(0)));
    assert!(
        !detector.may_act(at(60_000)),
        "noticed by the act itself, without a tick"
    );
    assert!(!detector.may_act(at(60_100)), "time alone does not open it");
    detector.record_log_read(at(100));
    assert!(
        !detector.may_act(at(60_200)),
        "a read from before the freeze proves nothing"
    );
    detector.record_log_read(at(60_250));
    assert!(detector.may_act(at(60_300)));
}

#[test]
fn a_second_freeze_during_the_read_needs_a_second_read() {
    let mut detector = PauseDetector::new(LIMIT_MS);
    detector.observe(at(0));
    detector.observe(at(60_000));
    let began = at(60_100);
    detector.observe(at(90_000));
    detector.record_log_read(began);
    assert!(!detector.may_act(at(90_100)));
    detector.record_log_read(at(90_200));
    assert!(detector.may_act(at(90_300)));
}
