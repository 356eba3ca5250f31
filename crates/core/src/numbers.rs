//! Numbers with a meaning of their own.

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
    /// `Offset` is the position of a record on one stream of the log.
    Offset
}
number_type! {
    /// `Epoch` is the offset of the control record by which a daemon process joined. A process
    /// that joins later under the same VM name has a higher epoch, and replay ignores the records
    /// of every lower one.
    Epoch
}
number_type! {
    /// `FencingNumber` is the number that an engine order carries. It is the offset of the control
    /// record that decided the order, so a later decision always has a higher number.
    FencingNumber
}
number_type! {
    /// `BootId` names one run of an engine process. It grows with each start of that engine.
    BootId
}
number_type! {
    /// `ConfigVersion` is the offset of the last configuration change that was accepted.
    ConfigVersion
}

/// `Position` is a place in a topic of the platform's store.
///
/// A store that comes back from an older copy gives offsets out again, and then counts a new era.
/// Of two positions the one of the later era is the later one, whatever their offsets.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// How often the store has come back from an older copy; 0 at a store that does not say so.
    pub era: u64,
    /// The offset within that era.
    pub offset: u64,
}

impl Position {
    /// Returns the position of an offset.
    pub fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the position this many records later.
    pub fn after(self, records: u64) -> Self {
        Self {
            offset: self.offset + records,
            ..self
        }
    }

    /// Returns whether this is a place that is not known: no record has it as its end.
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

impl From<Offset> for FencingNumber {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}
