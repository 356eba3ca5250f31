//! Integer types for offsets, epochs, fencing tokens, versions and positions.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

number_type! {
    /// Position of a record on one stream of the log.
    Offset
}
number_type! {
    /// Offset of the control record by which a daemon process joined. A process that joins later
    /// under the same VM name has a higher epoch. Once it has replaced the earlier process, replay
    /// rejects the records of the earlier one.
    Epoch
}
number_type! {
    /// Number that an engine order carries. It is the offset of the control record that decided
    /// the order, so a later decision always has a higher number.
    FencingToken
}
number_type! {
    /// Identifies one incarnation of an engine process. It grows with each start of the engine.
    BootId
}
number_type! {
    /// Offset of the last configuration change that was accepted; 0 if there has been none.
    ConfigVersion
}

/// Position in a topic of the platform's store.
///
/// A store that is restored from an older backup assigns offsets again and then counts a new era.
/// The position with the higher era is the later one, whatever the offsets.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of times the store was restored from a backup; 0 if the store does not report it.
    pub era: u64,
    /// Offset within that era.
    pub offset: u64,
}

impl Position {
    /// Creates the position of an offset within an era.
    pub fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the position that is `records` records later in the same era.
    pub fn after(self, records: u64) -> Self {
        Self {
            offset: self.offset + records,
            ..self
        }
    }

    /// Returns whether the position is unknown, which offset 0 means: no record ends there.
    pub fn is_unknown(self) -> bool {
        self.offset == 0
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.offset)
    }
}

impl Offset {
    /// Returns the offset that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl From<Offset> for FencingToken {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}
