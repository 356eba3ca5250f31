//! Reading from a connection by a deadline.

use std::io;
use std::io::Read;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

const READ_BYTES: usize = 16 * 1024;

/// `ReadFailure` is why no more bytes came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadFailure {
    /// The deadline passed.
    TimedOut,
    /// The client closed its side or the connection broke.
    Closed,
}

/// `ConnectionReader` reads a connection and holds what was read beyond the current request.
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

    /// Returns the bytes that were read and not yet consumed.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Marks bytes of the buffer as consumed.
    pub(crate) fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
        }
    }

    /// Reads more bytes into the buffer.
    pub(crate) fn fill(&mut self, deadline: Instant) -> std::result::Result<(), ReadFailure> {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        let held = self.buffer.len();
        self.buffer.resize(held + READ_BYTES, 0);
        let outcome = read_by(&self.socket, &mut self.buffer[held..], deadline);
        self.buffer.truncate(held + outcome.unwrap_or(0));
        outcome.map(|_| ())
    }

    /// Copies bytes, buffered or new, of which there is at least one.
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

/// Reads at least one byte by the deadline.
pub(crate) fn read_by(
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

/// Returns whether a socket's own timeout ended an operation.
pub(crate) fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// `BodySource` is the reader below the chunk decoder. It counts raw bytes against a limit and
/// keeps the reason of its failure.
///
/// The decoder takes an end of input in the middle of a chunk for the end of the body, so a body
/// that was cut would pass as whole; here an end of input is an error instead. The decoder also
/// turns some of its source's errors into its own, which is why the reason is kept here. And it
/// gathers a chunk's size line without a limit, which the raw limit bounds.
pub(crate) struct BodySource<'a> {
    reader: &'a mut ConnectionReader,
    deadline: Instant,
    raw_left: usize,
    failure: Option<SourceFailure>,
}

/// `SourceFailure` is why a [`BodySource`] ended.
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

    /// Returns why the source failed, if it did.
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
