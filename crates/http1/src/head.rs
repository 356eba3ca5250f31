//! Parsing of request and response heads.

use std::ops::RangeInclusive;

use crate::errors::Error;
use crate::errors::Result;
use crate::headers::Headers;

/// Maximum number of fields in one head. A head with more is rejected as too large.
const MAX_FIELDS: usize = 100;

/// Statuses that the protocol defines. Others are no status of a response.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Framing of a body: how its end is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The body has this number of bytes; 0 also stands for a message without a body.
    Bytes(u64),
    /// The body consists of chunks up to one of length zero.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, in the case in which it was sent.
    pub method: String,
    /// Request target as it was sent, neither decoded nor normalised.
    pub target: String,
    /// All header fields, hop-by-hop fields included.
    pub headers: Headers,
    /// Framing of the body that follows.
    pub body: BodyLength,
    /// Whether the connection closes after the response, by the fields or by the protocol version.
    pub close: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// All header fields, hop-by-hop fields included.
    pub headers: Headers,
    /// Framing of the body that follows.
    pub body: BodyLength,
    /// Whether the connection closes after the response, by the fields, version or framing.
    pub close: bool,
}

/// Parses a request head from the beginning of `input`. Returns the head and its length in bytes;
/// none if more bytes are needed.
///
/// # Errors
///
/// [`Error::MalformedHead`] if the head is invalid, [`Error::HeadTooLarge`] above `limit_bytes` or
/// with too many fields, and [`Error::AmbiguousLength`] if the framing of the body is ambiguous.
pub fn parse_request_head(
    input: &[u8],
    limit_bytes: usize,
) -> Result<Option<(RequestHead, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let Some(length) = head_length(request.parse(input), input, limit_bytes)? else {
        return Ok(None);
    };
    let headers = copy_fields(request.headers);
    let version = request.version.unwrap_or(1);
    let body = match framing(&headers)? {
        Some(BodyLength::Chunked) if version == 0 => return Err(Error::AmbiguousLength),
        Some(body) => body,
        None => BodyLength::Bytes(0),
    };
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        close: closes_connection(&headers, version),
        expects_continue: headers.has_token("expect", "100-continue"),
        headers,
        body,
    };
    Ok(Some((head, length)))
}

/// Parses a response head from the beginning of `input`, as [`parse_request_head`] does. A response
/// to a `HEAD` request has no body, regardless of its fields.
///
/// # Errors
///
/// The same as [`parse_request_head`], and [`Error::MalformedHead`] for a status that the protocol
/// does not define.
pub fn parse_response_head(
    input: &[u8],
    limit_bytes: usize,
    is_head_request: bool,
) -> Result<Option<(ResponseHead, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let Some(length) = head_length(response.parse(input), input, limit_bytes)? else {
        return Ok(None);
    };
    let headers = copy_fields(response.headers);
    let status = response.code.unwrap_or_default();
    if !STATUSES.contains(&status) {
        return Err(Error::MalformedHead);
    }
    let version = response.version.unwrap_or(1);
    let framing = framing(&headers)?;
    let body = match framing {
        _ if is_head_request || status == 204 || status == 304 || status < 200 => {
            BodyLength::Bytes(0)
        }
        Some(body) => body,
        None => BodyLength::UntilClose,
    };
    let close = closes_connection(&headers, version) || body == BodyLength::UntilClose;
    Ok(Some((
        ResponseHead {
            status,
            headers,
            body,
            close,
        },
        length,
    )))
}

fn head_length(
    parsed: httparse::Result<usize>,
    input: &[u8],
    limit_bytes: usize,
) -> Result<Option<usize>> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length > limit_bytes => Err(Error::HeadTooLarge),
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if input.len() > limit_bytes => Err(Error::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Error::HeadTooLarge),
        Err(_) => Err(Error::MalformedHead),
    }
}

fn copy_fields(fields: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in fields {
        headers.push(field.name, field.value);
    }
    headers
}

fn closes_connection(headers: &Headers, version: u8) -> bool {
    headers.has_token("connection", "close")
        || (version == 0 && !headers.has_token("connection", "keep-alive"))
}

/// Returns the framing that the fields state. Two lengths, or a length beside chunks, would let two
/// programs see different bodies: what one of them reads as the remainder of the body, the other
/// reads as a second request. Such a message is rejected.
fn framing(headers: &Headers) -> Result<Option<BodyLength>> {
    let mut codings = headers.all("transfer-encoding");
    let lengths: Vec<&[u8]> = headers.all("content-length").collect();
    match (codings.next(), codings.next(), lengths.as_slice()) {
        (None, _, []) => Ok(None),
        (None, _, [length]) => parse_length(length).map(|length| Some(BodyLength::Bytes(length))),
        (Some(coding), None, []) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyLength::Chunked))
        }
        _ => Err(Error::AmbiguousLength),
    }
}

fn parse_length(value: &[u8]) -> Result<u64> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Error::AmbiguousLength);
    }
    std::str::from_utf8(digits)
        .ok()
        .and_then(|digits| digits.parse().ok())
        .ok_or(Error::AmbiguousLength)
}
