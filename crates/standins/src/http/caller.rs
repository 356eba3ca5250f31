//! Connection to the client of a request.

use std::io;
use std::net::IpAddr;
use std::net::TcpStream;

/// Client of a request. It must only be queried from the thread that handles the request, since a
/// query switches the socket to non-blocking for a moment.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
    address: Option<IpAddr>,
}

impl Caller {
    pub(crate) fn new(stream: TcpStream, address: Option<IpAddr>) -> Self {
        Self { stream, address }
    }

    /// Returns the address of the client; none for the answer to no request.
    pub fn address(&self) -> Option<IpAddr> {
        self.address
    }

    /// Waits until the client closes the connection or sends more bytes.
    pub fn wait_until_disconnected(&self) {
        // Both an end of the connection and bytes end the wait.
        let _ = self.stream.peek(&mut [0]);
    }

    /// Returns whether the client has closed the connection.
    pub fn is_disconnected(&self) -> bool {
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
