//! A small synchronous HTTP/1.1 server with limits on everything a caller can send.
//!
//! The server takes one thread a connection, hands each whole request to a [`Handler`], and lets
//! the handler answer through a [`Responder`]: either with one whole answer or with a stream of
//! which every piece leaves at once. Heads are parsed by `httparse`, chunked request bodies are
//! decoded by `chunked_transfer`.
//!
//! `rouille` and its `tiny_http` do not fit the callers' interface. They hold the pieces of a
//! streamed body back until about 8 KB have gathered (measured: five events written 100 ms apart
//! all arrived together after 500 ms), and they limit neither the time a client may take for a
//! head nor the number of connections. Stand-ins and the operators' interface, which stream
//! nothing, use `rouille`.
//!
//! The crate knows nothing of refusals: the embedding program renders [`ProtocolError`]s through
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
