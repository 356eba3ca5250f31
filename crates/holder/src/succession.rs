//! Which VM takes over the orders first.
//!
//! A giver of orders hears from all VMs and tells all. In a large fleet one on a small part of a
//! core does not get to renew its lease and loses it again and again; a VM that can carry it must
//! go first.

use apricotdale_core::names::VmName;

/// Places that VMs which are clearly faster count for, together, where nothing was heard of them
/// lately.
const FASTER_PLACES: u64 = 2;

/// `Contender` is a VM that could take over the orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contender<'a> {
    /// The VM.
    pub vm: &'a VmName,
    /// How long a fixed piece of work took there.
    pub work_us: u32,
    /// Whether it was heard of lately. While there is a giver, VMs hear of most others seldom.
    pub is_alive: bool,
}

impl Contender<'_> {
    /// Returns whether this VM is at least twice as fast as another. Equal VMs measure figures that
    /// differ by a few parts in a hundred, and must keep their order by name.
    fn is_clearly_faster(&self, other: &Contender<'_>) -> bool {
        u64::from(self.work_us) * 2 <= u64::from(other.work_us)
    }

    fn goes_before(&self, other: &Contender<'_>) -> bool {
        match self.is_clearly_faster(other) {
            true => true,
            false => !other.is_clearly_faster(self) && self.vm < other.vm,
        }
    }
}

/// Returns how many places this VM stands behind others: those that were heard of lately, the
/// clearly faster before the slower, else by name. If any is clearly faster, heard of or not, some
/// places are left for such.
pub fn place<'a>(own: &Contender<'_>, others: impl Iterator<Item = Contender<'a>>) -> u64 {
    let (mut ahead, mut any_faster) = (0, false);
    for other in others {
        any_faster |= other.is_clearly_faster(own);
        ahead += u64::from(other.is_alive && other.goes_before(own));
    }
    match any_faster {
        true => ahead.max(FASTER_PLACES),
        false => ahead,
    }
}

/// Returns the place of a VM that does not know the others yet.
pub fn unknown_place() -> u64 {
    FASTER_PLACES
}
