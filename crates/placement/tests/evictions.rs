//! Choice of the models that an engine evicts, on engines that many models share.

use apricotdale_placement::EvictionCandidate;
use apricotdale_placement::EvictionChoices;
use apricotdale_placement::EvictionOptions;
use rstest::rstest;

const SMALL_MB: f64 = 34_300.0;
const MEDIUM_MB: f64 = 65_500.0;
const LARGE_MB: f64 = 72_700.0;

fn candidate(keep_value: f64, size_mb: f64, running: u32) -> EvictionCandidate {
    EvictionCandidate {
        keep_value,
        size_mb,
        running,
        in_turn: false,
    }
}

fn choices(candidates: &[EvictionCandidate], free_mb: f64) -> EvictionChoices {
    EvictionChoices::new(candidates, free_mb, SMALL_MB, EvictionOptions::default())
}

/// Returns the indices of the evicted models; none if nothing can be evicted.
fn victims(candidates: &[EvictionCandidate], free_mb: f64, size_mb: f64) -> Option<Vec<usize>> {
    let choices = choices(candidates, free_mb);
    let (eviction, _) = choices.cheapest(size_mb, f64::INFINITY)?;
    Some(eviction.victims().collect())
}

/// Guards against an unload that blocks the engine while another model could go at once: models that are
/// asked for equally often, one of which has running requests.
#[rstest]
#[case::first_runs(2, 0, vec![1])]
#[case::second_runs(0, 1, vec![0])]
fn idle_model_evicted(#[case] first: u32, #[case] second: u32, #[case] expected: Vec<usize>) {
    let candidates = [
        candidate(0.66, MEDIUM_MB, first),
        candidate(0.7, MEDIUM_MB, second),
    ];
    assert_eq!(victims(&candidates, 0.0, MEDIUM_MB), Some(expected));
}

/// Guards against a model in much demand that is evicted because another one has a request running.
#[rstest]
fn wanted_model_kept() {
    let candidates = [candidate(20.0, LARGE_MB, 0), candidate(0.5, LARGE_MB, 1)];
    assert_eq!(victims(&candidates, 0.0, LARGE_MB), Some(vec![1]));
}

/// Guards against evicting more than the load needs: the least valuable models first would drop the small
/// one for nothing.
#[rstest]
fn no_needless_eviction() {
    let candidates = [candidate(0.1, SMALL_MB, 0), candidate(0.6, LARGE_MB, 0)];
    assert_eq!(victims(&candidates, 0.0, LARGE_MB), Some(vec![1]));
}

/// Guards against memory that no model fits into any more: between equal victims, the one of the size of
/// the new model goes.
#[rstest]
fn little_memory_stranded() {
    let candidates = [candidate(0.6, LARGE_MB, 0), candidate(0.6, MEDIUM_MB, 0)];
    assert_eq!(victims(&candidates, 0.0, MEDIUM_MB), Some(vec![1]));
}

/// Guards against models that are swapped before their requests are sent.
#[rstest]
#[case::other_left(1, Some(vec![1]))]
#[case::all_in_turn(2, None)]
fn turn_respected(#[case] in_turn: usize, #[case] expected: Option<Vec<usize>>) {
    let mut candidates = [candidate(0.1, LARGE_MB, 0), candidate(5.0, LARGE_MB, 3)];
    for candidate in &mut candidates[..in_turn] {
        candidate.in_turn = true;
    }
    assert_eq!(victims(&candidates, 0.0, LARGE_MB), expected);
}

/// Guards against an eviction that costs more than the load gains.
#[rstest]
#[case::worth_it(0.7, true)]
#[case::not_worth_it(0.5, false)]
fn value_bounded(#[case] max_value: f64, #[case] is_possible: bool) {
    let candidates = [candidate(0.6, LARGE_MB, 0)];
    let choices = choices(&candidates, 0.0);
    assert_eq!(choices.cheapest(LARGE_MB, max_value).is_some(), is_possible);
}

/// Guards against evictions for a model that fits into free memory, and against loads that can't fit.
#[rstest]
#[case::fits(LARGE_MB, Some(vec![]))]
#[case::too_large(300_000.0, None)]
fn free_memory_first(#[case] size_mb: f64, #[case] expected: Option<Vec<usize>>) {
    let candidates = [candidate(0.6, LARGE_MB, 0)];
    assert_eq!(victims(&candidates, LARGE_MB, size_mb), expected);
}

/// Guards against a choice that takes too long or fails on an engine with many small models.
#[rstest]
fn many_models_bounded() {
    let candidates = vec![candidate(1.0, SMALL_MB, 0); 40];
    let choices = choices(&candidates, 0.0);
    let (eviction, _) = choices
        .cheapest(LARGE_MB, f64::INFINITY)
        .expect("three of them");
    assert_eq!(eviction.count(), 3);
}
