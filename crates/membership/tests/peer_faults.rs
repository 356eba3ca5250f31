//! Faults of peers and of the network between VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rstest::rstest;

use apricotdale_core::vm_list::VmEntry;
use apricotdale_core::vm_list::VmState;
use apricotdale_membership::MembershipAction;
use apricotdale_membership::MembershipEvent;
use apricotdale_membership::Options;
use apricotdale_membership::PeerStatus;

mod support;

use support::Fixture;
use support::names;
use support::status;
use support::vm;

#[derive(Clone, Copy, Debug)]
enum Seen {
    Answered(usize),
    Missed(usize),
    Received(usize),
    AnsweredByNew(usize),
    AnsweredByOld(usize),
}

/// Events from `vm-b`, and whether this VM may prefer `vm-b` after them.
#[rstest]
#[case::healthy(&[Seen::Answered(1)], true)]
#[case::never_seen(&[], true)]
#[case::one_lost_heartbeat(&[Seen::Answered(5), Seen::Missed(2)], true)]
#[case::down(&[Seen::Answered(5), Seen::Missed(3)], false)]
#[case::half_open(&[Seen::Missed(9)], false)]
#[case::one_way_partition(&[Seen::Answered(5), Seen::Missed(3), Seen::Received(9)], false)]
#[case::single_answer(&[Seen::Missed(3), Seen::Answered(1)], false)]
#[case::back(&[Seen::Missed(3), Seen::Answered(2)], true)]
#[case::flapping(
    &[Seen::Missed(3), Seen::Answered(1), Seen::Missed(1), Seen::Answered(1)],
    false
)]
#[case::restarted(&[Seen::Answered(1), Seen::Missed(3), Seen::AnsweredByNew(1)], true)]
#[case::late_former_answer(
    &[Seen::Answered(1), Seen::AnsweredByNew(1), Seen::Missed(3), Seen::AnsweredByOld(9)],
    false
)]
fn peer_preference(#[case] observations: &[Seen], #[case] expected: bool) {
    let mut fixture = Fixture::new("vm-a");
    fixture.list_at(
        1_000,
        &[vm("vm-a", VmState::Live), vm("vm-b", VmState::Live)],
    );
    for one in observations {
        match *one {
            Seen::Answered(times) | Seen::AnsweredByOld(times) => {
                fixture.answer("vm-b", 1, times);
            }
            Seen::AnsweredByNew(times) => {
                fixture.answer("vm-b", 2, times);
            }
            Seen::Missed(times) => fixture.miss("vm-b", times),
            Seen::Received(times) => fixture.receive("vm-b", 1, times),
        }
    }
    assert_eq!(fixture.live().contains("vm-b"), expected);
    let share = fixture.membership.view().share_rank("planner-lm");
    assert_eq!(
        share.map(|(_, count)| count),
        Some(2),
        "it may still use its share of a limit"
    );
}

#[test]
fn restart_reported_once() {
    let mut fixture = Fixture::new("vm-a");
    fixture.list_at(1_000, &[vm("vm-b", VmState::Live)]);
    let restart_action = |process_id| MembershipAction::PeerRestarted {
        vm: "vm-b".into(),
        process_id,
    };
    assert_eq!(fixture.answer("vm-b", 1, 1), []);
    assert_eq!(fixture.answer("vm-b", 2, 1), [restart_action(2)]);
    assert_eq!(fixture.answer("vm-b", 2, 1), []);
    assert_eq!(
        fixture.answer("vm-b", 1, 1),
        [],
        "a late answer of the former process"
    );
    assert_eq!(fixture.answer("vm-b", 3, 1), [restart_action(3)]);
}

#[test]
fn draining_peer() {
    let mut fixture = Fixture::new("vm-a");
    fixture.list_at(1_000, &[vm("vm-b", VmState::Live)]);
    let draining = PeerStatus {
        draining: true,
        ..status("vm-b", 1)
    };
    fixture.handle(MembershipEvent::HeartbeatReceived(draining));
    assert_eq!(fixture.live(), names(&["vm-a"]));
    fixture.answer("vm-b", 2, 1);
    assert_eq!(fixture.live(), names(&["vm-a", "vm-b"]));
}

#[test]
fn draining_own_vm() {
    let mut fixture = Fixture::new("vm-a");
    fixture.list_at(
        1_000,
        &[vm("vm-a", VmState::Live), vm("vm-b", VmState::Live)],
    );
    fixture.handle(MembershipEvent::DrainBegun);
    let view = fixture.membership.view();
    assert_eq!(fixture.live(), names(&["vm-b"]));
    assert!(!view.may_propose("planner-lm", 60_000));
    assert_eq!(view.share_rank("planner-lm"), None);
}

