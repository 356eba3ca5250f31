//! Encoding of refusals for callers.

use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Refusal;
use apricotdale_http::Response;
use serde::Serialize;

const PROBLEM_JSON: &str = "application/problem+json";
const TYPE_PREFIX: &str = "urn:apricotdale:refusal:";
const ERROR_TYPE: &str = "apricotdale_refusal";

/// Problem document of RFC 9457 with additional members. The `error` member has OpenAI's form, so
/// that OpenAI clients show the message.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: String,
    status: u16,
    detail: &'a str,
    reason: &'static str,
    ran: &'static str,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    error: OpenAiError<'a>,
}

#[derive(Debug, Serialize)]
struct OpenAiError<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<&'static str>,
    code: &'static str,
}

/// Returns the problem document of a refusal as JSON.
fn document(id: &RequestId, refusal: &Refusal) -> Vec<u8> {
    let reason = refusal.reason.as_str();
    let problem = Problem {
        kind: format!("{TYPE_PREFIX}{reason}"),
        title: reason.replace('_', " "),
        status: refusal.reason.http_status(),
        detail: &refusal.detail,
        reason,
        ran: refusal.ran.as_str(),
        request_id: id.as_str(),
        retry_after_ms: refusal.retry_after_ms,
        error: OpenAiError {
            message: &refusal.detail,
            kind: ERROR_TYPE,
            param: None,
            code: reason,
        },
    };
    serde_json::to_vec(&problem).expect("problem documents hold only strings and numbers")
}

/// Returns the HTTP response of a refusal.
pub(crate) fn response(id: &RequestId, refusal: &Refusal) -> Response {
    // OpenAI clients retry most errors by default unless `X-Should-Retry` forbids it.
    let should_retry = refusal.retry_after_ms.is_some().to_string();
    let response = Response::new(refusal.reason.http_status())
        .header("Content-Type", PROBLEM_JSON)
        .header("Cache-Control", "no-store")
        .header("X-Should-Retry", should_retry)
        .body(document(id, refusal));
    match refusal.retry_after_ms {
        Some(after_ms) => response.header("Retry-After", after_ms.div_ceil(1_000).to_string()),
        None => response,
    }
}

/// Returns the event that reports a refusal within a stream that has begun.
pub(crate) fn event(id: &RequestId, refusal: &Refusal) -> Vec<u8> {
    let mut event = b"event: error\ndata: ".to_vec();
    event.extend_from_slice(&document(id, refusal));
    event.extend_from_slice(b"\n\n");
    event
}
