//! Outcomes of requests as their callers receive them.

use std::fmt;

use serde::Deserialize;
use serde_json::Value;

/// Prefix of a line that carries an event's data.
const DATA_PREFIX: &str = "data:";

/// Data of the event that ends a complete stream.
const STREAM_END: &str = "[DONE]";

/// Prefix of the type of problem documents with which the system itself refuses a request. It tells
/// them from problem documents of upstreams.
const REFUSAL_TYPE: &str = "urn:apricotdale:refusal:";

/// Status and headers of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the answer names none.
    pub content_type: String,
    /// Request ID that the VM assigned; empty if the answer names none.
    pub request: String,
}

/// Refusal as the caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedAnswer {
    /// Machine-readable reason.
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

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer came.
    Whole {
        /// Status and headers.
        head: AnswerHead,
        /// Number of its events; 0 for an answer that is no stream.
        events: u64,
        /// Body; empty for a stream.
        body: String,
    },
    /// The request was refused in place of an answer.
    Refused {
        /// Status and headers of the refusal.
        head: AnswerHead,
        /// Content of the refusal.
        refusal: RefusedAnswer,
    },
    /// The answer began and broke off.
    Cut {
        /// Status and headers.
        head: AnswerHead,
        /// Number of events that came before.
        events: u64,
        /// Refusal that ended the stream, if one came.
        refusal: Option<RefusedAnswer>,
        /// Why the answer counts as broken off.
        detail: String,
    },
    /// The answer or a part of it belongs to another request.
    Crossed {
        /// Status and headers.
        head: AnswerHead,
        /// Request ID that came with the answer.
        found: String,
    },
    /// No answer began, for this reason.
    NoAnswer(String),
}

impl Outcome {
    /// Returns the outcome of a request whose body came completely and is no stream.
    pub fn of_body(head: AnswerHead, body: &str) -> Self {
        if let Some(refusal) = RefusedAnswer::parse(body) {
            return Self::Refused { head, refusal };
        }
        match request_id_of(body) {
            Some(found) if !belongs_to_request(&found, &head) => Self::Crossed { head, found },
            _ => Self::Whole {
                head,
                events: 0,
                body: body.to_owned(),
            },
        }
    }

    /// Returns the outcome of a request whose answer broke off without a refusal.
    pub fn cut(head: AnswerHead, events: u64, detail: impl Into<String>) -> Self {
        Self::Cut {
            head,
            events,
            refusal: None,
            detail: detail.into(),
        }
    }

    /// Returns whether the complete answer came with a success status.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole { head, .. } if (200..300).contains(&head.status))
    }

    /// Returns the refusal in place of an answer or at the end of a stream, if one came.
    pub fn refusal(&self) -> Option<&RefusedAnswer> {
        match self {
            Self::Refused { refusal, .. } => Some(refusal),
            Self::Cut { refusal, .. } => refusal.as_ref(),
            _ => None,
        }
    }

    /// Returns the status and headers of the answer; none if no answer began.
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
    /// Parses a body as a refusal; none if it is another answer.
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

/// Parser of a stream of events.
#[derive(Debug)]
pub struct StreamParser {
    head: AnswerHead,
    events: u64,
    done: bool,
    refusal: Option<RefusedAnswer>,
    foreign: Option<String>,
}

impl StreamParser {
    /// Returns a parser of the stream with these headers.
    pub fn new(head: AnswerHead) -> Self {
        Self {
            head,
            events: 0,
            done: false,
            refusal: None,
            foreign: None,
        }
    }

    /// Parses one line and returns whether it was an event of the answer. The end marker and a
    /// refusal are none.
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
        if let Some(found) =
            request_id_of(data).filter(|found| !belongs_to_request(found, &self.head))
        {
            self.foreign = Some(found);
        }
        self.events += 1;
        true
    }

    /// Returns the outcome at the end of the stream; `error` is that of the connection, if it
    /// failed.
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

/// Returns the request ID that a JSON answer or event carries.
fn request_id_of(data: &str) -> Option<String> {
    let value: Value = serde_json::from_str(data).ok()?;
    Some(value.get("id")?.as_str()?.to_owned())
}

/// Returns whether an ID belongs to the request of an answer. Engines put a prefix before the
/// request ID.
fn belongs_to_request(request_id: &str, head: &AnswerHead) -> bool {
    head.request.is_empty() || request_id.ends_with(&head.request)
}
