//! Events in a stream that arrives in pieces.

/// The largest event that is held back until it is whole. A larger one is passed on in parts.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// `Piece` is the next piece of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A whole event with its blank line.
    Event(Vec<u8>),
    /// The beginning of an event that is too large to be held back.
    Beginning(Vec<u8>),
    /// More of such an event.
    More(Vec<u8>),
    /// The last of such an event.
    Last(Vec<u8>),
}

/// `EventSplitter` finds the ends of events in a stream. Lines end as in the standard of
/// server-sent events: with a line feed, a carriage return, or both.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Where the event in progress begins in `pending`.
    start: usize,
    /// How much of `pending` was looked at.
    scanned: usize,
    in_line: bool,
    /// Whether the last byte was a carriage return, of whose line end a line feed is still a part.
    after_return: bool,
    /// Whether the event in progress is passed on in parts.
    is_oversize: bool,
}

impl EventSplitter {
    /// Takes in bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.drain(..self.start);
        self.scanned -= self.start;
        self.start = 0;
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next piece; none if more bytes are needed.
    pub fn next_piece(&mut self) -> Option<Piece> {
        if let Some(end) = self.find_end() {
            let event = self.pending[self.start..end].to_vec();
            self.start = end;
            return Some(match std::mem::take(&mut self.is_oversize) {
                true => Piece::Last(event),
                false => Piece::Event(event),
            });
        }
        let unfinished = &self.pending[self.start..];
        let is_passed_on = self.is_oversize && !unfinished.is_empty();
        if !is_passed_on && unfinished.len() <= MAX_EVENT_BYTES {
            return None;
        }
        let part = unfinished.to_vec();
        self.start = self.pending.len();
        Some(match std::mem::replace(&mut self.is_oversize, true) {
            true => Piece::More(part),
            false => Piece::Beginning(part),
        })
    }

    /// Returns what is left at the end of a whole stream.
    pub fn rest(&self) -> &[u8] {
        &self.pending[self.start..]
    }

    /// Returns whether the stream is in the middle of an event.
    pub fn is_inside_event(&self) -> bool {
        // A line feed that completes a line end belongs to the event before.
        self.is_oversize || self.rest().iter().any(|byte| *byte != b'\n')
    }

    /// Returns where the event in progress ends.
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
