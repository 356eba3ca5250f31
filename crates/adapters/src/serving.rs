//! Requests to engines, and their answers as complete bodies or event streams.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;

use ureq::Body;
use ureq::BodyReader;
use ureq::http::Method;
use ureq::http::Response;

use crate::answer;
use crate::connection::Watch;
use crate::engine::HttpEngine;
use crate::events::Event;
use crate::events::EventSplitter;
use crate::exchange;
use crate::exchange::Incoming;
use crate::exchange::JSON;
use crate::exchange::Outgoing;
use crate::exchange::deadline_in;
use crate::paths::segment;
use crate::reading::OK;
use apricotdale_core::engine::EngineServing;
use apricotdale_core::engine::ServeAnswer;
use apricotdale_core::engine::ServeHead;
use apricotdale_core::engine::ServeRequest;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::names::RequestId;

const REQUEST_ID: &str = "X-Request-Id";
const PRIORITY: &str = "X-Priority";
const READ_BYTES: usize = 8 * 1024;

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
            false => Ok(Box::new(WholeAnswer::new(
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
enum Rest<T> {
    /// More may follow.
    Open(T),
    /// The answer is complete.
    Ended,
    /// The answer was cut or malformed. The error is kept: if the next call returned none, a caller
    /// that ignored the error would take half an answer for a complete one.
    Failed(Error),
}

/// Answer that is returned as one piece.
struct WholeAnswer {
    head: ServeHead,
    rest: Rest<Incoming>,
    idle_timeout_ms: u64,
    limit_bytes: usize,
}

impl WholeAnswer {
    fn new(head: ServeHead, incoming: Incoming, idle_timeout_ms: u64, limit_bytes: usize) -> Self {
        Self {
            head,
            rest: Rest::Open(incoming),
            idle_timeout_ms,
            limit_bytes,
        }
    }

    fn fail<T>(&mut self, error: Error) -> Result<T> {
        self.rest = Rest::Failed(error.clone());
        Err(error)
    }
}

impl ServeAnswer for WholeAnswer {
    fn head(&self) -> &ServeHead {
        &self.head
    }

    fn next_piece(&mut self) -> Result<Option<Vec<u8>>> {
        let incoming = match std::mem::replace(&mut self.rest, Rest::Ended) {
            Rest::Open(incoming) => incoming,
            Rest::Ended => return Ok(None),
            Rest::Failed(error) => return self.fail(error),
        };
        incoming
            .watch
            .set_deadline(deadline_in(self.idle_timeout_ms));
        match answer::read_whole(incoming.response, self.limit_bytes) {
            Ok(body) => Ok(Some(body)),
            Err(error) => self.fail(error),
        }
    }
}

/// Answer that is returned event by event.
struct StreamAnswer {
    head: ServeHead,
    rest: Rest<BodyReader<'static>>,
    watch: Arc<Watch>,
    splitter: EventSplitter,
    idle_timeout_ms: u64,
}

impl StreamAnswer {
    fn new(head: ServeHead, incoming: Incoming, idle_timeout_ms: u64, limit_bytes: usize) -> Self {
        Self {
            head,
            rest: Rest::Open(incoming.response.into_body().into_reader()),
            watch: incoming.watch,
            splitter: EventSplitter::new(limit_bytes),
            idle_timeout_ms,
        }
    }

    /// Reads the next complete event. The deadline moves only after an event, because the first
    /// event must arrive before the deadline for the beginning of the answer.
    fn next_event(&mut self, reader: &mut BodyReader<'static>) -> Result<Event> {
        let mut bytes = [0; READ_BYTES];
        loop {
            if let Some(event) = self.splitter.next_event()? {
                return Ok(event);
            }
            match reader.read(&mut bytes).map_err(answer::read_failed)? {
                0 => return Err(Error::unknown("stream cut before its end")),
                count => self.splitter.push(&bytes[..count]),
            }
        }
    }

    fn fail<T>(&mut self, error: Error) -> Result<T> {
        self.rest = Rest::Failed(error.clone());
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
        let mut reader = match std::mem::replace(&mut self.rest, Rest::Ended) {
            Rest::Open(reader) => reader,
            Rest::Ended => return Ok(None),
            Rest::Failed(error) => return self.fail(error),
        };
        let event = match self.next_event(&mut reader) {
            Ok(event) => event,
            Err(error) => return self.fail(error),
        };
        if !event.done {
            self.rest = Rest::Open(reader);
        }
        if !event.comment {
            self.watch.set_deadline(deadline_in(self.idle_timeout_ms));
        }
        Ok(Some(event.bytes))
    }
}
