//! The answer to one request, written to the caller part by part.

use apricotdale_core::origin::Origin;
use apricotdale_http1::ResponseHead;
use apricotdale_http1::append_chunk;
use apricotdale_http1::append_head_end;
use apricotdale_http1::append_header;
use apricotdale_http1::append_last_chunk;
use apricotdale_http1::append_status_line;

use crate::errors::ContinuationMismatch;
use crate::event::FieldReader;
use crate::options::AnswerSource;
use crate::options::Options;
use crate::position::Position;
use crate::splitter::EventSplitter;
use crate::splitter::Piece;

/// Largest body that is buffered until it is complete, without another limit. A larger one is sent in
/// parts.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

const EVENT_STREAM: &str = "text/event-stream";

/// Part of the answer that the caller has received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivered {
    Nothing,
    /// A head, and events up to a position.
    Events,
    /// A head, and part of a body that is no event stream.
    Body,
    /// A complete answer.
    Complete,
    /// Part of an answer whose connection was aborted.
    Aborted,
}

/// Answer of the upstream to which the request was sent last.
#[derive(Clone, Debug)]
enum UpstreamAnswer {
    /// Its head has not arrived.
    Awaited,
    Events(Events),
    /// Its body, as far as it is buffered.
    Body(Vec<u8>),
    /// One of its events can't continue what the caller has received.
    Mismatched(ContinuationMismatch),
}

#[derive(Clone, Debug, Default)]
struct Events {
    splitter: EventSplitter,
    /// Whether it continues another upstream's events.
    continues: bool,
    /// Whether an event with content has been forwarded.
    has_event: bool,
    /// Fields of the event in progress.
    reader: FieldReader,
    /// Process that writes the events.
    origin: Option<Origin>,
}

/// End of an answer that no upstream completes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Closing {
    /// The caller gets these bytes, which are a complete answer.
    Answer(Vec<u8>),
    /// The caller's connection is aborted, so that the part that it has received does not look
    /// complete.
    Abort,
}

/// Answer to one request, and how much of it the caller has received.
#[derive(Clone, Debug)]
pub struct Delivery {
    options: Options,
    delivered: Delivered,
    position: Position,
    /// Head of the answer that the caller receives, or of the one buffered for it.
    head: Option<ResponseHead>,
    answer: UpstreamAnswer,
    /// Largest body that is buffered until it is complete.
    max_buffered_bytes: usize,
}

impl Delivery {
    /// Returns a delivery of which the caller has received nothing.
    pub fn new(options: Options) -> Self {
        Self {
            delivered: Delivered::Nothing,
            position: Position::start(&options),
            head: None,
            answer: UpstreamAnswer::Awaited,
            max_buffered_bytes: MAX_BUFFERED_BYTES,
            options,
        }
    }

    /// Sets how many bytes of an incomplete body, or of an incomplete event, are buffered at most, up
    /// to the defaults. What is buffered beyond that is passed on with the next part.
    pub fn limit_buffer(&mut self, bytes: usize) {
        self.max_buffered_bytes = bytes.min(MAX_BUFFERED_BYTES);
    }

    /// Returns whether the caller has received any part.
    pub fn has_begun(&self) -> bool {
        self.delivered != Delivered::Nothing
    }

    /// Returns whether another upstream's answer may continue what the caller has received.
    pub fn may_continue(&self) -> bool {
        match self.delivered {
            Delivered::Nothing => true,
            Delivered::Events => self.options.is_resumable && self.position.is_known(),
            Delivered::Body | Delivered::Complete | Delivered::Aborted => false,
        }
    }

    /// Returns the ID of the event after which an upstream has to resume the stream if the request
    /// is sent now, or `None` if the stream starts at its first event.
    pub fn last_event(&self) -> Option<u64> {
        self.position.last_id()
    }

    /// Returns the origin of the events that the caller has; `None` if it has none. Only upstreams
    /// that it accepts may continue the stream.
    pub fn origin(&self) -> Option<&Origin> {
        self.position.origin()
    }

    /// Sets the origin of the events that the caller has from an earlier answer. To be called
    /// before the first answer.
    pub fn set_origin(&mut self, origin: Origin) {
        self.options.origin = Some(origin);
        self.position = Position::start(&self.options);
    }

    /// Adds what has become known about the origin of the events that the caller has.
    pub fn complete_origin(&mut self, origin: Origin) {
        if self.options.origin.is_some() {
            self.options.origin = Some(origin.clone());
        }
        self.position.complete_origin(origin);
    }

