//! VMs that engines tell something about themselves, without other faults.

use apricotdale_soak::Plan;
use apricotdale_soak::Planned;
use apricotdale_soak::Soak;
use apricotdale_soak::SoakOptions;
use apricotdale_soak::Trouble;
use apricotdale_soak::check;
use apricotdale_soak::entry_program;
use apricotdale_soak::fullest_rest;
use apricotdale_soak::judged_leaves;

/// Number of courses of which one must show what an engine's answer states: a single answer may, and its
/// caller may leave.
const COURSES: u64 = 3;

/// Carries out a soak with one trouble and nothing else.
fn soak(trouble: Trouble, seed: u64) -> Soak {
    let options = SoakOptions::new(entry_program().expect("the program is built"), seed);
    let plan = Plan {
        crashers: Vec::new(),
        bursts: Vec::new(),
        faults: vec![Planned {
            at_ms: 1_500,
            trouble,
        }],
        calm_from_ms: 6_000,
        end_ms: 6_500,
    };
    Soak::carry_out_plan(&options, plan).expect("the soak can be carried out")
}

/// Guards against requests to an engine that has stated to a VM that it leaves.
#[test]
fn leaving_engine_spared() {
    let is_judged = (1..=COURSES).any(|seed| {
        let leave = Trouble::StatedLeave {
            engine: 0,
            calls: false,
            for_ms: 4_500,
        };
        let soak = soak(leave, seed);
        let violations = check(&soak.record);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        judged_leaves(&soak.record) > 0
    });
    assert!(is_judged, "no leave was judged");
}

/// Guards against requests to an engine that has asked a VM for rest.
#[test]
fn resting_engine_spared() {
    let rest = Trouble::Rest {
        engine: 0,
        seconds: 2,
        for_ms: 3_000,
    };
    let soak = soak(rest, 1);
    let violations = check(&soak.record);
    assert!(violations.is_empty(), "{violations:#?}");
    let rest = fullest_rest(&soak.record);
    assert!(rest.judged > 0, "{rest:?}");
}
