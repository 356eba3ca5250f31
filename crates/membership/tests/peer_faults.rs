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

use support::Bench;
use support::names;
use support::sign;
use support::vm;

#[derive(Clone, Copy, Debug)]
enum Seen {
    Answered(usize),
    Missed(usize),
    Heard(usize),
    AnsweredByNew(usize),
    AnsweredByOld(usize),
}

/// What this VM sees of `vm-b`, and whether it prefers it after that.
#[rstest]
#[case::healthy(&[Seen::Answered(1)], true)]
#[case::never_seen(&[], true)]
#[case::one_lost_heartbeat(&[Seen::Answered(5), Seen::Missed(2)], true)]
#[case::down(&[Seen::Answered(5), Seen::Missed(3)], false)]
#[case::half_open(&[Seen::Missed(9)], false)]
#[case::asymmetric_cut(&[Seen::Answered(5), Seen::Missed(3), Seen::Heard(9)], false)]
#[case::one_answer_is_not_enough(&[Seen::Missed(3), Seen::Answered(1)], false)]
#[case::back(&[Seen::Missed(3), Seen::Answered(2)], true)]
#[case::flapping(
    &[Seen::Missed(3), Seen::Answered(1), Seen::Missed(1), Seen::Answered(1)],
    false
)]
#[case::restarted(&[Seen::Answered(1), Seen::Missed(3), Seen::AnsweredByNew(1)], true)]
#[case::late_answer_of_the_old_process(
    &[Seen::Answered(1), Seen::AnsweredByNew(1), Seen::Missed(3), Seen::AnsweredByOld(9)],
    false
)]
fn a_peer_is_preferred(#[case] seen: &[Seen], #[case] expected: bool) {
    let mut bench = Bench::new("vm-a");
    bench.list_at(
        1_000,
        &[vm("vm-a", VmState::Live), vm("vm-b", VmState::Live)],
    );
    for one in seen {
        match *one {
            Seen::Answered(times) | Seen::AnsweredByOld(times) => {
                bench.answer("vm-b", 1, times);
            }
            Seen::AnsweredByNew(times) => {
                bench.answer("vm-b", 2, times);
            }
            Seen::Missed(times) => bench.miss("vm-b", times),
            Seen::Heard(times) => bench.hear("vm-b", 1, times),
        }
    }
    assert_eq!(bench.live().contains("vm-b"), expected);
    let share = bench.membership.view().share_rank("planner-lm");
    assert_eq!(
        share.map(|(_, count)| count),
        Some(2),
        "it may still use its share of a limit"
    );
}

#[test]
fn a_restart_under_the_same_name_is_told_once() {
    let mut bench = Bench::new("vm-a");
    bench.list_at(1_000, &[vm("vm-b", VmState::Live)]);
    let restarted = |process_id| MembershipAction::PeerRestarted {
        vm: "vm-b".into(),
        process_id,
    };
    assert_eq!(bench.answer("vm-b", 1, 1), []);
    assert_eq!(bench.answer("vm-b", 2, 1), [restarted(2)]);
    assert_eq!(bench.answer("vm-b", 2, 1), []);
    assert_eq!(
        bench.answer("vm-b", 1, 1),
        [],
        "a late answer of the old process"
    );
    assert_eq!(bench.answer("vm-b", 3, 1), [restarted(3)]);
}

#[test]
fn a_draining_peer_is_not_preferred_until_it_restarts() {
    let mut bench = Bench::new("vm-a");
    bench.list_at(1_000, &[vm("vm-b", VmState::Live)]);
    let draining = PeerStatus {
        draining: true,
        ..sign("vm-b", 1)
    };
    bench.handle(MembershipEvent::HeartbeatReceived(draining));
    assert_eq!(bench.live(), names(&["vm-a"]));
    bench.answer("vm-b", 2, 1);
    assert_eq!(bench.live(), names(&["vm-a", "vm-b"]));
}

#[test]
fn a_draining_vm_does_not_prefer_itself() {
    let mut bench = Bench::new("vm-a");
    bench.list_at(
        1_000,
        &[vm("vm-a", VmState::Live), vm("vm-b", VmState::Live)],
    );
    bench.handle(MembershipEvent::DrainBegun);
    let view = bench.membership.view();
    assert_eq!(bench.live(), names(&["vm-b"]));
    assert!(!view.may_propose("planner-lm", 60_000));
    assert_eq!(view.share_rank("planner-lm"), None);
}

