//! Turns of the models that share an engine.

use apricotdale_placement::is_in_turn;
use rstest::rstest;

/// Guards against a model that is unloaded in the moment in which its load has ended, and against one that
/// keeps its engine for good.
#[rstest]
#[case::just_loaded(1_000, true)]
#[case::in_turn(1_249, true)]
#[case::over(1_250, false)]
fn turn_ends(#[case] now_ms: u64, #[case] expected: bool) {
    assert_eq!(is_in_turn(now_ms, Some(1_000)), expected);
}

/// Guards against models that a new lease holder never evicts, since it does not know when they were
/// loaded.
#[rstest]
fn unknown_load_not_in_turn() {
    assert!(!is_in_turn(1_000, None));
}
