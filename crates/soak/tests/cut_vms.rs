//! Soaks in which VMs are cut off from all upstreams and nothing else happens.

use apricotdale_soak::PathCut;
use apricotdale_soak::Plan;
use apricotdale_soak::Planned;
use apricotdale_soak::Soak;
use apricotdale_soak::SoakOptions;
use apricotdale_soak::Trouble;
use apricotdale_soak::check;
use apricotdale_soak::entry_program;
use apricotdale_soak::served_through_others;
use rstest::rstest;

/// Requests at the cut VMs that must count at least.
const MIN_JUDGED: usize = 50;

/// Guards against VMs without a path that don't serve under load, or that break another promise.
#[rstest]
fn served_under_load(#[values(PathCut::Silent, PathCut::Reset, PathCut::NewRefused)] way: PathCut) {
    let cut = Planned {
        at_ms: 1_500,
        trouble: Trouble::PathsCut {
            first_vm: 0,
            vms: 2,
            way,
            for_ms: 6_000,
        },
    };
    let plan = Plan {
        crashers: Vec::new(),
        bursts: Vec::new(),
        faults: vec![cut],
        calm_from_ms: 8_000,
        end_ms: 10_000,
    };
    let options = SoakOptions::new(entry_program().expect("the program is built"), 49);
    let soak = Soak::carry_out_plan(&options, plan).expect("the soak can be carried out");
    let (judged, served) = served_through_others(&soak.record);
    assert!(judged >= MIN_JUDGED, "{served} of {judged} served");
    let violations = check(&soak.record);
    assert!(
        violations.is_empty(),
        "{served} of {judged}: {violations:#?}"
    );
    println!("{way:?}: {served} of {judged} served");
}
