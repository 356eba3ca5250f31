//! Who is gone for sure, and who says so.

use rstest::rstest;

use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmState;
use apricotdale_membership::MembershipAction;
use apricotdale_membership::MembershipEvent;
use apricotdale_membership::Options;

mod support;

use support::Bench;
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

/// Lets this VM alone see some readings of `vm-b` and then wait for long.
fn proposals_after(readings: &[Option<VmState>]) -> Vec<MembershipAction> {
    let mut bench = Bench::new("vm-a");
    for (number, state) in readings.iter().enumerate() {
        let entry = state.map(|state| vm("vm-b", state));
        let entries: Vec<VmEntry> = [vm("vm-a", LIVE)].into_iter().chain(entry).collect();
        bench.list_at(1_000 * (number as u64 + 1), &entries);
    }
    bench.miss("vm-b", 9);
    proposals(bench.tick_at(100_000))
}

/// Symptom: a VM that runs is departed, and two VMs carry out the same intent.
/// Sequence: it does not answer, is missing from the list, or is being taken away.
/// Cause: silence or absence is taken as proof that it is gone.
#[rstest]
#[case::silent(&[Some(LIVE)], &[])]
#[case::missing(&[Some(LIVE), None, None], &[])]
#[case::leaving(&[Some(LEAVING)], &[])]
#[case::gone(&[Some(LIVE), Some(GONE)], &[depart("vm-b", 2_000)])]
#[case::gone_then_missing(&[Some(GONE), None], &[depart("vm-b", 1_000)])]
#[case::gone_then_live(&[Some(GONE), Some(LIVE)], &[])]
#[case::gone_twice(&[Some(GONE), Some(LIVE), Some(GONE)], &[depart("vm-b", 3_000)])]
fn only_a_stated_end_is_proposed(
    #[case] readings: &[Option<VmState>],
    #[case] expected: &[MembershipAction],
) {
    assert_eq!(proposals_after(readings), expected);
}

/// Symptom: a new process is departed in place of the old one under the same name.
/// Sequence: the list still says gone while the VM has been replaced and answers.
/// Cause: the lagging list is believed against the VM's own word.
#[rstest]
#[case::it_answers(true)]
#[case::only_its_own_heartbeats_arrive(false)]
fn a_vm_that_is_heard_is_not_departed(#[case] answers: bool) {
    let silence_ms = Options::default().gone_silence_ms;
    let mut bench = Bench::new("vm-a");
    bench.list_at(1_000, &[vm("vm-a", LIVE), vm("vm-b", GONE)]);
    for second in 2..30 {
        bench.now_ms = second * 1_000;
        match answers {
            true => drop(bench.answer("vm-b", 2, 1)),
            false => bench.hear("vm-b", 2, 1),
        }
        assert_eq!(proposals(bench.tick_at(second * 1_000)), []);
    }
    let silent = proposals(bench.tick_at(29_000 + silence_ms));
    assert_eq!(silent, [depart("vm-b", 1_000)]);
}

#[test]
fn a_proposal_is_repeated_until_replay_shows_it() {
    let options = Options::default();
    let mut bench = Bench::new("vm-a");
    bench.list_at(1_000, &[vm("vm-b", GONE), engine("engine-1", GONE)]);
    assert_eq!(proposals(bench.tick_at(1_000)).len(), 2);
    assert_eq!(proposals(bench.tick_at(1_100)), []);
    assert_eq!(
        proposals(bench.tick_at(1_000 + options.repropose_ms)).len(),
        2
    );
    bench.handle(MembershipEvent::Departed { vm: "vm-b".into() });
    let upstream = "engine-1".into();
    bench.handle(MembershipEvent::UpstreamDeparted { upstream });
    assert_eq!(proposals(bench.tick_at(60_000)), []);
}

/// Symptom: after a VM is gone, hundreds of VMs append the same record at once.
/// Sequence: all of them read the same list.
/// Cause: each one that knows proposes.
#[test]
fn one_vm_after_another_proposes() {
    let options = Options::default();
    let names: Vec<String> = (0..9).map(|number| format!("vm-{number}")).collect();
    let mut entries: Vec<VmEntry> = names.iter().map(|name| vm(name, LIVE)).collect();
    entries.push(vm("vm-x", GONE));
    let mut benches: Vec<Bench> = names.iter().map(|name| Bench::new(name)).collect();
    let mut proposed_at_ms: Vec<u64> = Vec::new();
    for bench in &mut benches {
        bench.list_at(1_000, &entries);
        let steps = (0..9).map(|step| 1_000 + step * options.propose_step_ms);
        let mut moments = steps.filter(|now_ms| !proposals(bench.tick_at(*now_ms)).is_empty());
        proposed_at_ms.extend(moments.next());
    }
    proposed_at_ms.sort_unstable();
    let expected: Vec<u64> = (0..9)
        .map(|rank| 1_000 + rank * options.propose_step_ms)
        .collect();
    assert_eq!(proposed_at_ms, expected);
}
