//! Records and places of the lease's topic.

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use apricotdale_holder::Lease;
use apricotdale_holder::LeaseAction;
use apricotdale_holder::LeaseRecord;

/// Returns a place in the first era.
pub fn at(offset: u64) -> Position {
    Position::new(0, offset)
}

/// Returns the record of a holder that could give orders when it wrote it.
pub fn record(holder: &str, run: u64, era: u64) -> LeaseRecord {
    LeaseRecord {
        holder: VmName::from(holder),
        run,
        released: false,
        settled: true,
        quiet_ms: 0,
        era,
    }
}

/// Lets the lease act and returns the offset at which it appends, if it does.
pub fn append_at(lease: &mut Lease, now_ms: u64) -> Option<u64> {
    match lease.act(now_ms) {
        Some(LeaseAction::Append { at, .. }) => Some(at.offset),
        _ => None,
    }
}
