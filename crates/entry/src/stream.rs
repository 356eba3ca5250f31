//! Non-blocking TCP connection with a write buffer.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;

use mio::Interest;
use mio::Registry;
use mio::Token;
use mio::net::TcpStream;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Maximum number of bytes read by one system call.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Reason why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadEnd {
    /// No more bytes are available now.
    Drained,
    /// The limit was reached; more bytes may be available.
    Limit,
    /// The other end closed the connection in an orderly way.
    Closed,
    /// The connection is broken.
    Broken,
}

/// A TCP connection with the bytes that have yet to be written.
#[derive(Debug)]
pub(crate) struct Stream {
    socket: TcpStream,
    unwritten: Vec<u8>,
    /// Number of bytes at the beginning of the buffer that have been written.
    written: usize,
    /// Number of bytes that the kernel has accepted. The owner resets it for each exchange.
    pub sent_bytes: u64,
    /// Whether the connection was refused, since nobody listens at the address.
    pub refused: bool,
    /// Whether a write has failed. The kernel reports an error once, and the next read looks like an
    /// orderly close.
    has_write_failed: bool,
}

impl Stream {
    /// Registers an accepted connection with the readiness loop.
    pub fn accepted(mut socket: TcpStream, registry: &Registry, token: Token) -> io::Result<Self> {
        // Small answers must not wait for the acknowledgement of earlier ones.
        let _ = socket.set_nodelay(true);
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Self {
            socket,
            unwritten: Vec::new(),
            written: 0,
            sent_bytes: 0,
            refused: false,
            has_write_failed: false,
        })
    }

    /// Starts opening a connection, from a source address if one is given. Queued bytes are sent
    /// once it is established.
    pub fn connect(
        source: Option<IpAddr>,
        address: SocketAddr,
        registry: &Registry,
        token: Token,
    ) -> io::Result<Self> {
        let socket = match source {
            None => TcpStream::connect(address)?,
            Some(source) => connect_from(source, address)?,
        };
        Self::accepted(socket, registry, token)
    }

    /// Appends bytes to the write buffer without writing them.
    pub fn queue(&mut self, bytes: &[u8]) {
        // If the other end is always behind, the buffer never becomes empty, so it is compacted
        // here.
        if self.written > self.unwritten_bytes() {
            self.unwritten.drain(..self.written);
            self.written = 0;
        }
        // A large part would double the space of a buffer that may never grow again.
        if bytes.len() >= READ_CHUNK_BYTES {
            self.unwritten.reserve_exact(bytes.len());
        }
        self.unwritten.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that have yet to be written.
    pub fn unwritten_bytes(&self) -> usize {
        self.unwritten.len() - self.written
    }

    /// Writes the bytes that the kernel accepts now. Returns whether the connection is still
    /// usable.
    pub fn flush(&mut self) -> bool {
        while self.written < self.unwritten.len() {
            match self.socket.write(&self.unwritten[self.written..]) {
                Ok(0) => {
                    self.has_write_failed = true;
                    return false;
                }
                Ok(count) => {
                    self.written += count;
                    self.sent_bytes += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if should_retry_later(&error) => return true,
                Err(error) => {
                    self.refused |= error.kind() == io::ErrorKind::ConnectionRefused;
                    self.has_write_failed = true;
                    return false;
                }
            }
        }
        self.unwritten.clear();
        self.unwritten.shrink_to(READ_CHUNK_BYTES);
        self.written = 0;
        true
    }

    /// Reads the available bytes until the buffer contains `limit_bytes`.
    pub fn read(&mut self, buffer: &mut Vec<u8>, limit_bytes: usize) -> ReadEnd {
        let mut bytes = [0_u8; READ_CHUNK_BYTES];
        while buffer.len() < limit_bytes {
            match self.socket.read(&mut bytes) {
                Ok(0) if self.has_failed() => return ReadEnd::Broken,
                Ok(0) => return ReadEnd::Closed,
                Ok(count) => buffer.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if should_retry_later(&error) => return ReadEnd::Drained,
                Err(error) => {
                    self.refused |= error.kind() == io::ErrorKind::ConnectionRefused;
                    return ReadEnd::Broken;
                }
            }
        }
        ReadEnd::Limit
    }

    /// Returns whether the connection is broken although reading ended in an orderly way: writing has
    /// failed, or a reset followed the other end's close.
    fn has_failed(&self) -> bool {
        self.has_write_failed || !matches!(self.socket.take_error(), Ok(None))
    }

    /// Returns whether the connection has been established.
    ///
    /// # Errors
    ///
    /// The error with which opening it failed.
    pub fn connection_state(&self) -> io::Result<bool> {
        if let Some(error) = self.socket.take_error()? {
            return Err(error);
        }
        match self.socket.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Shuts down the write half, which tells the other end that no more bytes follow.
    pub fn close_write_half(&self) {
        let _ = self.socket.shutdown(std::net::Shutdown::Write);
    }

    /// Closes the connection. With `abort` the other end receives a reset, so that an answer
    /// without a length that stops early does not look complete.
    pub fn close(mut self, registry: &Registry, abort: bool) {
        let _ = registry.deregister(&mut self.socket);
        if abort {
            let reference = socket2::SockRef::from(&self.socket);
            let _ = reference.set_linger(Some(std::time::Duration::ZERO));
        }
    }
}

fn connect_from(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(TcpStream::from_std(socket.into())),
    }
}

/// Returns whether an operation should be retried later. Until a connection is established, the
/// kernel may report that it is not connected.
fn should_retry_later(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
    )
}
