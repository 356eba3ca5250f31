//! The replayed state of a stream.

use apricotdale_core::log::LogRecord;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_state::Result;
use apricotdale_state::catch_up::Position;
use apricotdale_state::snapshot::Section;

/// Replayed state of one stream.
pub trait StreamState: Send + Sync {
    /// Returns the name of the stream.
    fn stream(&self) -> &StreamName;

    /// Returns the position up to which the stream is replayed, or none before the state has begun.
    fn position(&self) -> Option<Position>;

    /// Begins with the empty state before the stream's first record.
    fn begin(&self);

    /// Replays records that follow the state without a gap.
    fn replay(&self, records: &[LogRecord]);

    /// Returns the state as a section of a snapshot, or none before the state has begun.
    fn section(&self) -> Option<Section>;

    /// Replaces this state by the state of a section.
    ///
    /// # Errors
    ///
    /// An error if the section can't be decoded; this state is then unchanged.
    fn install(&self, section: &Section) -> Result<()>;

    /// Returns the encoded state of a fresh start at an offset. It keeps what is still valid of an
    /// outdated section.
    fn fresh_start(&self, next: Offset, outdated: Option<&Section>) -> Vec<u8>;

    /// Records that the state has been replayed to the stream's end, or installed from a peer
    /// while the log is down.
    fn mark_caught_up(&self);
}
