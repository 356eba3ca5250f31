//! The VMs that keep the origin of a stream.

use apricotdale_core::names::VmName;
use apricotdale_core::rendezvous;

use crate::stream_id::StreamId;

/// Number of other VMs that are told the origin of a stream: one may be lost, and a second one may
/// have restarted since.
pub const TOLD_HOLDERS: usize = 3;

/// Number of other VMs that are asked for the origin of a stream. It exceeds [`TOLD_HOLDERS`], as
/// the VM that asks may know of a VM that the other one did not.
pub const ASKED_HOLDERS: usize = 4;

/// Returns the VMs among `vms` that keep the origin of a stream, the most preferred first. All VMs
/// that know the same VMs choose the same ones.
pub fn holders<'a>(
    stream: StreamId,
    vms: impl IntoIterator<Item = &'a VmName>,
    count: usize,
) -> Vec<VmName> {
    let ranked = rendezvous::ranked(vms, &stream);
    ranked.into_iter().take(count).cloned().collect()
}
