//! Engines that crash after the callers were stopped.

use apricotdale_soak::Crasher;
use apricotdale_soak::Plan;
use apricotdale_soak::Soak;
use apricotdale_soak::SoakOptions;
use apricotdale_soak::check;
use apricotdale_soak::entry_program;

/// Guards against crashed engines that are not replaced during the recovery: the second request
/// waits for the successor of the engine that the first one crashed, and crashes that one after the
/// callers were stopped.
#[test]
fn engine_restarts_late() {
    let crasher = Crasher {
        body: "ends-engine-0".to_owned(),
        model: "m0",
        at_ms: 1_900,
        pause_ms: 50,
        resumable: false,
        copies: 1,
    };
    let plan = Plan {
        crashers: vec![crasher],
        bursts: Vec::new(),
        faults: Vec::new(),
        calm_from_ms: 2_000,
        end_ms: 2_000,
    };
    let options = SoakOptions {
        vms: 1,
        engines: 1,
        callers: 2,
        ..SoakOptions::new(entry_program().expect("the program is built"), 1)
    };
    let soak = Soak::carry_out_plan(&options, plan).expect("the soak can be carried out");
    assert!(soak.record.crashes.len() >= 2, "{:?}", soak.record.crashes);
    assert_eq!(check(&soak.record), []);
}
