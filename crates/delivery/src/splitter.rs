//! Splitting of a byte stream into server-sent events.

/// Largest event that is buffered until it is complete, without another limit. A larger one is
/// passed on in parts.
const MAX_BUFFERED_EVENT_BYTES: usize = 256 * 1024;

/// Next piece of a stream: an event, or part of one that is too large to buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A complete event with its blank line.
    Event(Vec<u8>),
    /// The beginning of an event that is too large to buffer.
    Beginning(Vec<u8>),
    /// A middle part of an event that is too large to buffer.
    More(Vec<u8>),
    /// The last part of an event that is too large to buffer.
    Last(Vec<u8>),
}

/// Finds the ends of events in a stream that arrives in pieces. As in the standard of server-sent
/// events, a line ends with a line feed, a carriage return, or both.
#[derive(Clone, Debug)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Largest event that is buffered until it is complete.
    max_buffered_bytes: usize,
    /// Start of the event in progress in `pending`.
    start: usize,
    /// Number of bytes of `pending` that were scanned for the event's end.
    scanned: usize,
    /// Whether the line in progress has any bytes.
    in_line: bool,
    /// Whether the last byte was a carriage return, so that a line feed still belongs to its line
    /// end.
    after_return: bool,
    /// Whether part of the event in progress was passed on.
    is_oversized: bool,
}

impl Default for EventSplitter {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            max_buffered_bytes: MAX_BUFFERED_EVENT_BYTES,
            start: 0,
            scanned: 0,
            in_line: false,
            after_return: false,
            is_oversized: false,
        }
    }
}

impl EventSplitter {
    /// Sets how many bytes of an incomplete event are buffered at most, up to the default.
    pub fn limit_buffer(&mut self, bytes: usize) {
        self.max_buffered_bytes = bytes.min(MAX_BUFFERED_EVENT_BYTES);
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.drain(..self.start);
        self.scanned -= self.start;
        self.start = 0;
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next piece, or `None` if more bytes are needed.
    pub fn next_piece(&mut self) -> Option<Piece> {
        if let Some(end) = self.find_end() {
            let event = self.pending[self.start..end].to_vec();
            self.start = end;
            return Some(match std::mem::take(&mut self.is_oversized) {
                true => Piece::Last(event),
                false => Piece::Event(event),
            });
        }
        let unfinished = &self.pending[self.start..];
        let has_more = self.is_oversized && !unfinished.is_empty();
        if !has_more && unfinished.len() <= self.max_buffered_bytes {
            return None;
        }
        let mut part = std::mem::take(&mut self.pending);
        part.drain(..self.start);
        (self.start, self.scanned) = (0, 0);
        Some(match std::mem::replace(&mut self.is_oversized, true) {
            true => Piece::More(part),
            false => Piece::Beginning(part),
        })
    }

    /// Returns the bytes that were not returned in a piece.
    pub fn remainder(&self) -> &[u8] {
        &self.pending[self.start..]
    }

    /// Returns whether the stream is in the middle of an event.
    pub fn is_inside_event(&self) -> bool {
        // A line feed that completes a line end belongs to the previous event.
        self.is_oversized || self.remainder().iter().any(|byte| *byte != b'\n')
    }

    /// Returns the end of the event in progress, or `None` if more bytes are needed.
    fn find_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.pending.get(self.scanned).copied() {
            self.scanned += 1;
            let after_return = std::mem::replace(&mut self.after_return, byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\n' | b'\r' if self.in_line => self.in_line = false,
                b'\n' => return Some(self.scanned),
                b'\r' => {
                    let has_feed = self.pending.get(self.scanned) == Some(&b'\n');
                    self.scanned += usize::from(has_feed);
                    self.after_return &= !has_feed;
                    return Some(self.scanned);
                }
                _ => self.in_line = true,
            }
        }
        None
    }
}
