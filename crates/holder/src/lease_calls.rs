//! What the lease asks of the store, and what it is told.

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use serde::Deserialize;
use serde::Serialize;

/// `LeaseOptions` are the lease's times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// How long a renewal is good for. Shorter means a quicker takeover, longer means that a slow
    /// store costs no lease: 2 s is over eight times the slowest store answer seen (240 ms).
    pub duration_ms: u64,
    /// The time between two renewals: two may fail before the lease ends.
    pub renew_every_ms: u64,
    /// How long a new holder waits after the last moment at which the holder before could give an
    /// order, so that none is still under way. The platform's bound for two holders that take
    /// turns.
    pub pause_ms: u64,
    /// What is added to that for orders that were sent at the last moment and arrive late: as long
    /// as a lost packet takes to be sent again.
    pub late_order_ms: u64,
    /// What each place in the order of takeover adds to the wait, so that one VM tries first.
    pub stagger_ms: u64,
    /// How long orders go on past the lease while the store can't be reached. Only for engines that
    /// check fencing tokens: they turn the orders away as soon as another holder has given one, so
    /// two holders can't undo each other's work. For others 0.
    pub outlast_ms: u64,
    /// How long a call to the store may take before its outcome counts as unknown.
    pub call_timeout_ms: u64,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            duration_ms: 2_000,
            renew_every_ms: 600,
            pause_ms: 3_000,
            late_order_ms: 250,
            stagger_ms: 150,
            outlast_ms: 0,
            call_timeout_ms: 900,
        }
    }
}

/// `LeaseRecord` is one record of the lease's topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The VM that appended it.
    pub holder: VmName,
    /// A random number of this run of the VM's process.
    pub run: u64,
    /// Whether the holder gives the lease back.
    pub released: bool,
    /// Whether the holder could give orders when it sent this, its pause being over: the holder
    /// before it then gave none within a pause.
    pub settled: bool,
    /// How long ago the holder gave its last order, in a record that gives the lease back; else 0.
    pub quiet_ms: u64,
    /// The era of the store as the holder knew it.
    pub era: u64,
}

/// `LeaseAction` is the call that the lease wants made at the store. One is under way at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the topic from this offset.
    Read {
        /// The first offset that is wanted.
        from: u64,
    },
    /// Append a record if the topic ends here.
    Append {
        /// The end on which the append depends, in the era in which it was seen.
        at: Position,
        /// The record.
        record: LeaseRecord,
    },
}

/// `LeaseAnswer` is how such a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The topic's end, and the newest record if it is still kept.
    Read {
        /// The place after the newest record.
        end: Position,
        /// The newest record.
        newest: Option<LeaseRecord>,
    },
    /// The offset that was asked for is no longer kept.
    Expired {
        /// The first place that is.
        first: Position,
    },
    /// The record was appended at this place.
    Appended {
        /// Its place.
        at: Position,
    },
    /// The topic ended elsewhere; nothing was done.
    EndedElsewhere {
        /// The place after the newest record.
        end: Position,
    },
    /// Certainly nothing was done.
    NotDone,
    /// It may have been done, or be done later.
    Unknown,
}

impl LeaseAnswer {
    /// Returns the era in which the store gave the answer, if it did.
    pub(crate) fn era(&self) -> Option<u64> {
        match self {
            Self::Read { end, .. } | Self::EndedElsewhere { end } => Some(end.era),
            Self::Expired { first } => Some(first.era),
            Self::Appended { at } => Some(at.era),
            Self::NotDone | Self::Unknown => None,
        }
    }
}
