//! Client of the append-only log over HTTP.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use ureq::http::Method;

use crate::answer;
use crate::exchange;
use crate::exchange::Incoming;
use crate::exchange::Outgoing;
use crate::exchange::deadline_in;
use crate::options::HttpOptions;
use crate::options::LogOptions;
use crate::paths::segment;
use crate::reader::OK;
use crate::reader::Reader;
use crate::reader::parse;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::log::LogBatch;
use apricotdale_core::log::LogClient;
use apricotdale_core::log::LogRecord;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;

const CREATED: u16 = 201;
const GONE: u16 = 410;
const TOO_MANY_REQUESTS: u16 = 429;
const SERVICE_UNAVAILABLE: u16 = 503;
const RECORD_CONTENT_TYPE: &str = "application/octet-stream";
const MAX_APPEND_ANSWER_BYTES: usize = 64 * 1024;

/// Client of the platform's log over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    http: HttpOptions,
    options: LogOptions,
    reader: Reader,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: Offset,
}

#[derive(Deserialize)]
struct ExpiredAnswer {
    first: Offset,
}

#[derive(Deserialize)]
struct ReadAnswer {
    first: Offset,
    end: Offset,
    records: Vec<ReadRecord>,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: Offset,
    appended_ms: u64,
    payload: String,
}

impl HttpLog {
    /// Returns a client of the log at the address in the options.
    pub fn new(http: &HttpOptions, options: &LogOptions) -> Self {
        Self {
            http: http.clone(),
            options: options.clone(),
            reader: Reader::new(http, options.answer_limit_bytes),
        }
    }
}

impl LogClient for HttpLog {
    fn append(&self, stream: &StreamName, payload: &[u8]) -> Result<Offset> {
        let outgoing = Outgoing {
            address: self.options.address,
            method: Method::POST,
            path: &format!("/streams/{}/records", segment(stream.as_str())),
            content_type: RECORD_CONTENT_TYPE,
            headers: Vec::new(),
            body: Some(payload),
            deadline: deadline_in(self.options.append_timeout_ms),
        };
        let incoming = exchange::send(&self.http, outgoing)?;
        read_append(incoming)
    }

    fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        max_records: usize,
        wait_ms: u64,
    ) -> Result<LogBatch> {
        let stream = segment(stream.as_str());
        let path =
            format!("/streams/{stream}/records?from={from}&max={max_records}&wait_ms={wait_ms}");
        let timeout_ms = self.options.read_timeout_ms.saturating_add(wait_ms);
        let fetched = self.reader.get(self.options.address, &path, timeout_ms)?;
        match fetched.status {
            OK => batch(parse(&fetched.body)?, from),
            GONE => Err(expired_error(parse(&fetched.body)?, from)),
            status => Err(Error::unavailable(format!("the log answered {status}"))),
        }
    }
}

/// Returns the outcome of an append from its answer. Only statuses 429 and 503 show that the record
/// was not appended. After any answer that is neither of these nor an offset, the outcome is
/// unknown.
fn read_append(incoming: Incoming) -> Result<Offset> {
    match incoming.response.status().as_u16() {
        TOO_MANY_REQUESTS => Err(Error::unavailable("the log takes no more appends now")),
        SERVICE_UNAVAILABLE => Err(Error::unavailable("the log is down")),
        CREATED => {
            let answer = answer::read_complete(incoming.response, MAX_APPEND_ANSWER_BYTES)
                .and_then(|body| parse::<AppendAnswer>(&body));
            match answer {
                Ok(answer) => Ok(answer.offset),
                Err(error) => Err(Error::unknown(format!("append's answer: {error}"))),
            }
        }
        status => Err(Error::unknown(format!("the log answered {status}"))),
    }
}

/// Returns the error of an expired offset. An answer that reports the requested offset as kept
/// contradicts itself. It is malformed, since a reader that accepted it would restart for ever.
fn expired_error(answer: ExpiredAnswer, from: Offset) -> Error {
    match answer.first {
        first if first > from => Error::Expired { first },
        first => Error::malformed(format!("{from} has expired, but {first} is kept")),
    }
}

/// Converts a read answer to a batch.
///
/// Replay needs records without gaps. A missing or duplicate record would make this VM's state
/// differ from that of the others, so offsets must increase by one from the requested one.
///
/// # Errors
///
/// `Error::Malformed` if the offsets, the end or a payload are invalid.
fn batch(answer: ReadAnswer, from: Offset) -> Result<LogBatch> {
    let mut records = Vec::with_capacity(answer.records.len());
    let mut expected = from;
    for record in answer.records {
        if record.offset != expected {
            let detail = format!("record {} in place of {expected}", record.offset);
            return Err(Error::malformed(detail));
        }
        expected = expected.next();
        records.push(decode(record)?);
    }
    if answer.end < expected && !records.is_empty() {
        let detail = format!("end {} before record {expected}", answer.end);
        return Err(Error::malformed(detail));
    }
    Ok(LogBatch {
        records,
        first: answer.first,
        end: answer.end,
    })
}

fn decode(record: ReadRecord) -> Result<LogRecord> {
    let payload = STANDARD
        .decode(record.payload)
        .map_err(|error| Error::malformed(error.to_string()))?;
    Ok(LogRecord {
        offset: record.offset,
        appended_ms: record.appended_ms,
        payload,
    })
}
