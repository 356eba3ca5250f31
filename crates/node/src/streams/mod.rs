//! Following the log's streams: replay, catching up, snapshots.
//!
//! A [`StreamTail`] keeps one [`StreamState`] as new as its stream. If the stream no longer has the
//! records that are needed, a [`CatchUp`] installs a newer state from the snapshot stream or a
//! peer. A [`SnapshotWriter`] appends states to the snapshot stream before the records that they
//! were replayed from expire.

mod catch_up;
mod control_stream;
mod pace;
mod peer_snapshots;
mod snapshot_reader;
mod snapshot_writer;
mod stream_state;
mod stream_tail;

pub use catch_up::CatchUp;
pub use control_stream::ControlStream;
pub use pace::Pace;
pub use peer_snapshots::PeerSnapshots;
pub use peer_snapshots::SnapshotServer;
pub use snapshot_reader::SnapshotReader;
pub use snapshot_writer::SnapshotWriter;
pub use stream_state::StreamState;
pub use stream_tail::READ_SLACK_MS;
pub use stream_tail::StreamTail;
