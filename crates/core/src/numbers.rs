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
