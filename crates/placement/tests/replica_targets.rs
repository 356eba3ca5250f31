//! Number of replicas of a model, by the lateness of its answers.

use apricotdale_placement::ModelLoad;
use apricotdale_placement::ReplicaFactor;
use rstest::rstest;

const SLOTS: u32 = 12;

fn load(active_requests: u32, late_share: f64) -> ModelLoad {
    ModelLoad {
        active_requests,
        replicas: 2,
        slots: SLOTS,
        late_share,
    }
}

/// Updates a factor every 100 ms and returns it.
fn updated(factor: &mut ReplicaFactor, from_ms: u64, for_ms: u64, load: &ModelLoad) -> f64 {
    for now_ms in (from_ms..from_ms + for_ms).step_by(100) {
        factor.update(now_ms, load);
    }
    factor.get()
}

/// Guards against a model whose answers stay late, and against replicas for a model that is late for
/// another reason, such as a load.
#[rstest]
#[case::late_and_busy(10, 0.2, true)]
#[case::late_and_idle(2, 0.2, false)]
#[case::busy_in_time(20, 0.03, false)]
fn late_model_grows(#[case] active: u32, #[case] late_share: f64, #[case] grows: bool) {
    let mut factor = ReplicaFactor::default();
    let after = updated(&mut factor, 10_000, 3_000, &load(active, late_share));
    assert_eq!(after > 1.0, grows);
}

/// Guards against replicas without end while more of them don't help.
#[rstest]
fn growth_bounded() {
    let mut factor = ReplicaFactor::default();
    assert!(updated(&mut factor, 10_000, 60_000, &load(20, 1.0)) <= 3.0);
}

/// Guards against swaps back and forth: replicas stay for 5 s with few late answers.
#[rstest]
#[case::short_calm(4_000, false)]
#[case::long_calm(8_000, true)]
fn calm_model_shrinks(#[case] calm_ms: u64, #[case] shrinks: bool) {
    let mut factor = ReplicaFactor::default();
    let before = updated(&mut factor, 10_000, 3_000, &load(20, 0.5));
    let after = updated(&mut factor, 13_000, calm_ms, &load(20, 0.01));
    assert_eq!(after < before, shrinks);
}

/// Guards against a single late answer that starts the calm time anew only sometimes.
#[rstest]
fn late_answer_restarts_calm() {
    let mut factor = ReplicaFactor::default();
    let before = updated(&mut factor, 10_000, 3_000, &load(20, 0.5));
    updated(&mut factor, 13_000, 4_000, &load(20, 0.01));
    updated(&mut factor, 17_000, 100, &load(20, 0.04));
    let after = updated(&mut factor, 17_100, 4_000, &load(20, 0.01));
    assert!((after - before).abs() < 1e-9);
}
