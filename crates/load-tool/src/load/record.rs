//! What became of one request.

use std::time::Duration;

use apricotdale_launcher::answer::RefusedAnswer;

/// `Record` is what became of one request, with times since the beginning of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The request, by its index in the schedule.
    pub planned: usize,
    /// The index of the VM that took it, or of the last one tried.
    pub vm: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When its answer began: the first event of a stream, the whole of any other answer.
    pub first: Option<Duration>,
    /// When it ended.
    pub ended: Duration,
    /// The times between two events, in microseconds.
    pub gaps_us: Vec<u32>,
    /// The identity that the VM gave it, or empty.
    pub identity: String,
    /// The engine that answered, as far as the answer says.
    pub engine: Option<String>,
    /// How often it was sent again by its caller, after an answer that was lost.
    pub repeats: u32,
    /// When a refusal said to come back.
    pub retry_after: Option<Duration>,
    /// Whether its caller had been refused before and came back.
    pub is_return: bool,
    /// How it ended.
    pub ending: Ending,
}

/// `Ending` is how a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came, and all of it is the request's own.
    Whole,
    /// The request was refused in place of an answer.
    Refused(RefusedAnswer),
    /// The answer began and did not end whole.
    Cut(String),
    /// A part of the answer is not the request's own, or is missing.
    Foreign(String),
    /// No answer began.
    NoAnswer(String),
    /// An answer came that is neither a success nor a refusal of the system's own.
    Strange(u16),
}

impl Ending {
    /// Returns whether the connection ended before the answer did.
    pub fn is_lost(&self) -> bool {
        matches!(self, Self::Cut(_) | Self::NoAnswer(_))
    }

    /// Returns the refusal, if it is one.
    pub fn refusal(&self) -> Option<&RefusedAnswer> {
        match self {
            Self::Refused(refusal) => Some(refusal),
            _ => None,
        }
    }
}
