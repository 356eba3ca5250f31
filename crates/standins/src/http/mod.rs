//! A small HTTP/1.1 server, one thread a connection.
//!
//! The usual server libraries can neither close a connection instead of answering, which the
//! lost-answer faults need, nor send a stream event by event: they hold a chunked body back until
//! some kilobytes are there. Heads are parsed by `httparse`, chunks are coded by
//! `chunked_transfer`.

mod caller;
mod reply;
mod request;
mod server;

pub use caller::Caller;
pub use reply::EventWriter;
pub use reply::Raw;
pub use reply::Reply;
pub use reply::Stream;
pub use reply::StreamEnd;
pub use reply::Whole;
pub use request::Request;
pub use server::Handler;
pub use server::Server;
pub use server::Stopper;
