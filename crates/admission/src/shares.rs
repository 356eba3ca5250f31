//! Shares of a target's slots per VM, which enforce a limit over all VMs without a message per
//! request.
//!
//! Every VM computes its own share from the membership view and the engines' delayed load reports.
//! Requests beyond an engine's slots wait at the engine and take none of its memory for running
//! requests.

/// Divisor of the slots unused by others, for the part that a VM takes in addition to its share.
const LENT_DIVISOR: u32 = 2;

/// One VM's view of a target's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotView {
    /// Number of slots of all replicas of the target.
    pub total_slots: u32,
    /// Rank of this VM for the target among all VMs, from zero. Ranks come from rendezvous hashing,
    /// so that the remainder slots of different targets go to different VMs.
    pub vm_rank: u32,
    /// Number of VMs.
    pub vm_count: u32,
    /// Load in the engines' last reports, or `None` if a report is missing, is old, or is from
    /// before the replicas were loaded.
    pub report: Option<SlotReport>,
}

/// Reported use of a target's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotReport {
    /// Number of requests running and waiting at the engines.
    pub busy: u32,
    /// Number of these requests that this VM had sent.
    pub own: u32,
}

/// Returns the slots of the VM with rank `vm_rank` among `vm_count` VMs. The shares of all ranks
/// add up to `total_slots` and differ by at most one. VMs with rank `total_slots` and above have
/// none.
pub fn share_of_slots(total_slots: u32, vm_rank: u32, vm_count: u32) -> u32 {
    if vm_rank >= vm_count {
        return 0;
    }
    let remainder_slots = total_slots % vm_count;
    total_slots / vm_count + u32::from(vm_rank < remainder_slots)
}

/// Returns the number of requests that this VM may have in progress at a target: its share, plus
/// half of the slots that a recent report shows as unused by the others, and at least one if there
/// is any slot.
///
/// Without the unused slots, a burst at one VM for a rarely called model would run on that VM's
/// share alone while the rest of the batch is idle. A VM whose share is zero, because there are
/// fewer slots than VMs, still gets one slot: it has callers like any other VM, and no other VM
/// knows of them. Over all VMs, the requests in progress are at most `max(total_slots, vm_count)`,
/// plus, within the delay of one report, half of the slots reported as unused for each VM that uses
/// them at that time.
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
    (share + unused / LENT_DIVISOR).max(1)
}

/// Returns the slots of the VM at `index` if the demand of every VM is known: its requests waiting
/// and in progress. A VM that demands less than an equal part gets its demand, the others share the
/// remainder, and slots that no VM demands are distributed evenly. The results of all VMs add up to
/// `total_slots`.
pub fn share_by_demand(total_slots: u32, demands: &[u32], index: usize) -> u32 {
    if index >= demands.len() {
        return 0;
    }
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&vm| (demands[vm], vm));
    let mut shares = vec![0; demands.len()];
    let mut remaining = total_slots;
    for (assigned, &vm) in order.iter().enumerate() {
        let equal_part = remaining / (demands.len() - assigned) as u32;
        shares[vm] = demands[vm].min(equal_part);
        remaining -= shares[vm];
    }
    // What remains is either the rounding of the equal parts, which goes to the VMs that still
    // demand slots, or slots that no VM demands.
    for &vm in order.iter().rev() {
        let extra = demands[vm].saturating_sub(shares[vm]).min(1).min(remaining);
        shares[vm] += extra;
        remaining -= extra;
    }
    shares[index] + share_of_slots(remaining, index as u32, demands.len() as u32)
}
