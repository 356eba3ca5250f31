//! One connection and its requests, served in order.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Instant;

use crate::accept;
use crate::accept::Readiness;
use crate::body;
use crate::body::BodyFailure;
use crate::exchange;
use crate::exchange::Exchange;
use crate::exchange::Responder;
use crate::exchange::ResponseState;
use crate::head;
use crate::head::Framing;
use crate::head::Head;
use crate::head::HeadEndFinder;
use crate::protocol::ProtocolError;
use crate::reader;
use crate::reader::ConnectionReader;
use crate::reader::ReadFailure;
use crate::request::ClientSocket;
use crate::request::Request;
use crate::server::ConnectionSlot;
use crate::server::Shared;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Maximum number of bytes that are read and discarded after an early error response.
const MAX_LINGER_BYTES: usize = 1024 * 1024;

/// Reason why a connection serves no further request.
enum ConnectionEnd {
    /// The connection is closed without a response.
    Close,
    /// The client is sent an error first.
    Error(ProtocolError),
}

impl From<ProtocolError> for ConnectionEnd {
    fn from(error: ProtocolError) -> Self {
        Self::Error(error)
    }
}

impl From<BodyFailure> for ConnectionEnd {
    fn from(failure: BodyFailure) -> Self {
        match failure {
            BodyFailure::Closed => Self::Close,
            BodyFailure::Protocol(error) => Self::Error(error),
        }
    }
}

/// Connection of one client.
pub(crate) struct Connection {
    slot: ConnectionSlot,
    socket: Arc<TcpStream>,
    peer: SocketAddr,
    reader: ConnectionReader,
}

impl Connection {
    /// Serves a connection until it ends.
    pub(crate) fn serve(slot: ConnectionSlot, socket: TcpStream) {
        let Ok(peer) = socket.peer_addr() else {
            return;
        };
        if socket.set_nonblocking(false).is_err() || socket.set_nodelay(true).is_err() {
            return;
        }
        let socket = Arc::new(socket);
        let mut connection = Self {
            slot,
            peer,
            reader: ConnectionReader::new(socket.clone()),
            socket,
        };
        let end = connection.serve_requests();
        if let ConnectionEnd::Error(error) = end {
            connection.send_error(&error);
        }
    }

    fn shared(&self) -> &Shared {
        &self.slot.shared
    }

    fn serve_requests(&mut self) -> ConnectionEnd {
        loop {
            match self.serve_request() {
                Ok(()) => {}
                Err(end) => return end,
            }
        }
    }

    fn serve_request(&mut self) -> Result<(), ConnectionEnd> {
        self.wait_for_request()?;
        let head = self.read_head()?;
        let body = self.read_body(&head)?;
        let mut exchange = Exchange {
            socket: self.socket.clone(),
            write_timeout: self.shared().options.write_timeout,
            is_head: head.method == "HEAD",
            is_http_10: head.is_http_10,
            keeps_alive: head.keeps_alive() && !self.shared().is_stopping(),
            state: ResponseState::NotBegun,
        };
        let request = self.build_request(head, body);
        self.handle_request(request, &mut exchange);
        match exchange.keeps_alive {
            true => Ok(()),
            false => Err(ConnectionEnd::Close),
        }
    }

    /// Waits for the first byte of a request.
    fn wait_for_request(&mut self) -> Result<(), ConnectionEnd> {
        if !self.reader.buffered().is_empty() {
            return Ok(());
        }
        let shared = self.shared();
        match accept::wait_readable(&*self.socket, shared, shared.options.idle_timeout) {
            Readiness::Ready => Ok(()),
            Readiness::Stopping | Readiness::TimedOut => Err(ConnectionEnd::Close),
        }
    }

    fn read_head(&mut self) -> Result<Head, ConnectionEnd> {
        let options = self.shared().options.clone();
        let deadline = Instant::now() + options.head_timeout;
        let mut finder = HeadEndFinder::default();
        loop {
            if finder.is_fresh() {
                let line_ends = head::leading_line_ends(self.reader.buffered());
                self.reader.consume(line_ends);
            }
            let found = finder.find(self.reader.buffered());
            let held = found.unwrap_or(self.reader.buffered().len());
            if held > options.max_head_bytes {
                let limit_bytes = options.max_head_bytes;
                return Err(ProtocolError::HeadTooLarge { limit_bytes }.into());
            }
            if let Some(length) = found {
                let head = Head::parse(&self.reader.buffered()[..length], &options)?;
                self.reader.consume(length);
                return Ok(head);
            }
            match self.reader.fill(deadline) {
                Ok(()) => {}
                Err(ReadFailure::TimedOut) => return Err(ProtocolError::HeadTimeout.into()),
                Err(ReadFailure::Closed) => return Err(ConnectionEnd::Close),
            }
        }
    }

    fn read_body(&mut self, head: &Head) -> Result<Vec<u8>, ConnectionEnd> {
        let limit_bytes = self.shared().options.max_body_bytes;
        let deadline = Instant::now() + self.shared().options.body_timeout;
        let framing = head.framing()?;
        let has_body = framing != Framing::Length(0);
        let fits = !matches!(framing, Framing::Length(length) if length > limit_bytes);
        let waits = head.expects_continue()? && self.reader.buffered().is_empty();
        if has_body && fits && waits {
            exchange::write_before(&self.socket, CONTINUE, deadline)
                .map_err(|_| ConnectionEnd::Close)?;
        }
        Ok(body::read_body(
            &mut self.reader,
            framing,
            limit_bytes,
            deadline,
        )?)
    }

    fn build_request(&self, head: Head, body: Vec<u8>) -> Request {
        let (path, query) = match head.target.split_once('?') {
            Some((path, query)) => (path.to_owned(), Some(query.to_owned())),
            None => (head.target, None),
        };
        Request {
            method: head.method,
            path,
            query,
            headers: head.headers,
            body,
            peer: self.peer,
            socket: ClientSocket(self.socket.clone()),
        }
    }

    fn handle_request(&self, request: Request, exchange: &mut Exchange) {
        let handler = &self.shared().handler;
        let handled = panic::catch_unwind(AssertUnwindSafe(|| {
            handler.handle(request, Responder::new(exchange));
        }));
        if handled.is_err() {
            log::error!("a handler panicked");
        }
        match exchange.state {
            ResponseState::Complete => {}
            ResponseState::NotBegun => {
                let response = self.shared().errors.render(&ProtocolError::HandlerFailed);
                let _ = exchange.send(&response);
            }
            ResponseState::Begun => {
                exchange.keeps_alive = false;
                exchange.abort();
            }
        }
    }

    /// Sends an error response and closes the connection. If bytes of the client were left unread,
    /// the close would reset the connection before the client has read the response, so they are
    /// read and discarded until `linger_timeout`.
    fn send_error(&mut self, error: &ProtocolError) {
        let response = self.shared().errors.render(error);
        let mut exchange = Exchange {
            socket: self.socket.clone(),
            write_timeout: self.shared().options.write_timeout,
            is_head: false,
            is_http_10: false,
            keeps_alive: false,
            state: ResponseState::NotBegun,
        };
        if exchange.send(&response).is_err() || self.socket.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let deadline = Instant::now() + self.shared().options.linger_timeout;
        let mut discarded = 0;
        let mut scratch = [0; 16 * 1024];
        while discarded < MAX_LINGER_BYTES {
            match reader::read_before(&self.socket, &mut scratch, deadline) {
                Ok(count) => discarded += count,
                Err(_) => return,
            }
        }
    }
}
