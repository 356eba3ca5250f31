//! A small synchronous HTTP/1.1 server with limits on everything that a client can send.
//!
//! The server runs one thread per connection. It passes each complete request to a [`Handler`],
//! which responds through a [`Responder`]: with one complete response, or with a stream whose
//! pieces are sent without buffering. Heads are parsed by `httparse`, chunked request bodies are
//! decoded by `chunked_transfer`.
//!
//! `rouille` and its `tiny_http` are not used for callers. They buffer the pieces of a streamed
//! body until about 8 KB are collected (five events written 100 ms apart all arrived
//! together after 500 ms), and they limit neither the time that a client may take for a head nor
//! the number of connections. Stand-ins and the operators' interface stream nothing and use
//! `rouille`.
//!
//! The crate does not depend on refusals: the embedding program renders [`ProtocolError`]s through
//! its own [`ErrorRenderer`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accept;
mod body;
mod connection;
mod errors;
mod exchange;
mod hangup;
mod head;
mod options;
mod protocol;
mod reader;
mod request;
mod response;
mod server;

pub use errors::Error;
pub use errors::Result;
pub use exchange::Responder;
pub use exchange::ResponseStream;
pub use hangup::HangupGuard;
pub use hangup::HangupWatcher;
pub use options::Options;
pub use protocol::ErrorRenderer;
pub use protocol::PlainErrors;
pub use protocol::ProtocolError;
pub use request::ClientSocket;
pub use request::Request;
pub use response::Response;
pub use response::ResponseHead;
pub use server::Handler;
pub use server::Server;
