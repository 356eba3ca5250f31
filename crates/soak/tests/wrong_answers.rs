//! Upstreams that reject many requests, send each rejection once more, late, and hand out wrong bytes.

use apricotdale_soak::Invariant;
use apricotdale_soak::PathCut;
use apricotdale_soak::Plan;
use apricotdale_soak::Planned;
use apricotdale_soak::Soak;
use apricotdale_soak::SoakOptions;
use apricotdale_soak::Trouble;
use apricotdale_soak::check;
use apricotdale_soak::entry_program;
use apricotdale_standins::platform::AnswerFault;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Few engines, to which a rejected stream comes again.
const ENGINES: usize = 2;

/// Engines and instances of the plain service.
const UPSTREAMS: usize = ENGINES + 2;

const FAULTS_FROM_MS: u64 = 1_000;
const FAULTS_UNTIL_MS: u64 = 7_000;

/// Time between two faults.
const INTERVAL_MS: usize = 30;

/// Rejections by engines without which a soak has judged nothing.
const MIN_REJECTED: usize = 20;

/// Faults besides rejections. After some of them the request has run.
const FAULTS: [AnswerFault; 14] = [
    AnswerFault::FailedWith { status: 408 },
    AnswerFault::FailedWith { status: 429 },
    AnswerFault::FailedWith { status: 503 },
    AnswerFault::UnidentifiedFirst { status: 421 },
    AnswerFault::UnidentifiedFirst { status: 503 },
    AnswerFault::CrossedFirst,
    AnswerFault::ExtraAfter,
    AnswerFault::Failed,
    AnswerFault::LostAnswer,
    AnswerFault::TurnedAwayStalled,
    AnswerFault::Unsigned,
    AnswerFault::Unframed,
    AnswerFault::UnframedCut,
    AnswerFault::CutHead {
        framing: "",
        bytes: 60,
    },
];

fn draw_faults(seed: u64) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let times = (FAULTS_FROM_MS..FAULTS_UNTIL_MS).step_by(INTERVAL_MS);
    let draw = |at_ms| {
        let fault = match random.random_bool(0.6) {
            true => AnswerFault::TurnedAway,
            false => FAULTS[random.random_range(0..FAULTS.len())],
        };
        Planned {
            at_ms,
            trouble: Trouble::Answers {
                upstream: random.random_range(0..UPSTREAMS),
                fault,
                count: 1,
            },
        }
    };
    times.map(draw).collect()
}

/// Guards against requests that run twice, or are refused as not run although they ran, whichever answer
/// is wrong and whichever way it comes.
#[rstest]
#[case::direct(1, false)]
#[case::relayed(2, true)]
fn promises_kept(#[case] seed: u64, #[case] is_cut: bool) {
    let options = SoakOptions {
        engines: ENGINES,
        repeats_rejections: true,
        ..SoakOptions::new(entry_program().expect("the program is built"), seed)
    };
    let mut faults = draw_faults(seed);
    if is_cut {
        let cut = Trouble::PathsCut {
            first_vm: 0,
            vms: 1,
            way: PathCut::Reset,
            for_ms: FAULTS_UNTIL_MS - FAULTS_FROM_MS,
        };
        faults.insert(
            0,
            Planned {
                at_ms: FAULTS_FROM_MS,
                trouble: cut,
            },
        );
    }
    let plan = Plan {
        crashers: Vec::new(),
        bursts: Vec::new(),
        faults,
        calm_from_ms: FAULTS_UNTIL_MS,
        end_ms: FAULTS_UNTIL_MS + 500,
    };
    let soak = Soak::carry_out_plan(&options, plan).expect("the soak can be carried out");
    let violations: Vec<_> = check(&soak.record)
        .into_iter()
        .filter(|it| {
            matches!(
                it.invariant,
                Invariant::RunsOnce | Invariant::TrueRefusal | Invariant::OwnAnswer
            )
        })
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
    let record = &soak.record;
    let is_engine = |name: &str| record.engines.iter().any(|(engine, _)| engine == name);
    let runs = record.runs.iter().filter(|it| is_engine(&it.upstream));
    let rejected = record.arrivals.len().saturating_sub(runs.count());
    println!(
        "{} attempts, {} runs, {rejected} rejections by engines",
        record.attempts.len(),
        record.runs.len()
    );
    assert!(rejected >= MIN_REJECTED, "{rejected} rejections");
}
