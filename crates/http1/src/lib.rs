//! HTTP/1.1 messages as state machines without sockets.
//!
//! The owner of a connection reads bytes from the connection and passes them to
//! [`parse_request_head`] or [`parse_response_head`], which return complete heads, and to
//! [`BodyDecoder`], which returns the bytes of a body. Nothing in this crate blocks, reads a clock
//! or opens a socket, so one thread can serve any number of connections.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod body;
mod encode;
mod errors;
mod head;
mod headers;

pub use body::BodyDecoder;
pub use body::BodyProgress;
pub use encode::append_chunk;
pub use encode::append_head_end;
pub use encode::append_header;
pub use encode::append_last_chunk;
pub use encode::append_request_line;
pub use encode::append_status_line;
pub use errors::Error;
pub use errors::Result;
pub use head::BodyLength;
pub use head::RequestHead;
pub use head::ResponseHead;
pub use head::parse_request_head;
pub use head::parse_response_head;
pub use headers::Headers;