    /// Returns the status of the answer in progress, or `None` until its head has arrived.
    pub fn status(&self) -> Option<u16> {
        match self.answer {
            UpstreamAnswer::Awaited => None,
            UpstreamAnswer::Events(_) | UpstreamAnswer::Body(_) | UpstreamAnswer::Mismatched(_) => {
                self.head.as_ref().map(|head| head.status)
            }
        }
    }

    /// Begins with the answer of another upstream, and drops what is buffered of the previous one.
    pub fn begin_next_answer(&mut self) {
        self.answer = UpstreamAnswer::Awaited;
        if self.delivered == Delivered::Nothing {
            self.head = None;
            self.position = Position::start(&self.options);
        }
    }

    /// Handles the head of an answer from a source.
    ///
    /// # Errors
    ///
    /// Returns the [`ContinuationMismatch`] because of which the answer can't continue what the
    /// caller has received.
    pub fn head(
        &mut self,
        head: ResponseHead,
        source: &AnswerSource,
    ) -> Result<(), ContinuationMismatch> {
        let is_success = (200..300).contains(&head.status);
        let is_events = self.options.is_stream && is_success && is_event_stream(&head);
        match (self.delivered, &self.head) {
            // The caller has events from an earlier answer, which only events can continue.
            (Delivered::Nothing, _) if is_success && !is_events && self.caller_resumes() => {
                return Err(ContinuationMismatch::ContentType);
            }
            (Delivered::Nothing, _) => {}
            (Delivered::Events, _) if !self.may_continue() => {
                return Err(ContinuationMismatch::Closed);
            }
            (Delivered::Events, Some(first)) if first.status != head.status => {
                return Err(ContinuationMismatch::Status);
            }
            (Delivered::Events, _) if !is_events => return Err(ContinuationMismatch::ContentType),
            (Delivered::Events, _) => {}
            (Delivered::Body | Delivered::Complete | Delivered::Aborted, _) => {
                return Err(ContinuationMismatch::Closed);
            }
        }
        if is_events {
            self.position.check_origin(&source.origin)?;
        }
        self.position.set_version(source.weights)?;
        self.answer = match is_events {
            true => UpstreamAnswer::Events(Events {
                continues: self.delivered == Delivered::Events,
                origin: Some(source.origin.clone()),
                ..Events::default()
            }),
            false => UpstreamAnswer::Body(Vec::new()),
        };
        if self.delivered == Delivered::Nothing {
            self.head = Some(head);
        }
        Ok(())
    }

    /// Handles bytes of the body, and appends what the caller receives now to `out`. `closes` says
    /// whether the caller's connection is closed after the answer.
    ///
    /// # Errors
    ///
    /// Returns the [`ContinuationMismatch`] of the first event that can't follow the previous one.
    /// Events before it are still appended, and nothing after it. Returns
    /// [`ContinuationMismatch::Closed`] after the end of the answer.
    pub fn body(
        &mut self,
        bytes: &[u8],
        closes: bool,
        out: &mut Vec<u8>,
    ) -> Result<(), ContinuationMismatch> {
        if self.is_closed() {
            return Err(ContinuationMismatch::Closed);
        }
        match &mut self.answer {
            UpstreamAnswer::Awaited => Ok(()),
            UpstreamAnswer::Events(events) => {
                events.splitter.limit_buffer(self.max_buffered_bytes);
                events.splitter.push(bytes);
                let mut forwarded = Vec::new();
                let result = self.forward_events(&mut forwarded);
                self.write_part(&forwarded, Delivered::Events, closes, out);
                if let Err(mismatch) = result {
                    self.answer = UpstreamAnswer::Mismatched(mismatch);
                }
                result
            }
            UpstreamAnswer::Mismatched(mismatch) => Err(*mismatch),
            UpstreamAnswer::Body(buffered) => {
                buffered.extend_from_slice(bytes);
                if self.delivered == Delivered::Body || buffered.len() > self.max_buffered_bytes {
                    let part = std::mem::take(buffered);
                    self.write_part(&part, Delivered::Body, closes, out);
                }
                Ok(())
            }
        }
    }

