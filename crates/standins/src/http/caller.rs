//! The other end of a connection.

use std::io;
use std::net::TcpStream;

/// `Caller` is the client of a request. It may only be asked from the thread that handles the
/// request, since asking switches the socket to non-blocking for a moment.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
}

impl Caller {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    /// Waits until the client closes the connection or sends more.
    pub fn wait_gone(&self) {
        // Whatever comes, an end or bytes, the wait is over.
        let _ = self.stream.peek(&mut [0]);
    }

    /// Returns whether the client has closed the connection.
    pub fn is_gone(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let restored = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0 || restored.is_err(),
            Err(error) => error.kind() != io::ErrorKind::WouldBlock || restored.is_err(),
        }
    }
}
