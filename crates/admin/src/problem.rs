//! Errors as problem documents (RFC 9457).

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;

/// The content type of a problem document.
pub(crate) const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// `ProblemCode` is the machine-readable kind of a problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemCode {
    /// The daemon has not yet learned the state that the answer needs.
    NotReady,
    /// The daemon does not know the thing asked for.
    NotFound,
    /// The request can't be understood.
    BadRequest,
    /// The path is served, but not by this method.
    MethodNotAllowed,
    /// The request's body is larger than the limit.
    BodyTooLarge,
    /// The daemon answers as many changes at once as it may.
    Busy,
    /// A fault inside the daemon.
    Internal,
}

impl ProblemCode {
    fn http_status(self) -> u16 {
        match self {
            Self::NotReady | Self::Busy => 503,
            Self::NotFound => 404,
            Self::BadRequest => 400,
            Self::MethodNotAllowed => 405,
            Self::BodyTooLarge => 413,
            Self::Internal => 500,
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::NotReady => "Not ready",
            Self::NotFound => "Not found",
            Self::BadRequest => "Bad request",
            Self::MethodNotAllowed => "Method not allowed",
            Self::BodyTooLarge => "Body too large",
            Self::Busy => "Busy",
            Self::Internal => "Internal error",
        }
    }
}

/// `Problem` is a problem document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The kind in words.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// The kind as a machine-readable code.
    pub code: ProblemCode,
    /// A sentence for a person.
    pub detail: String,
}

impl Problem {
    /// Returns the problem document of a code.
    pub fn new(code: ProblemCode, detail: impl Into<String>) -> Self {
        Self {
            title: code.title().to_owned(),
            status: code.http_status(),
            code,
            detail: detail.into(),
        }
    }
}

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        match error {
            Error::NotReady(detail) => Self::new(ProblemCode::NotReady, detail),
            Error::NotFound(detail) => Self::new(ProblemCode::NotFound, detail),
            Error::BadRequest(detail) => Self::new(ProblemCode::BadRequest, detail),
            Error::MethodNotAllowed(detail) => Self::new(ProblemCode::MethodNotAllowed, detail),
            Error::BodyTooLarge(detail) => Self::new(ProblemCode::BodyTooLarge, detail),
            Error::Busy(detail) => Self::new(ProblemCode::Busy, detail),
            other => Self::new(ProblemCode::Internal, other.to_string()),
        }
    }
}

impl From<Problem> for Error {
    fn from(problem: Problem) -> Self {
        match problem.code {
            ProblemCode::NotReady => Self::NotReady(problem.detail),
            ProblemCode::NotFound => Self::NotFound(problem.detail),
            ProblemCode::BadRequest => Self::BadRequest(problem.detail),
            ProblemCode::MethodNotAllowed => Self::MethodNotAllowed(problem.detail),
            ProblemCode::BodyTooLarge => Self::BodyTooLarge(problem.detail),
            ProblemCode::Busy => Self::Busy(problem.detail),
            ProblemCode::Internal => Self::Internal(problem.detail),
        }
    }
}
