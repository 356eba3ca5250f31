//! Faults of the platform's VM list: sequences of listings and the resulting view.

use rstest::rstest;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::policy::UpstreamOutcome;
use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmState;
use apricotdale_membership::MembershipAction;
use apricotdale_membership::MembershipEvent;

mod support;

use support::Fixture;
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

/// Each listing is its stated time and the first engine's state, or `None` if the engine is
/// missing. The listings are read one second apart.
#[rstest]
#[case::live(&[(1_000, Some(LIVE))], true)]
#[case::never_listed(&[(1_000, None)], false)]
#[case::leaving_next_listing(&[(1_000, Some(LIVE)), (2_000, Some(LEAVING))], false)]
#[case::gone(&[(1_000, Some(LIVE)), (2_000, Some(GONE))], false)]
#[case::listed_first_as_leaving(&[(1_000, Some(LEAVING))], false)]
#[case::missing_briefly(&[(1_000, Some(LIVE)), (2_000, None)], true)]
#[case::missing_long(&[(1_000, Some(LIVE)), (2_000, None), (33_000, None)], false)]
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
#[case::leaving_cancelled(
    &[(1_000, Some(LEAVING)), (2_000, Some(LIVE)), (12_000, Some(LIVE))],
    true
)]
#[case::leaving_missing_live(
    &[(1_000, Some(LEAVING)), (2_000, None), (3_000, Some(LIVE)), (4_000, Some(LIVE))],
    false
)]
fn accepts_work(#[case] readings: &[(u64, Option<VmState>)], #[case] expected: bool) {
    let mut fixture = Fixture::new("vm-a");
    for (number, (as_of_ms, state)) in readings.iter().enumerate() {
        fixture.now_ms = 1_000 * (number as u64 + 1);
        fixture.list_as_of(*as_of_ms, &engines(*state, 6));
    }
    assert_eq!(fixture.accepts("engine-0"), expected);
}

/// Guards against nearly all upstreams going out of service and back within one listing. A server
/// of the platform that has just started lists only a part of the VMs, so absence needs
/// confirmation.
#[rstest]
#[case::most_missing(2, &[], 2, 6)]
#[case::all_missing(0, &[], 2, 6)]
#[case::a_third_missing(4, &[], 2, 6)]
#[case::confirmed_too_early(2, &[10_000], 2, 6)]
#[case::missing_since_confirmation(2, &[13_000, 40_000], 2, 6)]
#[case::confirmed(2, &[13_000, 44_000], 2, 2)]
#[case::all_back(2, &[], 6, 6)]
fn absence_needs_confirmation(
    #[case] left: usize,
    #[case] again_at_ms: &[u64],
    #[case] then_left: usize,
    #[case] accepting: usize,
) {
    let mut fixture = Fixture::new("vm-a");
    fixture.list_at(1_000, &engines(None, 6));
    fixture.list_at(2_000, &engines(None, left));
    for now_ms in again_at_ms {
        fixture.list_at(*now_ms, &engines(None, then_left));
    }
    let view = fixture.membership.view();
    assert_eq!(
        view.candidates(&GroupName::new("planner-lm")).len(),
        accepting
    );
}

/// Guards against new work for a leaving upstream while a listing awaits confirmation. Only the
/// absence of entries may be held back, not the states of the listed ones.
#[test]
fn leaving_applies_immediately() {
    let mut fixture = Fixture::new("vm-a");
    fixture.list_at(1_000, &engines(Some(LIVE), 6));
    fixture.list_at(2_000, &engines(Some(LEAVING), 0));
    assert!(!fixture.accepts("engine-0"));
    assert!(fixture.accepts("engine-1"));
}

/// Guards against all upstreams going out of service half a minute into an outage of the VM list.
/// The time since an entry was last listed must not run while no listing is read.
#[test]
fn outage_keeps_view() {
    let mut fixture = Fixture::new("vm-a");
    fixture.list_at(1_000, &engines(Some(LIVE), 3));
    fixture.list_at(2_000, &engines(None, 3));
    let before = fixture.membership.view();
    for second in 3..3_600 {
        fixture.now_ms = second * 1_000;
        assert_eq!(fixture.handle(MembershipEvent::ListingFailed), []);
        fixture.tick_at(second * 1_000);
    }
    assert_eq!(fixture.membership.view(), before);
    assert!(fixture.accepts("engine-0"));
}

#[test]
fn unreachable_still_accepts() {
    let mut fixture = Fixture::new("vm-a");
    fixture.list_at(1_000, &engines(Some(LIVE), 1));
    let upstream = UpstreamName::new("engine-0");
    let record_attempt = |outcome| MembershipEvent::UpstreamAttempted {
        upstream: upstream.clone(),
        outcome,
    };
    let reachable = |fixture: &Fixture| fixture.membership.view().upstreams[&upstream].reachable;
    for _ in 0..3 {
        fixture.handle(record_attempt(UpstreamOutcome::Cancelled));
        fixture.handle(record_attempt(UpstreamOutcome::Unreachable));
    }
    assert!(!reachable(&fixture));
    assert!(fixture.accepts("engine-0"));
    assert_eq!(
        fixture.handle(record_attempt(UpstreamOutcome::Refused)),
        [MembershipAction::ViewChanged]
    );
    assert!(reachable(&fixture));
}

/// Guards against a new VM that never prefers itself, and against VMs that keep preferring a
/// leaving one. The delayed VM list shows this VM late, and then as leaving.
#[test]
fn own_vm_view() {
    let mut fixture = Fixture::new("vm-c");
    let others = [vm("vm-a", LIVE), vm("vm-b", LIVE)];
    fixture.list_at(1_000, &others);
    assert_eq!(fixture.live(), names(&["vm-a", "vm-b", "vm-c"]));
    let leaving = [others.clone().as_slice(), &[vm("vm-c", LEAVING)]].concat();
    let actions = fixture.list_at(2_000, &leaving);
    assert!(actions.contains(&MembershipAction::OwnVmLeaving));
    assert_eq!(fixture.live(), names(&["vm-a", "vm-b"]));
    let again = fixture.list_at(3_000, &leaving);
    assert!(
        !again.contains(&MembershipAction::OwnVmLeaving),
        "reported once"
    );
}
