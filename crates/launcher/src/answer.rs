//! What a caller received.

use std::fmt;

use serde::Deserialize;
use serde_json::Value;

/// The beginning of a line of an event's data.
const DATA_PREFIX: &str = "data:";

/// The data of the last event of a whole stream.
const STREAM_END: &str = "[DONE]";

/// The beginning of the type of a problem document that is a refusal of the system's own. Upstreams
/// may send problem documents, too.
const REFUSAL_TYPE: &str = "urn:apricotdale:refusal:";

/// `AnswerHead` is the beginning of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The identity that the VM gave the request, or empty.
    pub request: String,
}

/// `RefusedAnswer` is a refusal as the caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedAnswer {
    /// The machine-readable reason.
    pub reason: String,
    /// Whether the request ran: `not_run`, `ran` or `unknown`.
    pub ran: String,
}

#[derive(Deserialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: String,
    reason: String,
    ran: String,
}

/// `Outcome` is how a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came.
    Whole {
        /// Its beginning.
        head: AnswerHead,
        /// Its events, or 0 for an answer that is no stream.
        events: u64,
        /// Its body, or empty for a stream.
        body: String,
    },
    /// The request was refused in place of an answer.
    Refused {
        /// The beginning of the refusal.
        head: AnswerHead,
        /// The refusal.
        refusal: RefusedAnswer,
    },
    /// The answer began and did not end whole.
    Cut {
        /// Its beginning.
        head: AnswerHead,
        /// Its events until then.
        events: u64,
        /// The refusal that ended it, if one came.
        refusal: Option<RefusedAnswer>,
        /// What ended it.
        detail: String,
    },
    /// A part of the answer belongs to another request.
    Crossed {
        /// The beginning of the answer.
        head: AnswerHead,
        /// The identity that came with it.
        found: String,
    },
    /// No answer began.
    NoAnswer(String),
}

impl Outcome {
    /// Returns the outcome of a request whose whole body came.
    pub fn of_body(head: AnswerHead, body: &str) -> Self {
        if let Some(refusal) = RefusedAnswer::parse(body) {
            return Self::Refused { head, refusal };
        }
        match identity_of(body) {
            Some(found) if !belongs(&found, &head) => Self::Crossed { head, found },
            _ => Self::Whole {
                head,
                events: 0,
                body: body.to_owned(),
            },
        }
    }

    /// Returns the outcome of a request whose answer broke off.
    pub fn cut(head: AnswerHead, events: u64, detail: impl Into<String>) -> Self {
        Self::Cut {
            head,
            events,
            refusal: None,
            detail: detail.into(),
        }
    }

    /// Returns whether the whole answer came with a status of success.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole { head, .. } if (200..300).contains(&head.status))
    }

    /// Returns the refusal, if one came, also as the end of a begun answer.
    pub fn refusal(&self) -> Option<&RefusedAnswer> {
        match self {
            Self::Refused { refusal, .. } => Some(refusal),
            Self::Cut { refusal, .. } => refusal.as_ref(),
            _ => None,
        }
    }

    /// Returns the beginning of the answer, or none if none began.
    pub fn head(&self) -> Option<&AnswerHead> {
        match self {
            Self::Whole { head, .. }
            | Self::Refused { head, .. }
            | Self::Cut { head, .. }
            | Self::Crossed { head, .. } => Some(head),
            Self::NoAnswer(_) => None,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole {
                head, events: 0, ..
            } => write!(formatter, "whole, status {}", head.status),
            Self::Whole { head, events, .. } => {
                write!(formatter, "whole, status {}, {events} events", head.status)
            }
            Self::Refused { head, refusal } => {
                write!(formatter, "refused, status {}, {refusal}", head.status)
            }
            Self::Cut {
                events,
                refusal: Some(refusal),
                ..
            } => write!(formatter, "cut after {events} events, {refusal}"),
            Self::Cut { events, detail, .. } => {
                write!(formatter, "cut after {events} events, {detail}")
            }
            Self::Crossed { head, found } => {
                write!(formatter, "crossed, {found} in place of {}", head.request)
            }
            Self::NoAnswer(detail) => write!(formatter, "no answer, {detail}"),
        }
    }
}

impl RefusedAnswer {
    /// Returns the refusal that a body is, or none if it is another answer.
    pub fn parse(body: &str) -> Option<Self> {
        let problem: Problem = serde_json::from_str(body).ok()?;
        problem.kind.starts_with(REFUSAL_TYPE).then_some(Self {
            reason: problem.reason,
            ran: problem.ran,
        })
    }
}

impl fmt::Display for RefusedAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "reason {}, ran {}", self.reason, self.ran)
    }
}

/// `StreamParser` is the reading of a stream of events.
#[derive(Debug)]
pub struct StreamParser {
    head: AnswerHead,
    events: u64,
    done: bool,
    refusal: Option<RefusedAnswer>,
    foreign: Option<String>,
}

impl StreamParser {
    /// Returns the reading of a stream with the given beginning.
    pub fn new(head: AnswerHead) -> Self {
        Self {
            head,
            events: 0,
            done: false,
            refusal: None,
            foreign: None,
        }
    }

    /// Takes in one line and returns whether it was an event of the answer.
    pub fn parse_line(&mut self, line: &str) -> bool {
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return false;
        };
        let data = data.trim();
        if data == STREAM_END {
            self.done = true;
            return false;
        }
        if let Some(refusal) = RefusedAnswer::parse(data) {
            self.refusal = Some(refusal);
            return false;
        }
        if let Some(found) = identity_of(data).filter(|found| !belongs(found, &self.head)) {
            self.foreign = Some(found);
        }
        self.events += 1;
        true
    }

    /// Returns the outcome at the end of the stream, with the connection's error if one ended it.
    pub fn end(self, error: Option<String>) -> Outcome {
        let events = self.events;
        if let Some(found) = self.foreign {
            let head = self.head;
            return Outcome::Crossed { head, found };
        }
        match error {
            None if self.done => Outcome::Whole {
                head: self.head,
                events,
                body: String::new(),
            },
            error => Outcome::Cut {
                head: self.head,
                events,
                refusal: self.refusal,
                detail: error.unwrap_or_else(|| "ended without its last event".to_owned()),
            },
        }
    }
}

/// Returns the identity that a JSON answer or event carries.
fn identity_of(data: &str) -> Option<String> {
    let value: Value = serde_json::from_str(data).ok()?;
    Some(value.get("id")?.as_str()?.to_owned())
}

/// Returns whether an identity is that of the request. An engine puts a prefix before it.
fn belongs(identity: &str, head: &AnswerHead) -> bool {
    head.request.is_empty() || identity.ends_with(&head.request)
}
