//! Small HTTP/1.1 server with one thread per connection.
//!
//! The usual server libraries can neither close a connection instead of answering, which faults
//! that lose an answer need, nor send a stream event by event: they buffer a chunked body until it
//! has some kilobytes. Heads are parsed by `httparse`, chunks are encoded and decoded by
//! `chunked_transfer`.

mod caller;
mod early;
mod link;
mod reply;
mod request;
mod server;

pub use caller::Caller;
pub use early::EarlyAnswer;
pub use early::EarlyEnd;
pub use link::SlowLink;
pub use reply::AfterPrevious;
pub use reply::Buffered;
pub use reply::Endless;
pub use reply::EventWriter;
pub use reply::Paused;
pub use reply::Raw;
pub use reply::Reply;
pub use reply::Stream;
pub use reply::StreamEnd;
pub use request::Request;
pub use server::Handler;
pub use server::Server;
pub use server::Stopper;
