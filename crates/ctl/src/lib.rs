//! The operators' command.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
