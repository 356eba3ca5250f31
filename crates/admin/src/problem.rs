//! Problem documents (RFC 9457), the form in which errors are sent.

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;

/// Content type of a problem document.
pub(crate) const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// Machine-readable kind of a problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemCode {
    /// The daemon has not replayed the state yet that the answer needs.
    NotReady,
    /// The daemon has no such path or request.
    NotFound,
    /// The request is not valid.
    BadRequest,
    /// The path exists, but not for this HTTP method.
    MethodNotAllowed,
    /// The request body is larger than the server allows.
    BodyTooLarge,
    /// As many changes as allowed wait for the log already.
    Busy,
    /// The daemon failed in a way that has no code of its own.
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

/// Problem document that describes why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Short name of the kind, the same for all problems of one code.
    pub title: String,
    /// HTTP status of the answer.
    pub status: u16,
    /// Machine-readable kind.
    pub code: ProblemCode,
    /// Explanation of this problem for the operator.
    pub detail: String,
}

impl Problem {
    /// Returns a problem document with the title and the HTTP status of `code`.
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
