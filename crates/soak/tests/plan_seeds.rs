//! Plans depend on their seeds alone and contain every fault.

use std::collections::BTreeSet;
use std::mem::discriminant;

use apricotdale_soak::Plan;
use apricotdale_soak::Trouble;
use apricotdale_standins::platform::AnswerFault;

const LENGTH_MS: u64 = 12_000;

fn plan(seed: u64) -> Plan {
    Plan::draw(seed, LENGTH_MS, 3, 3, 5)
}

#[test]
fn same_seed_same_plan() {
    for seed in 0..50 {
        assert_eq!(plan(seed), plan(seed));
    }
    assert_ne!(plan(1), plan(2));
}

#[test]
fn faults_in_order() {
    for seed in 0..200 {
        let plan = plan(seed);
        assert!(!plan.faults.is_empty());
        assert!(plan.faults.is_sorted_by_key(|planned| planned.at_ms));
        assert!(plan.faults.iter().all(|it| it.at_ms < plan.calm_from_ms));
        assert_eq!(plan.end_ms, LENGTH_MS);
    }
}

#[test]
fn faults_overlap() {
    let overlapping = (0..200).filter(|seed| {
        let faults = plan(*seed).faults;
        faults.windows(2).any(|pair| pair[0].at_ms == pair[1].at_ms)
    });
    assert!(overlapping.count() > 100);
}

#[test]
fn every_fault_drawn() {
    let mut kinds = BTreeSet::new();
    for seed in 0..200 {
        for planned in plan(seed).faults {
            kinds.insert(format!("{:?}", discriminant(&planned.trouble)));
        }
    }
    assert_eq!(kinds.len(), 33);
}

/// Guards against faults of a stream's remainder that no plan contains.
#[test]
fn every_remainder_drawn() {
    let mut remainders = BTreeSet::new();
    for seed in 0..200 {
        remainders.extend(plan(seed).faults.iter().filter_map(|it| match it.trouble {
            Trouble::EnginesAnswer {
                fault: AnswerFault::CutThen { then, .. },
                ..
            } => Some(then),
            _ => None,
        }));
    }
    assert_eq!(remainders.len(), 16);
}
