//! Complete bodies of answers, and the detection of those that were cut.

use std::io;
use std::io::Read;

use ureq::Body;
use ureq::http::HeaderMap;
use ureq::http::HeaderName;
use ureq::http::Response;
use ureq::http::StatusCode;
use ureq::http::Version;
use ureq::http::header::CONTENT_LENGTH;
use ureq::http::header::CONTENT_TYPE;
use ureq::http::header::TRANSFER_ENCODING;

use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;

const CHUNKED: &str = "chunked";

/// Returns the value of a header, or an empty text if it is absent or not plain ASCII.
pub(crate) fn header(headers: &HeaderMap, name: HeaderName) -> &str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Returns the content type of an answer, or an empty text if there is none.
pub(crate) fn content_type(response: &Response<Body>) -> String {
    header(response.headers(), CONTENT_TYPE).to_owned()
}

/// Reads the complete body of an answer.
///
/// If a body ends with its connection, nothing shows whether it was cut: half of a slot list would
/// count as complete. A body is therefore accepted only if its length was announced or its last
/// chunk arrived.
///
/// # Errors
///
/// `Error::Unknown` if the body was cut or late, `Error::Malformed` if it exceeds the limit or does
/// not have the announced framing.
pub(crate) fn read_complete(response: Response<Body>, limit_bytes: usize) -> Result<Vec<u8>> {
    let content_length = header(response.headers(), CONTENT_LENGTH)
        .parse::<u64>()
        .ok();
    if content_length.is_some_and(|length| length > limit_bytes as u64) {
        return Err(too_large(limit_bytes));
    }
    if content_length.is_none() && !is_chunked(&response) && !is_bodyless(response.status()) {
        return Err(Error::unknown("the answer does not tell where it ends"));
    }
    let mut reader = response
        .into_body()
        .into_reader()
        .take(limit_bytes as u64 + 1);
    let mut body = Vec::new();
    reader.read_to_end(&mut body).map_err(body_error)?;
    match body.len() {
        length if length > limit_bytes => Err(too_large(limit_bytes)),
        _ => Ok(body),
    }
}

/// Returns whether the body is chunked. HTTP/1.0 has no chunks: its bodies end with their
/// connection whatever is announced.
fn is_chunked(response: &Response<Body>) -> bool {
    let codings = header(response.headers(), TRANSFER_ENCODING);
    let last = codings.rsplit(',').next().unwrap_or_default();
    response.version() != Version::HTTP_10 && last.trim().eq_ignore_ascii_case(CHUNKED)
}

fn is_bodyless(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Converts the error of reading a body.
pub(crate) fn body_error(error: io::Error) -> Error {
    let inner = error
        .get_ref()
        .and_then(|inner| inner.downcast_ref::<ureq::Error>());
    match inner {
        Some(ureq::Error::Protocol(inner)) => Error::malformed(inner.to_string()),
        _ => Error::unknown(format!("answer cut: {error}")),
    }
}

fn too_large(limit_bytes: usize) -> Error {
    Error::malformed(format!("answer above {limit_bytes} bytes"))
}
