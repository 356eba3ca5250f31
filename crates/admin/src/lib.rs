//! The operators' interface of a daemon: types, server and client.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
