//! Calls that the lease makes to the platform's store, and their results.

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Position;
use serde::Deserialize;
use serde::Serialize;

/// Durations that control the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// How long a renewal is valid. A shorter duration speeds up takeover; a longer one keeps the
    /// lease when the store is slow. 2 s is over eight times the slowest answer of the store (240
    /// ms).
    pub duration_ms: u64,
    /// Interval between renewals, short enough that two in a row may fail before the lease expires.
    pub renewal_interval_ms: u64,
    /// How long a new holder waits after the last moment at which the previous holder could have
    /// given an order, so that no earlier order is still in flight. This is the platform's bound
    /// for orders of successive holders.
    pub pause_ms: u64,
    /// Extra wait for orders that were sent at the last moment and arrive late: the time for
    /// retransmitting a lost packet.
    pub late_order_ms: u64,
    /// Extra wait for each takeover rank, so that one VM tries to take over first.
    pub stagger_ms: u64,
    /// How long the holder may keep sending orders after its lease has expired while the store is
    /// unreachable. 0 unless engines check fencing tokens: those reject the old holder's orders as
    /// soon as a new holder has given one, so two holders can't undo each other's work.
    pub outage_grace_ms: u64,
    /// How long a call to the store may take before its outcome counts as unknown.
    pub call_timeout_ms: u64,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            duration_ms: 2_000,
            renewal_interval_ms: 600,
            pause_ms: 3_000,
            late_order_ms: 250,
            stagger_ms: 150,
            outage_grace_ms: 0,
            call_timeout_ms: 900,
        }
    }
}

/// Record in the lease's topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// VM that appended the record.
    pub holder: VmName,
    /// Random number that identifies the process of the VM that appended the record.
    pub incarnation: u64,
    /// Whether the record releases the lease.
    pub released: bool,
    /// Whether the holder was allowed to give orders when it sent the record, because its initial
    /// pause had ended. The previous holder then gave no order for at least that pause.
    pub settled: bool,
    /// Time since the holder gave its last order, in a record that releases the lease; else 0.
    pub quiet_ms: u64,
    /// Latest era of the store that the holder knew. The era increases when the store is restored
    /// from an older copy.
    pub era: u64,
}

/// Call to the store that the lease asks for. At most one is in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the topic.
    Read {
        /// Offset of the first record to read.
        from: u64,
    },
    /// Append a record on the condition that the topic ends at a position.
    Append {
        /// Required end of the topic, in the era in which the end was seen.
        at: Position,
        /// Record to append.
        record: LeaseRecord,
    },
}

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The topic was read.
    Read {
        /// Position after the newest record.
        end: Position,
        /// Newest record; none if the topic is empty or no longer keeps the record.
        newest: Option<LeaseRecord>,
    },
    /// The topic no longer keeps the requested offset.
    Expired {
        /// Position of the first record that it keeps.
        first: Position,
    },
    /// The record was appended.
    Appended {
        /// Position of the record.
        at: Position,
    },
    /// The topic ended at another position, so nothing was appended.
    EndedElsewhere {
        /// Position after the newest record.
        end: Position,
    },
    /// The call certainly had no effect.
    NotDone,
    /// The call may have had an effect, or may have one later.
    Unknown,
}

impl LeaseAnswer {
    /// Returns the era in which the store answered; none if no answer arrived.
    pub(crate) fn era(&self) -> Option<u64> {
        match self {
            Self::Read { end, .. } | Self::EndedElsewhere { end } => Some(end.era),
            Self::Expired { first } => Some(first.era),
            Self::Appended { at } => Some(at.era),
            Self::NotDone | Self::Unknown => None,
        }
    }
}
