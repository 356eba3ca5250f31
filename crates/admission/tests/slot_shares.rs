//! Shares of a target's slots over all VMs.

use rstest::rstest;

use apricotdale_admission::SlotReport;
use apricotdale_admission::SlotView;
use apricotdale_admission::share_by_demand;
use apricotdale_admission::share_of_slots;
use apricotdale_admission::vm_slots;

#[rstest]
#[case::even(32, 8)]
#[case::odd(32, 9)]
#[case::fewer_slots_than_vms(8, 410)]
#[case::one_slot(1, 6)]
#[case::none(0, 6)]
#[case::one_vm(32, 1)]
fn equal_shares(#[case] total_slots: u32, #[case] vm_count: u32) {
    let shares: Vec<u32> = (0..vm_count)
        .map(|rank| share_of_slots(total_slots, rank, vm_count))
        .collect();
    assert_eq!(shares.iter().sum::<u32>(), total_slots);
    let spread = shares.iter().max().zip(shares.iter().min());
    assert!(spread.is_some_and(|(most, least)| most - least <= 1));
}

#[rstest]
#[case::no_demand(10, &[0, 0, 0], &[4, 3, 3])]
#[case::one_demand(10, &[0, 9, 0], &[1, 9, 0])]
#[case::one_large_demand(10, &[0, 20, 0], &[0, 10, 0])]
#[case::large_demands(10, &[20, 20, 20], &[3, 3, 4])]
#[case::small_demand_is_met(10, &[1, 20, 20], &[1, 4, 5])]
#[case::fewer_slots_than_demands(2, &[5, 5, 5], &[0, 1, 1])]
#[case::no_slot(0, &[5, 5], &[0, 0])]
fn demand_shares(#[case] total_slots: u32, #[case] demands: &[u32], #[case] expected: &[u32]) {
    let shares: Vec<u32> = (0..demands.len())
        .map(|vm| share_by_demand(total_slots, demands, vm))
        .collect();
    assert_eq!(shares, expected);
}

fn view(total_slots: u32, vm_rank: u32, vm_count: u32, report: Option<SlotReport>) -> SlotView {
    SlotView {
        total_slots,
        vm_rank,
        vm_count,
        report,
    }
}

#[rstest]
#[case::without_report(view(8, 0, 9, None), 1)]
#[case::idle_target_lends_half(view(8, 0, 9, Some(SlotReport { busy: 0, own: 0 })), 4)]
#[case::own_requests_do_not_count(view(8, 0, 9, Some(SlotReport { busy: 4, own: 4 })), 4)]
#[case::busy_target_lends_nothing(view(18, 0, 9, Some(SlotReport { busy: 20, own: 2 })), 2)]
#[case::rank_without_share_gets_one(view(8, 300, 410, None), 1)]
#[case::full_target_still_gives_one(view(8, 300, 410, Some(SlotReport { busy: 99, own: 0 })), 1)]
#[case::no_slot(view(0, 0, 9, None), 0)]
fn share_and_unused(#[case] view: SlotView, #[case] expected: u32) {
    assert_eq!(vm_slots(&view), expected);
}

/// Guards against VMs that together fill an engine's batch several times over. Before the first
/// report of a newly loaded engine, each VM could otherwise take all slots for itself.
#[rstest]
fn fleet_limit_without_reports(
    #[values(1, 6, 9, 410)] vm_count: u32,
    #[values(1, 8, 32, 600)] total_slots: u32,
) {
    let in_progress: u32 = (0..vm_count)
        .map(|rank| vm_slots(&view(total_slots, rank, vm_count, None)))
        .sum();
    assert_eq!(in_progress, total_slots.max(vm_count));
}
