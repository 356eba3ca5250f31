//! Shares of the ranks, computed from what VMs report. Load: classes of several ranks that share
//! engines, while organisations exceed their usual rate several times.

use apricotdale_admission::RankLoad;
use apricotdale_admission::RankPressure;
use apricotdale_admission::RankShareRow;
use apricotdale_admission::RankShares;
use apricotdale_admission::ServiceCapacity;
use apricotdale_admission::VmRankLoad;
use apricotdale_core::names::VmName;
use rstest::rstest;

const VMS: u64 = 4;
const HEARTBEAT_MS: u64 = 400;

/// Engines that complete 100 requests per second.
const CAPACITY: ServiceCapacity = ServiceCapacity {
    slots: 40,
    occupied_ms: 400.0,
};

/// Number of requests at the target pressure, at which as much is admitted as is completed.
const TARGET_REQUESTS: u32 = 44;

fn vm(number: u64) -> VmName {
    VmName::from(format!("vm-{number}").as_str())
}

/// Returns the demand of one of four VMs with equal parts of `per_s` and `waiting`.
fn load(per_s: &[f64], waiting: &[u32], in_progress: u32) -> VmRankLoad {
    let rank = |(rank, (&per_s, &waiting)): (usize, (&f64, &u32))| RankLoad {
        rank: rank as u8,
        arrivals_per_s: per_s / VMS as f64,
        waiting: waiting / VMS as u32,
    };
    VmRankLoad {
        ranks: per_s.iter().zip(waiting).enumerate().map(rank).collect(),
        in_progress: in_progress / VMS as u32,
    }
}

/// Reports the load of all VMs at each heartbeat in the given time, and returns the last shares.
fn hold(
    pressure: &mut RankPressure,
    times_ms: std::ops::Range<u64>,
    load: &VmRankLoad,
) -> Option<RankShares> {
    let mut last = None;
    for now_ms in times_ms.step_by(HEARTBEAT_MS as usize) {
        for number in 0..VMS {
            pressure.record(now_ms, &vm(number), load.clone());
        }
        last = pressure.shares(now_ms, CAPACITY);
    }
    last
}

fn steady(per_s: &[f64], waiting: &[u32], in_progress: u32) -> RankShares {
    let load = load(per_s, waiting, in_progress);
    hold(&mut RankPressure::default(), 0..4_000, &load).expect("shares")
}

fn permilles(shares: &RankShares) -> Vec<u16> {
    shares.ranks.iter().map(|share| share.permille).collect()
}

/// Guards against a division that refuses more urgent requests first, lets less urgent ones starve,
/// or gives the floor to the least urgent rank alone. 100 requests per second are completed.
#[rstest]
#[case::fits(&[40.0, 60.0], &[1_000, 1_000])]
#[case::last_rank_refused(&[50.0, 100.0], &[1_000, 500])]
#[case::first_rank_refused(&[200.0, 20.0], &[450, 500])]
#[case::floor_not_used(&[200.0, 4.0], &[480, 1_000])]
#[case::floor_shared(&[200.0, 50.0, 50.0], &[450, 100, 100])]
#[case::middle_rank_refused(&[60.0, 80.0, 40.0], &[1_000, 375, 250])]
#[case::only_floor_left(&[90.0, 50.0, 50.0], &[1_000, 100, 100])]
#[case::rank_without_arrivals(&[200.0, 0.0, 20.0], &[450, 1_000, 500])]
fn division(#[case] per_s: &[f64], #[case] expected: &[u16]) {
    let waiting = vec![4; per_s.len()];
    let in_progress = TARGET_REQUESTS - 4 * per_s.len() as u32;
    let found = permilles(&steady(per_s, &waiting, in_progress));
    let is_close = |(found, expected): (&u16, &u16)| found.abs_diff(*expected) <= 1;
    assert_eq!(found.len(), expected.len());
    assert!(found.iter().zip(expected).all(is_close), "{found:?}");
}

/// Guards against refusals while slots are free, and against a deployment with one rank that is
/// served otherwise than before.
#[rstest]
#[case::free_slots(&[300.0, 300.0], &[0, 0], 32, false)]
#[case::few_waiting(&[300.0, 300.0], &[8, 8], 16, false)]
#[case::one_rank(&[900.0], &[400], 40, false)]
#[case::nearly_full(&[300.0, 300.0], &[0, 0], 36, true)]
fn free_pressure(
    #[case] per_s: &[f64],
    #[case] waiting: &[u32],
    #[case] in_progress: u32,
    #[case] is_binding: bool,
) {
    let shares = steady(per_s, waiting, in_progress);
    assert_eq!(shares.is_binding(), is_binding, "{shares:?}");
    assert_eq!(shares.rows(7).is_empty(), !is_binding);
}

