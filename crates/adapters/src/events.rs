//! Splits a stream of server-sent events into complete events.

use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;

const DONE: &[u8] = b"[DONE]";
const DATA_FIELD: &[u8] = b"data:";
const COMMENT: u8 = b':';

/// A complete event with its closing blank line.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Bytes as received.
    pub(crate) bytes: Vec<u8>,
    /// Whether the event is the `[DONE]` marker, which completes the stream.
    pub(crate) is_last: bool,
    /// Whether the event has only comments, which engines send to keep a connection open.
    pub(crate) is_comment: bool,
}

/// Splits a byte stream at the blank lines between events.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    buffer: Vec<u8>,
    line_start: usize,
    scanned: usize,
    limit_bytes: usize,
    has_field: bool,
    has_comment: bool,
    is_last: bool,
}

impl EventSplitter {
    /// Returns a splitter for events of at most `limit_bytes`.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            buffer: Vec::new(),
            line_start: 0,
            scanned: 0,
            limit_bytes,
            has_field: false,
            has_comment: false,
            is_last: false,
        }
    }

    /// Appends bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// `Error::Malformed` if an event exceeds the limit.
    pub(crate) fn next_event(&mut self) -> Result<Option<Event>> {
        while let Some(line_end) = self.find_line_end() {
            let blank = self.scanned == self.line_start;
            let next_line = line_end;
            match blank {
                true if self.has_field || self.has_comment => {
                    return self.take_event(next_line).map(Some);
                }
                true => {}
                false => self.scan_line(),
            }
            self.line_start = next_line;
            self.scanned = next_line;
        }
        match self.buffer.len() {
            length if length > self.limit_bytes => Err(self.too_large()),
            _ => Ok(None),
        }
    }

    /// Moves `scanned` to the end of the current line's text and returns where the next line
    /// starts. A carriage return at the end of the buffer may be half of a line end, so the next
    /// byte is awaited.
    fn find_line_end(&mut self) -> Option<usize> {
        let found = self.buffer[self.scanned..]
            .iter()
            .position(|byte| matches!(byte, b'\n' | b'\r'));
        let Some(found) = found else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned += found;
        match (self.buffer[self.scanned], self.buffer.get(self.scanned + 1)) {
            (b'\n', _) => Some(self.scanned + 1),
            (_, Some(b'\n')) => Some(self.scanned + 2),
            (_, Some(_)) => Some(self.scanned + 1),
            (_, None) => None,
        }
    }

    fn scan_line(&mut self) {
        let line = &self.buffer[self.line_start..self.scanned];
        match line.strip_prefix(DATA_FIELD) {
            Some(data) => {
                self.has_field = true;
                self.is_last |= data.trim_ascii() == DONE;
            }
            None if line[0] == COMMENT => self.has_comment = true,
            None => self.has_field = true,
        }
    }

    fn take_event(&mut self, end: usize) -> Result<Event> {
        if end > self.limit_bytes {
            return Err(self.too_large());
        }
        let following = self.buffer.split_off(end);
        let event = Event {
            bytes: std::mem::replace(&mut self.buffer, following),
            is_last: self.is_last,
            is_comment: !self.has_field,
        };
        *self = Self {
            buffer: std::mem::take(&mut self.buffer),
            ..Self::new(self.limit_bytes)
        };
        Ok(event)
    }

    fn too_large(&self) -> Error {
        Error::malformed(format!("event above {} bytes", self.limit_bytes))
    }
}
