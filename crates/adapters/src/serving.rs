//! Requests to engines, and their answers as complete bodies or event streams.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;

use ureq::Body;
use ureq::BodyReader;
use ureq::http::Method;
use ureq::http::Response;

use crate::answer;
use crate::connection::ConnectionState;
use crate::engine::HttpEngine;
use crate::events::Event;
use crate::events::EventSplitter;
use crate::exchange;
use crate::exchange::Incoming;
use crate::exchange::JSON;
use crate::exchange::Outgoing;
use crate::exchange::deadline_in;
use crate::paths::segment;
use crate::reader::OK;
use apricotdale_core::engine::EngineServing;
use apricotdale_core::engine::ServeAnswer;
use apricotdale_core::engine::ServeHead;
use apricotdale_core::engine::ServeRequest;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::names::RequestId;

const REQUEST_ID: &str = "X-Request-Id";
const PRIORITY: &str = "X-Priority";
const READ_CHUNK_BYTES: usize = 8 * 1024;

impl EngineServing for HttpEngine {
    fn serve(&self, engine: SocketAddr, request: &ServeRequest) -> Result<Box<dyn ServeAnswer>> {
        let outgoing = Outgoing {
            address: engine,
            method: Method::POST,
            path: &request.path,
            content_type: JSON,
            headers: vec![
                (REQUEST_ID, request.id.to_string()),
                (PRIORITY, request.priority.to_string()),
            ],
            body: Some(&request.body),
            deadline: deadline_in(request.first_byte_timeout_ms),
        };
        let incoming = exchange::send(&self.http, outgoing)?;
        let limit_bytes = self.options.piece_limit_bytes;
        let head = head(&incoming.response);
        match head.is_event_stream() {
            true => Ok(Box::new(StreamAnswer::new(
                head,
                incoming,
                request.idle_timeout_ms,
                limit_bytes,
            ))),
            false => Ok(Box::new(CompleteAnswer::new(
                head,
                incoming,
                request.idle_timeout_ms,
                limit_bytes,
            ))),
        }
    }

    fn cancel(&self, engine: SocketAddr, id: &RequestId) -> Result<()> {
        let outgoing = Outgoing {
            address: engine,
            method: Method::POST,
            path: &format!("/v1/cancel/{}", segment(id.as_str())),
            content_type: JSON,
            headers: Vec::new(),
            body: Some(&[]),
            deadline: deadline_in(self.options.cancel_timeout_ms),
        };
        let incoming = exchange::send(&self.http, outgoing)?;
        match incoming.response.status().as_u16() {
            OK => Ok(()),
            status => Err(Error::unknown(format!("the engine answered {status}"))),
        }
    }
}

fn head(response: &Response<Body>) -> ServeHead {
    let id = response
        .headers()
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .map(RequestId::new);
    ServeHead {
        status: response.status().as_u16(),
        content_type: answer::content_type(response),
        id,
    }
}

/// Remainder of an answer.
enum AnswerRemainder<T> {
    /// More may follow.
    Open(T),
    /// The answer is complete.
    Ended,
    /// The answer was cut or malformed. The error is kept: if the next call returned none, a caller
    /// that ignored the error would take half an answer for a complete one.
    Failed(Error),
}

/// Answer that is returned as one piece.
struct CompleteAnswer {
    head: ServeHead,
    remainder: AnswerRemainder<Incoming>,
    idle_timeout_ms: u64,
    limit_bytes: usize,
}

impl CompleteAnswer {
    fn new(head: ServeHead, incoming: Incoming, idle_timeout_ms: u64, limit_bytes: usize) -> Self {
        Self {
            head,
            remainder: AnswerRemainder::Open(incoming),
            idle_timeout_ms,
            limit_bytes,
        }
    }

    fn fail<T>(&mut self, error: Error) -> Result<T> {
        self.remainder = AnswerRemainder::Failed(error.clone());
        Err(error)
    }
}

impl ServeAnswer for CompleteAnswer {
    fn head(&self) -> &ServeHead {
        &self.head
    }

    fn next_piece(&mut self) -> Result<Option<Vec<u8>>> {
        let incoming = match std::mem::replace(&mut self.remainder, AnswerRemainder::Ended) {
            AnswerRemainder::Open(incoming) => incoming,
            AnswerRemainder::Ended => return Ok(None),
            AnswerRemainder::Failed(error) => return self.fail(error),
        };
        incoming
            .connection_state
            .set_deadline(deadline_in(self.idle_timeout_ms));
        match answer::read_complete(incoming.response, self.limit_bytes) {
            Ok(body) => Ok(Some(body)),
            Err(error) => self.fail(error),
        }
    }
}

/// Answer that is returned event by event.
struct StreamAnswer {
    head: ServeHead,
    remainder: AnswerRemainder<BodyReader<'static>>,
    connection_state: Arc<ConnectionState>,
    splitter: EventSplitter,
    idle_timeout_ms: u64,
}

impl StreamAnswer {
    fn new(head: ServeHead, incoming: Incoming, idle_timeout_ms: u64, limit_bytes: usize) -> Self {
        Self {
            head,
            remainder: AnswerRemainder::Open(incoming.response.into_body().into_reader()),
            connection_state: incoming.connection_state,
            splitter: EventSplitter::new(limit_bytes),
            idle_timeout_ms,
        }
    }

    /// Reads the next complete event. The deadline moves only after an event, because the first
    /// event must arrive before the deadline for the beginning of the answer.
    fn next_event(&mut self, reader: &mut BodyReader<'static>) -> Result<Event> {
        let mut bytes = [0; READ_CHUNK_BYTES];
        loop {
            if let Some(event) = self.splitter.next_event()? {
                return Ok(event);
            }
            match reader.read(&mut bytes).map_err(answer::body_error)? {
                0 => return Err(Error::unknown("stream cut before its end")),
                count => self.splitter.push(&bytes[..count]),
            }
        }
    }

    fn fail<T>(&mut self, error: Error) -> Result<T> {
        self.remainder = AnswerRemainder::Failed(error.clone());
        Err(error)
    }
}

impl ServeAnswer for StreamAnswer {
    fn head(&self) -> &ServeHead {
        &self.head
    }

    fn next_piece(&mut self) -> Result<Option<Vec<u8>>> {
        // The reader is dropped after the last event and after an error. That closes its connection
        // at once, so the engine notices that the answer is no longer read.
        let mut reader = match std::mem::replace(&mut self.remainder, AnswerRemainder::Ended) {
            AnswerRemainder::Open(reader) => reader,
            AnswerRemainder::Ended => return Ok(None),
            AnswerRemainder::Failed(error) => return self.fail(error),
        };
        let event = match self.next_event(&mut reader) {
            Ok(event) => event,
            Err(error) => return self.fail(error),
        };
        if !event.is_last {
            self.remainder = AnswerRemainder::Open(reader);
        }
        if !event.is_comment {
            self.connection_state
                .set_deadline(deadline_in(self.idle_timeout_ms));
        }
        Ok(Some(event.bytes))
    }
}
