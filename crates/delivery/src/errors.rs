//! Why a part of an answer does not fit.

use std::fmt;

/// `Misfit` is why an upstream's answer can't be given to the caller, or no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Misfit {
    /// It has another status than the answer that was begun.
    Status,
    /// It is no stream of events, and the answer that was begun is one.
    ContentType,
    /// It was made by another version of the model's weights.
    Version,
    /// Events are missing before one of its events.
    Gap,
    /// One of its events was given before.
    Repeated,
    /// It has to go on behind an event, and its first event has no number.
    Unnumbered,
    /// It has to go on behind an event, and ends without one.
    Empty,
    /// It ends in the middle of an event.
    Unfinished,
    /// Nothing can follow what was given.
    Closed,
}

impl Misfit {
    /// Returns the word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Status => "status",
            Self::ContentType => "content_type",
            Self::Version => "version",
            Self::Gap => "gap",
            Self::Repeated => "repeated",
            Self::Unnumbered => "unnumbered",
            Self::Empty => "empty",
            Self::Unfinished => "unfinished",
            Self::Closed => "closed",
        }
    }
}

impl fmt::Display for Misfit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl std::error::Error for Misfit {}
