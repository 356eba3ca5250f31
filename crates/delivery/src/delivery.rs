//! The answer to one request, written part by part.

use apricotdale_http1::ResponseHead;
use apricotdale_http1::append_chunk;
use apricotdale_http1::append_head_end;
use apricotdale_http1::append_header;
use apricotdale_http1::append_last_chunk;
use apricotdale_http1::append_status_line;

use crate::errors::Misfit;
use crate::event::FieldReader;
use crate::options::Options;
use crate::position::Position;
use crate::splitter::EventSplitter;
use crate::splitter::Piece;

/// The largest body that is held back until it is whole. A larger one goes out in parts.
const HELD_BYTES: usize = 1024 * 1024;

const EVENT_STREAM: &str = "text/event-stream";

/// What the caller has been given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Given {
    Nothing,
    /// A head, and events up to a position.
    Events,
    /// A head, and part of a body that is no stream of events.
    Body,
    /// All of an answer.
    Whole,
    /// Part of an answer that was broken off.
    Broken,
}

/// The answer of the upstream that was asked last.
#[derive(Clone, Debug)]
enum Run {
    /// Its head has not come.
    Awaited,
    Events(Events),
    /// Its body, as far as it is held back.
    Body(Vec<u8>),
    /// One of its events did not fit.
    Refused(Misfit),
}

#[derive(Clone, Debug, Default)]
struct Events {
    splitter: EventSplitter,
    /// Whether it goes on behind another upstream's events.
    goes_on: bool,
    has_event: bool,
    /// The fields of the event in progress.
    reader: FieldReader,
}

/// `Closing` is how an answer ends that no upstream ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Closing {
    /// The caller gets these bytes, a whole answer.
    Answer(Vec<u8>),
    /// The caller's connection is broken, so that the part it has does not look whole.
    Abort,
}

/// `Delivery` is the answer to one request, as far as the caller has been given it.
#[derive(Clone, Debug)]
pub struct Delivery {
    options: Options,
    given: Given,
    position: Position,
    /// The head of the answer that is given, or of the one that would be.
    head: Option<ResponseHead>,
    run: Run,
}

impl Delivery {
    /// Returns the delivery of an answer of which nothing has been given.
    pub fn new(options: Options) -> Self {
        Self {
            given: Given::Nothing,
            position: Position::start(&options),
            head: None,
            run: Run::Awaited,
            options,
        }
    }

    /// Returns whether the caller has been given a part.
    pub fn has_begun(&self) -> bool {
        self.given != Given::Nothing
    }

    /// Returns whether another upstream's answer may follow what was given.
    pub fn may_go_on(&self) -> bool {
        match self.given {
            Given::Nothing => true,
            Given::Events => self.options.is_resumable && self.position.is_known(),
            Given::Body | Given::Whole | Given::Broken => false,
        }
    }

    /// Returns the event behind which an upstream that is asked now has to go on.
    pub fn last_event(&self) -> Option<u64> {
        self.position.last_id()
    }

    /// Returns the status of the answer in progress; none until its head has come.
    pub fn status(&self) -> Option<u16> {
        match self.run {
            Run::Awaited => None,
            Run::Events(_) | Run::Body(_) | Run::Refused(_) => {
                self.head.as_ref().map(|head| head.status)
            }
        }
    }

    /// Begins with the answer of another upstream. What is held back of the one before is dropped.
    pub fn begin_run(&mut self) {
        self.run = Run::Awaited;
        if self.given == Given::Nothing {
            self.head = None;
            self.position = Position::start(&self.options);
        }
    }

    /// Takes in the head of the upstream's answer and the version of the weights that it names.
    ///
    /// # Errors
    ///
    /// Any [`Misfit`] by which the answer can't follow what was given.
    pub fn head(&mut self, head: ResponseHead, version: Option<u64>) -> Result<(), Misfit> {
        let is_success = (200..300).contains(&head.status);
        let is_events = self.options.is_stream && is_success && has_events(&head);
        match (self.given, &self.head) {
            // The caller has events already.
            (Given::Nothing, _) if is_success && !is_events && self.is_resumed() => {
                return Err(Misfit::ContentType);
            }
            (Given::Nothing, _) => {}
            (Given::Events, _) if !self.may_go_on() => return Err(Misfit::Closed),
            (Given::Events, Some(first)) if first.status != head.status => {
                return Err(Misfit::Status);
            }
            (Given::Events, _) if !is_events => return Err(Misfit::ContentType),
            (Given::Events, _) => {}
            (Given::Body | Given::Whole | Given::Broken, _) => return Err(Misfit::Closed),
        }
        self.position.set_version(version)?;
        self.run = match is_events {
            true => Run::Events(Events {
                goes_on: self.given == Given::Events,
                ..Events::default()
            }),
            false => Run::Body(Vec::new()),
        };
        if self.given == Given::Nothing {
            self.head = Some(head);
        }
        Ok(())
    }