/// Guards against a backlog that is never worked off because as much is admitted as is completed.
#[test]
fn backlog_lowers_shares() {
    let without = steady(&[200.0, 50.0], &[0, 4], 40);
    let with = steady(&[200.0, 50.0], &[100, 100], 40);
    assert!(with.ranks[0].permille + 100 < without.ranks[0].permille);
    // The floor of the less urgent rank is kept.
    assert_eq!(with.ranks[1].permille, without.ranks[1].permille);
}

/// Guards against shares of a new holder that knows of a part of the fleet only, and of one that has
/// not been reached for a time.
#[test]
fn holder_listens_first() {
    let mut pressure = RankPressure::default();
    let overload = load(&[300.0, 300.0], &[40, 40], 40);
    assert_eq!(pressure.shares(100, CAPACITY), None);
    assert_eq!(hold(&mut pressure, 10_000..10_801, &overload), None);
    let shares = hold(&mut pressure, 11_200..11_201, &overload);
    assert!(shares.is_some_and(|it| it.is_binding()));
    assert_eq!(pressure.shares(12_201, CAPACITY), None);
    assert_eq!(hold(&mut pressure, 13_000..13_801, &overload), None);
    assert!(hold(&mut pressure, 14_200..14_201, &overload).is_some());
}

/// Guards against the demand of lost VMs that is counted on, and against shares without engines.
#[test]
fn lost_vms_and_engines() {
    let mut pressure = RankPressure::default();
    let overload = load(&[300.0, 300.0], &[40, 40], 40);
    hold(&mut pressure, 0..4_000, &overload);
    let one = load(&[20.0, 20.0], &[0, 0], 12);
    let mut last = None;
    for now_ms in (4_000..8_000).step_by(HEARTBEAT_MS as usize) {
        pressure.record(now_ms, &vm(0), one.clone());
        last = pressure.shares(now_ms, CAPACITY);
    }
    let last = last.expect("shares");
    assert_eq!((last.pressure_permille, last.is_binding()), (75, false));
    let no_slots = ServiceCapacity {
        slots: 0,
        ..CAPACITY
    };
    assert_eq!(pressure.shares(8_000, no_slots), None);
    let no_time = ServiceCapacity {
        occupied_ms: 0.0,
        ..CAPACITY
    };
    assert_eq!(pressure.shares(8_000, no_time), None);
}

/// Guards against a whole second of the demand that is admitted in a short dip of the pressure, and
/// against refusals long after it has fallen.
#[test]
fn dip_of_pressure() {
    let mut pressure = RankPressure::default();
    let full = load(&[300.0, 300.0], &[4, 4], 40);
    let dip = load(&[300.0, 300.0], &[0, 0], 32);
    hold(&mut pressure, 0..4_000, &full);
    let in_dip = hold(&mut pressure, 4_000..4_800, &dip).expect("shares");
    assert!(in_dip.is_binding());
    let afterwards = hold(&mut pressure, 4_800..5_201, &dip).expect("shares");
    assert!(!afterwards.is_binding(), "{afterwards:?}");
}

/// Guards against a retry time before the backlog of the rank and of more urgent ones is worked off.
#[test]
fn backlog_times() {
    let shares = steady(&[200.0, 200.0, 200.0], &[100, 200, 400], 40);
    let backlogs: Vec<u32> = shares.ranks.iter().map(|it| it.backlog_ms).collect();
    assert_eq!(backlogs, [1_000, 3_000, 7_000]);
    let rows = shares.rows(7);
    for (row, backlog_ms) in rows.iter().zip(backlogs) {
        assert_eq!(row.service, 7);
        let beyond_ms = row.retry_after_ms - backlog_ms.max(1_500);
        assert!(beyond_ms < 512, "{beyond_ms}");
    }
}

/// Guards against a figure of a faulty sender that makes all shares meaningless.
#[rstest]
#[case::not_a_number(f64::NAN)]
#[case::infinite(f64::INFINITY)]
#[case::negative(-500.0)]
fn faulty_rates(#[case] rate: f64) {
    let mut pressure = RankPressure::default();
    let mut last = None;
    for now_ms in (0..4_000).step_by(HEARTBEAT_MS as usize) {
        let sound = load(&[400.0, 400.0], &[4, 4], 200);
        pressure.record(now_ms, &vm(0), sound);
        pressure.record(now_ms, &vm(1), load(&[rate, rate], &[0, 0], 0));
        last = pressure.shares(now_ms, CAPACITY);
    }
    let permilles = permilles(&last.expect("shares"));
    assert!(permilles[0] > 800 && permilles[1] < 200, "{permilles:?}");
}

/// Guards against rows that take more of a heartbeat than they need to.
#[test]
fn row_size() {
    let row = RankShareRow {
        service: u32::MAX,
        rank: 2,
        permille: 1_000,
        retry_after_ms: 30_975,
    };
    let bytes = postcard::to_stdvec(&row).expect("a row");
    assert_eq!(postcard::from_bytes::<RankShareRow>(&bytes), Ok(row));
    assert!(bytes.len() <= 11, "{} bytes", bytes.len());
}
