//! Announcements of a VM's local demand.

use apricotdale_core::names::ModelName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::WantedModel;
use apricotdale_holder::DemandRow;
use apricotdale_holder::DemandTable;
use apricotdale_holder::LocalDemand;
use apricotdale_holder::RequestState;
use rstest::rstest;

/// Interval between announcements.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 200;

fn wanted(index: u32) -> WantedModel {
    WantedModel {
        model: ModelName::from(format!("m{index}")),
        adapter: None,
    }
}

fn idle_rows(demand: &mut LocalDemand) -> Vec<DemandRow> {
    demand.rows(std::iter::empty())
}

/// Guards against a lease holder that is overloaded for a second at a time, because hundreds of VMs
/// announce a row for each of the hundreds of models requested since their start, several times a
/// second.
#[test]
fn idle_models_omitted() {
    const MODELS: u32 = 500;
    let mut demand = LocalDemand::default();
    for index in 0..MODELS {
        demand.record_arrival(&wanted(index));
    }
    assert_eq!(idle_rows(&mut demand).len(), MODELS as usize);
    assert_eq!(
        idle_rows(&mut demand).len(),
        MODELS as usize,
        "a datagram may be lost"
    );
    assert!(idle_rows(&mut demand).is_empty());
    demand.record_arrival(&wanted(7));
    let rows = idle_rows(&mut demand);
    assert_eq!(rows.len(), 1);
    assert_eq!(
        rows[0].arrived, 2,
        "rows must count all arrivals, in case one was lost"
    );
}

#[rstest]
#[case::waiting_for_load(RequestState::Missing, [1, 0, 0])]
#[case::waiting_for_slot(RequestState::Full, [0, 1, 0])]
#[case::running(RequestState::Running, [0, 0, 1])]
fn active_request_repeated(#[case] state: RequestState, #[case] counts: [u32; 3]) {
    let requested = wanted(0);
    let mut demand = LocalDemand::default();
    demand.record_arrival(&requested);
    for _ in 0..5 {
        let rows = demand.rows([(&requested, state)].into_iter());
        let row = rows.first().expect("a row");
        assert_eq!(
            [row.waiting_for_load, row.waiting_for_slot, row.running],
            counts
        );
    }
    for _ in 0..2 {
        let rows = idle_rows(&mut demand);
        let row = rows.first().expect("the end is announced twice");
        assert_eq!(row.waiting_for_load + row.waiting_for_slot + row.running, 0);
    }
    assert!(idle_rows(&mut demand).is_empty());
}

/// The lease holder's totals and rates are the same as if each VM announced all rows each time,
/// also if every second datagram is lost.
#[rstest]
#[case::none_lost(1)]
#[case::every_second_lost(2)]
fn totals_survive_omissions(#[case] delivered_every: u64) {
    const VMS: u32 = 20;
    const MODELS: u32 = 30;
    const ROUNDS: u64 = 50;
    let mut table = DemandTable::default();
    let mut vms: Vec<LocalDemand> = (0..VMS).map(|_| LocalDemand::default()).collect();
    let mut arrived = vec![0_u64; MODELS as usize];
    for round in 0..ROUNDS + 2 {
        let now_ms = 1_000 + round * ANNOUNCEMENT_INTERVAL_MS;
        for (index, vm) in vms.iter_mut().enumerate() {
            let requested = (index as u64 * 7 + round * 3) as u32 % MODELS;
            if round < ROUNDS {
                vm.record_arrival(&wanted(requested));
                arrived[requested as usize] += 1;
            }
            let model = wanted(requested);
            let rows = match round < ROUNDS {
                true => vm.rows([(&model, RequestState::Running)].into_iter()),
                false => vm.rows(std::iter::empty()),
            };
            if (round + index as u64).is_multiple_of(delivered_every) {
                table.note(now_ms, &VmName::from(format!("vm{index}")), 1, rows);
            }
        }
        if round + 1 == ROUNDS && delivered_every == 1 {
            let running: u32 = table.totals(now_ms).values().map(|it| it.running).sum();
            assert_eq!(running, VMS, "one request at each VM");
        }
    }
    // A rate is a decaying sum over the arrivals. All models were requested in turn, so their rates
    // are similar, and no arrival is missing.
    let totals = table.totals(1_000 + (ROUNDS + 1) * ANNOUNCEMENT_INTERVAL_MS);
    assert_eq!(totals.len(), MODELS as usize);
    assert!(totals.values().all(|it| it.requests_per_s > 0.0));
    let all: f64 = totals.values().map(|it| it.requests_per_s).sum();
    let announced_per_s = f64::from(VMS) * 1_000.0 / ANNOUNCEMENT_INTERVAL_MS as f64;
    assert!(
        all > announced_per_s * 0.6 && all < announced_per_s * 1.1,
        "{all} of {announced_per_s}"
    );
}
