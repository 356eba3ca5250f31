//! Faults of the platform's list, as tables of readings and what is believed after them.

use rstest::rstest;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmState;
use apricotdale_membership::MembershipAction;
use apricotdale_membership::MembershipEvent;

mod support;

use support::Bench;
use support::engine;
use support::names;
use support::vm;

const LIVE: VmState = VmState::Live;
const LEAVING: VmState = VmState::Leaving;
const GONE: VmState = VmState::Gone;

fn engines(state_of_first: Option<VmState>, others: usize) -> Vec<VmEntry> {
    let first = state_of_first.map(|state| engine("engine-0", state));
    let others = (1..=others).map(|number| engine(&format!("engine-{number}"), LIVE));
    first.into_iter().chain(others).collect()
}

/// Each reading is the time of which the list speaks and the first engine's state in it, or none
/// where the engine is missing. One reading follows the other after a second.
#[rstest]
#[case::live(&[(1_000, Some(LIVE))], true)]
#[case::never_listed(&[(1_000, None)], false)]
#[case::leaving_within_one_listing(&[(1_000, Some(LIVE)), (2_000, Some(LEAVING))], false)]
#[case::gone(&[(1_000, Some(LIVE)), (2_000, Some(GONE))], false)]
#[case::listed_first_as_leaving(&[(1_000, Some(LEAVING))], false)]
#[case::missing_for_a_moment(&[(1_000, Some(LIVE)), (2_000, None)], true)]
#[case::missing_for_long(&[(1_000, Some(LIVE)), (2_000, None), (33_000, None)], false)]
#[case::missing_and_back(&[(1_000, Some(LIVE)), (2_000, None), (40_000, Some(LIVE))], true)]
#[case::backward(&[(1_000, Some(LIVE)), (3_000, Some(LEAVING)), (2_000, Some(LIVE))], false)]
#[case::backward_leaving(&[(50_000, Some(LIVE)), (2_000, Some(LEAVING))], true)]
#[case::backward_without_it(&[(3_000, Some(LIVE)), (1_000, None), (2_000, None)], true)]
#[case::same_time_again(&[(1_000, Some(LEAVING)), (1_000, Some(LIVE))], false)]
#[case::flapping(
    &[(1_000, Some(LIVE)), (2_000, Some(LEAVING)), (3_000, Some(LIVE)), (4_000, Some(LEAVING)),
      (5_000, Some(LIVE)), (9_000, Some(LIVE))],
    false
)]
#[case::leaving_was_called_off(
    &[(1_000, Some(LEAVING)), (2_000, Some(LIVE)), (12_000, Some(LIVE))],
    true
)]
#[case::leaving_missing_live(
    &[(1_000, Some(LEAVING)), (2_000, None), (3_000, Some(LIVE)), (4_000, Some(LIVE))],
    false
)]
fn an_upstream_accepts_work(#[case] readings: &[(u64, Option<VmState>)], #[case] expected: bool) {
    let mut bench = Bench::new("vm-a");
    for (number, (as_of_ms, state)) in readings.iter().enumerate() {
        bench.now_ms = 1_000 * (number as u64 + 1);
        bench.list_as_of(*as_of_ms, &engines(*state, 6));
    }
    assert_eq!(bench.accepts("engine-0"), expected);
}

/// Symptom: nearly all upstreams go out of service at once and come back a reading later.
/// Sequence: one server of the platform has just started and lists a part of the VMs only.
/// Cause: what is missing from the list is taken as gone.
#[rstest]
#[case::most_missing(2, &[], 2, 6)]
#[case::all_missing(0, &[], 2, 6)]
#[case::a_third_missing(4, &[], 2, 6)]
#[case::confirmed_too_early(2, &[10_000], 2, 6)]
#[case::missing_only_since_confirmed(2, &[13_000, 40_000], 2, 6)]
#[case::confirmed(2, &[13_000, 44_000], 2, 2)]
#[case::all_back(2, &[], 6, 6)]
fn a_listing_that_drops_most_entries_needs_confirmation(
    #[case] left: usize,
    #[case] again_at_ms: &[u64],
    #[case] then_left: usize,
    #[case] accepting: usize,
) {
    let mut bench = Bench::new("vm-a");
    bench.list_at(1_000, &engines(None, 6));
    bench.list_at(2_000, &engines(None, left));
    for now_ms in again_at_ms {
        bench.list_at(*now_ms, &engines(None, then_left));
    }
    let view = bench.membership.view();
    assert_eq!(
        view.candidates(&GroupName::new("planner-lm")).len(),
        accepting
    );
}

