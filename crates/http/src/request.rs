//! Requests as handlers get them.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;

/// `ClientSocket` stands for the connection of a request. It is there to be watched for the
/// client's close; nothing can be read from or written to it.
#[derive(Clone, Debug)]
pub struct ClientSocket(pub(crate) Arc<TcpStream>);

/// `Request` is one whole request.
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

    /// Returns the path as it was sent, still percent-encoded, without its query.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the query as it was sent, without its question mark.
    pub fn query(&self) -> Option<&str> {
        self.query.as_deref()
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Takes the body out of the request.
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
