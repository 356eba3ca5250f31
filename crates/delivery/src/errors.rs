//! Reasons why an upstream's answer can't continue an answer.

use std::fmt;

/// Reason why an upstream's answer, or its remainder, can't be sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ContinuationMismatch {
    /// Its status differs from that of the answer in progress.
    Status,
    /// It is no event stream, and the answer in progress is one.
    ContentType,
    /// It was computed with another version of the model's weights.
    Version,
    /// Events are missing before one of its events.
    Gap,
    /// The caller has already received one of its events.
    Repeated,
    /// It must resume after an event, and its first event has no ID.
    Unnumbered,
    /// It must resume after an event, and ends without any event.
    Empty,
    /// It ends in the middle of an event.
    Unfinished,
    /// Nothing can follow what the caller has received.
    Closed,
}

impl ContinuationMismatch {
    /// Returns the name used in logs and metrics.
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

impl fmt::Display for ContinuationMismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl std::error::Error for ContinuationMismatch {}
