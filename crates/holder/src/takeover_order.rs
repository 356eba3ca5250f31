//! Order in which VMs try to take over the lease.
//!
//! The lease holder exchanges messages with all VMs. In a large fleet, a VM with a small share of a
//! core is too slow to renew its lease in time and loses it again and again, so faster VMs try
//! first.

use apricotdale_core::names::VmName;

/// Minimum rank of a VM if any other is clearly faster. Reserves ranks for faster VMs from which no
/// message was received recently.
const MIN_RANK_IF_FASTER: u64 = 2;

/// VM that could take over the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverCandidate<'a> {
    /// Name of the VM.
    pub vm: &'a VmName,
    /// Duration of a fixed benchmark on the VM, in microseconds.
    pub work_us: u32,
    /// Whether a message of the VM was received recently. While there is a lease holder, most VMs
    /// rarely send messages to each other.
    pub is_alive: bool,
}

impl TakeoverCandidate<'_> {
    /// Returns whether this VM is at least twice as fast as another. Benchmark results of equal VMs
    /// differ by a few percent; such VMs must stay ordered by name.
    fn is_clearly_faster(&self, other: &TakeoverCandidate<'_>) -> bool {
        u64::from(self.work_us) * 2 <= u64::from(other.work_us)
    }

    fn precedes(&self, other: &TakeoverCandidate<'_>) -> bool {
        match self.is_clearly_faster(other) {
            true => true,
            false => !other.is_clearly_faster(self) && self.vm < other.vm,
        }
    }
}

/// Returns the takeover rank of this VM; the VM with rank 0 tries first.
///
/// The rank is the number of VMs that sent a message recently and precede this one: clearly faster
/// VMs, and similarly fast ones whose names sort before its name. It is at least 2 if any VM is
/// clearly faster, even one that sent no message recently.
pub fn takeover_rank<'a>(
    own: &TakeoverCandidate<'_>,
    others: impl Iterator<Item = TakeoverCandidate<'a>>,
) -> u64 {
    let (mut ahead, mut any_faster) = (0, false);
    for other in others {
        any_faster |= other.is_clearly_faster(own);
        ahead += u64::from(other.is_alive && other.precedes(own));
    }
    match any_faster {
        true => ahead.max(MIN_RANK_IF_FASTER),
        false => ahead,
    }
}

/// Returns the takeover rank of a VM that does not know the other VMs yet.
pub fn default_takeover_rank() -> u64 {
    MIN_RANK_IF_FASTER
}
