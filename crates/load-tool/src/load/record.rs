//! Record of one request as its caller saw it.

use std::time::Duration;

use apricotdale_launcher::answer::RefusedAnswer;

/// Outcome of one request for its caller. Times count from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Index of the request in the schedule.
    pub planned: usize,
    /// Index of the VM that accepted the connection, or of the last one tried if none did.
    pub vm: usize,
    /// Time at which the request was sent first.
    pub sent: Duration,
    /// Time at which the first event of a stream or the complete unstreamed answer arrived; none
    /// if there was no such event or answer.
    pub first: Option<Duration>,
    /// Time at which the answer, or the attempt to get one, ended.
    pub ended: Duration,
    /// Times between consecutive events of a stream, in microseconds.
    pub gaps_us: Vec<u32>,
    /// Request ID assigned by the VM, or empty if no answer carried one.
    pub identity: String,
    /// Engine that answered, or none if the answer does not name it.
    pub engine: Option<String>,
    /// Number of times that the caller sent the request again because the answer was lost.
    pub resends: u32,
    /// Delay after which a refusal allows a retry; none if there was no refusal or it names none.
    pub retry_after: Option<Duration>,
    /// Whether this request is the retry of a caller that was refused before.
    pub is_caller_retry: bool,
    /// How the request ended.
    pub ending: Ending,
}

/// End of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer is complete, and all of it belongs to the request.
    Whole,
    /// The request was refused before any part of an answer.
    Refused(RefusedAnswer),
    /// The answer began and ended incomplete; holds the reason.
    Cut(String),
    /// A part of the answer belongs to another request or is missing; holds the mismatch.
    Foreign(String),
    /// No answer began; holds the error.
    NoAnswer(String),
    /// The answer is neither a success nor a refusal by the system; holds its HTTP status.
    Strange(u16),
}

impl Ending {
    /// Returns whether the connection ended before the answer was complete.
    pub fn is_lost(&self) -> bool {
        matches!(self, Self::Cut(_) | Self::NoAnswer(_))
    }

    /// Returns the refusal, or none if the request was not refused.
    pub fn refusal(&self) -> Option<&RefusedAnswer> {
        match self {
            Self::Refused(refusal) => Some(refusal),
            _ => None,
        }
    }
}
