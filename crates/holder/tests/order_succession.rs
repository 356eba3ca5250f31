//! Which VM takes over the orders first.

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use apricotdale_holder::Contender;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseAnswer;
use apricotdale_holder::LeaseOptions;
use apricotdale_holder::succession;
use rstest::rstest;

const FAST_US: u32 = 900;
const SLOW_US: u32 = 3_800;

fn place(own: (&str, u32), others: &[(&str, u32, bool)]) -> u64 {
    let own_name = VmName::from(own.0);
    let own = Contender {
        vm: &own_name,
        work_us: own.1,
        is_alive: true,
    };
    let names: Vec<VmName> = others.iter().map(|other| VmName::from(other.0)).collect();
    let others = names
        .iter()
        .zip(others)
        .map(|(vm, (_, work_us, is_alive))| Contender {
            vm,
            work_us: *work_us,
            is_alive: *is_alive,
        });
    succession::place(&own, others)
}

/// Symptom: orders stop for seconds, again and again. Sequence: the giver is cut off; the first VM
/// by name takes over; it is one on an eighth of a core, and does not get to renew its lease beside
/// what 294 others tell it; another such VM follows. Cause: VMs that could carry it were not
/// preferred.
#[rstest]
#[case::slow_before_a_fast_one(("a", SLOW_US), &[("b", FAST_US, true)], 2)]
#[case::fast_one_not_heard_of(("a", SLOW_US), &[("b", FAST_US, false)], 2)]
#[case::fast_after_slow_ones(("z", FAST_US), &[("a", SLOW_US, true), ("b", SLOW_US, true)], 0)]
#[case::equal_around_a_power_of_two(("a", 2_060), &[("b", 2_040, true)], 0)]
#[case::equal_by_name(("b", SLOW_US), &[("a", 3_900, true), ("c", 3_700, true)], 1)]
#[case::equal_ones_not_heard_of(("b", SLOW_US), &[("a", SLOW_US, false)], 0)]
#[case::many_fast_ones(("z", SLOW_US), &[("a", FAST_US, true), ("b", FAST_US, true), ("c", FAST_US, true)], 3)]
#[case::alone(("a", SLOW_US), &[], 0)]
fn place_of_a_vm(
    #[case] own: (&str, u32),
    #[case] others: &[(&str, u32, bool)],
    #[case] expected: u64,
) {
    assert_eq!(place(own, others), expected);
}

/// The first lease of a deployment is taken by place, too: all VMs start at once.
#[test]
fn first_lease_by_place() {
    let options = LeaseOptions::default();
    let taken_ms = |place: u64| {
        let mut lease = Lease::new(options, VmName::from("a"), 1);
        lease.set_place(place);
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
    // Until then the append of the first has reached the store, and its beat the other.
    assert!(taken_ms(2) >= 1_000 + 2 * options.stagger_ms);
    assert!(taken_ms(2) >= first_ms);
}
