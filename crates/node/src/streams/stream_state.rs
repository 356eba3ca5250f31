//! The state that a stream's records make.

use apricotdale_core::log::LogRecord;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_state::Result;
use apricotdale_state::catch_up::Position;
use apricotdale_state::snapshot::Section;

/// `StreamState` is the replayed state of one stream.
pub trait StreamState: Send + Sync {
    /// Returns the stream.
    fn stream(&self) -> &StreamName;

    /// Returns how far the state reaches, or none as long as there is none.
    fn position(&self) -> Option<Position>;

    /// Begins with the empty state before the stream's first record.
    fn begin(&self);

    /// Replays records that follow the state without a gap.
    fn replay(&self, records: &[LogRecord]);

    /// Returns the state as a section of a snapshot, or none if there is none.
    fn section(&self) -> Option<Section>;

    /// Puts the state of a section in the place of this one.
    ///
    /// # Errors
    ///
    /// If the section can't be read; this state is then as it was.
    fn install(&self, section: &Section) -> Result<()>;

    /// Returns the encoded state to start afresh from at an offset, with what an outdated section
    /// still tells.
    fn fresh(&self, next: Offset, outdated: Option<&Section>) -> Vec<u8>;

    /// Notes that the state is as new as can be had now.
    fn note_caught_up(&self);
}
