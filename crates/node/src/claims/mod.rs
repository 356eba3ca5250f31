//! Claims, by which a call under an idempotency key runs at most once over all VMs.
//!
//! Each claim stream has one thread that appends batches and one that replays. A claim is decided
//! by replay, never by the result of its append.

mod claim_state;
mod claim_stream;
mod claim_sweeper;
mod claim_writer;
mod keeper;

pub use claim_state::ClaimState;
pub use claim_stream::ClaimStream;
pub use claim_sweeper::ClaimSweeper;
pub use claim_writer::ClaimWriter;
pub use keeper::NodeClaimKeeper;
