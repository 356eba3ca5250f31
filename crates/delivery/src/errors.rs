//! Reasons why an upstream's answer can't continue an answer.

use std::fmt;

/// Reason why an upstream's answer, or its remainder, can't be sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ContinuationMismatch {
    /// The upstream's status differs from that of the answer in progress.
    Status,
    /// The upstream's answer is not an event stream, and the answer in progress is one.
    ContentType,
    /// The upstream's answer was computed with another version of the model's weights.
    Version,
    /// The upstream runs another version of the software, or one that is not known to be the same.
    Software,
    /// Events are missing before an event of the upstream's answer.
    Gap,
    /// The caller has already received an event of the upstream's answer.
    Repeated,
    /// The upstream's answer must resume after an event, and its first event has no ID.
    Unnumbered,
    /// The upstream's answer must resume after an event, and ends without any event.
    Empty,
    /// The upstream's answer ends in the middle of an event.
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
            Self::Software => "software",
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