/// Symptom: a leaving upstream receives new work for as long as the list is doubted.
/// Sequence: a listing drops most entries and says of one that it is leaving.
/// Cause: a listing that is held back is held back as a whole.
#[test]
fn a_doubted_listing_still_stops_work_to_the_leaving() {
    let mut bench = Bench::new("vm-a");
    bench.list_at(1_000, &engines(Some(LIVE), 6));
    bench.list_at(2_000, &engines(Some(LEAVING), 0));
    assert!(!bench.accepts("engine-0"));
    assert!(bench.accepts("engine-1"));
}

/// Symptom: in an outage of the list all upstreams go out of service after half a minute.
/// Sequence: the list can't be read for an hour.
/// Cause: the time since an entry was last listed runs while no list is read.
#[test]
fn an_outage_of_the_list_keeps_the_last_view() {
    let mut bench = Bench::new("vm-a");
    bench.list_at(1_000, &engines(Some(LIVE), 3));
    bench.list_at(2_000, &engines(None, 3));
    let before = bench.membership.view();
    for second in 3..3_600 {
        bench.now_ms = second * 1_000;
        assert_eq!(bench.handle(MembershipEvent::ListingFailed), []);
        bench.tick_at(second * 1_000);
    }
    assert_eq!(bench.membership.view(), before);
    assert!(bench.accepts("engine-0"));
}

#[test]
fn outcomes_lower_preference_and_never_the_right_to_work() {
    let mut bench = Bench::new("vm-a");
    bench.list_at(1_000, &engines(Some(LIVE), 1));
    let upstream = UpstreamName::new("engine-0");
    let tried = |outcome| MembershipEvent::UpstreamAttempted {
        upstream: upstream.clone(),
        outcome,
    };
    let reachable = |bench: &Bench| bench.membership.view().upstreams[&upstream].reachable;
    for _ in 0..3 {
        bench.handle(tried(UpstreamOutcome::Cancelled));
        bench.handle(tried(UpstreamOutcome::Unreachable));
    }
    assert!(!reachable(&bench));
    assert!(bench.accepts("engine-0"));
    assert_eq!(
        bench.handle(tried(UpstreamOutcome::Refused)),
        [MembershipAction::ViewChanged]
    );
    assert!(reachable(&bench));
}

/// Symptom: a new VM never prefers itself, or others never stop preferring a VM that leaves.
/// Sequence: the list shows this VM late, and then as leaving.
/// Cause: the own VM is believed to be what the lagging list says.
#[test]
fn the_own_vm_counts_before_it_is_listed_and_not_while_it_leaves() {
    let mut bench = Bench::new("vm-c");
    let others = [vm("vm-a", LIVE), vm("vm-b", LIVE)];
    bench.list_at(1_000, &others);
    assert_eq!(bench.live(), names(&["vm-a", "vm-b", "vm-c"]));
    let leaving = [others.clone().as_slice(), &[vm("vm-c", LEAVING)]].concat();
    let actions = bench.list_at(2_000, &leaving);
    assert!(actions.contains(&MembershipAction::OwnVmLeaving));
    assert_eq!(bench.live(), names(&["vm-a", "vm-b"]));
    let again = bench.list_at(3_000, &leaving);
    assert!(
        !again.contains(&MembershipAction::OwnVmLeaving),
        "told once"
    );
}
