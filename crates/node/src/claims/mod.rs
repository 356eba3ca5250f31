//! Claims: a call under an idempotency key runs at most once over all VMs.
//!
//! Each claim stream has one thread that appends batches and one that replays. A claim is decided
//! by replay, never by the answer to its append.

mod claim_stream;
mod claim_tail;
mod claim_writer;
mod keeper;

pub use keeper::ClaimParts;
pub use keeper::NodeClaimKeeper;
