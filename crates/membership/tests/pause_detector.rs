//! Detection of process pauses.

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
#[case::regular_ticks(moment(1_000, 1_000), None)]
#[case::below_limit(moment(2_000, 2_000), None)]
#[case::process_paused(moment(9_000, 9_000), Some(9_000))]
#[case::machine_suspended(moment(100, 9_000), Some(9_000))]
#[case::unix_time_forward(moment(1_000, 3_600_000), Some(3_600_000))]
#[case::unix_time_back(moment(1_000, 0), None)]
#[case::paused_and_back(moment(9_000, 0), Some(9_000))]
fn pause_detected(#[case] next: Moment, #[case] paused_ms: Option<u64>) {
    let mut detector = PauseDetector::new(LIMIT_MS);
    assert_eq!(detector.observe(moment(0, 0)), PauseVerdict::Running);
    let expected = paused_ms.map_or(PauseVerdict::Running, |paused_ms| PauseVerdict::Paused {
        paused_ms,
    });
    assert_eq!(detector.observe(next), expected);
}

/// Guards against a VM that executes an order after a pause although another VM has taken the
/// intent over. The process is paused between a tick and the action, and resumes with outdated
/// state.
#[test]
fn reread_after_pause() {
    let mut detector = PauseDetector::new(LIMIT_MS);
    assert!(detector.may_act(at(0)));
    assert!(
        !detector.may_act(at(60_000)),
        "detected by the check itself, without a tick"
    );
    assert!(!detector.may_act(at(60_100)), "time alone does not suffice");
    detector.record_log_read(at(100));
    assert!(
        !detector.may_act(at(60_200)),
        "a read from before the pause has no effect"
    );
    detector.record_log_read(at(60_250));
    assert!(detector.may_act(at(60_300)));
}

#[test]
fn second_pause() {
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
