//! Reading of the available bytes of an answer.

use apricotdale_paths::RelayPhase;

use super::HEAD_LIMIT_BYTES;
use super::Outbound;
use super::Parse;
use crate::stream::ReadEnd;

/// Maximum number of bytes of a body that are read before they are handled.
const READ_LIMIT_BYTES: usize = 128 * 1024;

/// Number of bytes of a head that are read before it is parsed: one more than it may have.
const HEAD_READ_BYTES: usize = HEAD_LIMIT_BYTES + 1;

/// Maximum number of bytes that a connection receives in one iteration of the loop, in addition to
/// the last read. An upstream that sends as fast as it is read must not keep the VM from others.
const ITERATION_LIMIT_BYTES: usize = 256 * 1024;

impl Outbound {
    /// Begins another iteration of the loop, in which the connection has its full share of reading.
    pub fn begin_iteration(&mut self) {
        self.iteration_bytes = 0;
    }

    /// Returns whether the connection has had its share of reading in this iteration of the loop.
    pub fn has_had_share(&self) -> bool {
        self.iteration_bytes >= ITERATION_LIMIT_BYTES
    }

    /// Reads the available bytes: of a body up to a share, which bounds what all connections hold.
    /// Returns whether any came.
    pub fn read(&mut self, now_ms: u64, share_bytes: usize) -> bool {
        let mut has_received = false;
        let limit_bytes = match self.parse {
            Parse::Body(_) => share_bytes.min(READ_LIMIT_BYTES),
            Parse::Head | Parse::Complete => HEAD_READ_BYTES,
        };
        if self.ended.is_none() {
            let before = self.input.len();
            let end = match &mut self.relayed_by {
                None => self.stream.read(&mut self.input, limit_bytes),
                Some(_) => self.read_relayed(limit_bytes),
            };
            has_received = self.input.len() > before;
            self.iteration_bytes += self.input.len() - before;
            if has_received {
                self.last_received_ms = now_ms;
            }
            self.has_more = end == ReadEnd::Limit;
            if matches!(end, ReadEnd::Closed | ReadEnd::Broken) {
                self.ended = Some(end);
            }
        }
        has_received
    }

    /// Reads from the VM that relays, and decodes what it passes on.
    fn read_relayed(&mut self, limit_bytes: usize) -> ReadEnd {
        let Some(relay) = &mut self.relayed_by else {
            return ReadEnd::Drained;
        };
        let limit_bytes = limit_bytes.saturating_sub(self.input.len());
        let end = self.stream.read(&mut relay.received, limit_bytes);
        let was_opening = relay.reader.phase() == RelayPhase::Opening;
        let decoded = relay.reader.read(&relay.received, &mut self.input);
        relay.received.clear();
        if was_opening && relay.reader.phase() == RelayPhase::Open {
            self.stream.sent_bytes = 0;
            self.stream.queue(&std::mem::take(&mut relay.held_back));
            self.stream.flush();
        }
        match (decoded, relay.reader.phase()) {
            (Err(_), _) => ReadEnd::Broken,
            (Ok(()), RelayPhase::Closed) => ReadEnd::Closed,
            (Ok(()), RelayPhase::NotReached | RelayPhase::Broken) => ReadEnd::Broken,
            // An end that the relay has not announced is none of the upstream's.
            (Ok(()), _) if end == ReadEnd::Closed => ReadEnd::Broken,
            _ => end,
        }
    }

    /// Returns whether bytes may be unread for which no readiness event will come.
    pub fn has_more(&self) -> bool {
        self.has_more && self.ended.is_none() && self.input.len() < READ_LIMIT_BYTES
    }
}