/// Guards against keys without a proposer, whose requests wait until they are refused. The
/// preferred VM may be down, or each VM may prefer another one because their VM lists differ.
#[rstest]
#[case::same_lists(&["vm-a", "vm-b", "vm-c"], &["vm-a", "vm-b", "vm-c"])]
#[case::one_list_delayed(&["vm-a", "vm-b", "vm-c"], &["vm-a", "vm-b", "vm-c", "vm-x"])]
#[case::different_lists(&["vm-a", "vm-b", "vm-x"], &["vm-b", "vm-c", "vm-y"])]
fn proposer_in_time(#[case] list_of_a: &[&str], #[case] list_of_b: &[&str]) {
    let entries = |names: &[&str]| -> Vec<VmEntry> {
        names.iter().map(|name| vm(name, VmState::Live)).collect()
    };
    let mut fixture_a = Fixture::new("vm-a");
    let mut fixture_b = Fixture::new("vm-b");
    fixture_a.list_at(1_000, &entries(list_of_a));
    fixture_b.list_at(1_000, &entries(list_of_b));
    let step_ms = Options::default().propose_step_ms;
    for key in 0..200_u32 {
        let views = [fixture_a.membership.view(), fixture_b.membership.view()];
        let longest_ms = step_ms * 3;
        let first = views.iter().find(|view| view.may_propose(&key, longest_ms));
        assert!(
            first.is_some(),
            "key {key} has no proposer after {longest_ms} ms"
        );
        for view in &views {
            let rank = view.rank(&key).expect("both are in their own views") as u64;
            assert_eq!(view.may_propose(&key, 0), view.is_preferred(&key));
            assert!(rank == 0 || !view.may_propose(&key, rank * step_ms - 1));
            assert!(view.may_propose(&key, rank * step_ms));
        }
    }
}

fn cluster(count: usize) -> Vec<VmEntry> {
    (0..count)
        .map(|number| vm(&format!("vm-{number}"), VmState::Live))
        .collect()
}

fn heartbeat_targets(actions: &[MembershipAction]) -> Vec<String> {
    let heartbeat = |action: &MembershipAction| match action {
        MembershipAction::Heartbeat { vm, .. } => Some(vm.to_string()),
        _ => None,
    };
    actions.iter().filter_map(heartbeat).collect()
}

#[rstest]
#[case(6)]
#[case(9)]
fn small_cluster_rounds(#[case] count: usize) {
    let mut fixture = Fixture::new("vm-0");
    fixture.list_at(1_000, &cluster(count));
    for round in 1..5 {
        let targets = heartbeat_targets(&fixture.tick_at(1_000 * round));
        assert_eq!(targets.len(), count - 1);
        assert_eq!(
            heartbeat_targets(&fixture.tick_at(1_000 * round + 999)),
            Vec::<String>::new()
        );
    }
}

/// Guards against heartbeats that use up a node's resources in a large cluster. If each of 410 VMs
/// sent one to all others every second, their rate per VM would grow with the cluster.
#[rstest]
#[case(100)]
#[case(410)]
fn large_cluster_rotation(#[case] count: usize) {
    let options = Options::default();
    let mut fixture = Fixture::new("vm-0");
    fixture.list_at(1_000, &cluster(count));
    let mut heartbeat_counts: BTreeMap<String, usize> = BTreeMap::new();
    let rounds = (count - 1).div_ceil(options.peers_per_round);
    for round in 0..rounds as u64 {
        let targets =
            heartbeat_targets(&fixture.tick_at(1_000 + round * options.large_cluster_round_ms));
        assert_eq!(targets.len(), options.peers_per_round);
        for vm in targets {
            *heartbeat_counts.entry(vm).or_default() += 1;
        }
    }
    assert_eq!(
        heartbeat_counts.len(),
        count - 1,
        "each peer gets a heartbeat in one rotation"
    );
    assert!(heartbeat_counts.values().all(|times| *times <= 2));
}

#[test]
fn distinct_heartbeat_orders() {
    let first_round = |own: &str| -> BTreeSet<String> {
        let mut fixture = Fixture::new(own);
        fixture.list_at(1_000, &cluster(100));
        heartbeat_targets(&fixture.tick_at(1_000))
            .into_iter()
            .collect()
    };
    assert_ne!(first_round("vm-0"), first_round("vm-1"));
    assert_eq!(first_round("vm-0"), first_round("vm-0"));
}

#[test]
fn missed_peer_retried() {
    let options = Options::default();
    let mut fixture = Fixture::new("vm-0");
    fixture.list_at(1_000, &cluster(410));
    let missed = heartbeat_targets(&fixture.tick_at(1_000))[0].clone();
    for round in 1..3 {
        fixture.miss(&missed, 1);
        let now_ms = 1_000 + round * options.large_cluster_round_ms;
        assert!(heartbeat_targets(&fixture.tick_at(now_ms)).contains(&missed));
    }
    fixture.miss(&missed, 1);
    assert!(!fixture.live().contains(&missed));
}
