//! Order in which VMs take over the lease.

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseAnswer;
use apricotdale_holder::LeaseOptions;
use apricotdale_holder::TakeoverCandidate;
use apricotdale_holder::takeover_order;
use rstest::rstest;

const FAST_US: u32 = 900;
const SLOW_US: u32 = 3_800;

fn rank(own: (&str, u32), others: &[(&str, u32, bool)]) -> u64 {
    let own_name = VmName::from(own.0);
    let own = TakeoverCandidate {
        vm: &own_name,
        work_us: own.1,
        is_alive: true,
    };
    let names: Vec<VmName> = others.iter().map(|other| VmName::from(other.0)).collect();
    let others = names
        .iter()
        .zip(others)
        .map(|(vm, (_, work_us, is_alive))| TakeoverCandidate {
            vm,
            work_us: *work_us,
            is_alive: *is_alive,
        });
    takeover_order::takeover_rank(&own, others)
}

/// Guards against orders that stop for seconds again and again after the lease holder is cut off.
/// The next VM by name takes over; with an eighth of a core it is too slow to renew its lease while
/// 294 other VMs send to it, and the next such VM follows. Clearly faster VMs must go first.
#[rstest]
#[case::slow_with_fast(("a", SLOW_US), &[("b", FAST_US, true)], 2)]
#[case::slow_with_unheard_fast(("a", SLOW_US), &[("b", FAST_US, false)], 2)]
#[case::fast_with_slow(("z", FAST_US), &[("a", SLOW_US, true), ("b", SLOW_US, true)], 0)]
#[case::similar_speeds(("a", 2_060), &[("b", 2_040, true)], 0)]
#[case::equal_ordered_by_name(("b", SLOW_US), &[("a", 3_900, true), ("c", 3_700, true)], 1)]
#[case::unheard_equal(("b", SLOW_US), &[("a", SLOW_US, false)], 0)]
#[case::many_fast(("z", SLOW_US), &[("a", FAST_US, true), ("b", FAST_US, true), ("c", FAST_US, true)], 3)]
#[case::alone(("a", SLOW_US), &[], 0)]
fn rank_of_vm(
    #[case] own: (&str, u32),
    #[case] others: &[(&str, u32, bool)],
    #[case] expected: u64,
) {
    assert_eq!(rank(own, others), expected);
}

/// The rank also decides who takes the first lease of a deployment, when all VMs start together.
#[test]
fn first_lease_by_rank() {
    let options = LeaseOptions::default();
    let taken_ms = |rank: u64| {
        let mut lease = Lease::new(options, VmName::from("a"), 1);
        lease.set_takeover_rank(rank);
        assert_eq!(lease.act(1_000), Some(LeaseAction::Read { from: 0 }));
        let nothing = LeaseAnswer::Read {
            end: Position::default(),
            newest: None,
        };
        lease.answered(1_000, nothing);
        (1_000..3_000)
            .find(|now_ms| matches!(lease.act(*now_ms), Some(LeaseAction::Append { .. })))
            .expect("it is taken")
    };
    let first_ms = taken_ms(0);
    // By then, the first VM's append has reached the store, and its heartbeat the other VM.
    assert!(taken_ms(2) >= 1_000 + 2 * options.stagger_ms);
    assert!(taken_ms(2) >= first_ms);
}
