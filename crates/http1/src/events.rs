//! Server-sent events in a stream.

/// The largest event that is held back until it is whole. A larger one is passed on in pieces.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// `EventSplitter` finds whole events in a stream. An upstream that ends in the middle of an event
/// has then sent the caller no part of it, and another upstream can go on behind the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
    /// Whether bytes of an unfinished event were passed on because it was too large.
    broken: bool,
}

impl EventSplitter {
    /// Takes in bytes of the stream and returns those of whole events.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..]) {
            if let Some(id) = event_id(&self.pending[end..end + length]) {
                self.last_id = Some(id);
            }
            end += length;
        }
        if end == 0 && self.pending.len() > MAX_EVENT_BYTES {
            self.broken = true;
            end = self.pending.len();
        }
        self.pending.drain(..end).collect()
    }

    /// Returns what is left at the end of a whole stream.
    pub fn rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Drops an unfinished event, because another upstream will send it again.
    pub fn drop_unfinished(&mut self) {
        self.pending.clear();
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether a stream can go on behind the last whole event.
    pub fn can_resume(&self) -> bool {
        !self.broken
    }
}

/// Returns the length of the first event with its empty line, or none if it is not whole.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
