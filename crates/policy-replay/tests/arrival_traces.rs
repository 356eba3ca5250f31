//! Traces: determinism, order, and the rate of change of alternating models.

mod support;

use apricotdale_policy_replay::trace::CallPattern;
use apricotdale_policy_replay::trace::Target;
use apricotdale_policy_replay::trace::trace;

use support::deployment;
use support::small;

const HOUR_MS: u64 = 3_600_000;

#[test]
fn same_seed_repeats() {
    let deployment = small();
    let first = trace(&deployment, 7, 6 * HOUR_MS, None);
    let second = trace(&deployment, 7, 6 * HOUR_MS, None);
    let other = trace(&deployment, 8, 6 * HOUR_MS, None);
    assert_eq!(first.requests, second.requests);
    assert_ne!(first.requests, other.requests);
}

#[test]
fn hourly_change_share() {
    let deployment = deployment("hjulvaerk");
    let hours = 48;
    let trace = trace(&deployment, 1, hours * HOUR_MS, None);
    let alternating: Vec<usize> = (0..trace.models.len())
        .filter(|model| trace.models[*model].call_pattern == CallPattern::Alternating)
        .collect();
    // A model with requests in only one of two consecutive hours has changed.
    let mut active = vec![vec![false; hours as usize]; trace.models.len()];
    for request in &trace.requests {
        if let Target::Model(model) = request.target {
            active[model][(request.at_ms / HOUR_MS) as usize] = true;
        }
    }
    let changes: usize = alternating
        .iter()
        .map(|model| {
            active[*model]
                .windows(2)
                .filter(|pair| pair[0] != pair[1])
                .count()
        })
        .sum();
    let share = changes as f64 / alternating.len() as f64 / (hours - 1) as f64;
    assert!((0.15..0.40).contains(&share), "{share}");
    let idle = alternating
        .iter()
        .map(|model| active[*model].iter().filter(|active| !**active).count());
    let idle_share = idle.sum::<usize>() as f64 / alternating.len() as f64 / hours as f64;
    assert!(idle_share > 0.5, "{idle_share}");
}

#[test]
fn requests_ordered() {
    let trace = trace(&small(), 3, 6 * HOUR_MS, None);
    assert!(trace.requests.is_sorted_by_key(|request| request.at_ms));
}
