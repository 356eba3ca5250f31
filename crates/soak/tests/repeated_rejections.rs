//! A short soak in which upstreams send each rejection once more, late.

use apricotdale_soak::Invariant;
use apricotdale_soak::Soak;
use apricotdale_soak::SoakOptions;
use apricotdale_soak::check;
use apricotdale_soak::entry_program;

const SEED: u64 = 77;

/// Guards against requests that run twice, or are refused as not run although they ran, beside all
/// other faults.
#[test]
fn rejections_repeated() {
    let options = SoakOptions {
        length_ms: 7_000,
        repeats_rejections: true,
        ..SoakOptions::new(entry_program().expect("the program is built"), SEED)
    };
    let soak = Soak::carry_out(&options).expect("the soak can be carried out");
    let violations: Vec<_> = check(&soak.record)
        .into_iter()
        .filter(|it| matches!(it.invariant, Invariant::RunsOnce | Invariant::TrueRefusal))
        .collect();
    assert!(violations.is_empty(), "{violations:#?}\n{:#?}", soak.plan);
    assert!(soak.record.attempts.len() > 200);
}
