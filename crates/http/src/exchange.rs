//! Response to one request.

use std::io;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;

use crate::errors::Error;
use crate::errors::Result;
use crate::reader::is_timeout;
use crate::response::Response;
use crate::response::ResponseHead;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Progress of the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseState {
    /// Nothing was sent.
    NotBegun,
    /// Part of the response was sent, or the connection is to be closed without one.
    Begun,
    /// The complete response was sent.
    Complete,
}

/// Sending side of one request and its response.
pub(crate) struct Exchange {
    pub(crate) socket: Arc<TcpStream>,
    pub(crate) write_timeout: Duration,
    pub(crate) is_head: bool,
    pub(crate) is_http_10: bool,
    pub(crate) keeps_alive: bool,
    pub(crate) state: ResponseState,
}

impl Exchange {
    pub(crate) fn send(&mut self, response: &Response) -> Result<()> {
        let mut framing = vec![("Connection", self.connection_value())];
        // A handler that returns no body for a HEAD request doesn't know the length for GET.
        let is_length_known = !self.is_head || !response.body.is_empty();
        if is_length_known && !response.head.is_bodiless() {
            framing.push(("Content-Length", response.body.len().to_string()));
        }
        let mut bytes = response.head.encode(&framing);
        if !self.is_head && !response.head.is_bodiless() {
            bytes.extend_from_slice(&response.body);
        }
        self.write(&bytes)?;
        self.state = ResponseState::Complete;
        Ok(())
    }

    fn start(&mut self, head: &ResponseHead) -> Result<()> {
        // A stream to an HTTP/1.0 client ends with its connection.
        self.keeps_alive &= !self.is_http_10;
        let mut framing = vec![("Connection", self.connection_value())];
        if !self.is_http_10 {
            framing.push(("Transfer-Encoding", "chunked".to_owned()));
        }
        self.write(&head.encode(&framing))
    }

    fn send_piece(&mut self, piece: &[u8]) -> Result<()> {
        match self {
            // An empty chunk would end the stream.
            _ if piece.is_empty() => Ok(()),
            Self { is_head: true, .. } => Ok(()),
            Self {
                is_http_10: true, ..
            } => self.write(piece),
            _ => {
                let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
                chunk.extend_from_slice(piece);
                chunk.extend_from_slice(b"\r\n");
                self.write(&chunk)
            }
        }
    }

    fn finish(&mut self) -> Result<()> {
        if !self.is_head && !self.is_http_10 {
            self.write(LAST_CHUNK)?;
        }
        self.state = ResponseState::Complete;
        Ok(())
    }

    /// Closes the connection of a response that must not look complete.
    ///
    /// An HTTP/1.1 client notices the missing last chunk. An HTTP/1.0 client would take an orderly
    /// close for the end of the response, so its connection is reset.
    pub(crate) fn abort(&mut self) {
        if self.is_http_10 {
            let _ = SockRef::from(&*self.socket).set_linger(Some(Duration::ZERO));
            return;
        }
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.state = ResponseState::Begun;
        let outcome = write_before(&self.socket, bytes, Instant::now() + self.write_timeout);
        if outcome.is_err() {
            self.keeps_alive = false;
        }
        outcome
    }

    fn connection_value(&self) -> String {
        match self.keeps_alive {
            true => "keep-alive".to_owned(),
            false => "close".to_owned(),
        }
    }
}

/// Writes all bytes before the deadline. The deadline covers all writes together, so a client that
/// accepts a byte now and then can't hold the thread longer.
pub(crate) fn write_before(socket: &TcpStream, mut bytes: &[u8], deadline: Instant) -> Result<()> {
    while !bytes.is_empty() {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Error::WriteTimeout);
        }
        socket
            .set_write_timeout(Some(left))
            .map_err(Error::ClientGone)?;
        match (&*socket).write(bytes) {
            Ok(0) => return Err(Error::ClientGone(io::ErrorKind::WriteZero.into())),
            Ok(count) => bytes = &bytes[count..],
            Err(error) if is_timeout(&error) || error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(Error::ClientGone(error)),
        }
    }
    Ok(())
}

/// Sender of the one response to a request.
///
/// It borrows from the connection, so the response ends before the handler returns. If a handler
/// drops it unused, the server responds with
/// [`ProtocolError::HandlerFailed`](crate::ProtocolError::HandlerFailed).
pub struct Responder<'a> {
    exchange: &'a mut Exchange,
}

impl<'a> Responder<'a> {
    pub(crate) fn new(exchange: &'a mut Exchange) -> Self {
        Self { exchange }
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// [`Error::ClientGone`] or [`Error::WriteTimeout`]. The connection is closed then.
    pub fn send(self, response: Response) -> Result<()> {
        self.exchange.send(&response)
    }

    /// Closes the connection without a response, for a client that is gone.
    pub fn close(self) {
        self.exchange.keeps_alive = false;
        self.exchange.state = ResponseState::Begun;
    }

    /// Sends the head of a streamed response.
    ///
    /// # Errors
    ///
    /// As for [`Responder::send`].
    pub fn start(self, head: ResponseHead) -> Result<ResponseStream<'a>> {
        self.exchange.start(&head)?;
        Ok(ResponseStream {
            exchange: self.exchange,
        })
    }
}

/// Sender of the pieces of a streamed response. If it is dropped before [`ResponseStream::finish`],
/// the connection is closed in a way that shows the client that the response is incomplete.
///
/// Chunks are written here and not by the encoder of `chunked_transfer`: that one ends the body
/// when it is dropped, which would make a cut response look complete.
pub struct ResponseStream<'a> {
    exchange: &'a mut Exchange,
}

impl ResponseStream<'_> {
    /// Sends a piece without buffering it.
    ///
    /// # Errors
    ///
    /// As for [`Responder::send`].
    pub fn send_piece(&mut self, piece: &[u8]) -> Result<()> {
        self.exchange.send_piece(piece)
    }

    /// Ends the stream and marks it as complete.
    ///
    /// # Errors
    ///
    /// As for [`Responder::send`].
    pub fn finish(self) -> Result<()> {
        self.exchange.finish()
    }
}
