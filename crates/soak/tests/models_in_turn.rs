//! Engines that more models share than they hold, without faults of engines.

use apricotdale_soak::Invariant;
use apricotdale_soak::Plan;
use apricotdale_soak::Planned;
use apricotdale_soak::Soak;
use apricotdale_soak::SoakOptions;
use apricotdale_soak::Trouble;
use apricotdale_soak::check;
use apricotdale_soak::entry_program;
use apricotdale_soak::load_coverage;

const LOAD_MS: u64 = 7_000;

/// Carries out a soak in which models are asked for in turn while an organisation is above its
/// limit, with other troubles.
fn soak(seed: u64, troubles: Vec<Planned>) -> Soak {
    let options = SoakOptions::new(entry_program().expect("the program is built"), seed);
    let planned = |trouble| Planned {
        at_ms: 1_500,
        trouble,
    };
    let mut faults = vec![
        planned(Trouble::ModelsInTurn {
            callers: 8,
            for_ms: LOAD_MS,
        }),
        planned(Trouble::OverLimit {
            times: 4,
            callers: 8,
            for_ms: LOAD_MS,
        }),
    ];
    faults.extend(troubles);
    let plan = Plan {
        crashers: Vec::new(),
        bursts: Vec::new(),
        faults,
        calm_from_ms: 1_500 + LOAD_MS,
        end_ms: 2_000 + LOAD_MS,
    };
    Soak::carry_out_plan(&options, plan).expect("the soak can be carried out")
}

/// Guards against models that are swapped within their turns, and against requests that are refused
/// while less urgent later ones are sent.
#[test]
fn turns_kept() {
    let soak = soak(1, Vec::new());
    let violations = check(&soak.record);
    let loads = load_coverage(&soak.record);
    assert!(violations.is_empty(), "{violations:#?}, {loads:?}");
    assert!(loads.swaps > 0, "{loads:?}");
}

/// Guards against requests that are refused for want of room while less urgent ones that came later
/// are sent. Streams come faster than the engines answer them.
#[test]
fn urgent_before_later() {
    let options = SoakOptions {
        callers: 160,
        slots: Some(1),
        ..SoakOptions::new(entry_program().expect("the program is built"), 3)
    };
    let plan = Plan {
        crashers: Vec::new(),
        bursts: Vec::new(),
        faults: Vec::new(),
        calm_from_ms: 7_000,
        end_ms: 7_500,
    };
    let soak = Soak::carry_out_plan(&options, plan).expect("the soak can be carried out");
    let violations = check(&soak.record);
    let loads = load_coverage(&soak.record);
    assert!(violations.is_empty(), "{violations:#?}, {loads:?}");
    assert!(loads.judged_refusals > 0, "{loads:?}");
}

/// Guards against engines that stay closed for a model after the loss of the lease holder. Whether
/// turns are kept, also without such losses, is up to the other test.
#[test]
fn engines_reopen() {
    let kill = |vm| Planned {
        at_ms: 3_000 + 2_000 * vm as u64,
        trouble: Trouble::Kill { vm, down_ms: 1_000 },
    };
    let soak = soak(2, (0..3).map(kill).collect());
    let mut violations = check(&soak.record);
    violations.retain(|it| it.invariant != Invariant::TurnsKept);
    let loads = load_coverage(&soak.record);
    assert!(violations.is_empty(), "{violations:#?}, {loads:?}");
    assert!(loads.losses > 0, "{loads:?}");
}