/// Symptom: nobody proposes a load, and its requests wait until they are refused.
/// Sequence: the preferred VM is down, or each VM prefers another one because their lists differ.
/// Cause: only the preferred VM may propose.
#[rstest]
#[case::same_lists(&["vm-a", "vm-b", "vm-c"], &["vm-a", "vm-b", "vm-c"])]
#[case::one_list_lags(&["vm-a", "vm-b", "vm-c"], &["vm-a", "vm-b", "vm-c", "vm-x"])]
#[case::lists_apart(&["vm-a", "vm-b", "vm-x"], &["vm-b", "vm-c", "vm-y"])]
fn every_key_gets_a_proposer_in_time(#[case] list_of_a: &[&str], #[case] list_of_b: &[&str]) {
    let entries = |names: &[&str]| -> Vec<VmEntry> {
        names.iter().map(|name| vm(name, VmState::Live)).collect()
    };
    let mut bench_a = Bench::new("vm-a");
    let mut bench_b = Bench::new("vm-b");
    bench_a.list_at(1_000, &entries(list_of_a));
    bench_b.list_at(1_000, &entries(list_of_b));
    let step_ms = Options::default().propose_step_ms;
    for key in 0..200_u32 {
        let views = [bench_a.membership.view(), bench_b.membership.view()];
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

fn beats(actions: &[MembershipAction]) -> Vec<String> {
    let beat = |action: &MembershipAction| match action {
        MembershipAction::Heartbeat { vm, .. } => Some(vm.to_string()),
        _ => None,
    };
    actions.iter().filter_map(beat).collect()
}

#[rstest]
#[case(6)]
#[case(9)]
fn a_small_cluster_is_visited_in_every_round(#[case] count: usize) {
    let mut bench = Bench::new("vm-0");
    bench.list_at(1_000, &cluster(count));
    for round in 1..5 {
        let visited = beats(&bench.tick_at(1_000 * round));
        assert_eq!(visited.len(), count - 1);
        assert_eq!(
            beats(&bench.tick_at(1_000 * round + 999)),
            Vec::<String>::new()
        );
    }
}

/// Symptom: heartbeats take the whole budget of a node once the cluster has grown.
/// Sequence: 410 VMs each visit all others every second.
/// Cause: the visits of a round grow with the cluster.
#[rstest]
#[case(100)]
#[case(410)]
fn a_large_cluster_is_visited_in_turn_at_a_constant_rate(#[case] count: usize) {
    let options = Options::default();
    let mut bench = Bench::new("vm-0");
    bench.list_at(1_000, &cluster(count));
    let mut visits: BTreeMap<String, usize> = BTreeMap::new();
    let rounds = (count - 1).div_ceil(options.peers_per_round);
    for round in 0..rounds as u64 {
        let visited = beats(&bench.tick_at(1_000 + round * options.large_cluster_round_ms));
        assert_eq!(visited.len(), options.peers_per_round);
        for vm in visited {
            *visits.entry(vm).or_default() += 1;
        }
    }
    assert_eq!(
        visits.len(),
        count - 1,
        "each peer is visited in one rotation"
    );
    assert!(visits.values().all(|times| *times <= 2));
}

#[test]
fn vms_visit_in_orders_of_their_own() {
    let first_round = |own: &str| -> BTreeSet<String> {
        let mut bench = Bench::new(own);
        bench.list_at(1_000, &cluster(100));
        beats(&bench.tick_at(1_000)).into_iter().collect()
    };
    assert_ne!(first_round("vm-0"), first_round("vm-1"));
    assert_eq!(first_round("vm-0"), first_round("vm-0"));
}

#[test]
fn a_peer_that_missed_is_visited_again_in_the_next_round() {
    let options = Options::default();
    let mut bench = Bench::new("vm-0");
    bench.list_at(1_000, &cluster(410));
    let missed = beats(&bench.tick_at(1_000))[0].clone();
    for round in 1..3 {
        bench.miss(&missed, 1);
        let now_ms = 1_000 + round * options.large_cluster_round_ms;
        assert!(beats(&bench.tick_at(now_ms)).contains(&missed));
    }
    bench.miss(&missed, 1);
    assert!(!bench.live().contains(&missed));
}
