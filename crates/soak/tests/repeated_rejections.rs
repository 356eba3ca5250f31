//! Upstreams that reject requests now and then, and send each rejection once more, late.

use apricotdale_soak::Invariant;
use apricotdale_soak::Plan;
use apricotdale_soak::Planned;
use apricotdale_soak::Soak;
use apricotdale_soak::SoakOptions;
use apricotdale_soak::Trouble;
use apricotdale_soak::check;
use apricotdale_soak::entry_program;
use apricotdale_standins::platform::AnswerFault;

const SEED: u64 = 77;

/// A single engine, to which a rejected stream comes again.
const ENGINES: usize = 1;

const FAULTS_FROM_MS: u64 = 1_500;
const FAULTS_UNTIL_MS: u64 = 6_000;

/// Time between two rejections at the engine.
const GAP_MS: usize = 50;

/// Guards against requests that run twice, or are refused as not run although they ran, because a
/// rejection counts for a later attempt.
#[test]
fn rejections_repeated() {
    let options = SoakOptions {
        engines: ENGINES,
        repeats_rejections: true,
        ..SoakOptions::new(entry_program().expect("the program is built"), SEED)
    };
    let rejection = |at_ms| Planned {
        at_ms,
        trouble: Trouble::EnginesAnswer {
            fault: AnswerFault::TurnedAway,
            count: 1,
        },
    };
    let plan = Plan {
        crashers: Vec::new(),
        bursts: Vec::new(),
        faults: (FAULTS_FROM_MS..FAULTS_UNTIL_MS)
            .step_by(GAP_MS)
            .map(rejection)
            .collect(),
        calm_from_ms: FAULTS_UNTIL_MS,
        end_ms: FAULTS_UNTIL_MS + 500,
    };
    let soak = Soak::carry_out_plan(&options, plan).expect("the soak can be carried out");
    let violations: Vec<_> = check(&soak.record)
        .into_iter()
        .filter(|it| matches!(it.invariant, Invariant::RunsOnce | Invariant::TrueRefusal))
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(soak.record.attempts.len() > 200);
}
