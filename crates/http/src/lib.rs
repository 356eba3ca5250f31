//! A small synchronous HTTP/1.1 server with limits on everything a caller can send.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
