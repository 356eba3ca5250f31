//! Requests as passed to handlers.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;

/// Connection of a request, to be watched for the client's close. It can't be read or written.
#[derive(Clone, Debug)]
pub struct ClientSocket(pub(crate) Arc<TcpStream>);

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: Option<String>,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) peer: SocketAddr,
    pub(crate) socket: ClientSocket,
}

impl Request {
    /// Returns the method, such as `POST`.
    pub fn method(&self) -> &str {
        &self.method
    }

    /// Returns the path as it was sent, percent-encoded and without the query.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the query as it was sent, without the question mark, or none if there is none.
    pub fn query(&self) -> Option<&str> {
        self.query.as_deref()
    }

    /// Returns the first value of a header. The name is compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the decoded body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Moves the body out of the request, which has an empty body from then on.
    pub fn take_body(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.body)
    }

    /// Returns the client's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns the connection, to be watched for the client's close.
    pub fn socket(&self) -> &ClientSocket {
        &self.socket
    }
}
