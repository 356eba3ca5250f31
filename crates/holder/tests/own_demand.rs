//! What a VM tells of its own demand: what has changed, and what requests are in progress for.

use apricotdale_core::names::ModelName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::WantedModel;
use apricotdale_holder::DemandBook;
use apricotdale_holder::DemandRow;
use apricotdale_holder::OwnDemand;
use apricotdale_holder::RequestState;
use rstest::rstest;

/// How often a VM tells its demand.
const EVERY_MS: u64 = 200;

fn wanted(index: u32) -> WantedModel {
    WantedModel {
        model: ModelName::from(format!("m{index}")),
        adapter: None,
    }
}

fn quiet(demand: &mut OwnDemand) -> Vec<DemandRow> {
    demand.rows(std::iter::empty())
}

/// Symptom: the VM that gives orders stands still for a second. Sequence: hundreds of VMs have been
/// asked for hundreds of models each in the course of a day, and tell their demand several times a
/// second. Cause: each told a row for all that was ever asked for.
#[test]
fn idle_models_are_not_told() {
    const MODELS: u32 = 500;
    let mut demand = OwnDemand::default();
    for index in 0..MODELS {
        demand.note_arrival(&wanted(index));
    }
    assert_eq!(quiet(&mut demand).len(), MODELS as usize);
    assert_eq!(quiet(&mut demand).len(), MODELS as usize, "one may be lost");
    assert!(quiet(&mut demand).is_empty());
    demand.note_arrival(&wanted(7));
    let rows = quiet(&mut demand);
    assert_eq!(rows.len(), 1);
    assert_eq!(
        rows[0].arrived, 2,
        "all since the start, so that a lost one is made good"
    );
}

#[rstest]
#[case::missing(RequestState::Missing, [1, 0, 0])]
#[case::crowded(RequestState::Full, [0, 1, 0])]
#[case::running(RequestState::Running, [0, 0, 1])]
fn request_in_progress_is_told_until_it_ends(
    #[case] state: RequestState,
    #[case] counts: [u32; 3],
) {
    let asked = wanted(0);
    let mut demand = OwnDemand::default();
    demand.note_arrival(&asked);
    for _ in 0..5 {
        let rows = demand.rows([(&asked, state)].into_iter());
        let told = rows.first().expect("a row");
        assert_eq!([told.missing, told.crowded, told.running], counts);
    }
    for _ in 0..2 {
        let rows = quiet(&mut demand);
        let told = rows.first().expect("its end is told twice");
        assert_eq!(told.missing + told.crowded + told.running, 0);
    }
    assert!(quiet(&mut demand).is_empty());
}

/// What the giver of orders knows of requests and of rates is the same as if each VM told
/// everything each time, also where every second datagram is lost.
#[rstest]
#[case::none_lost(1)]
#[case::every_second_lost(2)]
fn giver_knows_the_same(#[case] arrives_each: u64) {
    const VMS: u32 = 20;
    const MODELS: u32 = 30;
    const ROUNDS: u64 = 50;
    let mut book = DemandBook::default();
    let mut vms: Vec<OwnDemand> = (0..VMS).map(|_| OwnDemand::default()).collect();
    let mut arrived = vec![0_u64; MODELS as usize];
    for round in 0..ROUNDS + 2 {
        let now_ms = 1_000 + round * EVERY_MS;
        for (index, vm) in vms.iter_mut().enumerate() {
            let asked = (index as u64 * 7 + round * 3) as u32 % MODELS;
            if round < ROUNDS {
                vm.note_arrival(&wanted(asked));
                arrived[asked as usize] += 1;
            }
            let model = wanted(asked);
            let rows = match round < ROUNDS {
                true => vm.rows([(&model, RequestState::Running)].into_iter()),
                false => vm.rows(std::iter::empty()),
            };
            if (round + index as u64).is_multiple_of(arrives_each) {
                book.note(now_ms, &VmName::from(format!("vm{index}")), 1, rows);
            }
        }
        if round + 1 == ROUNDS && arrives_each == 1 {
            let running: u32 = book.totals(now_ms).values().map(|it| it.running).sum();
            assert_eq!(running, VMS, "one request at each VM");
        }
    }
    // A rate is a sum over what arrived, faded by its age: all models were asked for in turn, so
    // theirs are alike, and no arrival is missing.
    let totals = book.totals(1_000 + (ROUNDS + 1) * EVERY_MS);
    assert_eq!(totals.len(), MODELS as usize);
    assert!(totals.values().all(|it| it.per_s > 0.0));
    let all: f64 = totals.values().map(|it| it.per_s).sum();
    let told_per_s = f64::from(VMS) * 1_000.0 / EVERY_MS as f64;
    assert!(
        all > told_per_s * 0.6 && all < told_per_s * 1.1,
        "{all} of {told_per_s}"
    );
}
