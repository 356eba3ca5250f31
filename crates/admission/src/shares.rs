//! Each VM's share of a target's slots, so that a limit over all VMs needs no message a request.
//!
//! Every VM works out its own share from the membership view and the engines' lagging reports. No
//! VM asks another one. The engine queues what is sent beyond its slots; memory is not at stake.

/// The part of the slots unused by others, as one over this number, that a VM takes on top of its
/// share.
const LENT_PART: u32 = 2;

/// `SlotView` is what a VM knows of a target's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotView {
    /// The slots of all replicas of the target.
    pub total_slots: u32,
    /// This VM's rank for the target among all VMs, from zero. Ranks by rendezvous give the odd
    /// slots of different targets to different VMs.
    pub vm_rank: u32,
    /// The number of VMs.
    pub vm_count: u32,
    /// The engines' load as last reported, or none if a report is missing, is old, or speaks of a
    /// time before the replicas were loaded.
    pub report: Option<SlotReport>,
}

/// `SlotReport` is the reported use of a target's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotReport {
    /// Requests running and waiting at the engines.
    pub busy: u32,
    /// How many of them this VM had sent.
    pub own: u32,
}

/// Returns the slots of the VM of rank `vm_rank` among `vm_count` VMs. The shares of all ranks add
/// up to `total_slots`, and no two differ by more than one. VMs of rank `total_slots` and above
/// have none.
pub fn share_of_slots(total_slots: u32, vm_rank: u32, vm_count: u32) -> u32 {
    if vm_rank >= vm_count {
        return 0;
    }
    let odd_slots = total_slots % vm_count;
    total_slots / vm_count + u32::from(vm_rank < odd_slots)
}

/// Returns how many requests this VM may have in progress at a target: its share, half of what a
/// fresh report shows as left unused by the others, and at least one if there is any slot.
///
/// Without lending, a rarely called model would serve one VM's burst on that VM's share alone while
/// the rest of its batch is idle. A VM whose share is zero, because there are fewer slots than VMs,
/// still gets one: it has callers like any other, and no other VM knows of them. Over all VMs the
/// requests in progress are at most `max(total_slots, vm_count)`, plus, within the lag of one
/// report, half of the slots reported unused for each VM that uses them at that moment.
pub fn vm_slots(view: &SlotView) -> u32 {
    if view.total_slots == 0 {
        return 0;
    }
    let share = share_of_slots(view.total_slots, view.vm_rank, view.vm_count);
    let others = view
        .report
        .map(|report| report.busy.saturating_sub(report.own));
    let unused = others.map_or(0, |others| {
        view.total_slots
            .saturating_sub(others)
            .saturating_sub(share)
    });
    (share + unused / LENT_PART).max(1)
}

/// Returns the slots of the VM at `index` when every VM's demand is known: requests waiting and in
/// progress there. A VM that demands less than an equal part gets its demand, the others share what
/// is left, and what nobody demands is shared out equally. The results of all VMs add up to
/// `total_slots`.
pub fn share_by_demand(total_slots: u32, demands: &[u32], index: usize) -> u32 {
    if index >= demands.len() {
        return 0;
    }
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&vm| (demands[vm], vm));
    let mut shares = vec![0; demands.len()];
    let mut rest = total_slots;
    for (done, &vm) in order.iter().enumerate() {
        let equal_part = rest / (demands.len() - done) as u32;
        shares[vm] = demands[vm].min(equal_part);
        rest -= shares[vm];
    }
    // What is left is the rounding of the equal parts, which goes to those that still demand, or
    // what nobody demands.
    for &vm in order.iter().rev() {
        let missing = demands[vm].saturating_sub(shares[vm]).min(1).min(rest);
        shares[vm] += missing;
        rest -= missing;
    }
    shares[index] + share_of_slots(rest, index as u32, demands.len() as u32)
}
