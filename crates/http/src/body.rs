//! Reading of request bodies.

use std::io::Read;
use std::time::Instant;

use chunked_transfer::Decoder;

use crate::head::Framing;
use crate::protocol::ProtocolError;
use crate::reader::BodySource;
use crate::reader::ConnectionReader;
use crate::reader::ReadFailure;
use crate::reader::SourceFailure;

/// Number of raw bytes that a chunked body may have beyond twice its size limit. A body in chunks
/// of a few bytes each exceeds it and is rejected as too large.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

/// Reason why a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyFailure {
    /// The client has closed its connection, so no error can be sent.
    Closed,
    /// The client is sent this error.
    Protocol(ProtocolError),
}

impl From<ProtocolError> for BodyFailure {
    fn from(error: ProtocolError) -> Self {
        Self::Protocol(error)
    }
}

/// Reads a complete body.
pub(crate) fn read_body(
    reader: &mut ConnectionReader,
    framing: Framing,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Vec<u8>, BodyFailure> {
    match framing {
        Framing::Length(0) => Ok(Vec::new()),
        Framing::Length(length) if length > limit_bytes => {
            Err(ProtocolError::BodyTooLarge { limit_bytes }.into())
        }
        Framing::Length(length) => read_length(reader, length, limit_bytes, deadline),
        Framing::Chunked => read_chunks(reader, limit_bytes, deadline),
    }
}

fn read_length(
    reader: &mut ConnectionReader,
    length: usize,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Vec<u8>, BodyFailure> {
    let mut source = BodySource::new(reader, deadline, length);
    let mut body = Vec::new();
    let read = source.by_ref().take(length as u64).read_to_end(&mut body);
    match (read, source.failure()) {
        (Ok(_), _) => Ok(body),
        (Err(_), failure) => Err(body_failure(failure, limit_bytes)),
    }
}

fn read_chunks(
    reader: &mut ConnectionReader,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Vec<u8>, BodyFailure> {
    let raw_limit = limit_bytes
        .saturating_mul(2)
        .saturating_add(MAX_FRAMING_BYTES);
    let mut source = BodySource::new(reader, deadline, raw_limit);
    let mut body = Vec::new();
    let read = Decoder::new(&mut source)
        .take(limit_bytes as u64 + 1)
        .read_to_end(&mut body);
    match (read, source.failure()) {
        (Ok(_), _) if body.len() > limit_bytes => {
            Err(ProtocolError::BodyTooLarge { limit_bytes }.into())
        }
        (Ok(_), _) => Ok(body),
        (Err(_), failure) => Err(body_failure(failure, limit_bytes)),
    }
}

fn body_failure(failure: Option<SourceFailure>, limit_bytes: usize) -> BodyFailure {
    match failure {
        Some(SourceFailure::Read(ReadFailure::Closed)) => BodyFailure::Closed,
        Some(SourceFailure::Read(ReadFailure::TimedOut)) => ProtocolError::BodyTimeout.into(),
        Some(SourceFailure::RawLimit) => ProtocolError::BodyTooLarge { limit_bytes }.into(),
        None => ProtocolError::BadRequest("the chunked body is malformed".to_owned()).into(),
    }
}
