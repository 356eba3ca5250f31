//! A TCP connection that never blocks.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;

use mio::Interest;
use mio::Registry;
use mio::Token;
use mio::net::TcpStream;

/// How many bytes are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// `ReadEnd` is why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadEnd {
    /// No more bytes are there now.
    Drained,
    /// The limit was reached; more bytes may be there.
    Limit,
    /// The other end closed the connection in an orderly way.
    Closed,
    /// The connection is broken.
    Broken,
}

/// `Stream` is a connection with the bytes that are still to be written.
#[derive(Debug)]
pub(crate) struct Stream {
    socket: TcpStream,
    unwritten: Vec<u8>,
    written: usize,
    /// Bytes that the kernel has taken so far.
    pub sent_bytes: u64,
    /// Whether nobody listens at the other end.
    pub refused: bool,
}

impl Stream {
    /// Takes over an accepted connection.
    pub fn accepted(mut socket: TcpStream, registry: &Registry, token: Token) -> io::Result<Self> {
        // Small answers must not wait for the acknowledgement of the one before.
        let _ = socket.set_nodelay(true);
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Self {
            socket,
            unwritten: Vec::new(),
            written: 0,
            sent_bytes: 0,
            refused: false,
        })
    }

    /// Begins a connection. What is written meanwhile is sent once it stands.
    pub fn connect(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Self> {
        Self::accepted(TcpStream::connect(address)?, registry, token)
    }

    /// Adds bytes to be written, without trying to.
    pub fn queue(&mut self, bytes: &[u8]) {
        // A peer that is always behind never has all of it written.
        if self.written > self.unwritten_bytes() {
            self.unwritten.drain(..self.written);
            self.written = 0;
        }
        self.unwritten.extend_from_slice(bytes);
    }

    /// Returns how many bytes are still to be written.
    pub fn unwritten_bytes(&self) -> usize {
        self.unwritten.len() - self.written
    }

    /// Writes what the kernel takes now. Returns whether the connection still stands.
    pub fn flush(&mut self) -> bool {
        while self.written < self.unwritten.len() {
            match self.socket.write(&self.unwritten[self.written..]) {
                Ok(0) => return false,
                Ok(count) => {
                    self.written += count;
                    self.sent_bytes += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_not_yet(&error) => return true,
                Err(error) => {
                    self.refused |= error.kind() == io::ErrorKind::ConnectionRefused;
                    return false;
                }
            }
        }
        self.unwritten.clear();
        self.unwritten.shrink_to(READ_BYTES);
        self.written = 0;
        true
    }

    /// Reads what is there, up to a limit of bytes in the buffer.
    pub fn read(&mut self, buffer: &mut Vec<u8>, limit_bytes: usize) -> ReadEnd {
        let mut bytes = [0_u8; READ_BYTES];
        while buffer.len() < limit_bytes {
            match self.socket.read(&mut bytes) {
                Ok(0) => return ReadEnd::Closed,
                Ok(count) => buffer.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_not_yet(&error) => return ReadEnd::Drained,
                Err(error) => {
                    self.refused |= error.kind() == io::ErrorKind::ConnectionRefused;
                    return ReadEnd::Broken;
                }
            }
        }
        ReadEnd::Limit
    }

    /// Tells the other end that no more bytes follow.
    pub fn shut_write(&self) {
        let _ = self.socket.shutdown(std::net::Shutdown::Write);
    }

    /// Ends the connection. With `abort` the other end sees a reset, so that an answer without a
    /// length which ends early does not look whole.
    pub fn close(mut self, registry: &Registry, abort: bool) {
        let _ = registry.deregister(&mut self.socket);
        if abort {
            let reference = socket2::SockRef::from(&self.socket);
            let _ = reference.set_linger(Some(std::time::Duration::ZERO));
        }
    }
}

/// Until a connection stands, the kernel may say that it is not connected yet.
fn is_not_yet(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
    )
}