    /// Takes in bytes of the body, and appends what the caller is given now to `out`. `closes` says
    /// whether the caller's connection ends after the answer.
    ///
    /// # Errors
    ///
    /// [`Misfit`] for the first event that does not follow the one before. Those before it are
    /// appended all the same, and nothing behind it. [`Misfit::Closed`] behind the end of the
    /// answer.
    pub fn body(&mut self, bytes: &[u8], closes: bool, out: &mut Vec<u8>) -> Result<(), Misfit> {
        if self.is_closed() {
            return Err(Misfit::Closed);
        }
        match &mut self.run {
            Run::Awaited => Ok(()),
            Run::Events(events) => {
                events.splitter.push(bytes);
                let mut passed = Vec::new();
                let fits = self.pass_events(&mut passed);
                self.write_part(&passed, Given::Events, closes, out);
                if let Err(misfit) = fits {
                    self.run = Run::Refused(misfit);
                }
                fits
            }
            Run::Refused(misfit) => Err(*misfit),
            Run::Body(held) => {
                held.extend_from_slice(bytes);
                if self.given == Given::Body || held.len() > HELD_BYTES {
                    let part = std::mem::take(held);
                    self.write_part(&part, Given::Body, closes, out);
                }
                Ok(())
            }
        }
    }

    /// Takes in that the body is whole, and appends the end of the answer to `out`.
    ///
    /// # Errors
    ///
    /// [`Misfit::Unfinished`] and [`Misfit::Empty`]; the misfit of an event before;
    /// [`Misfit::Closed`] if no head was taken in, and behind the end of the answer.
    pub fn end(&mut self, closes: bool, out: &mut Vec<u8>) -> Result<(), Misfit> {
        if self.is_closed() {
            return Err(Misfit::Closed);
        }
        let held = match &mut self.run {
            Run::Awaited => return Err(Misfit::Closed),
            Run::Refused(misfit) => return Err(*misfit),
            Run::Events(events) if events.splitter.is_inside_event() => {
                return Err(Misfit::Unfinished);
            }
            Run::Events(events) if events.goes_on && !events.has_event => {
                return Err(Misfit::Empty);
            }
            Run::Events(events) => events.splitter.rest().to_vec(),
            Run::Body(held) => std::mem::take(held),
        };
        match (self.given, &self.head) {
            (Given::Nothing, Some(head)) => {
                append_answer_head(out, head, Some(held.len()), closes);
                out.extend_from_slice(&held);
            }
            _ => {
                append_chunk(out, &held);
                append_last_chunk(out);
            }
        }
        self.given = Given::Whole;
        Ok(())
    }

    /// Ends the answer without an upstream. `refusal` makes the answer for a caller who has been
    /// given nothing.
    pub fn close(&mut self, refusal: impl FnOnce() -> Vec<u8>) -> Closing {
        match self.given {
            Given::Nothing => {
                self.given = Given::Whole;
                Closing::Answer(refusal())
            }
            Given::Events | Given::Body | Given::Whole | Given::Broken => {
                self.given = Given::Broken;
                Closing::Abort
            }
        }
    }

    /// Returns whether the caller has events from an earlier answer.
    fn is_resumed(&self) -> bool {
        let is_resumable = self.options.is_stream && self.options.is_resumable;
        is_resumable && self.options.last_event.is_some()
    }

    fn is_closed(&self) -> bool {
        matches!(self.given, Given::Whole | Given::Broken)
    }

    /// Appends the pieces of a stream that fit.
    fn pass_events(&mut self, passed: &mut Vec<u8>) -> Result<(), Misfit> {
        let is_resumed = self.is_resumed();
        let Run::Events(events) = &mut self.run else {
            return Ok(());
        };
        let version_field = self.options.version_field;
        let follows = events.goes_on || is_resumed;
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
                let must_be_numbered = follows && !events.has_event;
                self.position.check(&fields, must_be_numbered)?;
                events.has_event |= fields.has_content;
            }
            match is_last {
                true => {
                    self.position.end_event(&fields);
                    events.reader = FieldReader::default();
                }
                false => self.position.begin_event(),
            }
            passed.extend_from_slice(&bytes);
        }
        Ok(())
    }

    /// Appends part of the body, behind the head if it is the first.
    fn write_part(&mut self, part: &[u8], given: Given, closes: bool, out: &mut Vec<u8>) {
        if part.is_empty() {
            return;
        }
        if let (Given::Nothing, Some(head)) = (self.given, &self.head) {
            append_answer_head(out, head, None, closes);
        }
        self.given = given;
        append_chunk(out, part);
    }
}

fn has_events(head: &ResponseHead) -> bool {
    let content_type = head.headers.text("Content-Type").unwrap_or_default();
    let essence = content_type.split(';').next().unwrap_or_default();
    essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
}

/// Appends the head of an answer as the caller gets it, with a length or in chunks.
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
