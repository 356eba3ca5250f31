//! Records and positions of the lease's topic.

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseRecord;

/// Returns a position in the first era.
pub fn at(offset: u64) -> Position {
    Position::new(0, offset)
}

/// Returns the record of a holder that was allowed to give orders when it wrote the record.
pub fn record(holder: &str, incarnation: u64, era: u64) -> LeaseRecord {
    LeaseRecord {
        holder: VmName::from(holder),
        incarnation,
        released: false,
        settled: true,
        quiet_ms: 0,
        era,
    }
}

/// Lets the lease act, and returns the offset at which it appends, if any.
pub fn append_at(lease: &mut Lease, now_ms: u64) -> Option<u64> {
    match lease.act(now_ms) {
        Some(LeaseAction::Append { at, .. }) => Some(at.offset),
        _ => None,
    }
}
