//! Adapters that meet the outside interfaces over HTTP.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
