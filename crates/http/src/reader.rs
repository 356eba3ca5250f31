//! Reads from a connection with a deadline.

use std::io;
use std::io::Read;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Reason why a read returned no bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadFailure {
    /// The deadline passed.
    TimedOut,
    /// The client closed its side, or the connection broke.
    Closed,
}

/// Reader of a connection that buffers the bytes read beyond the current request.
pub(crate) struct ConnectionReader {
    socket: Arc<TcpStream>,
    buffer: Vec<u8>,
    consumed: usize,
}

impl ConnectionReader {
    pub(crate) fn new(socket: Arc<TcpStream>) -> Self {
        Self {
            socket,
            buffer: Vec::new(),
            consumed: 0,
        }
    }

    /// Returns the bytes that were read and not consumed yet.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Marks the first `count` bytes of the buffer as consumed.
    pub(crate) fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
        }
    }

    /// Reads at least one more byte into the buffer.
    pub(crate) fn fill(&mut self, deadline: Instant) -> std::result::Result<(), ReadFailure> {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        let buffered = self.buffer.len();
        self.buffer.resize(buffered + READ_CHUNK_BYTES, 0);
        let outcome = read_before(&self.socket, &mut self.buffer[buffered..], deadline);
        self.buffer.truncate(buffered + outcome.unwrap_or(0));
        outcome.map(|_| ())
    }

    /// Copies at least one byte into `target`, from the buffer or else from the connection.
    fn read_some(
        &mut self,
        target: &mut [u8],
        deadline: Instant,
    ) -> std::result::Result<usize, ReadFailure> {
        if self.buffered().is_empty() {
            self.fill(deadline)?;
        }
        let count = target.len().min(self.buffered().len());
        target[..count].copy_from_slice(&self.buffered()[..count]);
        self.consume(count);
        Ok(count)
    }
}

/// Reads at least one byte before the deadline.
pub(crate) fn read_before(
    socket: &TcpStream,
    target: &mut [u8],
    deadline: Instant,
) -> std::result::Result<usize, ReadFailure> {
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ReadFailure::TimedOut);
        }
        if socket.set_read_timeout(Some(left)).is_err() {
            return Err(ReadFailure::Closed);
        }
        match (&*socket).read(target) {
            Ok(0) => return Err(ReadFailure::Closed),
            Ok(count) => return Ok(count),
            Err(error) if is_timeout(&error) || error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Err(ReadFailure::Closed),
        }
    }
}

/// Returns whether the socket's own timeout ended an operation.
pub(crate) fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Byte source of the chunk decoder. It limits the number of raw bytes and keeps the reason of its
/// failure.
///
/// The decoder mistakes an end of input within a chunk for the end of the body, so a body that was
/// cut would count as complete. This source returns an error at an end of input instead. The
/// decoder replaces some errors of its source by its own, so the reason is kept here. It also
/// collects the size line of a chunk without a limit, which the raw limit bounds.
pub(crate) struct BodySource<'a> {
    reader: &'a mut ConnectionReader,
    deadline: Instant,
    raw_left: usize,
    failure: Option<SourceFailure>,
}

/// Reason why a [`BodySource`] failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SourceFailure {
    Read(ReadFailure),
    RawLimit,
}

impl<'a> BodySource<'a> {
    pub(crate) fn new(
        reader: &'a mut ConnectionReader,
        deadline: Instant,
        raw_limit: usize,
    ) -> Self {
        Self {
            reader,
            deadline,
            raw_left: raw_limit,
            failure: None,
        }
    }

    /// Returns the reason of the failure, if the source has failed.
    pub(crate) fn failure(&self) -> Option<SourceFailure> {
        self.failure
    }

    fn fail(&mut self, failure: SourceFailure) -> io::Error {
        self.failure = Some(failure);
        io::Error::from(io::ErrorKind::UnexpectedEof)
    }
}

impl Read for BodySource<'_> {
    fn read(&mut self, target: &mut [u8]) -> io::Result<usize> {
        if target.is_empty() {
            return Ok(0);
        }
        if self.raw_left == 0 {
            return Err(self.fail(SourceFailure::RawLimit));
        }
        let wanted = target.len().min(self.raw_left);
        match self.reader.read_some(&mut target[..wanted], self.deadline) {
            Ok(count) => {
                self.raw_left -= count;
                Ok(count)
            }
            Err(failure) => Err(self.fail(SourceFailure::Read(failure))),
        }
    }
}
