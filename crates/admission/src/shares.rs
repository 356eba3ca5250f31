//! Shares of a target's slots, so that the limit holds over all VMs without a message a request.

/// Returns the slots that the VM of rank `vm_rank` among `vm_count` VMs may use, of the target's
/// `total_slots`. The shares of all ranks add up to `total_slots`, and no two differ by more than
/// one. VMs of rank `total_slots` and above have none.
pub fn share_of_slots(total_slots: u32, vm_rank: u32, vm_count: u32) -> u32 {
    if vm_count == 0 || vm_rank >= vm_count {
        return 0;
    }
    let remainder = total_slots % vm_count;
    total_slots / vm_count + u32::from(vm_rank < remainder)
}