    /// Handles the end of a complete body, and appends the end of the answer to `out`.
    ///
    /// # Errors
    ///
    /// Returns [`ContinuationMismatch::Unfinished`] or [`ContinuationMismatch::Empty`] if the body
    /// must not end here, the mismatch of an earlier event, or [`ContinuationMismatch::Closed`] if
    /// no head was accepted or the answer has ended.
    pub fn end(&mut self, closes: bool, out: &mut Vec<u8>) -> Result<(), ContinuationMismatch> {
        if self.is_closed() {
            return Err(ContinuationMismatch::Closed);
        }
        let buffered = match &mut self.answer {
            UpstreamAnswer::Awaited => return Err(ContinuationMismatch::Closed),
            UpstreamAnswer::Mismatched(mismatch) => return Err(*mismatch),
            UpstreamAnswer::Events(events) if events.splitter.is_inside_event() => {
                return Err(ContinuationMismatch::Unfinished);
            }
            UpstreamAnswer::Events(events) if events.continues && !events.has_event => {
                return Err(ContinuationMismatch::Empty);
            }
            UpstreamAnswer::Events(events) => events.splitter.remainder().to_vec(),
            UpstreamAnswer::Body(buffered) => std::mem::take(buffered),
        };
        match (self.delivered, &self.head) {
            (Delivered::Nothing, Some(head)) => {
                append_answer_head(out, head, Some(buffered.len()), closes);
                out.extend_from_slice(&buffered);
            }
            _ => {
                append_chunk(out, &buffered);
                append_last_chunk(out);
            }
        }
        self.delivered = Delivered::Complete;
        Ok(())
    }

    /// Ends an answer that no upstream completes. `refusal` makes the answer for a caller that has
    /// received nothing.
    pub fn close(&mut self, refusal: impl FnOnce() -> Vec<u8>) -> Closing {
        match self.delivered {
            Delivered::Nothing => {
                self.delivered = Delivered::Complete;
                Closing::Answer(refusal())
            }
            Delivered::Events | Delivered::Body | Delivered::Complete | Delivered::Aborted => {
                self.delivered = Delivered::Aborted;
                Closing::Abort
            }
        }
    }

    /// Returns whether the caller has events from an earlier answer that this one must continue.
    fn caller_resumes(&self) -> bool {
        let is_resumable = self.options.is_stream && self.options.is_resumable;
        is_resumable && self.options.last_event.is_some()
    }

    fn is_closed(&self) -> bool {
        matches!(self.delivered, Delivered::Complete | Delivered::Aborted)
    }

    /// Appends the pieces of the event stream that continue what the caller has received.
    fn forward_events(&mut self, forwarded: &mut Vec<u8>) -> Result<(), ContinuationMismatch> {
        let caller_resumes = self.caller_resumes();
        let UpstreamAnswer::Events(events) = &mut self.answer else {
            return Ok(());
        };
        let version_field = self.options.version_field;
        let must_continue = events.continues || caller_resumes;
        while let Some(piece) = events.splitter.next_piece() {
            let is_first = matches!(piece, Piece::Event(_) | Piece::Beginning(_));
            let is_last = matches!(piece, Piece::Event(_) | Piece::Last(_));
            let (Piece::Event(bytes)
            | Piece::Beginning(bytes)
            | Piece::More(bytes)
            | Piece::Last(bytes)) = piece;
            events.reader.push(&bytes, version_field);
            let fields = events.reader.fields();
            if is_first || is_last {
                let must_be_numbered = must_continue && !events.has_event;
                self.position.check_next(&fields, must_be_numbered)?;
                events.has_event |= fields.has_content;
            }
            match is_last {
                true => {
                    self.position.end_event(&fields);
                    events.reader = FieldReader::default();
                }
                false => self.position.begin_event(),
            }
            forwarded.extend_from_slice(&bytes);
        }
        Ok(())
    }

    /// Appends part of the body, after the head if it is the first part.
    fn write_part(&mut self, part: &[u8], delivered: Delivered, closes: bool, out: &mut Vec<u8>) {
        if part.is_empty() {
            return;
        }
        if let (Delivered::Nothing, Some(head)) = (self.delivered, &self.head) {
            append_answer_head(out, head, None, closes);
        }
        if let UpstreamAnswer::Events(Events {
            origin: Some(origin),
            ..
        }) = &self.answer
        {
            self.position.begin(origin);
        }
        self.delivered = delivered;
        append_chunk(out, part);
    }
}

fn is_event_stream(head: &ResponseHead) -> bool {
    let content_type = head.headers.text("Content-Type").unwrap_or_default();
    let essence = content_type.split(';').next().unwrap_or_default();
    essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Appends the head of an answer for the caller, with a length or in chunked encoding.
fn append_answer_head(
    out: &mut Vec<u8>,
    head: &ResponseHead,
    length_bytes: Option<usize>,
    closes: bool,
) {
    append_status_line(out, head.status);
    for (name, value) in head.headers.end_to_end() {
        append_header(out, name, value);
    }
    match length_bytes {
        Some(bytes) => append_header(out, "Content-Length", bytes.to_string().as_bytes()),
        None => append_header(out, "Transfer-Encoding", b"chunked"),
    }
    if closes {
        append_header(out, "Connection", b"close");
    }
    append_head_end(out);
}
