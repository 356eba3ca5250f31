//! Which VMs and upstreams are proposed as gone, and by which VM.

use rstest::rstest;

use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmState;
use apricotdale_membership::MembershipAction;
use apricotdale_membership::MembershipEvent;
use apricotdale_membership::Options;

mod support;

use support::Fixture;
use support::UNIX_START_MS;
use support::engine;
use support::vm;

const LIVE: VmState = VmState::Live;
const LEAVING: VmState = VmState::Leaving;
const GONE: VmState = VmState::Gone;

fn depart(vm: &str, as_of_ms: u64) -> MembershipAction {
    MembershipAction::ProposeDepart {
        vm: vm.into(),
        as_of_ms: UNIX_START_MS + as_of_ms,
    }
}

fn proposals(actions: Vec<MembershipAction>) -> Vec<MembershipAction> {
    let is_proposal = |action: &MembershipAction| {
        matches!(
            action,
            MembershipAction::ProposeDepart { .. } | MembershipAction::ProposeUpstreamGone { .. }
        )
    };
    actions.into_iter().filter(is_proposal).collect()
}

/// Shows the listed states of `vm-b` to this VM alone, and returns its proposals after a long wait.
fn proposals_after(readings: &[Option<VmState>]) -> Vec<MembershipAction> {
    let mut fixture = Fixture::new("vm-a");
    for (number, state) in readings.iter().enumerate() {
        let entry = state.map(|state| vm("vm-b", state));
        let entries: Vec<VmEntry> = [vm("vm-a", LIVE)].into_iter().chain(entry).collect();
        fixture.list_at(1_000 * (number as u64 + 1), &entries);
    }
    fixture.miss("vm-b", 9);
    proposals(fixture.tick_at(100_000))
}

/// Guards against the departure of a running VM, after which two VMs execute the same intent. A VM
/// that does not answer, is missing from the VM list or is leaving need not be gone.
#[rstest]
#[case::silent(&[Some(LIVE)], &[])]
#[case::missing(&[Some(LIVE), None, None], &[])]
#[case::leaving(&[Some(LEAVING)], &[])]
#[case::gone(&[Some(LIVE), Some(GONE)], &[depart("vm-b", 2_000)])]
#[case::gone_then_missing(&[Some(GONE), None], &[depart("vm-b", 1_000)])]
#[case::gone_then_live(&[Some(GONE), Some(LIVE)], &[])]
#[case::gone_twice(&[Some(GONE), Some(LIVE), Some(GONE)], &[depart("vm-b", 3_000)])]
fn stated_departures_only(
    #[case] readings: &[Option<VmState>],
    #[case] expected: &[MembershipAction],
) {
    assert_eq!(proposals_after(readings), expected);
}

/// Guards against the departure of a new process in place of the old one under the same name. The
/// delayed VM list may still state a VM as gone after it was replaced and sends heartbeats.
#[rstest]
#[case::answers(true)]
#[case::sends_heartbeats_only(false)]
fn responsive_never_departed(#[case] answers: bool) {
    let silence_ms = Options::default().gone_silence_ms;
    let mut fixture = Fixture::new("vm-a");
    fixture.list_at(1_000, &[vm("vm-a", LIVE), vm("vm-b", GONE)]);
    for second in 2..30 {
        fixture.now_ms = second * 1_000;
        match answers {
            true => drop(fixture.answer("vm-b", 2, 1)),
            false => fixture.receive("vm-b", 2, 1),
        }
        assert_eq!(proposals(fixture.tick_at(second * 1_000)), []);
    }
    let after_silence = proposals(fixture.tick_at(29_000 + silence_ms));
    assert_eq!(after_silence, [depart("vm-b", 1_000)]);
}

#[test]
fn proposal_repeated() {
    let options = Options::default();
    let mut fixture = Fixture::new("vm-a");
    fixture.list_at(1_000, &[vm("vm-b", GONE), engine("engine-1", GONE)]);
    assert_eq!(proposals(fixture.tick_at(1_000)).len(), 2);
    assert_eq!(proposals(fixture.tick_at(1_100)), []);
    assert_eq!(
        proposals(fixture.tick_at(1_000 + options.repropose_ms)).len(),
        2
    );
    fixture.handle(MembershipEvent::Departed { vm: "vm-b".into() });
    let upstream = "engine-1".into();
    fixture.handle(MembershipEvent::UpstreamDeparted { upstream });
    assert_eq!(proposals(fixture.tick_at(60_000)), []);
}

/// Guards against hundreds of VMs appending the same record at once after a VM is gone. All of them
/// read the same VM list.
#[test]
fn staggered_proposals() {
    let options = Options::default();
    let names: Vec<String> = (0..9).map(|number| format!("vm-{number}")).collect();
    let mut entries: Vec<VmEntry> = names.iter().map(|name| vm(name, LIVE)).collect();
    entries.push(vm("vm-x", GONE));
    let mut fixtures: Vec<Fixture> = names.iter().map(|name| Fixture::new(name)).collect();
    let mut proposed_at_ms: Vec<u64> = Vec::new();
    for fixture in &mut fixtures {
        fixture.list_at(1_000, &entries);
        let steps = (0..9).map(|step| 1_000 + step * options.propose_step_ms);
        let mut moments = steps.filter(|now_ms| !proposals(fixture.tick_at(*now_ms)).is_empty());
        proposed_at_ms.extend(moments.next());
    }
    proposed_at_ms.sort_unstable();
    let expected: Vec<u64> = (0..9)
        .map(|rank| 1_000 + rank * options.propose_step_ms)
        .collect();
    assert_eq!(proposed_at_ms, expected);
}
